// Package throttler limits how many requests a daemon has at the endpoints of a pool while they
// are overloaded. Daemons that see the same load decide alike, without a message between them.
// The decisions do no I/O and read no clock.
package throttler

import (
	"math"
	"time"
)

// Sample is what a daemon sees of a pool of endpoints.
type Sample struct {
	// KnownShare is the share of the endpoints whose load recent reports tell.
	KnownShare float64
	// LeastLoad is the least number of requests for each slot at one of these endpoints.
	LeastLoad float64
	// MeanDuration is how long the daemon's requests take at the endpoints, including the wait
	// there, or 0 if unknown.
	MeanDuration time.Duration
	// Running is the number of the daemon's requests at the endpoints, Waiting that of those
	// that wait at the daemon.
	Running int
	Waiting int
	// Target is the time within which callers of the pool want a response to begin.
	Target time.Duration
}

const (
	// minKnownShare is the share of the endpoints whose load has to be known. An endpoint
	// that hangs reports no load and is no room either.
	minKnownShare = 0.9
	// busyLoad is the load of the least loaded endpoint from which requests wait at all of
	// them. Below it, an endpoint's queue is only long enough to keep its slots in use.
	busyLoad = 1.5
	// fullLoad is the load from which endpoints may turn requests away, also the most urgent
	// ones.
	fullLoad = 2.5
	// refuseLoad is the load from which requests may be refused. Reports are up to a
	// reportInterval old, and below it an endpoint may have a free slot by now.
	refuseLoad = 1.25
	// freeLoad is the load below which an endpoint has a free slot.
	freeLoad = 1
	// waitShare is the share of the target latency that a request waits at each endpoint of an
	// overloaded pool.
	waitShare = 0.25
)

// known reports whether recent reports tell enough for a decision.
func (s Sample) known() bool { return s.KnownShare >= minKnownShare }

// busy reports whether requests wait at all endpoints.
func (s Sample) busy() bool { return s.LeastLoad >= busyLoad }

// full reports whether all endpoints may turn the next request away.
func (s Sample) full() bool { return s.LeastLoad >= fullLoad }

// overloaded reports whether the waits at the endpoints call for a limit: they make responses late,
// or endpoints may turn requests away.
func (s Sample) overloaded() bool {
	return s.full() || s.busy() && s.leastWait() >= time.Duration(waitShare*float64(s.Target))
}

// leastWait returns the wait for a slot at the least loaded endpoint: the share of the duration
// that is not spent in a slot.
func (s Sample) leastWait() time.Duration {
	return time.Duration((1 - 1/max(1, s.LeastLoad)) * float64(s.MeanDuration))
}

// hasRoom reports whether an endpoint has a free slot.
func (s Sample) hasRoom() bool { return s.LeastLoad < freeLoad }

// Limit is what a daemon may do with the requests of a pool.
type Limit struct {
	// Active is set while the pool is overloaded. Otherwise there is no limit.
	Active bool
	// Requests is the number of requests that the daemon may have at the endpoints.
	Requests int
	// MostUrgent is set if the limit holds for the most urgent requests too.
	MostUrgent bool
	// MayRefuse is set if requests may be refused: no endpoint can have a free slot.
	MayRefuse bool
}

const (
	// reportInterval is the time in which each daemon of a zone hears of the load of all
	// endpoints. A change of the limit shows in the reports after it.
	reportInterval = 500 * time.Millisecond
	// growInterval is the time between increases of the limit while an endpoint has room.
	growInterval = 100 * time.Millisecond
	// busyFactor is what is left of the limit after a reportInterval of overload, fullFactor
	// if endpoints may turn requests away.
	busyFactor = 0.9
	fullFactor = 0.7
	// growFactor is the increase of the limit after a growInterval of room.
	growFactor = 1.25
	// calmTime is how long the pool must not be busy, and no request wait at the daemon, for the
	// limit to end.
	calmTime = time.Second
)

// Window is the limit of one pool. It begins with the number of requests that the daemon has at
// the endpoints, falls by a share while they are overloaded, rises by one while they are not, and
// by a share while one has room. So the limits of daemons that see the same load become equal. It is
// not safe for concurrent use.
type Window struct {
	limit float64
	// overloadedSince is when an overload began that has not led to a limit yet. calmSince is when
	// the time began in which the pool is not busy and no request waits at the daemon. Each is
	// zero if there is no such time now.
	overloadedSince time.Time
	calmSince       time.Time
	// changedAt is when the limit was last changed.
	changedAt time.Time
	// peak is the highest number of running requests since overloadedSince.
	peak int
	// state is the latest decision.
	state Limit
}

// NewWindow returns a window without a limit.
func NewWindow() *Window { return &Window{} }

// Limit returns the latest decision.
func (w *Window) Limit() Limit { return w.state }

// Watching reports whether there is an overload that has not led to a limit yet.
func (w *Window) Watching() bool { return !w.overloadedSince.IsZero() }

// Observe updates the limit for what the daemon sees at a time, and returns it.
func (w *Window) Observe(sample Sample, now time.Time) Limit {
	switch {
	case !sample.known():
		*w = Window{}
	case !w.state.Active:
		w.watch(sample, now)
	default:
		w.adjust(sample, now)
	}
	return w.state
}

// watch starts the limit once the overload has lasted for a reportInterval, so that it shows in
// two reports of each endpoint.
func (w *Window) watch(sample Sample, now time.Time) {
	if !sample.overloaded() {
		*w = Window{}
		return
	}
	if w.overloadedSince.IsZero() {
		w.overloadedSince = now
	}
	w.peak = max(w.peak, sample.Running)
	if now.Sub(w.overloadedSince) < reportInterval {
		return
	}
	*w = Window{limit: float64(max(1, w.peak)), changedAt: now}
	w.setState(sample)
}

// adjust changes an active limit, or ends it.
func (w *Window) adjust(sample Sample, now time.Time) {
	if w.isCalm(sample, now) {
		*w = Window{}
		return
	}
	elapsed := now.Sub(w.changedAt)
	inUse := float64(sample.Running) >= math.Floor(w.limit)
	switch {
	case sample.hasRoom():
		if elapsed >= growInterval && inUse {
			w.change(max(w.limit+1, growFactor*w.limit), now)
		}
	case elapsed < reportInterval:
	case sample.full():
		w.change(max(1, fullFactor*w.limit), now)
	case sample.busy():
		w.change(max(1, busyFactor*w.limit), now)
	case inUse:
		w.change(w.limit+1, now)
	}
	w.setState(sample)
}

func (w *Window) change(limit float64, now time.Time) {
	w.limit = limit
	w.changedAt = now
}

// isCalm reports whether, for calmTime, the pool has not been busy and no request has waited at the
// daemon.
func (w *Window) isCalm(sample Sample, now time.Time) bool {
	if sample.busy() || sample.Waiting > 0 {
		w.calmSince = time.Time{}
		return false
	}
	if w.calmSince.IsZero() {
		w.calmSince = now
	}
	return now.Sub(w.calmSince) >= calmTime
}

// setState sets the decision. The limit holds for the most urgent requests from full until the
// pool is not even busy.
func (w *Window) setState(sample Sample) {
	w.state = Limit{
		Active:     true,
		Requests:   int(w.limit),
		MostUrgent: sample.full() || w.state.MostUrgent && sample.busy(),
		MayRefuse:  sample.LeastLoad >= refuseLoad,
	}
}
