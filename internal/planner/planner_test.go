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
		Version:  &compiler.Version{ID: compiler.VersionID{Model: name, Version: "v"}, Price: pricer.Price{Input: 1, Output: pricer.Money(price)}, PriorRating: quality},
		Quality:  estimator.Estimate{Count: 1000, Mean: quality, Lower: quality, Upper: quality},
		Output:   100,
		Duration: time.Second,
	}
}

func request(target float64) planner.Request {
	return planner.Request{
		Policy: &compiler.Policy{MinRating: target}, Input: 10, Left: time.Minute,
		Escalated: func(_, second *compiler.Version) estimator.Estimate {
			return estimator.Estimate{Mean: second.PriorRating, Lower: second.PriorRating}
		},
	}
}

func TestChooseMeetsTheGoalOnAverageAndTakesOnlyCandidates(t *testing.T) {
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

func TestChoose(t *testing.T) {
	cheap, dear := candidate("cheap", 1, 0.7), candidate("dear", 50, 0.95)
	cheap.Quality.Histogram = make([]float64, 20)
	cheap.Quality.Histogram[4], cheap.Quality.Histogram[18] = 0.3, 0.7
	rows := map[string]struct {
		change func(*planner.Request)
		want   string
	}{
		"a cascade where there is time":       {func(r *planner.Request) { r.Rating = 100 * time.Millisecond }, "cheap@v+dear@v"},
		"no cascade close to the deadline":    {func(r *planner.Request) { r.Rating, r.Left = 100*time.Millisecond, 2*time.Second }, "dear@v"},
		"no cascade without the rater":        {func(*planner.Request) {}, "dear@v"},
		"no cascade in a conversation":        {func(r *planner.Request) { r.Rating, r.Sticky = 100*time.Millisecond, true }, "dear@v"},
		"the cheap one for a low target":      {func(r *planner.Request) { r.Policy.MinRating = 0.6 }, "cheap@v"},
		"no cascade where latency costs much": {func(r *planner.Request) { r.Rating, r.Policy.LatencyPrice = 100*time.Millisecond, 100_000 }, "dear@v"},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			r := request(0.93)
			row.change(&r)
			plan, _ := planner.Choose(r, []planner.Candidate{cheap, dear}, 0.5)
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
