package subscriber

import "time"

const (
	// gapSmoothing is the weight of the newest interval in the mean gap.
	gapSmoothing = 0.2
	// gapFactor is how many mean gaps must pass without a record before that is unusual.
	gapFactor = 3
	// maxUnusual is how many intervals without a record are unusual. After that, no records come.
	maxUnusual = 2
)

// recordGaps tells how far the records of a topic are usually apart.
type recordGaps struct {
	// mean is the mean time between two records, or 0 if it is unknown.
	mean time.Duration
	// lastAt is when records last came. It is valid if hasLast is set.
	lastAt  time.Duration
	hasLast bool
}

// add adds the number of records that a read returned at a time.
func (g *recordGaps) add(records int, at time.Duration) {
	if records == 0 {
		return
	}
	if g.hasLast {
		gap := (at - g.lastAt) / time.Duration(records)
		if g.mean == 0 {
			g.mean = gap
		} else {
			g.mean += time.Duration(gapSmoothing * float64(gap-g.mean))
		}
	}
	g.lastAt, g.hasLast = at, true
}

// isUnusual reports whether it would be unusual if no record came for an interval from now on.
func (g *recordGaps) isUnusual(interval, now time.Duration) bool {
	return g.mean > 0 && gapFactor*g.mean <= interval && now-g.lastAt <= maxUnusual*interval
}
