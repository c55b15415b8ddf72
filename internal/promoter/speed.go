package promoter

import (
	"math"
	"slices"
	"time"
)

// Timing is how fast one response was.
type Timing struct {
	// TTFT is the time to first token, ExpectedTTFT the time that the endpoint's
	// backlog and the prompt explain. DecodePace is the time per event after that, or
	// 0 if it is unknown.
	TTFT         time.Duration
	ExpectedTTFT time.Duration
	DecodePace   time.Duration
}

// expectedTTFTFloor is added to the expected time before the two are compared, so
// that small differences of very short times do not count.
const expectedTTFTFloor = 50 * time.Millisecond

// slowdown returns the ratio of the time to first token to the expected one.
func (t Timing) slowdown() float64 {
	return float64(t.TTFT) / float64(t.ExpectedTTFT+expectedTTFTFloor)
}

// A score is the log-likelihood ratio of a time under a slower version against one
// as fast as the old version. Of the old version's times, half are up to the median
// and a quarter above the upper quartile. Of a slower version's times, a fifth are
// assumed to be up to the old median and 55% above the old upper quartile.
var (
	fastScore = math.Log(0.20 / 0.50)
	slowScore = math.Log(0.55 / 0.25)
)

// floorTest compares the fastest responses, because busy endpoints of the old version hide
// a slower one whose endpoints have little to do. A time is at the floor if it is at most
// factor times the floor of the old version's times.
type floorTest struct {
	factor float64
	// sameShare is the least share of the times at the floor under a version that is as
	// fast, slowShare that under one that is twice as slow or slower.
	sameShare, slowShare float64
}

var (
	// wideFloor proves that a version is no slower, narrowFloor that it is.
	wideFloor   = floorTest{factor: 2, sameShare: 0.35, slowShare: 0.06}
	narrowFloor = floorTest{factor: 1.5, sameShare: 0.30, slowShare: 0.05}
)

// score returns the score of a time that is at the floor or not.
func (f floorTest) score(atFloor bool) float64 {
	if atFloor {
		return math.Log(f.slowShare / f.sameShare)
	}
	return math.Log((1 - f.slowShare) / (1 - f.sameShare))
}

const (
	// baselineSize is the number of the newest times that a baseline keeps, and
	// minBaselineSize the number that it needs for a comparison.
	baselineSize    = 64
	minBaselineSize = 5
	// median and upperQuartile are the quantiles that separate the scores, floor is that
	// of the fastest times.
	floor         = 0.1
	median        = 0.5
	upperQuartile = 0.75
)

// samples holds the newest values of one measure.
type samples struct {
	values []float64
	next   int
}

func (s *samples) add(value float64) {
	if len(s.values) < baselineSize {
		s.values = append(s.values, value)
		return
	}
	s.values[s.next] = value
	s.next = (s.next + 1) % baselineSize
}

// quantile returns the value below which a share of the values are.
func (s *samples) quantile(share float64) float64 {
	sorted := slices.Sorted(slices.Values(s.values))
	return sorted[int(share*float64(len(sorted)))]
}

// comparable reports whether there are enough samples for a comparison.
func (s *samples) comparable() bool { return len(s.values) >= minBaselineSize }

// score returns the score of a value. It returns false if there are too few samples.
func (s *samples) score(value float64) (score float64, ok bool) {
	switch {
	case !s.comparable():
		return 0, false
	case value <= s.quantile(median):
		return fastScore, true
	case value > s.quantile(upperQuartile):
		return slowScore, true
	default:
		return 0, true
	}
}

// atFloor reports whether a value is about as small as the smallest samples.
func (s *samples) atFloor(value float64, test floorTest) bool {
	return s.comparable() && value <= test.factor*s.quantile(floor)
}

// Baseline holds the newest times of the old version's responses on one route with
// one model. The zero value is empty. It is not safe for concurrent use.
type Baseline struct {
	ttft, slowdown, pace samples
}

// Add records a response of the old version.
func (b *Baseline) Add(timing Timing) {
	b.ttft.add(float64(timing.TTFT))
	b.slowdown.add(timing.slowdown())
	if timing.DecodePace > 0 {
		b.pace.add(float64(timing.DecodePace))
	}
}

// Score compares a response of the new version with those of the old one. It returns
// false if there are too few to compare with. The time to first token is slow only if it
// is slow both by itself and relative to the expected one: a cold cache explains the
// first, an imprecise prediction the second.
func (b *Baseline) Score(timing Timing) (score Score, ok bool) {
	ttftScore, ok := b.ttft.score(float64(timing.TTFT))
	if !ok {
		return Score{}, false
	}
	slowdownScore, _ := b.slowdown.score(timing.slowdown())
	score.TTFT = min(ttftScore, slowdownScore)
	score.TTFTFloor = wideFloor.score(b.ttft.atFloor(float64(timing.TTFT), wideFloor) || b.slowdown.atFloor(timing.slowdown(), wideFloor))
	if timing.DecodePace > 0 && b.pace.comparable() {
		score.Pace, _ = b.pace.score(float64(timing.DecodePace))
		score.PaceFloor = wideFloor.score(b.pace.atFloor(float64(timing.DecodePace), wideFloor))
		score.PaceNarrow = narrowFloor.score(b.pace.atFloor(float64(timing.DecodePace), narrowFloor))
	}
	return score, true
}

// Score says how much one result, or a sum of results, speaks against the new version.
// Negative values speak for it. A version may be slow in one of the two only.
type Score struct {
	// TTFT is about the time to first token and about failures, Pace about the time
	// per event after that.
	TTFT float64
	Pace float64
	// TTFTFloor and PaceFloor are about the share of the two that are as small as the
	// smallest of the old version, PaceNarrow is about those that are still closer to it.
	// They depend little on the load of the endpoints.
	TTFTFloor  float64
	PaceFloor  float64
	PaceNarrow float64
}

// plus returns the sum of two scores.
func (s Score) plus(other Score) Score {
	return Score{
		TTFT:       s.TTFT + other.TTFT,
		Pace:       s.Pace + other.Pace,
		TTFTFloor:  s.TTFTFloor + other.TTFTFloor,
		PaceFloor:  s.PaceFloor + other.PaceFloor,
		PaceNarrow: s.PaceNarrow + other.PaceNarrow,
	}
}

// times returns the score with a weight.
func (s Score) times(weight float64) Score {
	return Score{
		TTFT:       weight * s.TTFT,
		Pace:       weight * s.Pace,
		TTFTFloor:  weight * s.TTFTFloor,
		PaceFloor:  weight * s.PaceFloor,
		PaceNarrow: weight * s.PaceNarrow,
	}
}

// BadResult is the score of a failed result.
var BadResult = Score{TTFT: math.Log(faultyBadRate / healthyBadRate)}

const (
	// provenTTFT and provenPace are the sums at which the new version counts as no
	// worse, provenFloor is that of the sums about the fastest times. The sum about those
	// that are closest must not speak against the version. Some responses have no pace,
	// so the second needs no evidence.
	provenTTFT   = -1
	provenPace   = 2
	provenFloor  = -2
	provenNarrow = 0
	// worseTTFT, worsePace and worseFloor are the sums at which it counts as worse. The
	// pace depends more on what else an endpoint does.
	worseTTFT  = 6
	worsePace  = 8
	worseFloor = 6
)

// IsWorse reports whether a sum shows that the new version is worse.
func (s Score) IsWorse() bool {
	return s.TTFT >= worseTTFT || s.Pace >= worsePace || s.TTFTFloor >= worseFloor || s.PaceNarrow >= worseFloor
}

// proven reports whether a sum shows that the new version is no worse. The pace of a
// service whose responses have none proves nothing.
func (s Score) proven() bool {
	paceKnown := s.PaceFloor != 0
	return s.TTFT <= provenTTFT && s.Pace <= provenPace && s.TTFTFloor <= provenFloor && (!paceKnown || s.PaceFloor <= provenFloor && s.PaceNarrow <= provenNarrow)
}

// Balance is a sum of scores in which older ones lose weight, so that a version that
// turns bad late is noticed. Times are those since the order.
type Balance struct {
	Sum Score
	// At is the time of the newest score.
	At time.Duration
}

// balanceHalfLife is the time after which a score counts half, as a share of the
// order's duration.
const balanceHalfLife = 0.5

// add adds a score at a time.
func (b *Balance) add(score Score, order Order, at time.Duration) {
	b.Sum = b.value(order, at).plus(score)
	b.At = max(b.At, at)
}

// value returns the sum at a time.
func (b Balance) value(order Order, at time.Duration) Score {
	halfLives := float64(at-b.At) / (balanceHalfLife * float64(order.Duration))
	if halfLives <= 0 || math.IsNaN(halfLives) {
		return b.Sum
	}
	return b.Sum.times(math.Exp2(-halfLives))
}

// SumBalances returns the sum of the balances of all daemons at a time.
func SumBalances(order Order, at time.Duration, balances ...Balance) Score {
	var sum Score
	for _, balance := range balances {
		sum = sum.plus(balance.value(order, at))
	}
	return sum
}
