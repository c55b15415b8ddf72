package planner_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/estimator"
	"quetzalgrade.example/quetzalgrade/internal/planner"
	"quetzalgrade.example/quetzalgrade/internal/pricer"
	"quetzalgrade.example/quetzalgrade/internal/repeater"
)

func candidate(name string, price int64, quality float64) planner.Candidate {
	return planner.Candidate{
		Version:      &compiler.Version{ID: compiler.VersionID{Model: name, Version: "v"}, Price: pricer.Price{Input: 1, Output: pricer.Money(price)}, PriorRating: quality},
		Quality:      estimator.Estimate{Count: 1000, Mean: quality, Lower: quality, Upper: quality},
		OutputTokens: 100,
		Duration:     time.Second,
	}
}

func request(target float64) planner.Request {
	return planner.Request{
		Policy: &compiler.Policy{MinRating: target}, InputTokens: 10, TimeLeft: time.Minute,
		EscalatedQuality: func(_, second *compiler.Version) estimator.Estimate {
			return estimator.Estimate{Mean: second.PriorRating, Lower: second.PriorRating}
		},
	}
}

// TestChooseMeetsQualityGoalOnAverage guards against a mix whose mean quality is
// below the target although a candidate reaches it, and against plans with
// versions that are not among the candidates.
func TestChooseMeetsQualityGoalOnAverage(t *testing.T) {
	repeater.Check(t, func(t *rapid.T) {
		var candidates []planner.Candidate
		known := map[*compiler.Version]bool{}
		best := 0.0
		for i := range rapid.IntRange(1, 5).Draw(t, "candidates") {
			c := candidate(fmt.Sprint(i), int64(rapid.IntRange(1, 100).Draw(t, "price")), rapid.Float64Range(0.3, 0.99).Draw(t, "quality"))
			candidates = append(candidates, c)
			known[c.Version] = true
			best = max(best, c.Quality.Lower)
		}
		target := rapid.Float64Range(0.3, 0.99).Draw(t, "target")
		mean := 0.0
		const draws = 400
		for i := range draws {
			plan, ok := planner.Choose(request(target), candidates, (float64(i)+0.5)/draws)
			if !ok || !known[plan.First] {
				t.Fatalf("plan got %+v, want one of the candidates", plan)
			}
			mean += plan.Quality / draws
		}
		if want := min(target, best) - 0.01; mean < want {
			t.Fatalf("mean quality got %.3f, want at least %.3f", mean, want)
		}
	})
}

// TestChoose guards against cascades that miss the deadline, run without a rater
// or in a conversation, or cost more than the larger version alone, and against an
// expensive version for a low target.
func TestChoose(t *testing.T) {
	cheap, expensive := candidate("cheap", 1, 0.7), candidate("expensive", 50, 0.95)
	cheap.Quality.Histogram = make([]float64, 20)
	cheap.Quality.Histogram[4], cheap.Quality.Histogram[18] = 0.3, 0.7
	rows := map[string]struct {
		change func(*planner.Request)
		want   string
	}{
		"cascade when there is time":                     {func(r *planner.Request) { r.RatingDuration = 100 * time.Millisecond }, "cheap@v+expensive@v"},
		"no cascade close to the deadline":               {func(r *planner.Request) { r.RatingDuration, r.TimeLeft = 100*time.Millisecond, 2*time.Second }, "expensive@v"},
		"no cascade when the rater is unreachable":       {func(*planner.Request) {}, "expensive@v"},
		"no cascade in a conversation":                   {func(r *planner.Request) { r.RatingDuration, r.Sticky = 100*time.Millisecond, true }, "expensive@v"},
		"cheap version for a low target":                 {func(r *planner.Request) { r.Policy.MinRating = 0.6 }, "cheap@v"},
		"no cascade when the policy prices delay highly": {func(r *planner.Request) { r.RatingDuration, r.Policy.LatencyPrice = 100*time.Millisecond, 100_000 }, "expensive@v"},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			r := request(0.93)
			row.change(&r)
			plan, _ := planner.Choose(r, []planner.Candidate{cheap, expensive}, 0.5)
			got := plan.First.ID.String()
			if plan.Second != nil {
				got += "+" + plan.Second.ID.String()
			}
			if got != row.want {
				t.Errorf("plan got %s (%s), want %s", got, plan.Reason, row.want)
			}
		})
	}
}
