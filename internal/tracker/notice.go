package tracker

import (
	"maps"
	"time"
)

const (
	// maxPause bounds the pause that an endpoint may ask for, so that a wrong number does not
	// take it out of service for good.
	maxPause = 10 * time.Minute
	// noticeLifetime is how long a notice is kept after the last response with one. An
	// endpoint that leaves is gone long before.
	noticeLifetime = 10 * time.Minute
)

// notice is what an endpoint has asked this daemon for in its responses. It is kept apart from
// the registration, which may expire and come back while the same process runs.
type notice struct {
	// started distinguishes the incarnations of the endpoint.
	started time.Time
	// leaving is set if the endpoint is about to stop, pausedUntil is the end of the
	// longest pause that it has asked for.
	leaving     bool
	pausedUntil time.Time
	// changedAt is when the endpoint last asked for something.
	changedAt time.Time
}

// ReportLeaving records that the endpoint has said that it is leaving. It gets no more work
// from this daemon until another process has its id.
func (c *Choice) ReportLeaving() {
	c.tracker.recordNotice(c.Registration, func(n *notice, _ time.Time) {
		if !n.leaving {
			c.tracker.logChange("endpoint says that it is leaving", c.Registration)
		}
		n.leaving = true
	})
}

// ReportPause records that the endpoint wants no requests from this daemon for a time. A shorter
// pause does not end a longer one.
func (c *Choice) ReportPause(pause time.Duration) {
	c.tracker.recordNotice(c.Registration, func(n *notice, now time.Time) {
		until := now.Add(min(pause, maxPause))
		if now.After(n.pausedUntil) {
			c.tracker.logChange("endpoint asks for a pause", c.Registration)
		}
		if until.After(n.pausedUntil) {
			n.pausedUntil = until
		}
	})
}

// recordNotice changes the notice of an endpoint.
func (t *Tracker) recordNotice(registration Registration, change func(n *notice, now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	maps.DeleteFunc(t.notices, func(_ string, n *notice) bool { return now.Sub(n.changedAt) > noticeLifetime })
	current := t.notices[registration.ID]
	if current != nil && current.started.After(registration.Started) {
		return
	}
	if current == nil || !current.started.Equal(registration.Started) {
		current = &notice{started: registration.Started}
		t.notices[registration.ID] = current
	}
	change(current, now)
	current.changedAt = now
}

// noticeOf returns the notice of an endpoint's incarnation, or nil if there is none.
func (t *Tracker) noticeOf(endpoint *endpointState) *notice {
	if len(t.notices) == 0 {
		return nil
	}
	current := t.notices[endpoint.ID]
	if current == nil || !current.started.Equal(endpoint.Started) {
		return nil
	}
	return current
}

// leaving reports whether the endpoint has said that it is leaving.
func (t *Tracker) leaving(endpoint *endpointState) bool {
	current := t.noticeOf(endpoint)
	return current != nil && current.leaving
}

// pauseLeft returns the rest of the pause that the endpoint has asked for.
func (t *Tracker) pauseLeft(endpoint *endpointState, now time.Time) time.Duration {
	current := t.noticeOf(endpoint)
	if current == nil {
		return 0
	}
	return max(0, current.pausedUntil.Sub(now))
}
