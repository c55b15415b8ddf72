package picker

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// healthSmoothing is the weight of the newest result in the averages.
	healthSmoothing = 0.2
	// errorLimit is the share of failures at which an endpoint is ejected.
	errorLimit = 0.5
	// returningFailures is the share of failures that an endpoint comes back
	// from an ejection with, so that one more failure ejects it again.
	returningFailures = 0.45
	// slowLimit is the time per token, relative to the pool's median, at which
	// an endpoint is ejected.
	slowLimit = 3
	// minResults is the number of results before an endpoint is judged by its
	// failures, minPaces that before it is judged by its pace.
	minResults = 4
	minPaces   = 2
	// minEjection and maxEjection bound the time of an ejection, which doubles
	// each time.
	minEjection = 5 * time.Second
	maxEjection = 2 * time.Minute
	// maxEjectedShare caps the share of a pool that is ejected at once.
	maxEjectedShare = 0.34
)

// record is the health of one endpoint.
type record struct {
	failures float64
	pace     float64
	results  int
	until    time.Time
	ejection time.Duration
}

// Health judges the endpoints of one pool by their results. It is not safe for
// concurrent use.
type Health struct {
	records map[netip.AddrPort]*record
}

// NewHealth returns an empty health.
func NewHealth() *Health { return &Health{records: map[netip.AddrPort]*record{}} }

func (h *Health) record(endpoint netip.AddrPort) *record {
	known := h.records[endpoint]
	if known == nil {
		known = &record{ejection: minEjection}
		h.records[endpoint] = known
	}
	return known
}

// Forget drops what is known of an endpoint, as when another one has its
// address.
func (h *Health) Forget(endpoint netip.AddrPort) { delete(h.records, endpoint) }

// Succeeded adds an answer; pace is its time per token, or 0 when unknown.
// Results that come while the endpoint is ejected are of requests from before
// and do not count: they made it look well again.
func (h *Health) RecordSuccess(endpoint netip.AddrPort, pace time.Duration, now time.Time) {
	known := h.record(endpoint)
	if known.until.After(now) {
		return
	}
	known.results++
	known.failures *= 1 - healthSmoothing
	if pace <= 0 {
		return
	}
	if known.pace == 0 {
		known.pace = pace.Seconds()
		return
	}
	known.pace += healthSmoothing * (pace.Seconds() - known.pace)
}

// Progress adds the pace of an answer that is still under way, so that an
// endpoint which has become slow is found before its answers end.
func (h *Health) RecordProgress(endpoint netip.AddrPort, pace time.Duration, now time.Time) {
	h.RecordSuccess(endpoint, pace, now)
}

// Probing reports whether the endpoint has come back from an ejection and has
// not shown yet that it is well.
func (h *Health) Probing(endpoint netip.AddrPort) bool {
	known := h.records[endpoint]
	return known != nil && known.ejection > minEjection && known.results < minResults
}

// Failed adds a failure of the endpoint.
func (h *Health) RecordFailure(endpoint netip.AddrPort, now time.Time) {
	known := h.record(endpoint)
	if known.until.After(now) {
		return
	}
	known.results++
	known.failures += healthSmoothing * (1 - known.failures)
}

// Slowness returns the endpoint's time per token relative to the pool's
// median; 0 when unknown.
func (h *Health) Slowness(endpoint netip.AddrPort) float64 {
	known := h.records[endpoint]
	if known == nil || known.pace == 0 || known.results < minPaces {
		return 0
	}
	median := h.medianPace()
	if median == 0 {
		return 0
	}
	return known.pace / median
}

// Ejected reports whether the endpoint is ejected at the time.
func (h *Health) Ejected(endpoint netip.AddrPort, now time.Time) bool {
	known := h.records[endpoint]
	return known != nil && known.until.After(now)
}

// Judge ejects the endpoint when its results ask for it and the cap allows it.
// It reports whether it did.
func (h *Health) EjectIfUnhealthy(endpoint netip.AddrPort, pool int, now time.Time) bool {
	known := h.record(endpoint)
	failing := known.results >= minResults && known.failures >= errorLimit
	bad := failing || h.Slowness(endpoint) >= slowLimit
	if !bad || known.until.After(now) || h.ejectedCount(now)+1 > max(1, int(maxEjectedShare*float64(pool))) || pool < 2 {
		return false
	}
	known.until = now.Add(known.ejection)
	known.ejection = min(2*known.ejection, maxEjection)
	// The endpoint is judged anew on its first results after the ejection.
	known.results = minResults - 1
	known.failures = returningFailures
	known.pace = 0
	return true
}

// Recover shortens the next ejection of an endpoint that has done well.
func (h *Health) ReduceNextEjection(endpoint netip.AddrPort, now time.Time) {
	known := h.record(endpoint)
	if !known.until.After(now) && known.results >= minResults && known.failures < errorLimit/8 {
		known.ejection = max(minEjection, known.ejection/2)
	}
}

func (h *Health) ejectedCount(now time.Time) int {
	count := 0
	for _, known := range h.records {
		if known.until.After(now) {
			count++
		}
	}
	return count
}

func (h *Health) medianPace() float64 {
	var paces []float64
	for _, known := range h.records {
		if known.pace > 0 {
			paces = append(paces, known.pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}
