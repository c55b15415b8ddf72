package sizer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/sizer"
)

var costs = []float64{0.016, 0.12, 0.24}

func TestNext(t *testing.T) {
	rows := map[string]struct {
		question sizer.Cascade
		size     int
		keep     bool
	}{
		"a sure small model is kept": {
			sizer.Cascade{Costs: costs, Steps: []sizer.Step{{Size: 0, Confidence: 90}}, RemainingSteps: 2}, 0, true,
		},
		"a hopeless one gives way to the largest": {
			sizer.Cascade{Costs: costs, Steps: []sizer.Step{{Size: 0, Confidence: 5}}, RemainingSteps: 2}, 2, false,
		},
		"a near miss gives way to the middle": {
			sizer.Cascade{Costs: costs, Steps: []sizer.Step{{Size: 0, Confidence: 49}}, RemainingSteps: 2}, 1, false,
		},
		"without another run it is kept": {
			sizer.Cascade{Costs: costs, Steps: []sizer.Step{{Size: 0, Confidence: 5}}}, 0, true,
		},
		"the largest is kept": {
			sizer.Cascade{Costs: costs, Steps: []sizer.Step{{Size: 2, Confidence: 1}}, RemainingSteps: 2}, 2, true,
		},
		"under pressure a doubtful answer is kept": {
			sizer.Cascade{Costs: costs, Steps: []sizer.Step{{Size: 0, Confidence: 45}}, RemainingSteps: 1, Pressure: 1}, 0, true,
		},
		"one size has no choice": {
			sizer.Cascade{Costs: costs[:1], Steps: []sizer.Step{{Size: 0, Confidence: 1}}, RemainingSteps: 2}, 0, true,
		},
		"models without prices": {
			sizer.Cascade{Costs: []float64{0, 0}, Steps: []sizer.Step{{Size: 0, Confidence: 10}}, RemainingSteps: 1}, 1, false,
		},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			size, keep := sizer.NextSize(row.question)
			if size != row.size || keep != row.keep {
				t.Errorf("Next() got %d, %t, want %d, %t", size, keep, row.size, row.keep)
			}
		})
	}
}

func TestMorePressureNeverAsksForALargerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		question := sizer.Cascade{
			Costs:          costs,
			Steps:          []sizer.Step{{Size: rapid.IntRange(0, 2).Draw(t, "size"), Confidence: rapid.IntRange(0, 100).Draw(t, "confidence")}},
			RemainingSteps: rapid.IntRange(0, 3).Draw(t, "runs"),
			Pressure:       rapid.Float64Range(0, 1).Draw(t, "pressure"),
		}
		_, keep := sizer.NextSize(question)
		question.Pressure += rapid.Float64Range(0, 1).Draw(t, "more")
		if _, keepMore := sizer.NextSize(question); keep && !keepMore {
			t.Errorf("Next() with more pressure got another run, want the answer kept")
		}
	})
}

func TestALargerModelThatWouldBeLateIsNotAsked(t *testing.T) {
	question := sizer.Cascade{
		Costs:          costs,
		Steps:          []sizer.Step{{Size: 0, Confidence: 20}},
		RemainingSteps: 1,
		OnTimeProbabilities: []float64{
			sizer.OnTimeProbability(50*time.Millisecond, time.Second),
			sizer.OnTimeProbability(300*time.Millisecond, time.Second),
			sizer.OnTimeProbability(3*time.Second, time.Second),
		},
	}
	if size, keep := sizer.NextSize(question); keep || size != 1 {
		t.Errorf("Next() got %d, %t, want the middle size", size, keep)
	}
}
