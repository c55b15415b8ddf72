package apportioner

import (
	"math"
	"time"
)

const (
	// unitInterval is the time between two requests of one unit of a cold endpoint's bound: the
	// second in which the bound counts, and what may delay the first of them.
	unitInterval = 1250 * time.Millisecond
	// reserveShare is the share of the bound that is not divided. It covers daemons whose lists
	// of members differ.
	reserveShare = 1.0 / 3
	// minColdMembers is the least number of members among which the bound is divided. A daemon
	// that knows fewer may be cut off or may have just started.
	minColdMembers = 8
	// maxUnits keeps the number of units within an integer, whatever rate is declared.
	maxUnits = 1 << 20
)

// ColdBound bounds the requests that a cold endpoint gets from all daemons together. In any
// second, it gets at most its declared rate times Factor, and Margin more.
type ColdBound struct {
	Factor float64
	Margin float64
}

// Share returns the requests per second that a daemon may send to a cold endpoint with a declared
// rate. A daemon that is not among the members gets no share. The daemon must not send more than
// one request at once.
func (b ColdBound) Share(endpoint string, perSecond float64, self string, members []string) float64 {
	units := b.units(perSecond)
	if units == 0 {
		return 0
	}
	place, isMember := rank(endpoint, self, members)
	if !isMember || place >= units {
		return 0
	}
	// In a small fleet there are more units than members: all get further ones in the same order.
	own := 1 + (units-1-place)/max(len(members), minColdMembers)
	return float64(own) * min(1/unitInterval.Seconds(), perSecond/float64(units))
}

// units returns the number of units into which the bound is divided. Each stands for one request
// in a second.
func (b ColdBound) units(perSecond float64) int {
	bound := math.Floor(perSecond*b.Factor + b.Margin)
	needed := math.Ceil(perSecond * unitInterval.Seconds())
	return int(max(0, min(maxUnits, needed, bound-math.Floor(reserveShare*bound))))
}
