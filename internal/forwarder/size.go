package forwarder

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/sizer"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// minRemainingShare is the share of the timeout that must remain for a request to
// escalate to a larger model.
const minRemainingShare = 0.5

// retryReserve is the number of retries that an escalation leaves in the retry
// budget for failed requests. A failed request needs its retry, whereas a better
// response is optional.
const retryReserve = 4

// costs returns the costs of the models that the request may run on, smallest
// model first, or nil if the router does not choose the model.
func (c *call) costs() []float64 {
	if !c.AnyModel || len(c.route.Models) == 0 {
		return nil
	}
	service := c.view.Table.Service(c.route.Service)
	if service == nil {
		return nil
	}
	costs := make([]float64, len(c.route.Models))
	for i, model := range c.route.Models {
		costs[i] = service.Costs[model]
	}
	return costs
}

// hasBegun reports whether the client has events of the stream, from this request or from
// an earlier one that it resumes.
func (c *call) hasBegun() bool { return c.responseStarted || c.LastEventID != "" }

// adaptSize chooses the size to begin with at the endpoint, as long as the request has run on
// none and the client has no event.
func (c *call) adaptSize(choice *tracker.Choice) {
	if len(c.steps) == 0 && !c.hasBegun() {
		c.size = sizer.FirstSize(c.costs(), choice.Limited || !c.route.Retryable())
	}
}

// escalate reports whether the response that has begun is discarded for one of a
// larger model. If so, it selects the next model and takes the retry from the
// budget.
func (c *call) escalate(choice *tracker.Choice, info ResponseInfo) bool {
	costs := c.costs()
	// An endpoint may crash under a request whose response was discarded, unseen.
	if c.suspected || c.hasBegun() || !c.route.Retryable() || costs == nil || info.Confidence < 0 {
		return false
	}
	c.steps = append(c.steps, sizer.Step{Size: c.size, Confidence: info.Confidence})
	cascade := sizer.Cascade{Costs: costs, Steps: c.steps, RemainingSteps: c.route.MaxRuns - c.possibleRuns}
	cascade.OnTimeProbabilities, cascade.Pressure = c.estimateOnTime()
	size, keep := sizer.NextSize(cascade)
	if keep || time.Until(c.deadline) < time.Duration(minRemainingShare*float64(c.timeout())) {
		return false
	}
	if !c.RetryBudgets.ForService(c.route.Service).TrySpendAbove(retryReserve) {
		return false
	}
	c.log("response discarded, escalating to a larger model", c.endpointFields(choice, "confidence", info.Confidence, "next", c.route.Models[size])...)
	choice.End(tracker.Success, 0)
	c.recordResult(choice, Completed, c.ttft, 0)
	c.retryPaid = true
	c.size = size
	// The endpoint has the prompt in its cache now, so the larger model may run
	// there too.
	c.tried = c.tried[:len(c.tried)-1]
	return true
}

// estimateOnTime returns the probability that the response of each model begins
// within the route's target latency, and the load pressure on the endpoints.
func (c *call) estimateOnTime() (probabilities []float64, pressure float64) {
	remaining := c.route.TargetLatency - time.Since(c.arrived)
	for _, model := range c.route.Models {
		ttft, delay := c.Tracker.EstimateTTFT(c.query(model))
		probabilities = append(probabilities, sizer.OnTimeProbability(ttft, remaining))
		pressure = sizer.Pressure(delay, c.route.TargetLatency)
	}
	return probabilities, pressure
}

const (
	// enginePriorities is the number of priorities of an inference engine, from 0, the
	// most urgent.
	enginePriorities = 10
	// firstStepPriorities is the number of them that first steps of a cascade have. Such a
	// step is short: behind a long prompt it would wait many times its own duration.
	firstStepPriorities = 2
)

// rank returns the order of urgency of the request; 0 is the most urgent.
func (c *call) rank() int { return matcher.Rank(c.route, c.account) }

// enginePriority returns the request's priority at the endpoint, or a negative value for none.
// First steps of a cascade come before all other requests, in the order of the client accounts'
// priorities. The others, also those whose model the client has chosen, are in the order of their
// ranks.
func (c *call) enginePriority() int {
	if len(c.route.Models) == 0 {
		return -1
	}
	if c.AnyModel && c.size == 0 {
		return min(firstStepPriorities-1, c.rank()/matcher.RoutePriorities)
	}
	return min(enginePriorities-1, firstStepPriorities+c.rank())
}

// expectedEvents returns the expected number of events of the response, or 0 if it is unknown.
func (c *call) expectedEvents() int {
	service := c.view.Table.Service(c.route.Service)
	if service == nil || service.EventTokens == 0 {
		return 0
	}
	return (c.OutputTokens + service.EventTokens - 1) / service.EventTokens
}
