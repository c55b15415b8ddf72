package tracker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalgrade.example/quetzalgrade/internal/forecaster"
	"quetzalgrade.example/quetzalgrade/internal/picker"
)

// Query describes a request for which an endpoint is chosen.
type Query struct {
	Service string
	// Caller identifies whose request it is. Requests without a client account have the same one.
	Caller string
	// OnlyVersion restricts the choice to endpoints of this version; empty
	// allows any version.
	OnlyVersion string
	// ExceptVersion excludes the endpoints of this version; empty excludes none.
	ExceptVersion string
	// Model is the model that the endpoint must serve; empty allows any. An
	// endpoint that lists no models matches every model.
	Model string
	// PrefixKey is the hash of the prompt's shared prefix; 0 means that there is
	// none.
	PrefixKey uint64
	// SharedTokens is the length of the shared prefix in tokens, PromptTokens
	// that of the whole prompt.
	SharedTokens int
	PromptTokens int
	// TargetLatency is the time within which the response should begin, or 0 for none.
	TargetLatency time.Duration
	// Events is the expected number of events of the response; 0 means unknown.
	Events int
	// SubsetShare is the share of the eligible endpoints that may be used; 0
	// means all.
	SubsetShare float64
	// Tried holds the ids of endpoints that must not be chosen again.
	Tried []string
}

// matches reports whether the endpoint satisfies the query's constraints.
func (q *Query) matches(endpoint *endpointState) bool {
	if endpoint.Service != q.Service || slices.Contains(q.Tried, endpoint.ID) {
		return false
	}
	if q.OnlyVersion != "" && endpoint.Version != q.OnlyVersion || q.ExceptVersion != "" && endpoint.Version == q.ExceptVersion {
		return false
	}
	return q.Model == "" || len(endpoint.Models) == 0 || slices.Contains(endpoint.Models, q.Model)
}

// Choice is the endpoint chosen for one attempt of a request. It records the
// results of the attempt in the tracker.
type Choice struct {
	tracker  *Tracker
	endpoint *endpointState
	query    Query
	// prefill is the expected prefill time of the prompt, without queueing.
	prefill   time.Duration
	startedAt time.Time
	// prefillDone is set once the prompt no longer counts as pending prefill.
	prefillDone bool
	// responseEndedAt is when the endpoint had sent the whole response, or zero.
	responseEndedAt time.Time
	ended           bool
	Registration
	// Load is the endpoint's load in requests when it was chosen.
	Load int
	// Backlog is the time that the prompt was expected to wait before its
	// prefill.
	Backlog time.Duration
	// ReportAge is the age of the endpoint's newest load report when it was
	// chosen.
	ReportAge time.Duration
	// Limited is set if the endpoint had a limit when it was chosen.
	Limited bool
	// Slowdown is the expected time that work takes on the endpoint's host relative to the
	// usual time, and 1 if the endpoint does not say.
	Slowdown float64
	// gap is the expected time between two events of the response.
	gap time.Duration
}

// Pick chooses an endpoint for the query and adds a request to its load. It
// returns false if no endpoint is eligible. End must be called on the choice when
// the request has ended at the endpoint.
func (t *Tracker) Pick(query Query) (*Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	endpoints := t.eligible(query, now)
	candidates := t.candidates(endpoints, query, now)
	request := picker.Request{Zone: t.zone, PrefillBound: query.PromptTokens > 0, TargetLatency: query.TargetLatency, Forecast: t.forecasts(query.Service)}
	chosen, ok := picker.Pick(request, candidates, picker.Options{}, 0, t.random)
	if !ok {
		return nil, false
	}
	index := slices.IndexFunc(endpoints, func(endpoint *endpointState) bool { return endpoint.Address == chosen.Address })
	endpoint := endpoints[index]
	work := t.work(query, chosen.UncachedPrefill)
	prefill, slowdown, gap := work.Prefill, 1.0, time.Duration(0)
	if request.Forecast {
		engine := t.engine(endpoint, now)
		slowdown, gap = engine.Slowdown, engine.Gap(work)
		prefill = time.Duration(float64(prefill) * slowdown)
	}
	endpoint.inflight++
	endpoint.pendingPrefill += prefill
	t.zoneReachability(endpoint.Zone).recordPick(now)
	endpoint.silence.recordPick(now)
	endpoint.misdirection.recordPick(now)
	limited := t.spendLimit(endpoint, now)
	return &Choice{
		tracker:      t,
		endpoint:     endpoint,
		query:        query,
		prefill:      prefill,
		startedAt:    now,
		Registration: endpoint.Registration,
		Load:         chosen.Load,
		Backlog:      chosen.Backlog,
		ReportAge:    now.Sub(endpoint.reportedAt),
		Limited:      limited,
		Slowdown:     slowdown,
		gap:          gap,
	}, true
}

// candidates returns the endpoints in the form that the picker needs.
func (t *Tracker) candidates(endpoints []*endpointState, query Query, now time.Time) []picker.Endpoint {
	health := t.serviceHealth(query.Service)
	candidates := make([]picker.Endpoint, len(endpoints))
	for i, endpoint := range endpoints {
		candidates[i] = t.candidate(endpoint, health, now)
	}
	if query.PrefixKey != 0 {
		sharedPrefill := t.prefillTime(query.Model, query.SharedTokens)
		for i, rank := range affinityRanks(endpoints, query) {
			candidates[i].UncachedPrefill = time.Duration(uncachedShares[rank] * float64(sharedPrefill))
			candidates[i].Preferred = rank < len(uncachedShares)-1
		}
	}
	if t.forecasts(query.Service) {
		for i, endpoint := range endpoints {
			engine := t.engine(endpoint, now)
			candidates[i].Backlog = engine.First(forecaster.Work{})
			work := t.work(query, cacheMissWeight*candidates[i].UncachedPrefill)
			candidates[i].Expected = engine.End(work)
		}
	}
	return candidates
}

// cacheMissWeight is the weight of the prefill of a shared prefix that is not cached, in the
// choice between forecasts: it delays the other requests of the endpoint as much as this one.
const cacheMissWeight = 2

// uncachedShares are the shares of a shared prefix that the endpoints of the first and
// the second affinity rank, and all others, are expected not to have cached.
var uncachedShares = [...]float64{0, 0.5, 1}

// affinityRanks returns for each endpoint its rank among the preferred endpoints
// of the query's prefix, by rendezvous hashing. All daemons compute the same
// ranks, so that few endpoints prefill the same prefix. The ranks after the second
// are not told apart, so that the time grows with the number of endpoints only. An endpoint on
// a fast host is preferred for more prefixes.
func affinityRanks(endpoints []*endpointState, query Query) []int {
	prefix := splitMix64(query.PrefixKey ^ xxhash.Sum64String(query.Model))
	ranks := make([]int, len(endpoints))
	first, second := -1, -1
	weighted := slices.ContainsFunc(endpoints, func(endpoint *endpointState) bool { return endpoint.slowdown.known() })
	var firstScore, secondScore uint64
	for i, endpoint := range endpoints {
		ranks[i] = len(uncachedShares) - 1
		score := splitMix64(endpoint.idHash ^ prefix)
		if weighted {
			score = weightedScore(score, 1/endpoint.slowdown.floor())
		}
		switch {
		case first < 0 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, score
		case second < 0 || score > secondScore:
			second, secondScore = i, score
		}
	}
	if first >= 0 {
		ranks[first] = 0
	}
	if second >= 0 {
		ranks[second] = 1
	}
	return ranks
}

// weightedScore returns the score of weighted rendezvous hashing: the endpoint with the highest
// one is the same on all daemons, and each is the highest in proportion to its weight.
func weightedScore(hash uint64, weight float64) uint64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	// The bits of positive numbers are in the same order as the numbers.
	return math.Float64bits(-weight / math.Log(uniform))
}

// splitMix64 mixes the bits of a number with the finalizer of SplitMix64.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// minSubsetSize is the least number of endpoints of a subset. With a single
// endpoint, a bad version could not be distinguished from a broken endpoint.
const minSubsetSize = 2

// eligible returns the endpoints that may get the request. A subset is chosen by
// the hashes of the ids, so that all daemons choose the same one.
func (t *Tracker) eligible(query Query, now time.Time) []*endpointState {
	var endpoints []*endpointState
	for _, endpoint := range t.endpoints {
		if query.matches(endpoint) && t.available(endpoint, now) && !endpoint.misdirection.onTrial(now) && t.pauseLeft(endpoint, now) == 0 && t.withinLimit(endpoint, now) {
			endpoints = append(endpoints, endpoint)
		}
	}
	count := SubsetSize(len(endpoints), query.SubsetShare)
	if count == len(endpoints) {
		return endpoints
	}
	slices.SortFunc(endpoints, func(a, b *endpointState) int { return cmp.Compare(a.idHash, b.idHash) })
	return endpoints[:count]
}

// SubsetSize returns how many of the endpoints a share of them contains: at least
// minSubsetSize if there are that many. A share of 0 means all.
func SubsetSize(endpoints int, share float64) int {
	if share <= 0 || share >= 1 {
		return endpoints
	}
	return min(endpoints, max(minSubsetSize, int(math.Ceil(share*float64(endpoints)))))
}

// candidate returns the endpoint in the form that the picker needs.
func (t *Tracker) candidate(endpoint *endpointState, health *picker.Health, now time.Time) picker.Endpoint {
	load := endpoint.load(now)
	if t.forecasts(endpoint.Service) {
		load = endpoint.expectedLoad(now)
	}
	return picker.Endpoint{
		Address:  endpoint.Address,
		Zone:     endpoint.Zone,
		Slots:    endpoint.Slots,
		Load:     load,
		Slowness: health.Slowness(endpoint.Address),
		Ejected:  health.Ejected(endpoint.Address, now) || now.Before(endpoint.downUntil) || endpoint.silence.blocked(now) || t.zoneBlocked(endpoint.Zone, now),
		Probing:  health.Probing(endpoint.Address),
		Backlog:  max(endpoint.pendingPrefill, endpoint.remainingQueueDelay(now), t.slotWait(endpoint, load)),
	}
}

// Outcome is how a request ended at an endpoint.
type Outcome int

// The possible outcomes of a request.
const (
	// Neutral is an outcome that is not evidence for or against the endpoint.
	Neutral Outcome = iota
	// Success is a complete response.
	Success
	// Failure is a failure caused by the endpoint.
	Failure
	// ConnectFailed means that no connection to the endpoint could be opened.
	ConnectFailed
	// Unreachable is a failure that the network path to the endpoint may have
	// caused.
	Unreachable
)

const (
	// minDownTime and maxDownTime bound the exponential backoff after a failed
	// connection, during which the endpoint gets no work. Without it, an endpoint
	// that is down would attract all requests, because it has no backlog.
	minDownTime = 500 * time.Millisecond
	maxDownTime = 4 * time.Second
)

// End records how the request ended. Pace is the decode pace, measured as the
// time per event of a stream; 0 means unknown. Calls after the first have no
// effect.
func (c *Choice) End(outcome Outcome, pace time.Duration) {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if !c.end(now) || outcome == Neutral {
		return
	}
	weight := 1.0
	switch outcome {
	case Success:
		t.recordCaller(c, false, now)
		c.endpoint.connectFailures = 0
		t.recordDuration(c.Service, time.Duration(float64(c.responseEndedAt.Sub(c.startedAt))/c.Slowdown))
		t.recordEventTime(c, pace)
	case ConnectFailed, Unreachable:
		c.endpoint.downUntil = now.Add(min(maxDownTime, minDownTime<<min(c.endpoint.connectFailures, 4)))
		c.endpoint.connectFailures++
		t.suspectCold(c.endpoint, now)
	case Failure:
		weight = t.failureWeight(c, now)
		t.recordCaller(c, true, now)
	case Neutral:
	}
	if outcome >= ConnectFailed && c.Zone != t.zone && t.zoneReachability(c.Zone).recordFailure(c.ID, now) {
		t.logger.Warn("zone is unreachable; sending it one request at a time", "zone", c.Zone, "endpoint", c.ID)
	}
	t.recordHealth(c.Registration, outcome, weight, pace, now)
}

// recordHealth records the outcome of a request in the health of its endpoint, with the weight of a
// failure, and ejects an unhealthy one. It ignores an endpoint that is gone: another one may have the
// address.
func (t *Tracker) recordHealth(registration Registration, outcome Outcome, weight float64, pace time.Duration, now time.Time) {
	if !t.isCurrent(registration) {
		return
	}
	health := t.serviceHealth(registration.Service)
	switch outcome {
	case Success:
		health.RecordSuccess(registration.Address, pace, now)
		health.ReduceNextEjection(registration.Address, now)
	case Failure:
		health.RecordFailure(registration.Address, weight, now)
	case Neutral, ConnectFailed, Unreachable:
	}
	if health.EjectIfUnhealthy(registration.Address, t.countEndpoints(registration.Service), now) {
		t.ejections++
		t.logChange("endpoint ejected because of failed or slow responses", registration)
	}
}

// ExpectedGap returns the expected time between two events of the response, or 0 if it is
// unknown.
func (c *Choice) ExpectedGap() time.Duration { return c.gap }

// ExpectedTTFT returns the time to first token that was expected when the
// endpoint was chosen.
func (c *Choice) ExpectedTTFT() time.Duration { return c.Backlog + c.prefill }

// ResponseStarted records that the response has begun, with the time elapsed
// since the request was sent. Calls after the first, or after End, have no
// effect.
func (c *Choice) ResponseStarted(elapsed time.Duration) {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.prefillDone || c.ended {
		return
	}
	c.finishPrefill()
	c.endpoint.silence.recordResponse()
	c.endpoint.misdirection.recordResponse()
	now := t.now()
	c.endpoint.queueDelay = max(0, elapsed-c.prefill)
	c.endpoint.queueDelayAt = now
	if c.query.PromptTokens > 0 {
		t.recordQueueDelay(c.endpoint.queueDelay, now)
	}
	if c.Zone != t.zone {
		t.zoneReachability(c.Zone).recordResponse()
	}
	if c.query.PromptTokens > 0 {
		t.updatePrefillPace(c.query, time.Duration(float64(elapsed)/c.Slowdown))
	}
}

// ResponseEnded records that the endpoint has sent the whole response, so that its slot is free although
// the client may still be reading. Calls after the first, or after End, have no effect.
func (c *Choice) ResponseEnded() {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	c.endResponse(t.now())
}

// end removes the request from what the endpoint has to do. It returns false if the choice had ended
// before.
func (c *Choice) end(now time.Time) bool {
	if c.ended {
		return false
	}
	c.ended = true
	c.endResponse(now)
	c.finishPrefill()
	return true
}

// endResponse removes the request from the endpoint's load, once.
func (c *Choice) endResponse(now time.Time) {
	if c.responseEndedAt.IsZero() {
		c.responseEndedAt = now
		c.endpoint.inflight--
	}
}

// finishPrefill removes the prompt from the endpoint's pending prefill, once.
func (c *Choice) finishPrefill() {
	if !c.prefillDone {
		c.prefillDone = true
		c.endpoint.pendingPrefill -= c.prefill
	}
}

// ReportLoad records the load that a response carried: the numbers of requests
// that the endpoint runs and queues, and the slowdown of its host, or 0 if it does not say.
func (c *Choice) ReportLoad(running, waiting int, slowdown float64) {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	c.endpoint.recordLoad(running+waiting, now)
	t.recordSlowdown(c.endpoint, slowdown, now)
	c.endpoint.directReportAt = now
}
