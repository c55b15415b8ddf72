package tracker

import (
	"math"
	"time"
)

const (
	// durationSmoothing is the weight of the newest request in the mean duration.
	durationSmoothing = 0.05
	// initialDuration is the duration of a request that is assumed before the
	// first one of a service has ended.
	initialDuration = 300 * time.Millisecond
	// busyThreshold is the utilisation of an endpoint's slots from which its load
	// is sent to other daemons; below it no request waits.
	busyThreshold = 0.5
	// loadHalfLife is the time in which the weight of a single load report halves. It is
	// about as long as a request runs.
	loadHalfLife = time.Second
	// forecastReportTTL is how long the report of an endpoint whose times are forecast is
	// passed on: the speed of its host outlasts its load.
	forecastReportTTL = 5 * time.Second
)

// Load is the number of requests that an endpoint runs and queues.
type Load struct {
	ID       string
	Requests int
	// Slowdown is the time that work takes on the endpoint's host relative to the usual
	// time, or 0 if the endpoint does not say.
	Slowdown float64
	// Age is the time since the endpoint reported the load.
	Age time.Duration
}

// recordLoad stores the load that the endpoint reported at the time. What exceeds
// this daemon's own requests is attributed to other daemons.
func (s *endpointState) recordLoad(requests int, at time.Time) {
	s.otherLoad = max(0, requests-s.inflight)
	s.reportedAt = at
	s.othersTrend.record(float64(s.otherLoad), at)
}

// expectedLoad returns the number of requests that the endpoint is expected to have, however old
// its newest report is.
func (s *endpointState) expectedLoad(now time.Time) int {
	return s.inflight + int(math.Round(s.othersTrend.at(now, loadHalfLife)))
}

// load returns the number of requests that the endpoint has. The load of other daemons counts
// only while the newest report is current.
func (s *endpointState) load(now time.Time) int {
	if now.Sub(s.reportedAt) < loadReportTTL {
		return s.inflight + s.otherLoad
	}
	return s.inflight
}

// recordSlowdown stores the slowdown that the endpoint reported at the time.
func (t *Tracker) recordSlowdown(endpoint *endpointState, slowdown float64, at time.Time) {
	if slowdown > 0 {
		t.slowdownReported[endpoint.Service] = true
		endpoint.slowdown.record(slowdown, at)
	}
}

// recordDuration adds the duration of a request to the mean of its service.
func (t *Tracker) recordDuration(service string, duration time.Duration) {
	mean := t.meanDuration(service)
	t.meanDurations[service] = mean + time.Duration(durationSmoothing*float64(duration-mean))
}

// meanDuration returns the mean duration of a service's requests.
func (t *Tracker) meanDuration(service string) time.Duration {
	if mean, ok := t.meanDurations[service]; ok {
		return mean
	}
	return initialDuration
}

// slotWait returns the expected time until the endpoint has a free slot for one
// more request. When all slots are taken, one becomes free on average after the
// mean duration of a request divided by the number of slots.
func (t *Tracker) slotWait(endpoint *endpointState, load int) time.Duration {
	ahead := load + 1 - endpoint.Slots
	if ahead <= 0 || endpoint.Slots == 0 {
		return 0
	}
	return time.Duration(float64(t.meanDuration(endpoint.Service)) * float64(ahead) / float64(endpoint.Slots))
}

// DirectLoads returns the loads that recent responses to this daemon carried.
func (t *Tracker) DirectLoads() []Load {
	return t.loads(func(endpoint *endpointState, now time.Time) bool {
		return now.Sub(endpoint.directReportAt) < loadReportTTL
	})
}

// BusyLoads returns the loads of busy endpoints, whether reported to this daemon
// or received from other daemons. Of a service whose times are forecast it returns the loads
// of all endpoints, because a request is best sent to one with little to do.
func (t *Tracker) BusyLoads() []Load {
	return t.loads(func(endpoint *endpointState, now time.Time) bool {
		if t.forecasts(endpoint.Service) {
			return now.Sub(endpoint.reportedAt) < forecastReportTTL
		}
		load := endpoint.otherLoad + endpoint.inflight
		return now.Sub(endpoint.reportedAt) < loadReportTTL && float64(load) >= busyThreshold*float64(endpoint.Slots)
	})
}

// loads returns the loads of the endpoints that the filter includes.
func (t *Tracker) loads(include func(*endpointState, time.Time) bool) []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var loads []Load
	for _, endpoint := range t.endpoints {
		if include(endpoint, now) {
			loads = append(loads, Load{ID: endpoint.ID, Requests: endpoint.otherLoad + endpoint.inflight, Slowdown: endpoint.slowdown.latest, Age: now.Sub(endpoint.reportedAt)})
		}
	}
	return loads
}

// MergeLoads applies load reports received from other daemons. It ignores reports
// that are not newer than the stored one, and those of unknown endpoints.
func (t *Tracker) MergeLoads(loads []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, load := range loads {
		endpoint := t.endpoints[load.ID]
		if endpoint == nil {
			continue
		}
		if at := now.Add(-max(0, load.Age)); at.After(endpoint.reportedAt) {
			endpoint.recordLoad(load.Requests, at)
			t.recordSlowdown(endpoint, load.Slowdown, at)
		}
	}
}
