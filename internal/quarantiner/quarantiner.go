// Package quarantiner finds the requests and the parts of prompts that crash endpoints, from
// the crashes that all daemons report, and says which requests must not be sent. It does no
// I/O: times are arguments, and what other daemons must learn is returned.
//
// An endpoint that crashes takes many requests with it. Only those whose response had no
// more than begun may have caused the crash, and rather those whose response had begun. Of
// their parts, the one that caused it is in many crashes and in no served request. A part
// before it in the prompt is in as many crashes where requests with it are rare, so of
// several parts that explain the same crashes the last one in the prompt is taken.
//
// A request as a whole may come again, under another id. It is taken for the cause of its
// crashes unless it was served in between, and its parts are not if it explains all of theirs.
package quarantiner

import (
	"slices"
	"sync"
	"time"
)

const (
	// minCrashes is the number of moments with crashes after which a part is quarantined,
	// if it explains at least half of the moments since the first of them.
	minCrashes = 3
	// minCrashesIfDoubtful applies to a part that is less likely to be the cause: requests
	// with it were served in the servedWindow before its first crash, and must then fail
	// to be served again for servedAgainTime, or a later part of the prompt is in most of
	// the crashes too, or no endpoint had begun to respond.
	minCrashesIfDoubtful = 5
	servedWindow         = 10 * time.Second
	servedAgainTime      = time.Second
	// settleTime is how long so many crashes must go without a likelier cause, because
	// the reports of one crash come from several daemons.
	settleTime = 150 * time.Millisecond
	// Lifetime is how long a crash counts.
	Lifetime = 10 * time.Minute
	// trialDelay is the time from the last crash until one request with the part is sent
	// again to see whether it still crashes endpoints. It doubles with each trial.
	trialDelay = 20 * time.Second
	// minRetryAfter is the least time that a client is told to wait.
	minRetryAfter = time.Second
	// soundInterval is the least time between two reports that a part is sound.
	soundInterval = 500 * time.Millisecond
)

// Quarantine holds the parts and the requests that are suspected or quarantined. It is safe for
// concurrent use.
type Quarantine struct {
	mu       sync.Mutex
	suspects map[uint64]*suspect
	// crashed holds when an endpoint crashed.
	crashed map[string]time.Time
	// served holds when a request with a part was last served, sound when the last response
	// began that another daemon has reported. Reports come in any order.
	served map[uint64]time.Time
	sound  map[uint64]time.Time
	// quarantined is the number of quarantined parts, pending that of the parts that may
	// soon be.
	quarantined int
	pending     int
	// requests holds the requests that were at a crashed endpoint by digest, soundRequests when
	// the last response to one began that another daemon has reported.
	requests            map[uint64]*request
	soundRequests       map[uint64]time.Time
	quarantinedRequests int
	onChange            func(Change)
}

// Change says that a part, or a request as a whole, is quarantined, or no longer is.
type Change struct {
	// Part is the id of the part, or the digest of a whole request.
	Part        uint64
	Whole       bool
	Place       int
	Quarantined bool
	// Crashes is the number of endpoints that crashed.
	Crashes int
}

// New returns a quarantine without parts. It calls onChange, which must not call it, with
// each change.
func New(onChange func(Change)) *Quarantine {
	return &Quarantine{
		suspects:      map[uint64]*suspect{},
		crashed:       map[string]time.Time{},
		served:        map[uint64]time.Time{},
		sound:         map[uint64]time.Time{},
		requests:      map[uint64]*request{},
		soundRequests: map[uint64]time.Time{},
		onChange:      onChange,
	}
}

// Crash says that an endpoint crashed while it had a request with a part, and had written
// no more than the beginning of the response.
type Crash struct {
	// Part is the id of the part, or the digest of a whole request.
	Part  uint64
	Whole bool
	// Known is set if the whole request was at another crashed endpoint before.
	Known bool
	// Place is the place of the part in the prompt, from 0.
	Place int
	// Endpoint is the id and incarnation of the endpoint.
	Endpoint string
	// Begun is set if the endpoint had begun to respond.
	Begun bool
	At    time.Time
	// Record is what was known of the part when the crash was recorded in the log, or nil if it was
	// not read there.
	Record *Record
}

// Record is what was known of a part when its crashes were recorded in the log.
type Record struct {
	Quarantined bool
	// ServedBefore is set if requests with the part were served shortly before its first crash.
	ServedBefore bool
}

// Suspects returns the crashes of a request that was at a crashed endpoint, as a whole and by its
// shared parts. If it is quarantined, it explains the crash alone; if a part is, the other parts are
// not reported.
func (q *Quarantine) Suspects(endpoint string, parts []uint64, digest uint64, begun bool, at time.Time) []Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.requests[digest]
	whole := Crash{Part: digest, Whole: true, Known: r != nil && r.known > 0, Endpoint: endpoint, Begun: begun, At: at}
	crashes := []Crash{whole}
	if r != nil && r.quarantined {
		return crashes
	}
	for place, id := range parts {
		crash := Crash{Part: id, Place: place, Endpoint: endpoint, Begun: begun, At: at}
		if s := q.suspects[id]; s != nil && s.quarantined {
			return []Crash{whole, crash}
		}
		crashes = append(crashes, crash)
	}
	return crashes
}

// RecordCrashes records crashes that this or another daemon has seen.
func (q *Quarantine) RecordCrashes(crashes []Crash, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, crash := range crashes {
		if crash.Whole {
			q.recordRequestCrash(crash)
			continue
		}
		if crash.At.Before(q.sound[crash.Part]) {
			continue
		}
		s := q.suspects[crash.Part]
		if s == nil {
			servedAt, served := q.served[crash.Part]
			s = &suspect{id: crash.Part, place: crash.Place, crashes: map[string]time.Time{}, begun: map[string]bool{}, servedBefore: served && now.Sub(servedAt) < servedWindow, onRecord: true}
			q.suspects[crash.Part] = s
		}
		q.applyRecord(s, crash.Record)
		if _, known := q.crashed[crash.Endpoint]; !known {
			q.crashed[crash.Endpoint] = crash.At
		}
		if _, known := s.crashes[crash.Endpoint]; !known {
			// Reports of one crash differ by a little.
			s.crashes[crash.Endpoint] = q.crashed[crash.Endpoint]
		}
		if crash.Begun {
			s.begun[crash.Endpoint] = true
		}
	}
	q.evaluate(now)
}

// applyRecord applies what was known of a part when a crash was recorded, unless this daemon knows of a
// crash itself or from others.
func (q *Quarantine) applyRecord(s *suspect, record *Record) {
	switch {
	case record == nil:
		s.onRecord = false
	case s.onRecord:
		s.servedBefore = record.ServedBefore
		if record.Quarantined && !s.quarantined {
			q.quarantinePart(s)
		}
	}
}

// evaluate quarantines the parts that cause the crashes. A part that is known from records alone was not
// the cause with these crashes, unless the records say so.
func (q *Quarantine) evaluate(now time.Time) {
	explained := map[string]bool{}
	q.pending = 0
	q.releaseDominated()
	for _, s := range q.byLikelihood() {
		if !s.quarantined {
			moments := s.unexplained(explained)
			if s.onRecord || !q.isCause(s, len(moments), now) || !q.inMostMoments(s, len(moments), explained) {
				s.causeSince = time.Time{}
				continue
			}
			q.settle(s, now)
		}
		for endpoint := range s.crashes {
			explained[endpoint] = true
		}
	}
}

// inMostMoments reports whether a part, which is in so many moments, is in at least half of those since
// its first crash whose crashes are not in the set.
func (q *Quarantine) inMostMoments(s *suspect, moments int, explained map[string]bool) bool {
	return 2*moments >= q.momentsSince(s.firstCrash(), explained)
}

// momentsSince returns the number of moments from a time on with crashes that are not in the
// set.
func (q *Quarantine) momentsSince(first time.Time, explained map[string]bool) int {
	moments := map[moment]bool{}
	for endpoint, at := range q.crashed {
		if !explained[endpoint] && momentOf(at) >= momentOf(first) {
			moments[momentOf(at)] = true
		}
	}
	return len(moments)
}

// releaseDominated ends the quarantine of parts that were taken for the cause before there
// were reports on the part, or the request, that is.
func (q *Quarantine) releaseDominated() {
	for _, s := range q.suspects {
		if !s.quarantined {
			continue
		}
		if q.isExplainedByRequest(s) {
			q.release(s)
			continue
		}
		for _, other := range q.suspects {
			if s.isDominated(other) {
				q.release(s)
				break
			}
		}
	}
}

// isCause reports whether so many crashes, which no likelier part explains, show that a
// part causes them.
func (q *Quarantine) isCause(s *suspect, unexplained int, now time.Time) bool {
	switch {
	case unexplained < minCrashes || q.isExplainedByRequest(s):
		return false
	case s.servedBefore:
		return unexplained >= minCrashesIfDoubtful && now.Sub(s.firstCrash()) >= servedAgainTime
	case unexplained >= minCrashesIfDoubtful:
		return true
	case len(s.begun) == 0:
		return false
	}
	for _, other := range q.suspects {
		if s.isRival(other) {
			return false
		}
	}
	return true
}

// settle quarantines a cause unless a likelier one may still be reported.
func (q *Quarantine) settle(s *suspect, now time.Time) {
	if s.causeSince.IsZero() {
		s.causeSince = now
	}
	if now.Sub(s.causeSince) < settleTime {
		q.pending++
		return
	}
	q.quarantinePart(s)
}

func (q *Quarantine) quarantinePart(s *suspect) {
	s.quarantined = true
	q.quarantined++
	q.onChange(Change{Part: s.id, Place: s.place, Quarantined: true, Crashes: len(s.crashes)})
}

// release ends the quarantine of a part.
func (q *Quarantine) release(s *suspect) {
	if s.quarantined {
		s.quarantined = false
		q.quarantined--
		q.onChange(Change{Part: s.id, Place: s.place, Crashes: len(s.crashes)})
	}
	s.causeSince = time.Time{}
}

// byLikelihood returns the suspects, the likeliest causes first.
func (q *Quarantine) byLikelihood() []*suspect {
	list := make([]*suspect, 0, len(q.suspects))
	for _, s := range q.suspects {
		list = append(list, s)
	}
	slices.SortFunc(list, compareLikelihood)
	return list
}

// RecordServed records that an endpoint wrote more than the beginning of a response that
// began at a time to a request with the parts. It returns the parts among them that other
// daemons may take for the cause of crashes.
func (q *Quarantine) RecordServed(parts []uint64, began, now time.Time) (sound []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range parts {
		q.served[id] = now
		s := q.suspects[id]
		if s == nil {
			continue
		}
		mayBeCause := s.quarantined || len(s.crashes) >= minCrashes-1
		if q.markSound(s, began, now) && mayBeCause && now.Sub(s.soundReportedAt) >= soundInterval {
			s.soundReportedAt = now
			sound = append(sound, id)
		}
	}
	return sound
}

// RecordSound records that another daemon has seen a response to a request with the part
// that began at a time.
func (q *Quarantine) RecordSound(id uint64, began, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if began.After(q.sound[id]) {
		q.sound[id] = began
	}
	if s := q.suspects[id]; s != nil {
		q.markSound(s, began, now)
	}
}

// markSound drops the crashes before a response began, which the part has not caused. It
// reports whether there were any.
func (q *Quarantine) markSound(s *suspect, began, now time.Time) bool {
	before := len(s.crashes)
	for endpoint, at := range s.crashes {
		if at.Before(began) {
			delete(s.crashes, endpoint)
			delete(s.begun, endpoint)
		}
	}
	if len(s.crashes) == before {
		return false
	}
	s.servedBefore = true
	q.release(s)
	q.evaluate(now)
	return true
}

// Check reports whether a request with the parts must not be sent, because of which part,
// and when the client may try again. mayTry reports whether this daemon is the one that
// tries whether a part still crashes endpoints.
func (q *Quarantine) Check(parts []uint64, now time.Time, mayTry func(part uint64) bool) (part uint64, retryAfter time.Duration, blocked bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending > 0 {
		q.evaluate(now)
	}
	if q.quarantined == 0 {
		return 0, 0, false
	}
	for _, id := range parts {
		s := q.suspects[id]
		if s == nil || !s.quarantined {
			continue
		}
		if wait := s.nextTrial().Sub(now); wait > 0 || !mayTry(id) {
			return id, max(minRetryAfter, wait), true
		}
		s.trialAt = now
	}
	return 0, 0, false
}

// MayRepeat reports whether a request with the parts, which was at a crashed endpoint, may
// be sent to another one: neither it nor one of its parts is in several crashes and otherwise
// unknown.
func (q *Quarantine) MayRepeat(parts []uint64, digest uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.requests[digest]; r != nil && len(r.crashes) > 1 {
		return false
	}
	for _, id := range parts {
		if s := q.suspects[id]; s != nil && !s.servedBefore && len(s.crashes) > 1 {
			return false
		}
	}
	return true
}

// Sweep forgets crashes and served requests that no longer count.
func (q *Quarantine) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	removeExpired(q.crashed, now, Lifetime)
	removeExpired(q.sound, now, Lifetime)
	removeExpired(q.served, now, servedWindow)
	q.sweepRequests(now)
	for id, s := range q.suspects {
		for endpoint, at := range s.crashes {
			if now.Sub(at) >= Lifetime {
				delete(s.crashes, endpoint)
				delete(s.begun, endpoint)
			}
		}
		if len(s.crashes) > 0 {
			continue
		}
		q.release(s)
		delete(q.suspects, id)
	}
	q.evaluate(now)
}

// removeExpired removes the times that are older than a lifetime.
func removeExpired[K comparable](times map[K]time.Time, now time.Time, lifetime time.Duration) {
	for key, at := range times {
		if now.Sub(at) >= lifetime {
			delete(times, key)
		}
	}
}

// RequestCounts returns the numbers of suspected and of quarantined requests.
func (q *Quarantine) RequestCounts() (suspects, quarantined int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.requests), q.quarantinedRequests
}

// Counts returns the numbers of suspected and of quarantined parts.
func (q *Quarantine) Counts() (suspects, quarantined int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.suspects), q.quarantined
}
