package forwarder

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/sizer"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// minLeft is the share of the deadline that must be left for another run.
const minLeft = 0.5

// repeatReserve are the repeats that are kept for requests that fail: a better
// answer may be done without.
const repeatReserve = 4

// costs returns the prices of the sizes that the request may run on, smallest
// first; nil when the model is not the router's choice.
func (c *call) costs() []float64 {
	if !c.ModelFree || len(c.route.Sizes) == 0 {
		return nil
	}
	service := c.view.Table.Service(c.route.Service)
	if service == nil {
		return nil
	}
	costs := make([]float64, len(c.route.Sizes))
	for i, model := range c.route.Sizes {
		costs[i] = service.Costs[model]
	}
	return costs
}

// outgrown decides whether the answer that begins is dropped for one of a
// larger model. It sets the size to run on next and pays for the repeat.
func (c *call) outgrown(choice *tracker.Choice, notes Notes) bool {
	costs := c.costs()
	if c.begun || c.after > 0 || costs == nil || notes.Confidence < 0 {
		return false
	}
	c.looks = append(c.looks, sizer.Step{Size: c.size, Confidence: notes.Confidence})
	question := sizer.Cascade{Costs: costs, Steps: c.looks, RemainingSteps: c.route.Attempts - c.runs}
	question.OnTimeProbabilities, question.Pressure = c.outlook()
	size, keep := sizer.NextSize(question)
	if keep || time.Until(c.deadline) < time.Duration(minLeft*float64(c.patience())) {
		return false
	}
	if !c.Budgets.Of(c.route.Service).SpendAbove(repeatReserve) {
		return false
	}
	c.log("answer dropped for a larger model", c.about(choice, "confidence", notes.Confidence, "next", c.route.Sizes[size])...)
	choice.End(tracker.Success, 0)
	c.ran(choice, Answered, c.headed, 0)
	c.paid = true
	c.size = size
	// The endpoint holds the prompt now; the larger model may run there too.
	c.tried = c.tried[:len(c.tried)-1]
	return true
}

// outlook returns the probability that a run on each size begins in time, and
// the pressure on the engines.
func (c *call) outlook() (inTime []float64, pressure float64) {
	left := c.route.Target - time.Since(c.arrived)
	for _, model := range c.route.Sizes {
		first, delay := c.Tracker.EstimateTTFT(c.query(model))
		inTime = append(inTime, sizer.OnTimeProbability(first, left))
		pressure = sizer.Pressure(delay, c.route.Target)
	}
	return inTime, pressure
}

const (
	// rankFirst goes before rankOther at an engine: the smallest model's look is
	// short, and behind a long prompt it would wait many times its own time.
	rankFirst = 4
	rankOther = 5
)

// rank is the request's rank at the endpoint; negative for none.
func (c *call) rank() int {
	switch {
	case !c.ModelFree || len(c.route.Sizes) == 0:
		return -1
	case c.size == 0:
		return rankFirst
	default:
		return rankOther
	}
}
