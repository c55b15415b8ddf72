// Package planner chooses the model and version of a request: the mix of plans
// that meets the account's quality target at the least expected cost. It is
// pure; estimates, time left and randomness are arguments.
package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/estimator"
	"quetzalgrade.example/quetzalgrade/internal/pricer"
)

// Candidate is a version that the request may run on.
type Candidate struct {
	Version *compiler.Version
	Quality estimator.Estimate
	// Output is the expected number of output tokens.
	Output float64
	// Duration is the expected time of an answer.
	Duration time.Duration
}

// Request is what the plan depends on.
type Request struct {
	Account string
	Policy  *compiler.Policy
	// Input is the number of input tokens.
	Input int
	// Left is the time until the deadline.
	Left time.Duration
	// Rating is the expected time of an inline rating; 0 when the rater is
	// unreachable, which rules cascades out.
	Rating time.Duration
	// Delivered and Ratings are the mean rating that the account got lately and
	// the number of ratings behind it.
	Delivered float64
	Ratings   float64
	// Sticky rules cascades out, for a later turn of a conversation.
	Sticky bool
	// Escalated estimates the second answer of a cascade.
	Escalated func(first, second *compiler.Version) estimator.Estimate
}

// Plan is a single version or a cascade.
type Plan struct {
	First *compiler.Version
	// Second is nil for a single version.
	Second *compiler.Version
	// Threshold is the rating below which the second version answers too.
	Threshold float64
	Quality   float64
	Cost      pricer.Money
	// Reason explains the choice to operators.
	Reason string
}

// thresholds are the ratings at which a cascade may go on.
var thresholds = []float64{0.3, 0.4, 0.5, 0.6, 0.65, 0.7, 0.75, 0.8, 0.85, 0.9, 0.95}

const (
	// gain is how strongly a shortfall of delivered quality raises the goal.
	gain = 2
	// maxCorrection bounds how far the goal moves from the target.
	maxCorrection = 0.08
	// trustedRatings is the number of ratings at which the delivered mean counts
	// in full.
	trustedRatings = 200
	// explore is the share of requests that go to a version about which little
	// is known but which may be cheaper.
	explore = 0.02
	// explored is the number of ratings at which exploring a version ends.
	explored = 60
)

// Goal returns the mean quality to plan for: the target, raised while the
// account gets less than the target and lowered while it gets more.
func Goal(request Request) float64 {
	target := request.Policy.MinRating
	trust := min(1, request.Ratings/trustedRatings)
	correction := gain * trust * (target - request.Delivered)
	if request.Ratings == 0 {
		correction = 0
	}
	return target + min(maxCorrection, max(-maxCorrection, correction))
}

// Choose returns a plan for the request. The draw in [0, 1) decides between
// plans of a mix. It returns false when there is no candidate.
func Choose(request Request, candidates []Candidate, draw float64) (Plan, bool) {
	plans := enumerate(request, candidates)
	if len(plans) == 0 {
		return Plan{}, false
	}
	if draw < explore {
		if plan, ok := unexplored(plans, candidates, draw/explore); ok {
			return plan, true
		}
	}
	return mix(plans, Goal(request), draw), true
}

// enumerate returns the plans that fit the deadline.
func enumerate(request Request, candidates []Candidate) []Plan {
	var plans []Plan
	for _, candidate := range candidates {
		plans = append(plans, single(request, candidate))
	}
	if request.Rating <= 0 || request.Sticky {
		return plans
	}
	for _, first := range candidates {
		for _, second := range candidates {
			if !worthCascading(request, first, second) {
				continue
			}
			for _, threshold := range thresholds {
				plans = append(plans, cascade(request, first, second, threshold))
			}
		}
	}
	return plans
}

// deadlineShare is the share of the time left that a cascade may be expected
// to take.
const deadlineShare = 0.8

func worthCascading(request Request, first, second Candidate) bool {
	if len(first.Quality.Histogram) == 0 || first.Version == second.Version {
		return false
	}
	total := first.Duration + request.Rating + second.Duration
	fits := float64(total) <= deadlineShare*float64(request.Left)
	return fits && charge(request, first) < charge(request, second)
}

func charge(request Request, candidate Candidate) float64 {
	return float64(candidate.Version.Price.Input)*float64(request.Input) + float64(candidate.Version.Price.Output)*candidate.Output
}

func single(request Request, candidate Candidate) Plan {
	return Plan{
		First:   candidate.Version,
		Quality: candidate.Quality.Lower,
		Cost:    pricer.Money(charge(request, candidate) + delayCost(request, candidate.Duration)),
		Reason:  fmt.Sprintf("single %s, quality at least %.3f", candidate.Version.ID, candidate.Quality.Lower),
	}
}

func delayCost(request Request, delay time.Duration) float64 {
	return float64(request.Policy.LatencyPrice) * delay.Seconds()
}

func cascade(request Request, first, second Candidate, threshold float64) Plan {
	histogram := first.Quality.Histogram
	kept, keptQuality := 0.0, 0.0
	for i, share := range histogram {
		score := (float64(i) + 0.5) / float64(len(histogram))
		if score >= threshold {
			kept += share
			keptQuality += share * score
		}
	}
	margin := first.Quality.Mean - first.Quality.Lower
	after := request.Escalated(first.Version, second.Version)
	escalated := 1 - kept
	delay := first.Duration + request.Rating + time.Duration(escalated*float64(second.Duration))
	cost := charge(request, first) + escalated*charge(request, second) + delayCost(request, delay)
	quality := keptQuality + escalated*after.Lower - margin*kept
	return Plan{
		First:     first.Version,
		Second:    second.Version,
		Threshold: threshold,
		Quality:   quality,
		Cost:      pricer.Money(cost),
		Reason:    fmt.Sprintf("cascade %s then %s below %.1f, quality at least %.3f", first.Version.ID, second.Version.ID, threshold, quality),
	}
}

// unexplored returns a single plan of a version with few ratings.
func unexplored(plans []Plan, candidates []Candidate, draw float64) (Plan, bool) {
	var unknown []Plan
	for i, candidate := range candidates {
		if candidate.Quality.Count < explored {
			plan := plans[i]
			plan.Reason = "exploring " + candidate.Version.ID.String()
			unknown = append(unknown, plan)
		}
	}
	if len(unknown) == 0 {
		return Plan{}, false
	}
	return unknown[min(len(unknown)-1, int(draw*float64(len(unknown))))], true
}

// mix meets the goal on average with the two neighbouring plans of the lower
// convex hull of cost over quality. A mix of two plans costs less than the
// cheapest single plan that meets the goal, since the goal lies between them.
func mix(plans []Plan, goal, draw float64) Plan {
	hull := lowerHull(plans)
	if goal <= hull[0].Quality {
		return hull[0]
	}
	for i := 1; i < len(hull); i++ {
		low, high := hull[i-1], hull[i]
		if goal > high.Quality {
			continue
		}
		share := (goal - low.Quality) / (high.Quality - low.Quality)
		if draw < share {
			return high
		}
		return low
	}
	return hull[len(hull)-1]
}

// lowerHull returns the plans on the lower convex hull, from the cheapest to
// the best. It holds at least one plan.
func lowerHull(plans []Plan) []Plan {
	sorted := slices.Clone(plans)
	slices.SortStableFunc(sorted, func(a, b Plan) int {
		if order := cmp.Compare(a.Cost, b.Cost); order != 0 {
			return order
		}
		return cmp.Compare(b.Quality, a.Quality)
	})
	var hull []Plan
	best := math.Inf(-1)
	for _, plan := range sorted {
		if plan.Quality <= best {
			continue
		}
		best = plan.Quality
		for len(hull) >= 2 && !turnsUp(hull[len(hull)-2], hull[len(hull)-1], plan) {
			hull = hull[:len(hull)-1]
		}
		hull = append(hull, plan)
	}
	return hull
}

// turnsUp reports whether the middle plan lies below the line from a to c.
func turnsUp(a, b, c Plan) bool {
	left := float64(b.Cost-a.Cost) * (c.Quality - b.Quality)
	right := float64(c.Cost-b.Cost) * (b.Quality - a.Quality)
	return left < right
}
