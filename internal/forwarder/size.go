package forwarder

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/sizer"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// minLeft is the share of the deadline that must be left for another run.
const minRemainingShare = 0.5

// repeatReserve are the repeats that are kept for requests that fail: a better
// answer may be done without.
const retryReserve = 4

// costs returns the prices of the sizes that the request may run on, smallest
// first; nil when the model is not the router's choice.
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

// outgrown decides whether the answer that begins is dropped for one of a
// larger model. It sets the size to run on next and pays for the repeat.
func (c *call) escalate(choice *tracker.Choice, info ResponseInfo) bool {
	costs := c.costs()
	if c.responseStarted || c.lastEventID > 0 || costs == nil || info.Confidence < 0 {
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
	c.log("answer dropped for a larger model", c.endpointFields(choice, "confidence", info.Confidence, "next", c.route.Models[size])...)
	choice.End(tracker.Success, 0)
	c.recordResult(choice, Completed, c.ttft, 0)
	c.retryPaid = true
	c.size = size
	// The endpoint holds the prompt now; the larger model may run there too.
	c.tried = c.tried[:len(c.tried)-1]
	return true
}

// outlook returns the probability that a run on each size begins in time, and
// the pressure on the engines.
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
	// rankFirst goes before rankOther at an engine: the smallest model's look is
	// short, and behind a long prompt it would wait many times its own time.
	firstStepPriority = 4
	laterStepPriority = 5
)

// rank is the request's rank at the endpoint; negative for none.
func (c *call) enginePriority() int {
	switch {
	case !c.AnyModel || len(c.route.Models) == 0:
		return -1
	case c.size == 0:
		return firstStepPriority
	default:
		return laterStepPriority
	}
}
