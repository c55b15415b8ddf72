// Package sizer decides which size of model a request runs on, and whether an
// answer of a small one is good enough to be kept. It answers the load pattern
// of requests whose difficulty is not known before a model has looked at them:
// the smallest model looks first, since its look costs little. It is pure.
package sizer

import (
	"math"
	"time"
)

const (
	// confidenceEven is the confidence at which an answer is as likely good as
	// not.
	confidenceEven = 50
	// confidenceSpread is the standard deviation of the confidence around the
	// margin by which a model is good enough.
	confidenceSpread = 14
	// stepMargin is the margin that an intermediate model has above the next
	// smaller one.
	stepMargin = 14
	// largestGood is the probability that the largest model is good enough.
	largestGood = 0.98
	// costWeight is the price of a run on the dearest model as a share of a good
	// answer's worth.
	costWeight = 0.16
)

// Step is a run whose confidence is known.
type Step struct {
	// Size is the index of the model, smallest first.
	Size int
	// Confidence is the model's opinion of its answer from 0 to 100.
	Confidence int
}

// Cascade is what the decision depends on.
type Cascade struct {
	// Costs are the prices of the sizes, smallest first.
	Costs []float64
	// Steps are the runs so far; the last is the one to keep or to drop.
	Steps []Step
	// RemainingSteps is how many more runs are allowed.
	RemainingSteps int
	// Pressure adds to the price of a run while engines are short; 0 for none.
	Pressure float64
	// OnTimeProbabilities is the probability that a run on each size would begin in time; nil
	// when that is certain.
	OnTimeProbabilities []float64
}

// FirstSize returns the size to begin with.
func FirstSize([]float64) int { return 0 }

// NextSize returns the size to run the request on instead of the last one; keep is
// true when its answer is good enough for what another run would cost.
func NextSize(q Cascade) (size int, keep bool) {
	if len(q.Steps) == 0 || q.RemainingSteps < 1 {
		return 0, true
	}
	last := q.Steps[len(q.Steps)-1]
	best, bestWorth := last.Size, q.good(last.Size)
	for size := last.Size + 1; size < len(q.Costs); size++ {
		if worth := q.worth(size); worth > bestWorth {
			best, bestWorth = size, worth
		}
	}
	return best, best == last.Size
}

// worth is the expected worth of another run, less its price. After a run on
// an intermediate size the largest may still follow.
func (q Cascade) worth(size int) float64 {
	good := q.good(size)
	worth := good*q.inTime(size) - q.price(size)
	largest := len(q.Costs) - 1
	if size < largest && q.RemainingSteps > 1 {
		worth += (1 - good) * math.Max(0, largestGood*q.inTime(largest)-q.price(largest))
	}
	return worth
}

func (q Cascade) inTime(size int) float64 {
	if size >= len(q.OnTimeProbabilities) {
		return 1
	}
	return q.OnTimeProbabilities[size]
}

const (
	// pressureOfDelay is the pressure of a delay as long as the time in which an
	// answer must begin.
	pressureOfDelay = 1.0
	// expectSpread and expectNoise are the standard deviation of the time to the
	// first token, as a share of the expected one and on top of it.
	expectSpread = 0.4
	expectNoise  = 100 * time.Millisecond
)

// Pressure returns the pressure when answers begin later, by the delay, than
// their prompts explain.
func Pressure(delay, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return pressureOfDelay * float64(delay) / float64(target)
}

// OnTimeProbability returns the probability that an answer expected after some time begins
// within the time that is left.
func OnTimeProbability(expected, left time.Duration) float64 {
	spread := expectSpread*float64(expected) + float64(expectNoise)
	return normal(float64(left-expected) / spread)
}

// price is the price of a run as a share of a good answer's worth.
func (q Cascade) price(size int) float64 {
	dearest := q.Costs[len(q.Costs)-1]
	if dearest <= 0 {
		return 0
	}
	return (costWeight + q.Pressure) * q.Costs[size] / dearest
}

// good is the probability that a size is good enough, from all looks so far.
func (q Cascade) good(size int) float64 {
	if size == len(q.Costs)-1 {
		return largestGood
	}
	sum := 0.0
	for _, look := range q.Steps {
		sum += float64(look.Confidence) + stepMargin*float64(size-look.Size)
	}
	looks := float64(len(q.Steps))
	spread := confidenceSpread / math.Sqrt(looks)
	return normal((sum/looks - confidenceEven) / spread)
}

// normal is the standard normal distribution function.
func normal(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }
