package tracker

import (
	"math"
	"slices"
	"time"
)

// trendSmoothing is the weight of the newest report in the usual value of a trend.
const trendSmoothing = 0.2

// trend is the course of a number that endpoints report. The zero value means that it was not
// reported.
type trend struct {
	usual, latest float64
	latestAt      time.Time
}

// record adds a value that was reported at a time. It ignores reports that are not newer than the
// last one, and returns false for them.
func (t *trend) record(value float64, at time.Time) bool {
	switch {
	case !t.known():
		t.usual = value
	case !at.After(t.latestAt):
		return false
	}
	t.usual += trendSmoothing * (value - t.usual)
	t.latest, t.latestAt = value, at
	return true
}

func (t *trend) known() bool { return !t.latestAt.IsZero() }

// at returns the value to expect at a time. The weight of the latest report against the usual
// value halves with each half-life of its age.
func (t *trend) at(now time.Time, halfLife time.Duration) float64 {
	age := max(0, now.Sub(t.latestAt))
	return t.usual + (t.latest-t.usual)*math.Exp2(-float64(age)/float64(halfLife))
}

const (
	// slowdownHalfLife is the half-life of a reported slowdown: what other processes do on
	// the endpoint's host changes within a response.
	slowdownHalfLife = 300 * time.Millisecond
	// minSlowdown and maxSlowdown bound a reported slowdown.
	minSlowdown = 0.05
	maxSlowdown = 20
	// floorReports is the number of reports of which the lowest is the slowdown without
	// other processes on the host.
	floorReports = 8
)

// slowdown is the time that work takes on an endpoint's host, relative to the usual time, as
// the endpoint reports it. The zero value means that it has reported none.
type slowdown struct {
	trend
	recent [floorReports]float64
	count  int
}

// record adds a report from a time. It ignores a report that is not newer than the last one.
func (s *slowdown) record(value float64, at time.Time) {
	value = min(maxSlowdown, max(minSlowdown, value))
	if s.trend.record(value, at) {
		s.recent[s.count%floorReports] = value
		s.count++
	}
}

// expected returns the slowdown of work that begins at a time, or 1 if the endpoint has reported
// none.
func (s *slowdown) expected(now time.Time) float64 {
	if !s.known() {
		return 1
	}
	return s.at(now, slowdownHalfLife)
}

// floor returns the slowdown without other processes on the host, or 1 if it is unknown. It is
// the same on all daemons that have had a few reports.
func (s *slowdown) floor() float64 {
	if !s.known() {
		return 1
	}
	return slices.Min(s.recent[:min(s.count, floorReports)])
}
