package tracker

import (
	"slices"
	"time"
)

const (
	// minMisdirectedTime is how long an endpoint gets no requests after another one has responded at
	// its address. The time doubles with each such response in a row, up to maxMisdirectedTime.
	minMisdirectedTime = 10 * time.Second
	maxMisdirectedTime = 2 * time.Minute
	// misdirectedTrialTime is the time between two requests to an endpoint whose address may still
	// be in use by another one.
	misdirectedTrialTime = time.Second
)

// misdirection is what is known of another endpoint that responded at the address of this one. It ends
// when the endpoint responds there. Until then the endpoint gets requests one at a time, the first
// after a time, or once a newer registration shows that the endpoint lives.
type misdirection struct {
	// count is the number of such responses, one after the other, since the endpoint last responded.
	// recordedAt is when the last of them was.
	count      int
	recordedAt time.Time
	// until is when the address may be tried again, trialUntil when the trial that is under way counts
	// as lost.
	until      time.Time
	trialUntil time.Time
}

// record records such a response to a request that was sent at a time. It returns false if the request
// was sent before the last such response, so that it says nothing new.
func (m *misdirection) record(sentAt, now time.Time) bool {
	if m.count > 0 && !sentAt.After(m.recordedAt) {
		return false
	}
	m.count++
	m.recordedAt = now
	m.trialUntil = time.Time{}
	m.until = now.Add(min(maxMisdirectedTime, minMisdirectedTime<<min(m.count-1, 4)))
	return true
}

// recordPick records that a request is sent.
func (m *misdirection) recordPick(now time.Time) {
	if m.count > 0 {
		m.trialUntil = now.Add(misdirectedTrialTime)
	}
}

// recordRegistration records that the endpoint has registered again, which it would not do if it had
// ended and another one had its address.
func (m *misdirection) recordRegistration() { m.until = time.Time{} }

// recordResponse records that the endpoint has responded at its address.
func (m *misdirection) recordResponse() { *m = misdirection{} }

// blocked reports whether another endpoint counts as having the address at the time.
func (m *misdirection) blocked(now time.Time) bool { return now.Before(m.until) }

// onTrial reports whether a request that shows who has the address is under way.
func (m *misdirection) onTrial(now time.Time) bool { return now.Before(m.trialUntil) }

// active reports whether another endpoint may have the address.
func (m *misdirection) active() bool { return m.count > 0 }

// ReportMisdirected records that another endpoint responded at the address.
func (c *Choice) ReportMisdirected() {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isCurrent(c.Registration) {
		return
	}
	if c.endpoint.misdirection.record(c.startedAt, t.now()) {
		t.logChange("address is in use by another endpoint", c.Registration)
	}
}

// LacksModel reports whether all endpoints of a service list the models that they serve, and none
// lists this one.
func (t *Tracker) LacksModel(service, model string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	hasEndpoint := false
	for _, endpoint := range t.endpoints {
		if endpoint.Service != service {
			continue
		}
		hasEndpoint = true
		if len(endpoint.Models) == 0 || slices.Contains(endpoint.Models, model) {
			return false
		}
	}
	return hasEndpoint && t.synchronised
}
