package tracker

import (
	"maps"
	"time"

	"golang.org/x/time/rate"

	"quetzalgrade.example/quetzalgrade/internal/noter"
)

const (
	// MaxColdTime bounds how long an endpoint stays cold by what it reports, so that a wrong
	// number does not hold it back for good.
	MaxColdTime = 10 * time.Minute
	// coldTolerance is by how much a response must exceed the known cold time for the other
	// daemons to need to know. Less than that may be due to delays.
	coldTolerance = 500 * time.Millisecond
	// clockTolerance is how far the clocks of an endpoint and of this daemon may differ.
	clockTolerance = 10 * time.Second
)

// ColdService says how the endpoints of a service start.
type ColdService struct {
	// PerSecond is the number of requests a second that a cold endpoint accepts from all daemons
	// together. If it is 0, there is no bound.
	PerSecond float64
	// Time is how long an endpoint is cold after its start.
	Time time.Duration
}

// Cold says how much longer an endpoint stays cold.
type Cold struct {
	// Endpoint and Started identify the incarnation of the endpoint.
	Endpoint  string
	Started   time.Time
	Remaining time.Duration
}

// coldState is how long an endpoint stays cold, and what is left of this daemon's share of its
// bound.
type coldState struct {
	// started distinguishes the incarnations of the endpoint.
	started time.Time
	// registeredUntil is the end of the cold time by the newest registration, reportedUntil by
	// responses to this daemon or another one, suspectedUntil by what this daemon alone has
	// seen. The latest one counts.
	registeredUntil time.Time
	reportedUntil   time.Time
	suspectedUntil  time.Time
	// boundSince is when this daemon's share first applied. It is zero while the bound of the
	// endpoint is not known.
	boundSince time.Time
	limiter    *rate.Limiter
}

// until returns the end of the cold time.
func (s *coldState) until() time.Time { return latest(s.knownUntil(), s.suspectedUntil) }

// knownUntil returns the end of the cold time by what all daemons have read or will be told.
func (s *coldState) knownUntil() time.Time { return latest(s.registeredUntil, s.reportedUntil) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// allows reports whether this daemon may send a request now. A token that is left from a share
// which has become 0 does not count.
func (s *coldState) allows(now time.Time) bool {
	return s.limiter.Limit() > 0 && s.limiter.TokensAt(now) >= 1
}

// SetColdServices sets which services have a bound for cold endpoints, by their name.
func (t *Tracker) SetColdServices(services map[string]ColdService) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldServices = maps.Clone(services)
	t.divideCold(t.now())
}

// SetColdShare sets the function that returns this daemon's share of the rate of a cold endpoint,
// and applies it to the endpoints that are cold.
func (t *Tracker) SetColdShare(share func(endpoint string, perSecond float64) float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldShare = share
	t.divideCold(t.now())
}

// SweepCold forgets the endpoints that are no longer cold.
func (t *Tracker) SweepCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for id, state := range t.colds {
		if !now.Before(state.until()) {
			t.forgetCold(id, state)
		}
	}
}

// forgetCold removes the state of an endpoint that is warm.
func (t *Tracker) forgetCold(id string, state *coldState) {
	if endpoint := t.endpoints[id]; endpoint != nil && state.limiter != nil && state.started.Equal(endpoint.Started) {
		t.logger.Info("endpoint is warm", "endpoint", id)
	}
	delete(t.colds, id)
}

// ColdEndpoints returns the number of registered endpoints whose requests are bounded because they
// are cold.
func (t *Tracker) ColdEndpoints() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	count := 0
	for id := range t.colds {
		if endpoint := t.endpoints[id]; endpoint != nil && t.coldOf(endpoint, now) != nil {
			count++
		}
	}
	return count
}

// RecordCold records how much longer an endpoint stays cold according to a response. It reports
// whether the other daemons need to know.
func (t *Tracker) RecordCold(cold Cold) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint := t.endpoints[cold.Endpoint]
	if endpoint == nil || t.coldServices[endpoint.Service].PerSecond <= 0 {
		return false
	}
	now := t.now()
	until := now.Add(min(cold.Remaining, MaxColdTime))
	state := t.colds[cold.Endpoint]
	known := state != nil && state.started.Equal(cold.Started) && until.Sub(state.knownUntil()) < coldTolerance
	t.reportCold(cold, until, now)
	return !known
}

// ApplyCold records how much longer an endpoint stays cold according to another daemon, which has
// observed it at a time.
func (t *Tracker) ApplyCold(cold Cold, observedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportCold(cold, observedAt.Add(min(cold.Remaining, MaxColdTime)), t.now())
}

// reportCold records that an endpoint has said in a response that it is cold until a time.
func (t *Tracker) reportCold(cold Cold, until, now time.Time) {
	t.changeCold(cold.Endpoint, cold.Started, now, func(state *coldState) { state.reportedUntil = latest(state.reportedUntil, until) })
}

// suspectCold records that an endpoint accepts no connections. If it was killed, its next
// incarnation may serve under the same id before its registration has been read.
func (t *Tracker) suspectCold(endpoint *endpointState, now time.Time) {
	service := t.coldServices[endpoint.Service]
	if service.PerSecond <= 0 {
		return
	}
	t.changeCold(endpoint.ID, endpoint.Started, now, func(state *coldState) { state.suspectedUntil = now.Add(service.Time) })
}

// WithinColdShare reports whether the chosen endpoint may get the request now. If the endpoint
// has turned cold since it was chosen, this takes the request from this daemon's share.
func (c *Choice) WithinColdShare() bool {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	state := t.coldOf(c.endpoint, now)
	if state == nil || !c.startedAt.Before(state.boundSince) {
		return true
	}
	return state.allows(now) && state.limiter.AllowN(now, 1)
}

// registerCold records what a registration says of the cold time. previous is the one before
// it, which is the zero value if the endpoint was not registered.
func (t *Tracker) registerCold(registration, previous Registration) {
	isNew := !previous.Started.Equal(registration.Started)
	if !isNew && previous.Sequence == registration.Sequence {
		return
	}
	now := t.now()
	remaining := min(registration.WarmupRemaining, MaxColdTime)
	if isNew && remaining <= 0 && t.mayBeCold(registration, now) {
		remaining = t.coldServices[registration.Service].Time
	}
	t.changeCold(registration.ID, registration.Started, now, func(state *coldState) { state.registeredUntil = now.Add(remaining) })
}

// firstSequence is the sequence of the first registration of an incarnation.
const firstSequence = 1

// mayBeCold reports whether an endpoint may be cold whose first registration to be read does not
// say that it is. Endpoints that this daemon found at its own start are warm.
func (t *Tracker) mayBeCold(registration Registration, now time.Time) bool {
	service := t.coldServices[registration.Service]
	return t.synchronised && service.PerSecond > 0 && registration.Sequence <= firstSequence &&
		now.Sub(registration.Started) < service.Time+clockTolerance
}

// changeCold changes the state of an incarnation of an endpoint, unless a later one is known. The
// state is kept only while the endpoint is cold. What an earlier incarnation has got counts
// against this daemon's share.
func (t *Tracker) changeCold(id string, started, now time.Time, change func(*coldState)) {
	state := t.colds[id]
	if state != nil && !now.Before(state.until()) {
		t.forgetCold(id, state)
		state = nil
	}
	switch {
	case state == nil:
		state = &coldState{started: started}
	case started.Before(state.started):
		return
	case started.After(state.started):
		state = &coldState{started: started, boundSince: state.boundSince, limiter: state.limiter}
	}
	t.colds[id] = state
	change(state)
	if !now.Before(state.until()) {
		t.forgetCold(id, state)
		return
	}
	t.divideColdOf(id, state, now)
}

// divideCold applies this daemon's shares of the bounds to all cold endpoints.
func (t *Tracker) divideCold(now time.Time) {
	for id, state := range t.colds {
		t.divideColdOf(id, state, now)
	}
}

// divideColdOf applies this daemon's share of the bound of a cold endpoint, if the endpoint and its
// service are known and have one.
func (t *Tracker) divideColdOf(id string, state *coldState, now time.Time) {
	endpoint := t.endpoints[id]
	if endpoint == nil {
		return
	}
	service := t.coldServices[endpoint.Service]
	if service.PerSecond <= 0 {
		state.boundSince, state.limiter = time.Time{}, nil
		return
	}
	share := rate.Limit(t.coldShare(id, service.PerSecond))
	if state.limiter != nil {
		state.limiter.SetLimitAt(now, share)
		return
	}
	state.boundSince = now
	state.limiter = rate.NewLimiter(share, burst)
	// An empty bucket as of an earlier time gets its first token after a part of the interval.
	state.limiter.AllowN(now.Add(-t.firstDelay(share)), burst)
	t.logger.Info("endpoint is cold", "endpoint", id, "remaining", noter.FormatDuration(state.until().Sub(now)), "rate", service.PerSecond, "share", float64(share))
}

// firstDelay returns a random part of the time between two requests. The daemons learn of a cold
// endpoint at about the same time and must not send their first requests together.
func (t *Tracker) firstDelay(share rate.Limit) time.Duration {
	if share <= 0 {
		return 0
	}
	return time.Duration(t.random.Float64() / float64(share) * float64(time.Second))
}

// coldOf returns the state of a cold endpoint whose requests are bounded, and nil for any
// other endpoint.
func (t *Tracker) coldOf(endpoint *endpointState, now time.Time) *coldState {
	state := t.colds[endpoint.ID]
	if state == nil || state.limiter == nil || !state.started.Equal(endpoint.Started) || !now.Before(state.until()) {
		return nil
	}
	return state
}

// coldWait returns the time until this daemon may send a request to an endpoint that may be cold:
// until its share allows one, or until the endpoint is warm.
func (t *Tracker) coldWait(endpoint *endpointState, now time.Time) time.Duration {
	state := t.coldOf(endpoint, now)
	if state == nil {
		return 0
	}
	untilWarm := state.until().Sub(now)
	if state.limiter.Limit() <= 0 {
		return untilWarm
	}
	if untilToken, ok := tokenWait(state.limiter, now); ok {
		return min(untilWarm, untilToken)
	}
	return untilWarm
}
