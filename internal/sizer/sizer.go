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

// Look is a run whose confidence is known.
type Look struct {
	// Size is the index of the model, smallest first.
	Size int
	// Confidence is the model's opinion of its answer from 0 to 100.
	Confidence int
}

// Question is what the decision depends on.
type Question struct {
	// Costs are the prices of the sizes, smallest first.
	Costs []float64
	// Looks are the runs so far; the last is the one to keep or to drop.
	Looks []Look
	// Runs is how many more runs are allowed.
	Runs int
	// Pressure adds to the price of a run while engines are short; 0 for none.
	Pressure float64
	// InTime is the probability that a run on each size would begin in time; nil
	// when that is certain.
	InTime []float64
}

// First returns the size to begin with.
func First([]float64) int { return 0 }

// Next returns the size to run the request on instead of the last one; keep is
// true when its answer is good enough for what another run would cost.
func Next(q Question) (size int, keep bool) {
	if len(q.Looks) == 0 || q.Runs < 1 {
		return 0, true
	}
	last := q.Looks[len(q.Looks)-1]
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
func (q Question) worth(size int) float64 {
	good := q.good(size)
	worth := good*q.inTime(size) - q.price(size)
	largest := len(q.Costs) - 1
	if size < largest && q.Runs > 1 {
		worth += (1 - good) * math.Max(0, largestGood*q.inTime(largest)-q.price(largest))
	}
	return worth
}

func (q Question) inTime(size int) float64 {
	if size >= len(q.InTime) {
		return 1
	}
	return q.InTime[size]
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

// InTime returns the probability that an answer expected after some time begins
// within the time that is left.
func InTime(expected, left time.Duration) float64 {
	spread := expectSpread*float64(expected) + float64(expectNoise)
	return normal(float64(left-expected) / spread)
}

// price is the price of a run as a share of a good answer's worth.
func (q Question) price(size int) float64 {
	dearest := q.Costs[len(q.Costs)-1]
	if dearest <= 0 {
		return 0
	}
	return (costWeight + q.Pressure) * q.Costs[size] / dearest
}

// good is the probability that a size is good enough, from all looks so far.
func (q Question) good(size int) float64 {
	if size == len(q.Costs)-1 {
		return largestGood
	}
	sum := 0.0
	for _, look := range q.Looks {
		sum += float64(look.Confidence) + stepMargin*float64(size-look.Size)
	}
	looks := float64(len(q.Looks))
	spread := confidenceSpread / math.Sqrt(looks)
	return normal((sum/looks - confidenceEven) / spread)
}

// normal is the standard normal distribution function.
func normal(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }
