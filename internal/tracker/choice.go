package tracker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalgrade.example/quetzalgrade/internal/picker"
)

// Query is what the choice of an endpoint depends on.
type Query struct {
	Service string
	// Only restricts the choice to endpoints of a version; empty for any.
	OnlyVersion string
	// Except leaves out the endpoints of a version; empty for none.
	ExceptVersion string
	// Model must be loaded; empty for any.
	Model string
	// PrefixKey identifies the parts of the prompt that requests share; 0 for none.
	PrefixKey uint64
	// SharedTokens is the length of these parts in tokens, Tokens that of the prompt.
	SharedTokens int
	PromptTokens int
	// Subset is the share of the fitting endpoints that are used; 0 for all.
	SubsetShare float64
	// Tried endpoints are not chosen again.
	Tried []string
}

func (q *Query) fits(known *state) bool {
	if known.Service != q.Service || slices.Contains(q.Tried, known.ID) {
		return false
	}
	if q.OnlyVersion != "" && known.Version != q.OnlyVersion || q.ExceptVersion != "" && known.Version == q.ExceptVersion {
		return false
	}
	return q.Model == "" || len(known.Models) == 0 || slices.Contains(known.Models, q.Model)
}

// Choice is an endpoint that was chosen for a request.
type Choice struct {
	tracker *Tracker
	state   *state
	query   Query
	// prefill is the time that the prompt needs by itself.
	prefill time.Duration
	began   time.Time
	headed  bool
	ended   bool
	Registration
	// Load is the load that the choice was made on.
	Load int
	// Backlog is the time that the prompt was expected to wait.
	Backlog time.Duration
	// ReportAge is the age of the newest report of the endpoint's load.
	ReportAge time.Duration
}

// Pick chooses an endpoint and counts a request on it. End must be called when
// the request has ended there.
func (t *Tracker) Pick(query Query) (*Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	states := t.fitting(query, now)
	views := t.views(states, query, now)
	chosen, ok := picker.Pick(picker.Request{Zone: t.zone, PrefillBound: query.PromptTokens > 0}, views, picker.Options{}, 0, t.random)
	if !ok {
		return nil, false
	}
	at := slices.IndexFunc(states, func(known *state) bool { return known.Address == chosen.Address })
	known := states[at]
	prefill := chosen.UncachedPrefill + t.readTime(query.Model, query.PromptTokens-query.SharedTokens)
	known.inflight++
	known.prefill += prefill
	t.reachOf(known.Zone).picked(now)
	return &Choice{
		tracker:      t,
		state:        known,
		query:        query,
		prefill:      prefill,
		began:        now,
		Registration: known.Registration,
		Load:         chosen.Load,
		Backlog:      chosen.Backlog,
		ReportAge:    now.Sub(known.reported),
	}, true
}

// views returns what the choice depends on.
func (t *Tracker) views(states []*state, query Query, now time.Time) []picker.Endpoint {
	health := t.healthOf(query.Service)
	views := make([]picker.Endpoint, len(states))
	for i, known := range states {
		views[i] = t.view(known, health, now)
	}
	if query.PrefixKey == 0 {
		return views
	}
	miss := t.readTime(query.Model, query.SharedTokens)
	for i, rank := range homes(states, query) {
		views[i].UncachedPrefill = time.Duration(min(1, missStep*float64(rank)) * float64(miss))
	}
	return views
}

// missStep is the share of the shared parts that the second home of a subject
// is expected to lack; the third lacks all.
const missStep = 0.5

// homes returns for each endpoint its rank among the homes of the query's
// subject. All daemons agree on it, so that a subject is read by few endpoints.
func homes(states []*state, query Query) []int {
	model := xxhash.Sum64String(query.Model)
	scores := make([]uint64, len(states))
	for i, known := range states {
		scores[i] = mix(known.rank ^ mix(query.PrefixKey^model))
	}
	ranks := make([]int, len(states))
	for i, score := range scores {
		for _, other := range scores {
			if other > score {
				ranks[i]++
			}
		}
	}
	return ranks
}

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// minSubset is the least number of endpoints of a subset: a single one would
// not tell a bad version from a broken endpoint.
const minSubset = 2

// fitting returns the endpoints that may get the request.
func (t *Tracker) fitting(query Query, now time.Time) []*state {
	var states []*state
	for _, known := range t.endpoints {
		if query.fits(known) && t.usable(known, now) {
			states = append(states, known)
		}
	}
	count := SubsetSize(len(states), query.SubsetShare)
	if count == len(states) {
		return states
	}
	slices.SortFunc(states, func(a, b *state) int { return cmp.Compare(a.rank, b.rank) })
	return states[:count]
}

// SubsetOf returns the number of endpoints in a share of a number of them; a share
// of 0 is all.
func SubsetSize(endpoints int, share float64) int {
	if share <= 0 || share >= 1 {
		return endpoints
	}
	return min(endpoints, max(minSubset, int(math.Ceil(share*float64(endpoints)))))
}

func (t *Tracker) view(known *state, health *picker.Health, now time.Time) picker.Endpoint {
	load := known.inflight
	if now.Sub(known.reported) < reportLife {
		load += known.others
	}
	return picker.Endpoint{
		Address:  known.Address,
		Zone:     known.Zone,
		Slots:    known.Slots,
		Load:     load,
		Slowness: health.Slowness(known.Address),
		Ejected:  health.Ejected(known.Address, now) || now.Before(known.down) || t.cut(known.Zone, now),
		Probing:  health.Probing(known.Address),
		Backlog:  max(known.prefill, known.delayAt(now), t.slotWait(known, load)),
	}
}

// Outcome is how a request ended at an endpoint.
type Outcome int

// The outcomes.
const (
	// Neutral says nothing of the endpoint.
	Neutral Outcome = iota
	// Success is an answer.
	Success
	// Failure is a failure that the endpoint is to blame for.
	Failure
	// ConnectFailed is a connection that was not to be had.
	ConnectFailed
	// Unreachable is a failure that the way to the endpoint may be to blame for.
	Unreachable
)

const (
	// minDown and maxDown bound the time without work after a connection was not
	// to be had. An endpoint that is down has no backlog and would draw all
	// requests.
	minDown = 500 * time.Millisecond
	maxDown = 4 * time.Second
)

// End records how the request ended. Pace is the time per event of a stream, or
// 0 when unknown. Only the first call counts.
func (c *Choice) End(outcome Outcome, pace time.Duration) {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.state.inflight--
	c.leavePrefill()
	if outcome == Neutral {
		return
	}
	now := t.now()
	health := t.healthOf(c.Service)
	switch outcome {
	case Success:
		c.state.downs = 0
		t.noteLength(c.Service, now.Sub(c.began))
		health.RecordSuccess(c.Address, pace, now)
		health.ReduceNextEjection(c.Address, now)
	case ConnectFailed, Unreachable:
		c.state.down = now.Add(min(maxDown, minDown<<min(c.state.downs, 4)))
		c.state.downs++
	case Neutral, Failure:
		health.RecordFailure(c.Address, now)
	}
	if outcome >= ConnectFailed && c.Zone != t.zone && t.reachOf(c.Zone).failed(c.ID, now) {
		t.logger.Warn("zone seems out of reach", "zone", c.Zone, "endpoint", c.ID)
	}
	if health.EjectIfUnhealthy(c.Address, t.count(c.Service), now) {
		t.ejections++
		t.logChange("endpoint ejected for its results", c.Registration)
	}
}

// Expected is the time after which the answer was expected to begin.
func (c *Choice) ExpectedTTFT() time.Duration { return c.Backlog + c.prefill }

// Headed records that the answer has begun, after the time since it was sent.
func (c *Choice) ResponseStarted(took time.Duration) {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.headed || c.ended {
		return
	}
	c.leavePrefill()
	now := t.now()
	c.state.delay = max(0, took-c.prefill)
	c.state.delayed = now
	if c.query.PromptTokens > 0 {
		t.noteDelay(c.state.delay, now)
	}
	if c.Zone != t.zone {
		t.reachOf(c.Zone).answered()
	}
	if c.query.PromptTokens > 0 {
		t.learn(c.query, took)
	}
}

// leavePrefill takes the prompt off those that wait to be read.
func (c *Choice) leavePrefill() {
	if !c.headed {
		c.headed = true
		c.state.prefill -= c.prefill
	}
}

// Report takes the load that an answer carried.
func (c *Choice) ReportLoad(running, waiting int) {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	c.state.hear(running+waiting, now)
	c.state.seen = now
}

// Misdirected records that another endpoint has the address.
func (c *Choice) ReportMisdirected() {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.state.misdirected && c.state.Started.Equal(c.Started) {
		c.state.misdirected = true
		t.logChange("another endpoint has the address", c.Registration)
	}
}
