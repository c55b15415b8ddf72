package promoter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/promoter"
)

// trial describes a simulated canary.
type trial struct {
	// rate is the number of results of the new version a second, over all daemons.
	rate float64
	// slowShare is the share of these results that take factor times as long, from
	// slowFrom on. A factor of 0 means slowFactor.
	slowShare float64
	factor    float64
	slowFrom  time.Duration
	// coldShare is the share of these results whose prompt is not cached, if it is
	// greater than missShare.
	coldShare float64
	// ttftOnly and paceOnly limit the slowness to one of the two times.
	ttftOnly, paceOnly bool
	// busy is set if the old version's endpoints have much to do and those of the new one
	// little.
	busy bool
}

const (
	// cachedTTFT and prefillTTFT are the expected times of the old version for a cached
	// prompt and for one that must be prefilled, missShare the share of the latter.
	cachedTTFT  = 60 * time.Millisecond
	prefillTTFT = 400 * time.Millisecond
	missShare   = 0.2
	slowFactor  = 8
)

// randomTiming returns the times of a response of the old version. misses is the share
// of prompts that must be prefilled.
func randomTiming(random *rand.Rand, misses float64) promoter.Timing {
	expected := cachedTTFT
	if random.Float64() < misses {
		expected = prefillTTFT
	}
	jitter := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * (0.5 + random.ExpFloat64()))
	}
	return promoter.Timing{TTFT: jitter(expected), ExpectedTTFT: expected, DecodePace: jitter(20 * time.Millisecond)}
}

// busyFactor returns by how much the load of an endpoint lengthens the times of a response.
// Some endpoints are idle at any time.
func busyFactor(random *rand.Rand) float64 {
	const (
		idleShare = 0.25
		meanLoad  = 2.5
	)
	if random.Float64() < idleShare {
		return 1
	}
	return 1 + meanLoad*random.ExpFloat64()
}

// slow returns the timing with some of its times lengthened.
func (tr trial) slow(timing promoter.Timing) promoter.Timing {
	factor := tr.factor
	if factor == 0 {
		factor = slowFactor
	}
	if !tr.paceOnly {
		timing.TTFT = time.Duration(factor * float64(timing.TTFT))
	}
	if !tr.ttftOnly {
		timing.DecodePace = time.Duration(factor * float64(timing.DecodePace))
	}
	return timing
}

// oldTiming returns the times of a response of the old version.
func (tr trial) oldTiming(random *rand.Rand) promoter.Timing {
	timing := randomTiming(random, missShare)
	if tr.busy {
		busy := busyFactor(random)
		timing.TTFT = time.Duration(busy * float64(timing.TTFT))
		timing.DecodePace = time.Duration(busy * float64(timing.DecodePace))
	}
	return timing
}

// run simulates the canary and returns the state in which it ends.
func (tr trial) run(random *rand.Rand) promoter.State {
	const daemons = 8
	var baselines [daemons]promoter.Baseline
	var evidence [daemons]*promoter.Evidence
	for i := range daemons {
		evidence[i] = promoter.NewEvidence()
		for range 30 {
			baselines[i].Add(tr.oldTiming(random))
		}
	}
	const step = 100 * time.Millisecond
	for at := time.Duration(0); at < order.Duration; at += step {
		var balances []promoter.Balance
		for i, daemon := range evidence {
			if random.Float64() < tr.rate*step.Seconds()/daemons {
				timing := randomTiming(random, max(missShare, tr.coldShare))
				if at >= tr.slowFrom && random.Float64() < tr.slowShare {
					timing = tr.slow(timing)
				}
				if score, ok := baselines[i].Score(timing); ok {
					daemon.AddScore(score, order, at)
				}
			}
			balances = append(balances, daemon.Balance())
		}
		view := promoter.View{Order: order, State: promoter.Canary, Elapsed: at, OldEndpoints: 8, NewEndpoints: 8,
			Balance: promoter.SumBalances(order, at, balances...)}
		if state := promoter.Decide(view); state != promoter.Canary {
			return state
		}
	}
	return promoter.Canary
}

// TestErrorRatesOfCanary bounds how often a canary ends with the wrong state, by
// simulation: a version 8 times slower must be promoted in at most 1 of 1,000, one twice
// as slow or slower in at most 1 of 100, and a good one rolled back in at most 1 of 20. A
// slow version must not pass because the old version's endpoints are busier.
func TestErrorRatesOfCanary(t *testing.T) {
	const runs = 1000
	rows := map[string]struct {
		trial trial
		want  promoter.State
		// maxWrong is the largest number of runs that may end otherwise.
		maxWrong int
	}{
		"good":                                      {trial{rate: 3}, promoter.Full, runs / 20},
		"good with few results":                     {trial{rate: 1.2}, promoter.Full, runs / 20},
		"good with cold caches":                     {trial{rate: 3, coldShare: 0.4}, promoter.Full, runs / 20},
		"slow":                                      {trial{rate: 3, slowShare: 1}, promoter.RolledBack, runs / 1000},
		"half of the results slow":                  {trial{rate: 3, slowShare: 0.5}, promoter.RolledBack, runs / 20},
		"slow, few results":                         {trial{rate: 0.6, slowShare: 1}, promoter.RolledBack, runs / 1000},
		"slow from the canary's half on":            {trial{rate: 3, slowShare: 1, slowFrom: 8 * time.Second}, promoter.RolledBack, runs / 1000},
		"slow before the first token":               {trial{rate: 3, slowShare: 1, ttftOnly: true}, promoter.RolledBack, runs / 1000},
		"slow after the first token":                {trial{rate: 3, slowShare: 1, paceOnly: true}, promoter.RolledBack, runs / 1000},
		"no results":                                {trial{}, promoter.RolledBack, 0},
		"a result every four seconds":               {trial{rate: 0.25, slowShare: 1}, promoter.RolledBack, runs / 1000},
		"good beside busy endpoints":                {trial{rate: 3, busy: true}, promoter.Full, runs / 20},
		"good beside busy endpoints, few results":   {trial{rate: 1.2, busy: true}, promoter.Full, runs / 20},
		"good, cold caches beside busy endpoints":   {trial{rate: 3, busy: true, coldShare: 0.4}, promoter.Full, runs / 20},
		"twice as slow":                             {trial{rate: 3, slowShare: 1, factor: 2}, promoter.RolledBack, runs / 100},
		"twice as slow, few results":                {trial{rate: 1.2, slowShare: 1, factor: 2}, promoter.RolledBack, runs / 100},
		"twice as slow beside busy endpoints":       {trial{rate: 3, slowShare: 1, factor: 2, busy: true}, promoter.RolledBack, runs / 100},
		"4 times slower beside busy endpoints":      {trial{rate: 3, slowShare: 1, factor: 4, busy: true}, promoter.RolledBack, runs / 100},
		"4 times slower beside busy, few results":   {trial{rate: 1.2, slowShare: 1, factor: 4, busy: true}, promoter.RolledBack, runs / 100},
		"4 times slower beside busy, many results":  {trial{rate: 10, slowShare: 1, factor: 4, busy: true}, promoter.RolledBack, runs / 100},
		"4 times slower beside busy, hardly any":    {trial{rate: 0.25, slowShare: 1, factor: 4, busy: true}, promoter.RolledBack, runs / 100},
		"first token 4 times slower, busy":          {trial{rate: 3, slowShare: 1, factor: 4, busy: true, ttftOnly: true}, promoter.RolledBack, runs / 100},
		"pace 4 times slower beside busy endpoints": {trial{rate: 3, slowShare: 1, factor: 4, busy: true, paceOnly: true}, promoter.RolledBack, runs / 100},
		"slow with many results at first":           {trial{rate: 20, slowShare: 1}, promoter.RolledBack, 0},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			wrong := 0
			for range runs {
				if row.trial.run(random) != row.want {
					wrong++
				}
			}
			t.Logf("%d of %d end otherwise", wrong, runs)
			if wrong > row.maxWrong {
				t.Errorf("canaries that end otherwise than %s got %d of %d, want at most %d", row.want, wrong, runs, row.maxWrong)
			}
		})
	}
}

// TestScoreNeedsBaseline guards against a version that counts as fast because there
// is nothing to compare it with.
func TestScoreNeedsBaseline(t *testing.T) {
	baseline := &promoter.Baseline{}
	for i := range 5 {
		if _, ok := baseline.Score(promoter.Timing{TTFT: time.Millisecond}); ok {
			t.Errorf("Score() with %d times got ok, want none", i)
		}
		baseline.Add(promoter.Timing{TTFT: time.Second})
	}
	if score, ok := baseline.Score(promoter.Timing{TTFT: time.Millisecond}); !ok || score.TTFT >= 0 {
		t.Errorf("Score() of a fast result got %v, %t, want a negative score", score, ok)
	}
}
