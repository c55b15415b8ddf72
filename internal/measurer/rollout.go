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

// Method is a way to run a roll-out.
type Method int

// The methods.
const (
	// Sequential is the project's own test.
	Sequential Method = iota
	// Direct is the sequential test without copies of requests.
	Direct
	// FixedStages goes on after a fixed number of people a stage and looks at the
	// ratings only at the end.
	FixedStages
	// FixedSample tests once at the end of each stage.
	FixedSample
)

// String returns the method's name.
func (m Method) String() string {
	return [...]string{"sequential test, copies first", "sequential test", "fixed stages, no test", "fixed-sample test"}[m]
}

// RolloutResult is the outcome of one roll-out.
type RolloutResult struct {
	// Exposed is the number of people that saw the new version before its stop
	// or acceptance.
	Exposed int
	// Requests is the number of requests until then.
	Requests int
	// Copies is the number of requests that were copied to the new version.
	Copies   int
	Stopped  bool
	Accepted bool
}

const (
	rolloutDaemons   = 6
	rolloutTolerance = 0.02
	// ratingLag is the number of requests after which a rating arrives.
	ratingLag = 40
	// controlShare is the share of the old version's answers that is rated.
	controlShare = 0.5
	// shadowShare is the share of requests that is copied to the new version.
	shadowShare = 0.02
	// stepEvery is the number of requests between two looks at the pooled
	// evidence of all daemons.
	stepEvery = 50
	// stagePeople is the number of requests of a fixed stage.
	stagePeople = 4000
	// fixedZ is the one-sided quantile of the fixed-sample test.
	fixedZ      = 2.326
	maxRequests = 200_000
)

var rolloutStages = []float64{0.01, 0.05, 0.25, 0.5}

// rating is a rating on its way.
type rating struct {
	due    int
	daemon int
	fresh  bool
	score  float64
	// paired ratings are of a copied request, old is the other one.
	paired bool
	old    float64
}

// trial is one simulated roll-out on the project's own decision code.
type trial struct {
	rollout     compiler.Rollout
	method      Method
	random      *rand.Rand
	old, fresh  float64
	comparisons []*tester.Comparison
	pending     []rating
	oldSum      sums
	freshSum    sums
	result      RolloutResult
	// open is set once people may see the new version.
	open bool
}

type sums struct{ count, sum, squares float64 }

func (s *sums) add(value float64) {
	s.count++
	s.sum += value
	s.squares += value * value
}

func (s *sums) mean() float64 { return s.sum / max(1, s.count) }

func (s *sums) variance() float64 {
	return max(0.0025, s.squares/max(1, s.count)-s.mean()*s.mean()) / max(1, s.count)
}

// Rollout simulates one roll-out in which the new version's mean rating lies
// drop below the old one's.
func Rollout(method Method, drop float64, seed uint64) RolloutResult {
	t := &trial{
		rollout: compiler.Rollout{
			Name: "trial", From: compiler.VersionID{Model: "m", Version: "old"}, To: compiler.VersionID{Model: "m", Version: "new"},
			Stages: rolloutStages, Running: true, MaxPeople: maxRequests, Tolerance: rolloutTolerance, SkipShadowing: method != Sequential,
		},
		method: method,
		random: rand.New(rand.NewPCG(seed, uint64(method)+1)),
		old:    0.8,
		fresh:  0.8 - drop,
		open:   method != Sequential,
	}
	for range rolloutDaemons {
		t.comparisons = append(t.comparisons, tester.New(rolloutTolerance))
	}
	for !t.result.Stopped && !t.result.Accepted && t.result.Requests < maxRequests {
		t.request(seed)
	}
	return t.result
}

// request serves one person's request and delivers the ratings that are due.
func (t *trial) request(seed uint64) {
	number := t.result.Requests
	t.result.Requests++
	person := strconv.FormatUint(seed, 10) + "/" + strconv.Itoa(number)
	sees := t.open && stager.Selected(&t.rollout, "account", person, 0)
	if sees {
		t.result.Exposed++
	}
	if t.method == Sequential && !sees && t.random.Float64() < shadowShare {
		t.result.Copies++
		t.pending = append(t.pending, rating{due: number + ratingLag, daemon: t.random.IntN(rolloutDaemons), score: t.score(true, person), paired: true, old: t.score(false, person)})
	}
	if sees || t.random.Float64() < controlShare {
		t.pending = append(t.pending, rating{due: number + ratingLag, daemon: t.random.IntN(rolloutDaemons), fresh: sees, score: t.score(sees, person)})
	}
	for len(t.pending) > 0 && t.pending[0].due <= number {
		t.deliver(t.pending[0])
		t.pending = t.pending[1:]
	}
	if number%stepEvery == 0 {
		t.step(number)
	}
}

var trialQualities = faker.NewQualities(nil)

func (t *trial) score(sees bool, prompt string) float64 {
	mean := t.old
	if sees {
		mean = t.fresh
	}
	version := fmt.Sprintf("m@%.3f", mean)
	trialQualities.Set(version, mean)
	return trialQualities.Score(version, prompt)
}

func (t *trial) deliver(r rating) {
	switch {
	case r.paired:
		t.comparisons[r.daemon].AddPair(r.score, r.old)
	case r.fresh:
		t.freshSum.add(r.score)
		t.comparisons[r.daemon].AddTreatment(r.score)
	default:
		t.oldSum.add(r.score)
		t.comparisons[r.daemon].AddControl(r.score)
	}
}

func (t *trial) step(number int) {
	switch t.method {
	case Sequential, Direct:
		pooled, control := tester.Evidence{}, tester.RatingSums{}
		for _, comparison := range t.comparisons {
			pooled = pooled.Add(comparison.Evidence())
			control = control.Add(comparison.ControlSums())
		}
		for _, comparison := range t.comparisons {
			own := comparison.ControlSums()
			comparison.SetOtherControl(control.Add(tester.RatingSums{Count: -own.Count, Sum: -own.Sum, SumOfSquares: -own.SumOfSquares}))
		}
		t.open = stager.ExposureAllowed(&t.rollout, pooled)
		t.act(stager.Decide(&t.rollout, pooled).Action)
	case FixedStages, FixedSample:
		if number > 0 && number%stagePeople == 0 {
			t.act(t.atStageEnd())
		}
	}
}

// atStageEnd decides for the baselines.
func (t *trial) atStageEnd() stager.Action {
	last := t.rollout.Stage == len(t.rollout.Stages)-1
	if t.method == FixedStages && !last {
		return stager.Advance
	}
	loss := t.oldSum.mean() - t.freshSum.mean() - rolloutTolerance
	deviation := fixedZ * sqrt(t.oldSum.variance()+t.freshSum.variance())
	switch {
	case loss > deviation:
		return stager.Stop
	case last:
		return stager.Finish
	default:
		return stager.Advance
	}
}

func (t *trial) act(action stager.Action) {
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
