package sizer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/sizer"
)

var costs = []float64{0.016, 0.12, 0.24}

func TestNextSize(t *testing.T) {
	rows := map[string]struct {
		cascade sizer.Cascade
		size    int
		keep    bool
	}{
		"high confidence of the smallest model is kept": {
			sizer.Cascade{Costs: costs, Steps: []sizer.Step{{Size: 0, Confidence: 90}}, RemainingSteps: 2}, 0, true,
		},
		"very low confidence escalates to the largest model": {
			sizer.Cascade{Costs: costs, Steps: []sizer.Step{{Size: 0, Confidence: 5}}, RemainingSteps: 2}, 2, false,
		},
		"confidence just below the midpoint escalates to the middle model": {
			sizer.Cascade{Costs: costs, Steps: []sizer.Step{{Size: 0, Confidence: 49}}, RemainingSteps: 2}, 1, false,
		},
		"kept without remaining steps": {
			sizer.Cascade{Costs: costs, Steps: []sizer.Step{{Size: 0, Confidence: 5}}}, 0, true,
		},
		"response of the largest model is kept": {
			sizer.Cascade{Costs: costs, Steps: []sizer.Step{{Size: 2, Confidence: 1}}, RemainingSteps: 2}, 2, true,
		},
		"medium confidence is kept under pressure": {
			sizer.Cascade{Costs: costs, Steps: []sizer.Step{{Size: 0, Confidence: 45}}, RemainingSteps: 1, Pressure: 1}, 0, true,
		},
		"only one size": {
			sizer.Cascade{Costs: costs[:1], Steps: []sizer.Step{{Size: 0, Confidence: 1}}, RemainingSteps: 2}, 0, true,
		},
		"models without costs": {
			sizer.Cascade{Costs: []float64{0, 0}, Steps: []sizer.Step{{Size: 0, Confidence: 10}}, RemainingSteps: 1}, 1, false,
		},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			size, keep := sizer.NextSize(row.cascade)
			if size != row.size || keep != row.keep {
				t.Errorf("NextSize() got %d, %t, want %d, %t", size, keep, row.size, row.keep)
			}
		})
	}
}

// TestPressureNeverCausesEscalation guards against a cascade that adds load to
// overloaded endpoints: a response that is kept must also be kept at higher
// pressure.
func TestPressureNeverCausesEscalation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cascade := sizer.Cascade{
			Costs:          costs,
			Steps:          []sizer.Step{{Size: rapid.IntRange(0, 2).Draw(t, "size"), Confidence: rapid.IntRange(0, 100).Draw(t, "confidence")}},
			RemainingSteps: rapid.IntRange(0, 3).Draw(t, "runs"),
			Pressure:       rapid.Float64Range(0, 1).Draw(t, "pressure"),
		}
		_, keep := sizer.NextSize(cascade)
		cascade.Pressure += rapid.Float64Range(0, 1).Draw(t, "more")
		if _, keepAtHigherPressure := sizer.NextSize(cascade); keep && !keepAtHigherPressure {
			t.Errorf("NextSize() at higher pressure got another step, want the response kept")
		}
	})
}

// TestNoEscalationToALateModel guards against an escalation to a model whose
// response would begin after the target latency.
func TestNoEscalationToALateModel(t *testing.T) {
	cascade := sizer.Cascade{
		Costs:          costs,
		Steps:          []sizer.Step{{Size: 0, Confidence: 20}},
		RemainingSteps: 1,
		OnTimeProbabilities: []float64{
			sizer.OnTimeProbability(50*time.Millisecond, time.Second),
			sizer.OnTimeProbability(300*time.Millisecond, time.Second),
			sizer.OnTimeProbability(3*time.Second, time.Second),
		},
	}
	if size, keep := sizer.NextSize(cascade); keep || size != 1 {
		t.Errorf("NextSize() got %d, %t, want 1, false", size, keep)
	}
}
