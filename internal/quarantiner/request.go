package quarantiner

import (
	"maps"
	"slices"
	"time"
)

const (
	// RequestLifetime is how long a request that may crash endpoints is remembered after its
	// last crash.
	RequestLifetime = time.Hour
	// spreadTime is the time within which all daemons know of a crash. A request that crashes
	// an endpoint later than that after the second one counts as a trial: there may have been
	// another crash that nobody saw.
	spreadTime = 3 * time.Second
	// earlyTrialDelay is the time until the first trial of a request whose crashes came at once.
	// They may be a fault of another kind, and the endpoints are away for some seconds anyway.
	earlyTrialDelay = 5 * time.Second
	// maxRequestTrials bounds the trials of a request by all daemons together. One that crashes
	// an endpoint counts twice.
	maxRequestTrials = 2
	// otherTrialDelay is what a client is told to wait while another daemon may make a trial.
	otherTrialDelay = 5 * time.Second
	// maxRequests bounds the requests that are remembered.
	// If there are more, the oldest one of a random sample is forgotten.
	maxRequests = 4096
	roomSample  = 16
)

// request is a request, known by a digest, that was at a crashed endpoint.
type request struct {
	digest uint64
	// crashes holds the times of the crashes by endpoint.
	crashes map[string]time.Time
	// known is the number of crashes, including those that a response has cleared since.
	known int
	// trials holds when a daemon sent the request as a trial, by daemon.
	trials      map[string]time.Time
	quarantined bool
	// soundReportedAt is when this daemon last reported that the request is sound.
	soundReportedAt time.Time
}

func newRequest(digest uint64) *request {
	return &request{digest: digest, crashes: map[string]time.Time{}, trials: map[string]time.Time{}}
}

// times returns the sorted times of the crashes.
func (r *request) times() []time.Time {
	times := make([]time.Time, 0, len(r.crashes))
	for _, at := range r.crashes {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// isCause reports whether the crashes show that the request causes them.
func (r *request) isCause() bool { return len(r.crashes) >= minCrashes }

// isDominated reports whether another request explains all crashes of this one, and more.
func (r *request) isDominated(other *request) bool {
	if len(other.crashes) <= len(r.crashes) {
		return false
	}
	for endpoint := range r.crashes {
		if _, ok := other.crashes[endpoint]; !ok {
			return false
		}
	}
	return true
}

// spentTrials returns the number of trials that count. A trial that has crashed an endpoint counts
// twice, as a trial and as a late crash.
func (r *request) spentTrials() int {
	spent := len(r.trials)
	times := r.times()
	for _, at := range times {
		if at.Sub(times[min(1, len(times)-1)]) > spreadTime {
			spent++
		}
	}
	return spent
}

// nextTrial returns when the next trial is due. It returns false if there is none.
func (r *request) nextTrial() (due time.Time, ok bool) {
	if r.spentTrials() >= maxRequestTrials {
		return time.Time{}, false
	}
	times := r.times()
	last := times[len(times)-1]
	if len(r.trials) == 0 && last.Sub(times[0]) < momentLength {
		return last.Add(earlyTrialDelay), true
	}
	for _, at := range r.trials {
		if at.After(last) {
			last = at
		}
	}
	return last.Add(trialDelay), true
}

// lastCrash returns the time of the last crash, or the zero time.
func (r *request) lastCrash() time.Time {
	var last time.Time
	for _, at := range r.crashes {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// lifetime returns how long the crashes count. A single one proves little.
func (r *request) lifetime() time.Duration {
	if len(r.crashes) > 1 {
		return RequestLifetime
	}
	return Lifetime
}

// Verdict says whether a request may be sent.
type Verdict struct {
	// Blocked is set if it must not be. RetryAfter is when the client may try again.
	Blocked    bool
	RetryAfter time.Duration
	// Suspected is set if it was at a crashed endpoint and may be sent. It must not be given up
	// while its endpoint may still crash, because nobody would see that.
	Suspected bool
	// Trial is set if it may be sent to see whether it still crashes endpoints.
	Trial bool
}

// SuspectsRequests reports whether requests are remembered that were at crashed endpoints. If not,
// no digest is needed.
func (q *Quarantine) SuspectsRequests() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.requests) > 0
}

// CheckRequest returns whether a request may be sent by this daemon, which has a name. IsRanked
// reports whether the daemon has a rank, from 0, in an order of all daemons that depends on the
// request; the trials are made by the daemons in this order.
func (q *Quarantine) CheckRequest(digest uint64, now time.Time, daemon string, isRanked func(rank int) bool) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.requests[digest]
	if r == nil || !r.quarantined {
		return Verdict{Suspected: r != nil && len(r.crashes) > 0}
	}
	due, hasTrial := r.nextTrial()
	if !hasTrial {
		due = r.lastCrash().Add(RequestLifetime)
	}
	if wait := due.Sub(now); !hasTrial || wait > 0 {
		return Verdict{Blocked: true, RetryAfter: max(minRetryAfter, wait)}
	}
	_, hasTried := r.trials[daemon]
	if hasTried || !isRanked(r.spentTrials()) {
		return Verdict{Blocked: true, RetryAfter: otherTrialDelay}
	}
	return Verdict{Suspected: true, Trial: true}
}

// BeginTrial records that this daemon sends a request as a trial, of which other daemons must learn
// before. It returns false if the daemon has done so before, possibly at this moment.
func (q *Quarantine) BeginTrial(digest uint64, daemon string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.request(digest)
	if _, hasTried := r.trials[daemon]; hasTried {
		return false
	}
	r.trials[daemon] = now
	return true
}

// RecordTrial records that a daemon has sent a request as a trial.
func (q *Quarantine) RecordTrial(digest uint64, daemon string, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at.Before(q.soundRequests[digest]) {
		return
	}
	q.request(digest).trials[daemon] = at
}

// request returns the request with a digest, which it adds if it is not known.
func (q *Quarantine) request(digest uint64) *request {
	r := q.requests[digest]
	if r == nil {
		q.makeRoom()
		r = newRequest(digest)
		q.requests[digest] = r
	}
	return r
}

// makeRoom forgets a request that was at a crash long ago if there are too many.
func (q *Quarantine) makeRoom() {
	if len(q.requests) < maxRequests {
		return
	}
	var oldest *request
	sampled := 0
	for _, r := range q.requests {
		if r.quarantined {
			continue
		}
		if oldest == nil || r.lastCrash().Before(oldest.lastCrash()) {
			oldest = r
		}
		if sampled++; sampled == roomSample {
			break
		}
	}
	if oldest != nil {
		delete(q.requests, oldest.digest)
	}
}

// recordRequestCrash records that an endpoint crashed while it had a request.
func (q *Quarantine) recordRequestCrash(crash Crash) {
	if crash.At.Before(q.soundRequests[crash.Part]) {
		return
	}
	r := q.request(crash.Part)
	at, known := r.crashes[crash.Endpoint]
	// What the log holds of a crash may make it look newer than it is.
	if known && !crash.At.Before(at) {
		return
	}
	r.crashes[crash.Endpoint] = crash.At
	if !known {
		r.known++
	}
	if !r.quarantined && r.isCause() && !q.isDominatedRequest(r) {
		r.quarantined = true
		q.quarantinedRequests++
		q.onChange(r.change())
	}
	q.releaseDominatedRequests(r)
}

// isDominatedRequest reports whether a quarantined request explains all crashes of another one, and
// more.
func (q *Quarantine) isDominatedRequest(r *request) bool {
	for _, other := range q.requests {
		if other.quarantined && r.isDominated(other) {
			return true
		}
	}
	return false
}

// releaseDominatedRequests ends the quarantine of requests that were at no other crashes than a
// quarantined one.
func (q *Quarantine) releaseDominatedRequests(by *request) {
	if !by.quarantined {
		return
	}
	for _, r := range q.requests {
		if r.quarantined && r.isDominated(by) {
			q.releaseRequest(r)
		}
	}
}

func (r *request) change() Change {
	return Change{Part: r.digest, Whole: true, Quarantined: r.quarantined, Crashes: len(r.crashes)}
}

// RecordRequestServed records that an endpoint wrote more than the beginning of a response to a
// request that began at a time. It reports whether other daemons must learn of it, because they may take
// the request for the cause of crashes, and for how long the report counts.
func (q *Quarantine) RecordRequestServed(digest uint64, began, now time.Time) (lifetime time.Duration, report bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.requests[digest]
	if r == nil {
		return 0, false
	}
	// Reports of crashes before it may still be on their way.
	q.soundRequests[digest] = latest(q.soundRequests[digest], began)
	hasCleared := q.markRequestSound(r, began)
	// The others count crashes that this response has cleared, be it a single one so far.
	if !hasCleared && (r.known < minCrashes-1 || now.Sub(r.soundReportedAt) < soundInterval) {
		return 0, false
	}
	r.soundReportedAt = now
	if r.known < minCrashes-1 {
		// As long as the only crash is reported for.
		return Lifetime, true
	}
	return RequestLifetime, true
}

// RecordRequestSound records that another daemon has seen a response to a request that began at a
// time.
func (q *Quarantine) RecordRequestSound(digest uint64, began time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.soundRequests[digest] = latest(q.soundRequests[digest], began)
	if r := q.requests[digest]; r != nil {
		q.markRequestSound(r, began)
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// markRequestSound drops the crashes and trials before a response began. It reports whether there were
// such crashes.
func (q *Quarantine) markRequestSound(r *request, began time.Time) (hasCleared bool) {
	isBefore := func(_ string, at time.Time) bool { return at.Before(began) }
	crashes := len(r.crashes)
	maps.DeleteFunc(r.crashes, isBefore)
	maps.DeleteFunc(r.trials, isBefore)
	if !r.isCause() {
		q.releaseRequest(r)
	}
	return len(r.crashes) < crashes
}

// releaseRequest ends the quarantine of a request.
func (q *Quarantine) releaseRequest(r *request) {
	if r.quarantined {
		r.quarantined = false
		q.quarantinedRequests--
		q.onChange(r.change())
	}
}

// sweepRequests forgets the requests whose crashes no longer count.
func (q *Quarantine) sweepRequests(now time.Time) {
	removeExpired(q.soundRequests, now, RequestLifetime)
	for digest, r := range q.requests {
		removeExpired(r.trials, now, RequestLifetime)
		if now.Sub(r.lastCrash()) < r.lifetime() || len(r.trials) > 0 {
			continue
		}
		q.releaseRequest(r)
		delete(q.requests, digest)
	}
}

// isExplainedByRequest reports whether one request was at all crashes of a part, so that the request
// as a whole may be their cause.
func (q *Quarantine) isExplainedByRequest(s *suspect) bool {
	for _, r := range q.requests {
		if len(r.crashes) >= len(s.crashes) && len(s.crashes) > 0 && len(s.unexplained(asSet(r.crashes))) == 0 {
			return true
		}
	}
	return false
}
