// Package tester compares the ratings of a new version with those of the version
// that it replaces, by a sequential test. The test bets against a hypothesis. If
// the hypothesis holds, the wealth of the bet ever exceeds 1/a with a probability
// of at most a (Ville's inequality). The result may therefore be checked after
// each rating without raising the rate of false verdicts.
//
// The logarithm of the wealth of a bet with a fixed stake is a sum over ratings.
// The sum over all daemons is therefore the logarithm of the wealth of the pooled
// ratings.
package tester

import (
	"math"
	"slices"
)

// betFractions are the shares of the wealth that are staked. The verdict uses the
// mean wealth over them. This mean is a valid bet too, and needs no tuning to the
// size of the difference between the versions.
var betFractions = []float64{0.05, 0.1, 0.2, 0.4, 0.7}

const (
	// controlMargin is the number of standard errors of the control's mean by which
	// the comparison errs on the safe side.
	controlMargin = 2
	// minControlRatings is the number of control ratings before ratings of the new
	// version are used.
	minControlRatings = 30
	// minDeviation is a lower bound of the control's standard deviation.
	minDeviation = 0.05
)

// Evidence holds the logarithm of the wealth for each fraction of betFractions.
// The zero value is the evidence of no ratings.
type Evidence struct {
	Count uint64
	// WorseBets bet that the new version is worse by more than the tolerance.
	WorseBets []float64
	// BetterBets bet that it is not.
	BetterBets []float64
}

// Add returns the sum of the evidence of two disjoint sets of ratings.
func (e Evidence) Add(other Evidence) Evidence {
	return Evidence{
		Count:      e.Count + other.Count,
		WorseBets:  sumElements(e.WorseBets, other.WorseBets),
		BetterBets: sumElements(e.BetterBets, other.BetterBets),
	}
}

// sumElements adds two slices element by element. Missing elements count as 0.
func sumElements(a, b []float64) []float64 {
	sum := make([]float64, len(betFractions))
	for i := range sum {
		if i < len(a) {
			sum[i] += a[i]
		}
		if i < len(b) {
			sum[i] += b[i]
		}
	}
	return sum
}

// WorseLogWealth returns the logarithm of the mean wealth of the bets that the
// new version is worse.
func (e Evidence) WorseLogWealth() float64 { return logMeanExp(e.WorseBets) }

// BetterLogWealth returns the logarithm of the mean wealth of the bets that the
// new version is not worse.
func (e Evidence) BetterLogWealth() float64 { return logMeanExp(e.BetterBets) }

// logMeanExp returns the logarithm of the mean of the exponentials. It subtracts
// the largest value first, so that none overflows.
func logMeanExp(logs []float64) float64 {
	if len(logs) == 0 {
		return 0
	}
	largest := slices.Max(logs)
	sum := 0.0
	for _, value := range logs {
		sum += math.Exp(value - largest)
	}
	return largest + math.Log(sum/float64(len(logs)))
}

// RatingSums holds the sums of ratings from which their mean and its standard
// error are derived. The zero value has no ratings.
type RatingSums struct {
	Count        float64
	Sum          float64
	SumOfSquares float64
}

// Add returns the sums of two disjoint sets of ratings.
func (r RatingSums) Add(other RatingSums) RatingSums {
	return RatingSums{r.Count + other.Count, r.Sum + other.Sum, r.SumOfSquares + other.SumOfSquares}
}

func (r *RatingSums) addRating(value float64) { *r = r.Add(RatingSums{1, value, value * value}) }

func (r RatingSums) mean() float64 { return r.Sum / r.Count }

// margin returns controlMargin standard errors of the mean.
func (r RatingSums) margin() float64 {
	variance := r.SumOfSquares/r.Count - r.mean()*r.mean()
	return controlMargin * math.Sqrt(max(variance, minDeviation*minDeviation)/r.Count)
}

// Comparison collects one daemon's evidence for one rollout. It is not safe for
// concurrent use.
type Comparison struct {
	tolerance float64
	// control sums this daemon's control ratings, otherControl those of the other
	// daemons. Each daemon compares with the pooled mean, because the margin of its
	// own mean alone was a third of the loss that a rollout must detect.
	control      RatingSums
	otherControl RatingSums
	evidence     Evidence
	// pending holds ratings of the new version until there are enough control
	// ratings.
	pending []float64
}

// New returns a comparison. A new version counts as worse if its mean rating is
// lower by more than the tolerance.
func New(tolerance float64) *Comparison {
	return &Comparison{tolerance: tolerance, evidence: Evidence{WorseBets: sumElements(nil, nil), BetterBets: sumElements(nil, nil)}}
}

// SetOtherControl replaces the control ratings of the other daemons.
func (c *Comparison) SetOtherControl(others RatingSums) {
	c.otherControl = others
	c.betPending()
}

// AddControl adds a rating of the version that is replaced.
func (c *Comparison) AddControl(score float64) {
	c.control.addRating(score)
	c.betPending()
}

// ControlSums returns the sums of this daemon's control ratings.
func (c *Comparison) ControlSums() RatingSums { return c.control }

// AddPair adds the ratings of both versions' responses to one request. Their
// difference does not depend on how hard the request is, so a pair carries much
// more information than two ratings of different requests.
func (c *Comparison) AddPair(newScore, oldScore float64) {
	c.betDifference(newScore-oldScore+c.tolerance, 0)
}

// AddTreatment adds a rating of the new version.
func (c *Comparison) AddTreatment(score float64) {
	c.pending = append(c.pending, score)
	c.betPending()
}

// betPending bets on the pending ratings if there are enough control ratings.
func (c *Comparison) betPending() {
	control := c.control.Add(c.otherControl)
	if control.Count < minControlRatings {
		return
	}
	for _, score := range c.pending {
		c.betScore(score, control)
	}
	c.pending = nil
}

// Evidence returns a copy of the evidence collected so far.
func (c *Comparison) Evidence() Evidence {
	return Evidence{Count: c.evidence.Count, WorseBets: slices.Clone(c.evidence.WorseBets), BetterBets: slices.Clone(c.evidence.BetterBets)}
}

// betScore bets on the difference between a rating and the control's mean.
func (c *Comparison) betScore(score float64, control RatingSums) {
	c.betDifference(score-control.mean()+c.tolerance, control.margin())
}

// betDifference bets on one difference, which the margin moves to the safe side.
func (c *Comparison) betDifference(difference, margin float64) {
	c.evidence.Count++
	for i, fraction := range betFractions {
		c.evidence.WorseBets[i] += math.Log1p(-fraction * clamp(difference+margin))
		c.evidence.BetterBets[i] += math.Log1p(fraction * clamp(difference-margin))
	}
}

// clamp limits a difference to the range for which every bet leaves some wealth.
func clamp(value float64) float64 { return max(-1, min(1, value)) }

const (
	// minReferenceRatings is the number of ratings that form a version's reference.
	minReferenceRatings = 200
	// driftThreshold is the logarithm of the wealth at which a drift is reported. A
	// version that does not drift reaches it about once in e^driftThreshold ratings.
	driftThreshold = 11.5
	// driftTolerance is the loss of mean rating that counts as a drift.
	driftTolerance = 0.03
)

// DriftDetector compares the ratings of a version that serves without a control
// with the version's own earlier ratings. Each bet restarts when its wealth falls
// below 1, so that a long history of good ratings does not delay the alarm. It is
// not safe for concurrent use.
type DriftDetector struct {
	reference RatingSums
	logWealth [5]float64
}

// Observe adds a rating and reports whether the version has become worse.
func (d *DriftDetector) Observe(score float64) bool {
	if d.reference.Count < minReferenceRatings {
		d.reference.addRating(score)
		return false
	}
	difference := clamp(score - d.reference.mean() + d.reference.margin() + driftTolerance)
	alarm := false
	for i, fraction := range betFractions {
		d.logWealth[i] = max(0, d.logWealth[i]) + math.Log1p(-fraction*difference)
		alarm = alarm || d.logWealth[i] >= driftThreshold
	}
	return alarm
}
