// Package planner chooses the model and version of a request. It looks for the
// mix of plans that meets the account's quality target at the lowest expected
// cost. Its functions are pure: estimates, time left and randomness are arguments.
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
	// OutputTokens is the expected number of output tokens.
	OutputTokens float64
	// Duration is the expected duration of a response.
	Duration time.Duration
}

// Request holds the properties of a request that its plan depends on.
type Request struct {
	Account string
	Policy  *compiler.Policy
	// InputTokens is the number of input tokens.
	InputTokens int
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// RatingDuration is the expected duration of an inline rating. It is 0 when
	// the rater is unreachable, which rules out cascades.
	RatingDuration time.Duration
	// DeliveredQuality is the recent mean rating of the account's responses, and
	// DeliveredRatings is the number of ratings that it is computed from.
	DeliveredQuality float64
	DeliveredRatings float64
	// Sticky is set for a turn of a conversation and rules out cascades.
	Sticky bool
	// EscalatedQuality returns the quality estimate of a cascade's second
	// response.
	EscalatedQuality func(first, second *compiler.Version) estimator.Estimate
}

// Plan is a single version or a cascade.
type Plan struct {
	First *compiler.Version
	// Second is nil for a single version.
	Second *compiler.Version
	// Threshold is the rating of the first response below which the request is
	// escalated to the second version.
	Threshold float64
	// Quality is the expected quality in [0, 1], computed from lower bounds.
	Quality float64
	// Cost is the expected cost of the tokens and of the delay.
	Cost pricer.Money
	// Reason explains the choice to operators.
	Reason string
}

// thresholds are the rating thresholds that cascades are planned with.
var thresholds = []float64{0.3, 0.4, 0.5, 0.6, 0.65, 0.7, 0.75, 0.8, 0.85, 0.9, 0.95}

const (
	// goalGain is the factor by which a shortfall of delivered quality raises the
	// quality goal.
	goalGain = 2
	// maxCorrection is the maximum distance of the quality goal from the target.
	maxCorrection = 0.08
	// fullTrustRatings is the number of ratings from which on the delivered mean
	// has full weight.
	fullTrustRatings = 200
	// exploreShare is the share of requests that go to a version with few ratings,
	// since that version may be cheaper.
	exploreShare = 0.02
	// exploredRatings is the number of ratings at which the exploration of a
	// version ends.
	exploredRatings = 60
)

// QualityGoal returns the mean quality to plan for. This is the account's target,
// raised while the delivered quality is below the target and lowered while it is
// above.
func QualityGoal(request Request) float64 {
	target := request.Policy.MinRating
	trust := min(1, request.DeliveredRatings/fullTrustRatings)
	correction := goalGain * trust * (target - request.DeliveredQuality)
	if request.DeliveredRatings == 0 {
		correction = 0
	}
	return target + min(maxCorrection, max(-maxCorrection, correction))
}

// Choose returns a plan for the request. The draw, a random number in [0, 1),
// decides whether to explore and which plan of a mix is chosen. Choose returns
// false if there is no candidate.
func Choose(request Request, candidates []Candidate, draw float64) (Plan, bool) {
	plans := feasiblePlans(request, candidates)
	if len(plans) == 0 {
		return Plan{}, false
	}
	if draw < exploreShare {
		if plan, ok := explorationPlan(plans, candidates, draw/exploreShare); ok {
			return plan, true
		}
	}
	return mixPlans(plans, QualityGoal(request), draw), true
}

// feasiblePlans returns a single plan for each candidate, in the same order,
// followed by the cascades that fit the deadline.
func feasiblePlans(request Request, candidates []Candidate) []Plan {
	var plans []Plan
	for _, candidate := range candidates {
		plans = append(plans, singlePlan(request, candidate))
	}
	if request.RatingDuration <= 0 || request.Sticky {
		return plans
	}
	for _, first := range candidates {
		for _, second := range candidates {
			if !cascadeFeasible(request, first, second) {
				continue
			}
			for _, threshold := range thresholds {
				plans = append(plans, cascadePlan(request, first, second, threshold))
			}
		}
	}
	return plans
}

// cascadeDeadlineShare is the maximum share of the time left that a cascade is
// expected to take.
const cascadeDeadlineShare = 0.8

func cascadeFeasible(request Request, first, second Candidate) bool {
	if len(first.Quality.Histogram) == 0 || first.Version == second.Version {
		return false
	}
	total := first.Duration + request.RatingDuration + second.Duration
	fits := float64(total) <= cascadeDeadlineShare*float64(request.TimeLeft)
	return fits && tokenCost(request, first) < tokenCost(request, second)
}

func tokenCost(request Request, candidate Candidate) float64 {
	return float64(candidate.Version.Price.Input)*float64(request.InputTokens) + float64(candidate.Version.Price.Output)*candidate.OutputTokens
}

func singlePlan(request Request, candidate Candidate) Plan {
	return Plan{
		First:   candidate.Version,
		Quality: candidate.Quality.Lower,
		Cost:    pricer.Money(tokenCost(request, candidate) + delayCost(request, candidate.Duration)),
		Reason:  fmt.Sprintf("single %s, quality at least %.3f", candidate.Version.ID, candidate.Quality.Lower),
	}
}

func delayCost(request Request, delay time.Duration) float64 {
	return float64(request.Policy.LatencyPrice) * delay.Seconds()
}

func cascadePlan(request Request, first, second Candidate, threshold float64) Plan {
	histogram := first.Quality.Histogram
	keptShare, keptQuality := 0.0, 0.0
	for i, share := range histogram {
		score := (float64(i) + 0.5) / float64(len(histogram))
		if score >= threshold {
			keptShare += share
			keptQuality += share * score
		}
	}
	margin := first.Quality.Mean - first.Quality.Lower
	escalatedQuality := request.EscalatedQuality(first.Version, second.Version)
	escalatedShare := 1 - keptShare
	delay := first.Duration + request.RatingDuration + time.Duration(escalatedShare*float64(second.Duration))
	cost := tokenCost(request, first) + escalatedShare*tokenCost(request, second) + delayCost(request, delay)
	quality := keptQuality + escalatedShare*escalatedQuality.Lower - margin*keptShare
	return Plan{
		First:     first.Version,
		Second:    second.Version,
		Threshold: threshold,
		Quality:   quality,
		Cost:      pricer.Money(cost),
		Reason:    fmt.Sprintf("cascade %s then %s below %.1f, quality at least %.3f", first.Version.ID, second.Version.ID, threshold, quality),
	}
}

// explorationPlan returns a single plan for a version with few ratings. It
// returns false if there is no such version.
func explorationPlan(plans []Plan, candidates []Candidate, draw float64) (Plan, bool) {
	var underexplored []Plan
	for i, candidate := range candidates {
		if candidate.Quality.Count < exploredRatings {
			plan := plans[i]
			plan.Reason = "exploring " + candidate.Version.ID.String()
			underexplored = append(underexplored, plan)
		}
	}
	if len(underexplored) == 0 {
		return Plan{}, false
	}
	return underexplored[min(len(underexplored)-1, int(draw*float64(len(underexplored))))], true
}

// mixPlans chooses between two neighbouring plans on the lower convex hull of
// cost over quality, so that the goal is met on average. The goal lies between
// the qualities of the two plans, so the mix costs less than the cheapest single
// plan that meets the goal.
func mixPlans(plans []Plan, goal, draw float64) Plan {
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

// lowerHull returns the plans on the lower convex hull of cost over quality, from
// the cheapest plan to the one with the highest quality. It returns at least one
// plan.
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
		for len(hull) >= 2 && !isConvex(hull[len(hull)-2], hull[len(hull)-1], plan) {
			hull = hull[:len(hull)-1]
		}
		hull = append(hull, plan)
	}
	return hull
}

// isConvex reports whether plan b lies below the line from a to c.
func isConvex(a, b, c Plan) bool {
	left := float64(b.Cost-a.Cost) * (c.Quality - b.Quality)
	right := float64(c.Cost-b.Cost) * (b.Quality - a.Quality)
	return left < right
}
