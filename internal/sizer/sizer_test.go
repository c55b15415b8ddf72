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
		question sizer.Question
		size     int
		keep     bool
	}{
		"a sure small model is kept": {
			sizer.Question{Costs: costs, Looks: []sizer.Look{{Size: 0, Confidence: 90}}, Runs: 2}, 0, true,
		},
		"a hopeless one gives way to the largest": {
			sizer.Question{Costs: costs, Looks: []sizer.Look{{Size: 0, Confidence: 5}}, Runs: 2}, 2, false,
		},
		"a near miss gives way to the middle": {
			sizer.Question{Costs: costs, Looks: []sizer.Look{{Size: 0, Confidence: 49}}, Runs: 2}, 1, false,
		},
		"without another run it is kept": {
			sizer.Question{Costs: costs, Looks: []sizer.Look{{Size: 0, Confidence: 5}}}, 0, true,
		},
		"the largest is kept": {
			sizer.Question{Costs: costs, Looks: []sizer.Look{{Size: 2, Confidence: 1}}, Runs: 2}, 2, true,
		},
		"under pressure a doubtful answer is kept": {
			sizer.Question{Costs: costs, Looks: []sizer.Look{{Size: 0, Confidence: 45}}, Runs: 1, Pressure: 1}, 0, true,
		},
		"one size has no choice": {
			sizer.Question{Costs: costs[:1], Looks: []sizer.Look{{Size: 0, Confidence: 1}}, Runs: 2}, 0, true,
		},
		"models without prices": {
			sizer.Question{Costs: []float64{0, 0}, Looks: []sizer.Look{{Size: 0, Confidence: 10}}, Runs: 1}, 1, false,
		},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			size, keep := sizer.Next(row.question)
			if size != row.size || keep != row.keep {
				t.Errorf("Next() got %d, %t, want %d, %t", size, keep, row.size, row.keep)
			}
		})
	}
}

func TestMorePressureNeverAsksForALargerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		question := sizer.Question{
			Costs:    costs,
			Looks:    []sizer.Look{{Size: rapid.IntRange(0, 2).Draw(t, "size"), Confidence: rapid.IntRange(0, 100).Draw(t, "confidence")}},
			Runs:     rapid.IntRange(0, 3).Draw(t, "runs"),
			Pressure: rapid.Float64Range(0, 1).Draw(t, "pressure"),
		}
		_, keep := sizer.Next(question)
		question.Pressure += rapid.Float64Range(0, 1).Draw(t, "more")
		if _, keepMore := sizer.Next(question); keep && !keepMore {
			t.Errorf("Next() with more pressure got another run, want the answer kept")
		}
	})
}

func TestALargerModelThatWouldBeLateIsNotAsked(t *testing.T) {
	question := sizer.Question{
		Costs: costs,
		Looks: []sizer.Look{{Size: 0, Confidence: 20}},
		Runs:  1,
		InTime: []float64{
			sizer.InTime(50*time.Millisecond, time.Second),
			sizer.InTime(300*time.Millisecond, time.Second),
			sizer.InTime(3*time.Second, time.Second),
		},
	}
	if size, keep := sizer.Next(question); keep || size != 1 {
		t.Errorf("Next() got %d, %t, want the middle size", size, keep)
	}
}
