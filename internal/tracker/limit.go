package tracker

import (
	"time"

	"golang.org/x/time/rate"
)

// LimitLifetime is how long a limit holds after it was last reported.
const LimitLifetime = 10 * time.Minute

// burst is the number of requests that a daemon may send at once to an endpoint with a
// limit.
const burst = 1

// Limit is the request rate that an endpoint accepts from all daemons together.
type Limit struct {
	// Endpoint and Started identify the incarnation of the endpoint.
	Endpoint string
	Started  time.Time
	// Limited is set if there is a limit. PerSecond is then the number of requests per
	// second.
	Limited   bool
	PerSecond float64
}

// limitState is the limit of an endpoint and what is left of this daemon's share.
type limitState struct {
	Limit
	// namedAt is when a response last named the limit, reportedAt when this daemon or
	// another one last reported it.
	namedAt    time.Time
	reportedAt time.Time
	limiter    *rate.Limiter
}

// RecordLimit records what a response to a request, which was sent at a time, says of the
// endpoint's limit. It reports whether the other daemons need to know.
func (t *Tracker) RecordLimit(limit Limit, sentAt time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	existing := t.limitOf(limit.Endpoint, limit.Started)
	if !limit.Limited {
		// A response may be older than the limit.
		if existing == nil || !sentAt.After(existing.namedAt) {
			return false
		}
		t.setLimit(limit, now)
		return true
	}
	if existing == nil || existing.PerSecond != limit.PerSecond || now.Sub(existing.reportedAt) >= LimitLifetime/2 {
		t.setLimit(limit, now)
		return true
	}
	existing.namedAt = now
	return false
}

// ApplyLimit records a limit that another daemon has reported at a time.
func (t *Tracker) ApplyLimit(limit Limit, reportedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setLimit(limit, reportedAt)
}

// limitOf returns the limit of an incarnation of an endpoint, or nil if there is none.
func (t *Tracker) limitOf(endpoint string, started time.Time) *limitState {
	if limit := t.limits[endpoint]; limit != nil && limit.Started.Equal(started) {
		return limit
	}
	return nil
}

// setLimit stores a limit that was reported at a time. This daemon may not send a request
// at once, because all daemons learn of a limit at about the same time.
func (t *Tracker) setLimit(limit Limit, reportedAt time.Time) {
	if !limit.Limited {
		if existing := t.limitOf(limit.Endpoint, limit.Started); existing != nil {
			t.logger.Info("endpoint no longer limits its requests", "endpoint", limit.Endpoint)
			delete(t.limits, limit.Endpoint)
		}
		return
	}
	share := t.share(limit.Endpoint, limit.PerSecond)
	if existing := t.limitOf(limit.Endpoint, limit.Started); existing != nil {
		existing.Limit = limit
		existing.namedAt, existing.reportedAt = reportedAt, reportedAt
		existing.limiter.SetLimitAt(t.now(), rate.Limit(share))
		return
	}
	t.logger.Info("endpoint limits its requests", "endpoint", limit.Endpoint, "rate", limit.PerSecond, "share", share)
	limiter := rate.NewLimiter(rate.Limit(share), burst)
	limiter.AllowN(t.now(), burst)
	t.limits[limit.Endpoint] = &limitState{Limit: limit, namedAt: reportedAt, reportedAt: reportedAt, limiter: limiter}
}

// SetShare sets the function that returns this daemon's share of an endpoint's limit, and
// applies it to the known limits. It also drops limits that were not reported for
// LimitLifetime.
func (t *Tracker) SetShare(share func(endpoint string, perSecond float64) float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.share = share
	now := t.now()
	for id, limit := range t.limits {
		if now.Sub(limit.reportedAt) >= LimitLifetime {
			delete(t.limits, id)
			continue
		}
		limit.limiter.SetLimitAt(now, rate.Limit(share(id, limit.PerSecond)))
	}
}

// withinLimit reports whether the endpoint's limit, if it has one, lets this daemon send a
// request now, and so does its cold bound, if it is cold.
func (t *Tracker) withinLimit(endpoint *endpointState, now time.Time) bool {
	if cold := t.coldOf(endpoint, now); cold != nil && !cold.allows(now) {
		return false
	}
	limit := t.limitOf(endpoint.ID, endpoint.Started)
	return limit == nil || limit.limiter.TokensAt(now) >= 1
}

// spendLimit takes a request from this daemon's shares of the endpoint's limit and of its cold
// bound, if it has them, and reports whether it has a limit.
func (t *Tracker) spendLimit(endpoint *endpointState, now time.Time) (limited bool) {
	if cold := t.coldOf(endpoint, now); cold != nil {
		cold.limiter.AllowN(now, 1)
	}
	limit := t.limitOf(endpoint.ID, endpoint.Started)
	if limit == nil {
		return false
	}
	limit.limiter.AllowN(now, 1)
	return true
}

// Wait returns the time until the limits, pauses and cold bounds of endpoints let this daemon send
// a request of the query, or false if none of them prevents it for a known time.
func (t *Tracker) Wait(query Query) (wait time.Duration, prevented bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, endpoint := range t.endpoints {
		if !query.matches(endpoint) || !t.available(endpoint, now) {
			continue
		}
		next := max(t.pauseLeft(endpoint, now), t.coldWait(endpoint, now))
		limit := t.limitOf(endpoint.ID, endpoint.Started)
		if limit == nil && next == 0 {
			return 0, false
		}
		if limit != nil {
			untilToken, ok := tokenWait(limit.limiter, now)
			if !ok {
				continue
			}
			next = max(next, untilToken)
		}
		if !prevented || next < wait {
			wait, prevented = next, true
		}
	}
	return wait, prevented
}

// tokenWait returns the time until a limiter allows a request, or false if it never does.
func tokenWait(limiter *rate.Limiter, now time.Time) (wait time.Duration, ok bool) {
	missing := max(0, 1-limiter.TokensAt(now))
	perSecond := float64(limiter.Limit())
	if perSecond <= 0 {
		return 0, missing == 0
	}
	return time.Duration(missing / perSecond * float64(time.Second)), true
}

// LimitedEndpoints returns the number of endpoints with a limit.
func (t *Tracker) LimitedEndpoints() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.limits)
}
