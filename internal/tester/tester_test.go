package tester_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/tester"
)

// bernoulli returns a rating of 0 or 1 with the given mean. Such ratings have the
// largest variance that ratings can have.
func bernoulli(random *rand.Rand, mean float64) float64 {
	if random.Float64() < mean {
		return 1
	}
	return 0
}

const tolerance = 0.05

// countCrossings returns the number of trials in which the log wealth reaches the
// bound at any rating.
func countCrossings(trials, ratings int, newMean, oldMean, bound float64) int {
	count := 0
	for trial := range trials {
		random := rand.New(rand.NewPCG(uint64(trial), 5))
		comparison := tester.New(tolerance)
		for range 2000 {
			comparison.AddControl(bernoulli(random, oldMean))
		}
		for range ratings {
			comparison.AddTreatment(bernoulli(random, newMean))
			if comparison.Evidence().WorseLogWealth() >= bound {
				count++
				break
			}
		}
	}
	return count
}

// A test that is checked after each rating may reject a good version by chance
// more often than its risk of 0.01 allows. The loss here equals the tolerance,
// which is the hardest case.
func TestFalseVerdictsStayWithinRisk(t *testing.T) {
	const trials = 400
	// The evidence is checked after each rating.
	if got := countCrossings(trials, 1500, 0.75, 0.8, -math.Log(0.01)); got > trials/100 {
		t.Errorf("false verdicts got %d of %d, want at most %d", got, trials, trials/100)
	}
}

// A test with too little power would not stop a bad rollout. A version whose mean
// rating is lower by 0.2 must be found in at least 95 of 100 trials.
func TestWorseVersionIsDetected(t *testing.T) {
	const trials = 100
	if got := countCrossings(trials, 1500, 0.6, 0.8, -math.Log(0.01)); got < trials*95/100 {
		t.Errorf("verdicts got %d of %d, want at least %d", got, trials, trials*95/100)
	}
}

// Daemons add up their evidence. If the sum differed from the evidence of all
// ratings in one place, verdicts would depend on how requests are distributed.
func TestPooledEvidenceEqualsEvidenceOfAllRatings(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	whole, first, second := tester.New(tolerance), tester.New(tolerance), tester.New(tolerance)
	for i := range 400 {
		newScore, oldScore := random.Float64(), random.Float64()
		whole.AddPair(newScore, oldScore)
		if i%2 == 0 {
			first.AddPair(newScore, oldScore)
		} else {
			second.AddPair(newScore, oldScore)
		}
	}
	got := first.Evidence().Add(second.Evidence())
	want := whole.Evidence()
	if got.Count != want.Count || math.Abs(got.WorseLogWealth()-want.WorseLogWealth()) > 1e-9 || math.Abs(got.BetterLogWealth()-want.BetterLogWealth()) > 1e-9 {
		t.Errorf("pooled evidence got %+v, want %+v", got, want)
	}
}

// A version that becomes worse after a long good history must raise an alarm, and
// a version that does not change must raise none.
func TestDriftDetector(t *testing.T) {
	rows := map[string]struct {
		meanAfter float64
		want      bool
	}{
		"unchanged ratings": {0.8, false},
		"worse ratings":     {0.5, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 3))
			drift := &tester.DriftDetector{}
			alarms := 0
			for i := range 6000 {
				mean := 0.8
				if i >= 3000 {
					mean = row.meanAfter
				}
				if drift.Observe(bernoulli(random, mean)) {
					alarms++
				}
			}
			if got := alarms > 0; got != row.want {
				t.Errorf("alarms got %d, want some: %v", alarms, row.want)
			}
		})
	}
}
