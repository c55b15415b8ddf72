package tracker

import "time"

// silence is what this daemon knows of an endpoint that did not respond in time. The endpoint may
// hang or be cut off, or it may only have a long queue.
type silence struct {
	// count is the number of requests taken back, one after the other, since the endpoint last
	// responded. recordedAt is when the last of them was.
	count      int
	recordedAt time.Time
	// until is when the next request may be sent.
	until time.Time
}

// recordTakeBack records that a request, which was sent at a time, was taken back. Those that were
// sent before the last such record say nothing new.
func (s *silence) recordTakeBack(sentAt, now time.Time) {
	if sentAt.Before(s.recordedAt) {
		return
	}
	s.count++
	s.recordedAt = now
	s.until = now.Add(s.pause())
}

// recordPick records that a request is sent. One request at a time shows whether a silent
// endpoint responds again.
func (s *silence) recordPick(now time.Time) {
	if s.count > 0 {
		s.until = now.Add(s.pause())
	}
}

// recordResponse records that the endpoint has responded, also with a refusal.
func (s *silence) recordResponse() { *s = silence{} }

// blocked reports whether the endpoint gets no requests at the time.
func (s *silence) blocked(now time.Time) bool { return now.Before(s.until) }

// pause returns the time without requests, which doubles with each request that is taken back.
func (s *silence) pause() time.Duration {
	return min(maxDownTime, minDownTime<<min(s.count-1, 4))
}

// TakeBack records that the request was taken back from the endpoint because it waited too long.
// It ends the choice. The endpoint gets one request at a time until it begins a response; a single
// long wait is no evidence that it fails, so it is not ejected.
func (c *Choice) TakeBack() {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if c.end(now) {
		c.endpoint.silence.recordTakeBack(c.startedAt, now)
	}
}

// ReportRefusal records that the endpoint refused the request, so that it is not silent.
func (c *Choice) ReportRefusal() {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.endpoint.silence.recordResponse()
	c.endpoint.misdirection.recordResponse()
}
