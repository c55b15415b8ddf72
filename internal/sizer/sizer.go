// Package sizer selects the model size that a request runs on and decides
// whether the response of a small model is good enough to be kept. How difficult
// a request is becomes known only when a model has run it, so a cascade starts
// with the smallest model, whose run costs little, and escalates to a larger one
// if the confidence is low. The package does no I/O and keeps no state.
package sizer

import (
	"math"
	"time"
)

const (
	// confidenceMidpoint is the confidence at which a response is as likely
	// acceptable as not.
	confidenceMidpoint = 50
	// confidenceStdDev is the standard deviation of the confidence around the
	// margin by which a model is good enough.
	confidenceStdDev = 14
	// sizeMargin is the margin, in points of confidence, that an intermediate model
	// has over the next smaller one.
	sizeMargin = 14
	// largestAcceptableProbability is the probability that the response of the
	// largest model is acceptable.
	largestAcceptableProbability = 0.98
	// costWeight is the cost of a run on the most expensive model as a share of the
	// value of an acceptable response.
	costWeight = 0.16
)

// Step is a cascade step: a run of one model size whose confidence is known.
type Step struct {
	// Size is the index of the model, with the smallest model first.
	Size int
	// Confidence is the model's own estimate, from 0 to 100, that its response is
	// good enough.
	Confidence int
}

// Cascade is the state of a request's cascade, on which the next size depends.
type Cascade struct {
	// Costs are the costs of the model sizes, smallest model first.
	Costs []float64
	// Steps are the steps so far. The response of the last step is the one to keep
	// or to discard.
	Steps []Step
	// RemainingSteps is the number of further steps that are allowed.
	RemainingSteps int
	// Pressure is added to the cost of a run while endpoints are overloaded. It is
	// 0 if they are not.
	Pressure float64
	// OnTimeProbabilities holds for each size the probability that its response
	// would begin in time. Sizes beyond its end are certain to be in time.
	OnTimeProbabilities []float64
}

// FirstSize returns the size to begin with: the smallest, unless the request should run only
// once, because the endpoint limits the number of its requests or because no other run may
// follow.
func FirstSize(costs []float64, once bool) int {
	if !once {
		return 0
	}
	return max(0, len(costs)-1)
}

// NextSize returns the size to run the request on after the last step. It returns
// keep as true if no further step is worth its cost, so that the response of the
// last step is kept.
func NextSize(c Cascade) (size int, keep bool) {
	if len(c.Steps) == 0 || c.RemainingSteps < 1 {
		return 0, true
	}
	last := c.Steps[len(c.Steps)-1]
	best, bestUtility := last.Size, c.acceptableProbability(last.Size)
	for size := last.Size + 1; size < len(c.Costs); size++ {
		if utility := c.utility(size); utility > bestUtility {
			best, bestUtility = size, utility
		}
	}
	return best, best == last.Size
}

// utility returns the expected value of another step less its cost, as a share of
// the value of an acceptable response. After a step on an intermediate size a
// step on the largest one may still follow.
func (c Cascade) utility(size int) float64 {
	acceptable := c.acceptableProbability(size)
	utility := acceptable*c.onTimeProbability(size) - c.cost(size)
	largest := len(c.Costs) - 1
	if size < largest && c.RemainingSteps > 1 {
		utility += (1 - acceptable) * math.Max(0, largestAcceptableProbability*c.onTimeProbability(largest)-c.cost(largest))
	}
	return utility
}

func (c Cascade) onTimeProbability(size int) float64 {
	if size >= len(c.OnTimeProbabilities) {
		return 1
	}
	return c.OnTimeProbabilities[size]
}

const (
	// pressurePerDelay is the pressure of a delay that is as long as the time in
	// which a response must begin.
	pressurePerDelay = 1.0
	// The standard deviation of the time to first token is
	// firstTokenRelativeStdDev times the expected time plus firstTokenStdDev.
	firstTokenRelativeStdDev = 0.4
	firstTokenStdDev         = 100 * time.Millisecond
)

// Pressure returns the load pressure if responses begin later than the length of
// their prompts explains. The delay is the excess and target the time in which a
// response must begin.
func Pressure(delay, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return pressurePerDelay * float64(delay) / float64(target)
}

// OnTimeProbability returns the probability that a response with the expected
// time to first token begins within the remaining time.
func OnTimeProbability(expected, remaining time.Duration) float64 {
	stdDev := firstTokenRelativeStdDev*float64(expected) + float64(firstTokenStdDev)
	return normalCDF(float64(remaining-expected) / stdDev)
}

// cost returns the cost of a run as a share of the value of an acceptable
// response.
func (c Cascade) cost(size int) float64 {
	highest := c.Costs[len(c.Costs)-1]
	if highest <= 0 {
		return 0
	}
	return (costWeight + c.Pressure) * c.Costs[size] / highest
}

// acceptableProbability returns the probability that the response of a size is
// acceptable, as estimated from the confidence of all steps so far.
func (c Cascade) acceptableProbability(size int) float64 {
	if size == len(c.Costs)-1 {
		return largestAcceptableProbability
	}
	sum := 0.0
	for _, step := range c.Steps {
		sum += float64(step.Confidence) + sizeMargin*float64(size-step.Size)
	}
	steps := float64(len(c.Steps))
	stdDev := confidenceStdDev / math.Sqrt(steps)
	return normalCDF((sum/steps - confidenceMidpoint) / stdDev)
}

// normalCDF is the cumulative distribution function of the standard normal
// distribution.
func normalCDF(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }
