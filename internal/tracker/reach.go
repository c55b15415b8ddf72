package tracker

import "time"

const (
	// suspectEndpoints is the number of endpoints of a zone that must be out of
	// reach, without an answer from any other, before the zone counts as cut off.
	suspectEndpoints = 2
	// suspectTime is how long a zone gets no requests before one tries it again.
	suspectTime = 1200 * time.Millisecond
)

// reach tells whether a zone can be reached.
type reach struct {
	// unreachable are the endpoints that were out of reach since the last answer
	// from the zone.
	unreachable map[string]bool
	until       time.Time
	// cut is set until an answer comes from the zone.
	cut bool
}

// failed records an endpoint that was out of reach; it reports whether the zone
// is now taken for cut off.
func (r *reach) failed(endpoint string, now time.Time) bool {
	if r.unreachable == nil {
		r.unreachable = map[string]bool{}
	}
	r.unreachable[endpoint] = true
	if len(r.unreachable) < suspectEndpoints {
		return false
	}
	changed := !r.cut
	r.cut = true
	r.until = now.Add(suspectTime)
	return changed
}

// answered records an answer from the zone.
func (r *reach) answered() {
	r.cut = false
	clear(r.unreachable)
}

// suspect reports whether the zone gets no requests now.
func (r *reach) suspect(now time.Time) bool { return r.cut && now.Before(r.until) }

// picked records a request to the zone: while it may be cut off, one at a time
// tries it.
func (r *reach) picked(now time.Time) {
	if r.cut && !now.Before(r.until) {
		r.until = now.Add(suspectTime)
	}
}
