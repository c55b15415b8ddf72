// Package tester compares ratings of a new version with those of the version
// that it replaces, by betting: the wealth of a bet against a hypothesis that
// holds exceeds 1/a at any time with a probability of at most a (Ville's
// inequality). It may therefore be looked at after each rating without raising
// the rate of false verdicts.
//
// The logarithm of the wealth of a fixed bet is a sum over ratings, so daemons
// add up theirs: the sum over daemons is the wealth of the pooled ratings.
package tester

import (
	"math"
	"slices"
)

// stakes are the shares of the wealth that are bet. The verdict uses the mean
// wealth over the stakes, which is a valid bet too and needs no tuning to the
// size of the difference.
var betFractions = []float64{0.05, 0.1, 0.2, 0.4, 0.7}

const (
	// controlMargin is the distance, in standard errors of the control's mean,
	// by which the comparison errs to the safe side.
	controlMargin = 2
	// minControl is the number of control ratings before ratings of the new
	// version count.
	minControlRatings = 30
	// minDeviation bounds the control's standard deviation from below.
	minDeviation = 0.05
)

// Evidence is the logarithm of the wealth of each stake. The zero value has no
// ratings.
type Evidence struct {
	Count uint64
	// Worse bets that the new version is worse by more than the tolerance.
	WorseBets []float64
	// Better bets that it is not.
	BetterBets []float64
}

// Add sums the evidence of two disjoint sets of ratings.
func (e Evidence) Add(other Evidence) Evidence {
	return Evidence{
		Count:      e.Count + other.Count,
		WorseBets:  sumElements(e.WorseBets, other.WorseBets),
		BetterBets: sumElements(e.BetterBets, other.BetterBets),
	}
}

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

// WorseWealth returns the logarithm of the mean wealth of the bets that the
// new version is worse.
func (e Evidence) WorseLogWealth() float64 { return logMeanExp(e.WorseBets) }

// BetterWealth returns the logarithm of the mean wealth of the bets that the
// new version is not worse.
func (e Evidence) BetterLogWealth() float64 { return logMeanExp(e.BetterBets) }

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

// Mean sums up ratings for their mean and its standard error. The zero value
// has no ratings.
type RatingSums struct {
	Count        float64
	Sum          float64
	SumOfSquares float64
}

// Add returns the sum of two disjoint sets of ratings.
func (r RatingSums) Add(other RatingSums) RatingSums {
	return RatingSums{r.Count + other.Count, r.Sum + other.Sum, r.SumOfSquares + other.SumOfSquares}
}

func (r *RatingSums) addRating(value float64) { *r = r.Add(RatingSums{1, value, value * value}) }

func (r RatingSums) mean() float64 { return r.Sum / r.Count }

func (r RatingSums) margin() float64 {
	variance := r.SumOfSquares/r.Count - r.mean()*r.mean()
	return controlMargin * math.Sqrt(max(variance, minDeviation*minDeviation)/r.Count)
}

// Comparison gathers the evidence of one daemon for one roll-out. It is not
// safe for concurrent use.
type Comparison struct {
	tolerance float64
	// control is of this daemon's ratings, others of those of all others. Each
	// daemon compares with the pooled mean: with its own alone the margin was a
	// third of the loss that a roll-out is to find.
	control      RatingSums
	otherControl RatingSums
	evidence     Evidence
	// waiting holds ratings of the new version until there is a control.
	pending []float64
}

// New returns a comparison in which a loss of the tolerance in mean rating
// counts as worse.
func New(tolerance float64) *Comparison {
	return &Comparison{tolerance: tolerance, evidence: Evidence{WorseBets: sumElements(nil, nil), BetterBets: sumElements(nil, nil)}}
}

// SetOthers replaces the control ratings of the other daemons.
func (c *Comparison) SetOtherControl(others RatingSums) {
	c.otherControl = others
	c.betPending()
}

// Control adds a rating of the version that is replaced.
func (c *Comparison) AddControl(score float64) {
	c.control.addRating(score)
	c.betPending()
}

// Own returns the control ratings of this daemon.
func (c *Comparison) ControlSums() RatingSums { return c.control }

// Pair adds the ratings of both versions' answers to one request. What makes a
// request hard for both drops out of their difference, so a pair tells much
// more than two ratings of different requests.
func (c *Comparison) AddPair(newScore, oldScore float64) {
	c.betDifference(newScore-oldScore+c.tolerance, 0)
}

// Treatment adds a rating of the new version.
func (c *Comparison) AddTreatment(score float64) {
	c.pending = append(c.pending, score)
	c.betPending()
}

// release bets on the waiting ratings once there is a control.
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

// Evidence returns the evidence so far.
func (c *Comparison) Evidence() Evidence {
	return Evidence{Count: c.evidence.Count, WorseBets: slices.Clone(c.evidence.WorseBets), BetterBets: slices.Clone(c.evidence.BetterBets)}
}

func (c *Comparison) betScore(score float64, control RatingSums) {
	c.betDifference(score-control.mean()+c.tolerance, control.margin())
}

// wager bets on one difference, erring to the safe side by the margin.
func (c *Comparison) betDifference(difference, margin float64) {
	c.evidence.Count++
	for i, fraction := range betFractions {
		c.evidence.WorseBets[i] += math.Log1p(-fraction * clamp(difference+margin))
		c.evidence.BetterBets[i] += math.Log1p(fraction * clamp(difference-margin))
	}
}

// clamp keeps a difference within the range for which every stake leaves some
// wealth.
func clamp(value float64) float64 { return max(-1, min(1, value)) }

const (
	// referenceCount is the number of ratings that make a version's reference.
	minReferenceRatings = 200
	// driftAlarm is the logarithm of the wealth at which a drift is reported. A
	// version that does not drift raises it about once in e^driftAlarm ratings.
	driftThreshold = 11.5
	// driftTolerance is the loss of mean rating that counts as a drift.
	driftTolerance = 0.03
)

// Drift watches a version that serves without a control for a loss against its
// own earlier ratings. It bets anew from each moment on, so that a long good
// history does not delay the alarm. It is not safe for concurrent use.
type DriftDetector struct {
	reference RatingSums
	logWealth [5]float64
}

// Observe adds a rating and reports whether the version has turned worse.
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
