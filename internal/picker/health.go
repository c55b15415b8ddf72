package picker

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// healthSmoothing is the weight of the newest result in the averages.
	healthSmoothing = 0.2
	// ejectionErrorRate is the error rate at which an endpoint is ejected.
	ejectionErrorRate = 0.5
	// postEjectionErrorRate is the error rate that an endpoint has after an
	// ejection, so that one more failure ejects it again.
	postEjectionErrorRate = 0.45
	// ejectionSlowness is the slowness, the time per token relative to the
	// median of the pool, at which an endpoint is ejected.
	ejectionSlowness = 3
	// minErrorResults is the number of results required before an endpoint is
	// ejected for its error rate, minPaceResults that before its slowness is
	// used.
	minErrorResults = 4
	minPaceResults  = 2
	// minEjection and maxEjection bound the duration of an ejection, which
	// doubles with each ejection.
	minEjection = 5 * time.Second
	maxEjection = 2 * time.Minute
	// maxEjectedShare caps the share of a pool that is ejected at a time.
	maxEjectedShare = 0.34
)

// endpointHealth holds the results of one endpoint. The error rate and the pace
// are exponentially weighted averages; a pace of 0 means unknown.
type endpointHealth struct {
	errorRate    float64
	paceSeconds  float64
	results      int
	ejectedUntil time.Time
	nextEjection time.Duration
}

// Health tracks the results of the endpoints of one pool and decides which of
// them to eject. It is not safe for concurrent use.
type Health struct {
	endpoints map[netip.AddrPort]*endpointHealth
}

// NewHealth returns a Health without results.
func NewHealth() *Health { return &Health{endpoints: map[netip.AddrPort]*endpointHealth{}} }

// getOrCreate returns the endpoint's results, creating an empty entry if needed.
func (h *Health) getOrCreate(endpoint netip.AddrPort) *endpointHealth {
	entry := h.endpoints[endpoint]
	if entry == nil {
		entry = &endpointHealth{nextEjection: minEjection}
		h.endpoints[endpoint] = entry
	}
	return entry
}

// Forget discards the results of an endpoint, for example because another
// endpoint has taken over its address.
func (h *Health) Forget(endpoint netip.AddrPort) { delete(h.endpoints, endpoint) }

// RecordSuccess records a successful response; pace is its time per token, or 0
// when unknown. Results that arrive while the endpoint is ejected belong to
// requests sent before the ejection and are ignored, because counting them made
// the endpoint appear healthy again.
func (h *Health) RecordSuccess(endpoint netip.AddrPort, pace time.Duration, now time.Time) {
	entry := h.getOrCreate(endpoint)
	if entry.ejectedUntil.After(now) {
		return
	}
	entry.results++
	entry.errorRate *= 1 - healthSmoothing
	if pace <= 0 {
		return
	}
	if entry.paceSeconds == 0 {
		entry.paceSeconds = pace.Seconds()
		return
	}
	entry.paceSeconds += healthSmoothing * (pace.Seconds() - entry.paceSeconds)
}

// RecordProgress records the pace of a response that is still being streamed, so
// that an endpoint that has become slow is detected before its responses end. It
// counts as a success.
func (h *Health) RecordProgress(endpoint netip.AddrPort, pace time.Duration, now time.Time) {
	h.RecordSuccess(endpoint, pace, now)
}

// Probing reports whether the endpoint has been ejected and has not yet enough
// results since to count as healthy.
func (h *Health) Probing(endpoint netip.AddrPort) bool {
	entry := h.endpoints[endpoint]
	return entry != nil && entry.nextEjection > minEjection && entry.results < minErrorResults
}

// RecordFailure records a failure of the endpoint, with the weight from 0 to 1 that it has as
// evidence. Like successes, failures are ignored while it is ejected.
func (h *Health) RecordFailure(endpoint netip.AddrPort, weight float64, now time.Time) {
	entry := h.getOrCreate(endpoint)
	if entry.ejectedUntil.After(now) {
		return
	}
	entry.results++
	entry.errorRate += healthSmoothing * (weight - entry.errorRate)
}

// Slowness returns the endpoint's time per token relative to the median of the
// pool, or 0 when unknown.
func (h *Health) Slowness(endpoint netip.AddrPort) float64 {
	entry := h.endpoints[endpoint]
	if entry == nil || entry.paceSeconds == 0 || entry.results < minPaceResults {
		return 0
	}
	median := h.medianPace()
	if median == 0 {
		return 0
	}
	return entry.paceSeconds / median
}

// Ejected reports whether the endpoint is ejected at the time.
func (h *Health) Ejected(endpoint netip.AddrPort, now time.Time) bool {
	entry := h.endpoints[endpoint]
	return entry != nil && entry.ejectedUntil.After(now)
}

// EjectIfUnhealthy ejects the endpoint if its error rate or slowness has reached
// the limit and the cap on ejected endpoints in a pool of the size allows it. It
// reports whether it ejected the endpoint.
func (h *Health) EjectIfUnhealthy(endpoint netip.AddrPort, poolSize int, now time.Time) bool {
	entry := h.getOrCreate(endpoint)
	failing := entry.results >= minErrorResults && entry.errorRate >= ejectionErrorRate
	unhealthy := failing || h.Slowness(endpoint) >= ejectionSlowness
	if !unhealthy || entry.ejectedUntil.After(now) || h.ejectedCount(now)+1 > max(1, int(maxEjectedShare*float64(poolSize))) || poolSize < 2 {
		return false
	}
	entry.ejectedUntil = now.Add(entry.nextEjection)
	entry.nextEjection = min(2*entry.nextEjection, maxEjection)
	// The first result after the ejection completes the minimum, so it can eject
	// the endpoint again.
	entry.results = minErrorResults - 1
	entry.errorRate = postEjectionErrorRate
	entry.paceSeconds = 0
	return true
}

// ReduceNextEjection halves the duration of the next ejection of an endpoint that
// is not ejected and has a low error rate.
func (h *Health) ReduceNextEjection(endpoint netip.AddrPort, now time.Time) {
	entry := h.getOrCreate(endpoint)
	if !entry.ejectedUntil.After(now) && entry.results >= minErrorResults && entry.errorRate < ejectionErrorRate/8 {
		entry.nextEjection = max(minEjection, entry.nextEjection/2)
	}
}

// ejectedCount returns the number of endpoints that are ejected at the time.
func (h *Health) ejectedCount(now time.Time) int {
	count := 0
	for _, entry := range h.endpoints {
		if entry.ejectedUntil.After(now) {
			count++
		}
	}
	return count
}

// medianPace returns the median time per token in seconds, the lower one of two,
// or 0 when no pace is known.
func (h *Health) medianPace() float64 {
	var paces []float64
	for _, entry := range h.endpoints {
		if entry.paceSeconds > 0 {
			paces = append(paces, entry.paceSeconds)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}
