package commander

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/runner"
)

// TestColdBounds guards against a daemon that does not start where the platform has no bounds for
// cold endpoints, against one that drops a fraction, and against numbers that bound nothing.
func TestColdBounds(t *testing.T) {
	rows := map[string]struct {
		factor, margin         string
		wantFactor, wantMargin float64
		wantError              bool
	}{
		"not given":         {"", "", 1.5, 2, false},
		"whole numbers":     {"2", "5", 2, 5, false},
		"fractions":         {"1.25", "4.5", 1.25, 4.5, false},
		"only one":          {"", "5", 1.5, 5, false},
		"factor of 0":       {"0", "0", 1.5, 0, false},
		"negative factor":   {"-1", "5", 0, 0, true},
		"factor too high":   {"11", "5", 0, 0, true},
		"negative margin":   {"1.5", "-5", 0, 0, true},
		"not a number":      {"1.5", "NaN", 0, 0, true},
		"infinite":          {"1.5", "Inf", 0, 0, true},
		"text":              {"much", "", 0, 0, true},
		"placeholder stays": {"{{bounds}}", "", 0, 0, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			bounds, err := parseColdBounds(row.factor, row.margin)
			if (err != nil) != row.wantError {
				t.Fatalf("parseColdBounds() got error %v, want one: %t", err, row.wantError)
			}
			if err != nil {
				return
			}
			settings := runner.Settings{ColdFactor: 1.5, ColdMargin: 2}
			bounds.apply(&settings)
			if settings.ColdFactor != row.wantFactor || settings.ColdMargin != row.wantMargin {
				t.Errorf("apply() got %v and %v, want %v and %v", settings.ColdFactor, settings.ColdMargin, row.wantFactor, row.wantMargin)
			}
		})
	}
}

// TestColdBoundsKeepFractions guards against a bound that is loosened or tightened because its
// fraction is dropped.
func TestColdBoundsKeepFractions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := rapid.Float64Range(0.5, 10).Draw(t, "cold factor")
		margin := rapid.Float64Range(0, 1e6).Draw(t, "cold margin")
		bounds, err := parseColdBounds(strconv.FormatFloat(factor, 'g', -1, 64), strconv.FormatFloat(margin, 'g', -1, 64))
		if err != nil {
			t.Fatalf("parseColdBounds() got error %v, want nil", err)
		}
		var settings runner.Settings
		bounds.apply(&settings)
		if settings.ColdFactor != factor || settings.ColdMargin != margin {
			t.Errorf("apply() got %v and %v, want %v and %v", settings.ColdFactor, settings.ColdMargin, factor, margin)
		}
	})
}
