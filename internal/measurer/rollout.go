package measurer

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/stager"
	"quetzalgrade.example/quetzalgrade/internal/tester"
)

// RolloutMethod is a method of deciding whether a rollout advances or stops.
type RolloutMethod int

// The rollout methods.
const (
	// Sequential is the sequential test that daemons use. It exposes users only
	// after shadow requests have given enough evidence.
	Sequential RolloutMethod = iota
	// SequentialWithoutShadows is the sequential test without shadow requests.
	SequentialWithoutShadows
	// FixedStages advances after a fixed number of requests per stage and
	// evaluates the ratings only at the end of the last stage.
	FixedStages
	// FixedSample runs a fixed-sample test once at the end of each stage.
	FixedSample
)

// String returns the method's name as the tables show it.
func (m RolloutMethod) String() string {
	return [...]string{"sequential test, copies first", "sequential test", "fixed stages, no test", "fixed-sample test"}[m]
}

// RolloutResult is the outcome of one simulated rollout.
type RolloutResult struct {
	// Exposed is the number of users that the new version served before it was
	// stopped or accepted.
	Exposed int
	// Requests is the number of requests before the stop or acceptance.
	Requests int
	// Shadows is the number of requests that were also sent to the new version
	// as shadow requests.
	Shadows  int
	Stopped  bool
	Accepted bool
}

const (
	rolloutDaemons   = 6
	rolloutTolerance = 0.02
	// ratingDelayRequests is the number of requests after which a rating arrives.
	ratingDelayRequests = 40
	// controlShare is the share of the old version's responses that is rated.
	controlShare = 0.5
	// shadowShare is the share of requests that get a shadow request.
	shadowShare = 0.02
	// decisionIntervalRequests is the number of requests between two evaluations
	// of the pooled evidence of all daemons.
	decisionIntervalRequests = 50
	// fixedStageRequests is the number of requests in a stage of FixedStages and
	// FixedSample.
	fixedStageRequests = 4000
	// fixedSampleZ is the one-sided normal quantile of the fixed-sample test, at
	// a significance level of 1%.
	fixedSampleZ = 2.326
	maxRequests  = 200_000
)

var rolloutStages = []float64{0.01, 0.05, 0.25, 0.5}

// pendingRating is a rating that arrives with the request numbered dueRequest.
type pendingRating struct {
	dueRequest int
	daemon     int
	treatment  bool
	score      float64
	// paired is set for the rating of a shadow request. controlScore is then the
	// old version's rating for the same prompt.
	paired       bool
	controlScore float64
}

// rolloutSimulation simulates one rollout with the decision code that daemons
// use.
type rolloutSimulation struct {
	rollout          compiler.Rollout
	method           RolloutMethod
	random           *rand.Rand
	oldMean, newMean float64
	comparisons      []*tester.Comparison
	pending          []pendingRating
	controlStats     ratingStats
	treatmentStats   ratingStats
	result           RolloutResult
	// exposureAllowed is set once the new version may serve users.
	exposureAllowed bool
}

type ratingStats struct{ count, sum, sumOfSquares float64 }

func (s *ratingStats) add(value float64) {
	s.count++
	s.sum += value
	s.sumOfSquares += value * value
}

func (s *ratingStats) mean() float64 { return s.sum / max(1, s.count) }

func (s *ratingStats) varianceOfMean() float64 {
	return max(0.0025, s.sumOfSquares/max(1, s.count)-s.mean()*s.mean()) / max(1, s.count)
}

// SimulateRollout simulates one rollout in which the new version's mean rating
// is lower than the old version's by drop.
func SimulateRollout(method RolloutMethod, drop float64, seed uint64) RolloutResult {
	t := &rolloutSimulation{
		rollout: compiler.Rollout{
			Name: "trial", From: compiler.VersionID{Model: "m", Version: "old"}, To: compiler.VersionID{Model: "m", Version: "new"},
			Stages: rolloutStages, Running: true, MaxPeople: maxRequests, Tolerance: rolloutTolerance, SkipShadowing: method != Sequential,
		},
		method:          method,
		random:          rand.New(rand.NewPCG(seed, uint64(method)+1)),
		oldMean:         0.8,
		newMean:         0.8 - drop,
		exposureAllowed: method != Sequential,
	}
	for range rolloutDaemons {
		t.comparisons = append(t.comparisons, tester.New(rolloutTolerance))
	}
	for !t.result.Stopped && !t.result.Accepted && t.result.Requests < maxRequests {
		t.simulateRequest(seed)
	}
	return t.result
}

// simulateRequest serves one user's request, records the ratings that are due
// and, at each decision interval, decides how the rollout continues.
func (t *rolloutSimulation) simulateRequest(seed uint64) {
	number := t.result.Requests
	t.result.Requests++
	user := strconv.FormatUint(seed, 10) + "/" + strconv.Itoa(number)
	exposed := t.exposureAllowed && stager.Selected(&t.rollout, "account", user, 0)
	if exposed {
		t.result.Exposed++
	}
	if t.method == Sequential && !exposed && t.random.Float64() < shadowShare {
		t.result.Shadows++
		t.pending = append(t.pending, pendingRating{dueRequest: number + ratingDelayRequests, daemon: t.random.IntN(rolloutDaemons), score: t.drawScore(true, user), paired: true, controlScore: t.drawScore(false, user)})
	}
	if exposed || t.random.Float64() < controlShare {
		t.pending = append(t.pending, pendingRating{dueRequest: number + ratingDelayRequests, daemon: t.random.IntN(rolloutDaemons), treatment: exposed, score: t.drawScore(exposed, user)})
	}
	for len(t.pending) > 0 && t.pending[0].dueRequest <= number {
		t.recordRating(t.pending[0])
		t.pending = t.pending[1:]
	}
	if number%decisionIntervalRequests == 0 {
		t.decide(number)
	}
}

var simulatedQualities = faker.NewQualities(nil)

func (t *rolloutSimulation) drawScore(treatment bool, prompt string) float64 {
	mean := t.oldMean
	if treatment {
		mean = t.newMean
	}
	version := fmt.Sprintf("m@%.3f", mean)
	simulatedQualities.Set(version, mean)
	return simulatedQualities.Score(version, prompt)
}

func (t *rolloutSimulation) recordRating(r pendingRating) {
	switch {
	case r.paired:
		t.comparisons[r.daemon].AddPair(r.score, r.controlScore)
	case r.treatment:
		t.treatmentStats.add(r.score)
		t.comparisons[r.daemon].AddTreatment(r.score)
	default:
		t.controlStats.add(r.score)
		t.comparisons[r.daemon].AddControl(r.score)
	}
}

func (t *rolloutSimulation) decide(number int) {
	switch t.method {
	case Sequential, SequentialWithoutShadows:
		pooled, control := tester.Evidence{}, tester.RatingSums{}
		for _, comparison := range t.comparisons {
			pooled = pooled.Add(comparison.Evidence())
			control = control.Add(comparison.ControlSums())
		}
		for _, comparison := range t.comparisons {
			own := comparison.ControlSums()
			comparison.SetOtherControl(control.Add(tester.RatingSums{Count: -own.Count, Sum: -own.Sum, SumOfSquares: -own.SumOfSquares}))
		}
		t.exposureAllowed = stager.ExposureAllowed(&t.rollout, pooled)
		t.applyAction(stager.Decide(&t.rollout, pooled).Action)
	case FixedStages, FixedSample:
		if number > 0 && number%fixedStageRequests == 0 {
			t.applyAction(t.decideAtStageEnd())
		}
	}
}

// decideAtStageEnd returns the action of the baselines FixedStages and
// FixedSample at the end of a stage.
func (t *rolloutSimulation) decideAtStageEnd() stager.Action {
	last := t.rollout.Stage == len(t.rollout.Stages)-1
	if t.method == FixedStages && !last {
		return stager.Advance
	}
	loss := t.controlStats.mean() - t.treatmentStats.mean() - rolloutTolerance
	deviation := fixedSampleZ * sqrt(t.controlStats.varianceOfMean()+t.treatmentStats.varianceOfMean())
	switch {
	case loss > deviation:
		return stager.Stop
	case last:
		return stager.Finish
	default:
		return stager.Advance
	}
}

func (t *rolloutSimulation) applyAction(action stager.Action) {
	switch action {
	case stager.Advance:
		t.rollout.Stage++
	case stager.Stop:
		t.result.Stopped = true
	case stager.Finish:
		t.result.Accepted = true
	case stager.KeepStage:
	}
}
