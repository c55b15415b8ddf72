package admitter_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/admitter"
	"quetzalgrade.example/quetzalgrade/internal/throttler"
)

// The model of the tests below: daemons send requests to a pool of endpoints, in virtual time.
// An endpoint runs a request in each slot and queues twice as many, by priority; it refuses what
// is beyond. Daemons see loads that are half a second old at most.
const (
	modelEndpoints = 8
	modelSlots     = 8
	modelQueue     = 2 * modelSlots
	modelDaemons   = 6
	modelStep      = 10 * time.Millisecond
	modelReports   = 500 * time.Millisecond
	modelLength    = 24 * time.Second
)

// stream is a kind of request at a constant mean rate from one account.
type stream struct {
	name      string
	account   string
	priority  int
	perSecond float64
	// surge multiplies the rate from a third to two thirds of the time.
	surge    float64
	runs     time.Duration
	target   time.Duration
	deadline time.Duration
	work     float64
	// repeats is how often a refused request comes back at once.
	repeats int
}

// result is what the callers of a stream got.
type result struct {
	sent, onTime, late, refused, expired int
	// lostTime is how long those without a response had waited.
	lostTime time.Duration
}

// served returns the share of the requests with an outcome that got a response.
func (r result) served() float64 {
	served := r.onTime + r.late
	return float64(served) / float64(max(1, served+r.refused+r.expired))
}

type modelRequest struct {
	*stream
	ticket      *admitter.Ticket
	daemon      *modelDaemon
	arrived     time.Time
	started     time.Time
	repeatsLeft int
}

func (r *modelRequest) deadlineAt() time.Time { return r.arrived.Add(r.deadline) }

type modelEndpoint struct{ running, queue []*modelRequest }

// load returns the number of requests at the endpoint.
func (e *modelEndpoint) load() int { return len(e.running) + len(e.queue) }

type modelDaemon struct {
	window  *throttler.Window
	queue   *admitter.Queue
	waiting map[*admitter.Ticket]*modelRequest
	running int
}

// control says who orders requests in a run.
type control struct {
	name string
	// ordersAtEndpoints is set if endpoints know the priority of a request.
	ordersAtEndpoints bool
	// admits is set if daemons decide about admission.
	admits bool
}

var (
	noControl       = control{name: "none"}
	endpointControl = control{name: "endpoints", ordersAtEndpoints: true}
	fullControl     = control{name: "admission", ordersAtEndpoints: true, admits: true}
)

// model is the state of a run.
type model struct {
	control
	// arrivals and choices are apart, so that runs with and without admission control have
	// the same arrivals.
	arrivals    *rand.Rand
	choices     *rand.Rand
	now         time.Time
	endpoints   []*modelEndpoint
	daemons     []*modelDaemon
	loads       []int
	results     map[string]*result
	target      time.Duration
	mostUrgent  int
	leastUrgent int
	// refusedWithRoom counts the refusals while the endpoints had a free slot.
	refusedWithRoom int
}

// play runs the streams and returns the results by the name of the stream.
func play(control control, endpoints int, streams []stream) *model {
	m := &model{
		control:    control,
		arrivals:   rand.New(rand.NewPCG(7, 11)),
		choices:    rand.New(rand.NewPCG(13, 17)),
		now:        time.Unix(0, 0),
		results:    map[string]*result{},
		loads:      make([]int, endpoints),
		target:     time.Hour,
		mostUrgent: math.MaxInt,
	}
	for range endpoints {
		m.endpoints = append(m.endpoints, &modelEndpoint{})
	}
	for range modelDaemons {
		options := admitter.Options{MinServiceRatio: 1. / 3, RefuseOnlyWaiting: true}
		m.daemons = append(m.daemons, &modelDaemon{window: throttler.NewWindow(), queue: admitter.NewQueue(1e9, options), waiting: map[*admitter.Ticket]*modelRequest{}})
	}
	for i := range streams {
		m.results[streams[i].name] = &result{}
		m.target = min(m.target, streams[i].target)
		m.mostUrgent = min(m.mostUrgent, streams[i].priority)
		m.leastUrgent = max(m.leastUrgent, streams[i].priority)
	}
	for at := time.Duration(0); at < modelLength; at += modelStep {
		m.now = time.Unix(0, 0).Add(at)
		m.runEndpoints()
		m.observe(at)
		for i := range streams {
			m.arrive(&streams[i], at)
		}
	}
	return m
}

// arrive creates the requests of a stream in one step.
func (m *model) arrive(s *stream, at time.Duration) {
	rate := s.perSecond
	if s.surge > 0 && at > modelLength/3 && at < 2*modelLength/3 {
		rate *= s.surge
	}
	for expected := rate * modelStep.Seconds(); expected > 0; expected-- {
		if m.arrivals.Float64() >= expected {
			continue
		}
		m.results[s.name].sent++
		m.admit(&modelRequest{stream: s, daemon: m.daemons[m.arrivals.IntN(len(m.daemons))], arrived: m.now, repeatsLeft: s.repeats})
	}
}

// admit gives a request to the queue of its daemon, or to an endpoint.
func (m *model) admit(request *modelRequest) {
	if !m.admits {
		m.send(request)
		return
	}
	daemon := request.daemon
	limit := daemon.window.Limit()
	passesLimit := !limit.MostUrgent && m.mostUrgent != m.leastUrgent && request.priority == m.mostUrgent
	request.ticket = admitter.NewTicket(admitter.Request{
		Account:   request.account,
		Priority:  -request.priority,
		Deadline:  request.deadlineAt(),
		StartBy:   request.arrived.Add(3 * request.target / 4),
		Kind:      request.name,
		Work:      request.work,
		Immediate: !limit.Active || passesLimit,
	})
	daemon.waiting[request.ticket] = request
	m.apply(daemon.queue.Enqueue(request.ticket, m.now))
}

// apply does what a queue decided.
func (m *model) apply(refused []admitter.Refusal, started []*admitter.Ticket) {
	for _, refusal := range refused {
		request := m.take(refusal.Ticket)
		m.refuse(request)
		if m.load() < 1 {
			m.refusedWithRoom++
		}
	}
	for _, ticket := range started {
		m.send(m.take(ticket))
	}
}

func (m *model) take(ticket *admitter.Ticket) *modelRequest {
	for _, daemon := range m.daemons {
		if request, found := daemon.waiting[ticket]; found {
			delete(daemon.waiting, ticket)
			return request
		}
	}
	panic("a ticket was decided twice")
}

func (m *model) refuse(request *modelRequest) {
	if request.repeatsLeft > 0 {
		request.repeatsLeft--
		m.admit(request)
		return
	}
	r := m.results[request.name]
	r.refused++
	r.lostTime += m.now.Sub(request.arrived)
}

// send gives a request to the least loaded of three endpoints. One that refuses it is followed by
// others.
func (m *model) send(request *modelRequest) {
	var best *modelEndpoint
	for range 3 {
		endpoint := m.endpoints[m.choices.IntN(len(m.endpoints))]
		if best == nil || endpoint.load() < best.load() {
			best = endpoint
		}
	}
	if len(best.queue) >= modelQueue {
		best = slices.MinFunc(m.endpoints, func(a, b *modelEndpoint) int { return a.load() - b.load() })
	}
	request.daemon.running++
	if len(best.queue) >= modelQueue {
		m.end(request, 0, m.refuse)
		return
	}
	position := len(best.queue)
	for m.ordersAtEndpoints && position > 0 && best.queue[position-1].priority > request.priority {
		position--
	}
	best.queue = slices.Insert(best.queue, position, request)
}

// end ends a request that was at an endpoint for a time.
func (m *model) end(request *modelRequest, took time.Duration, count func(*modelRequest)) {
	count(request)
	request.daemon.running--
	if m.admits {
		m.apply(request.daemon.queue.Complete(request.ticket, took, m.now))
	}
}

func (m *model) expire(request *modelRequest) {
	r := m.results[request.name]
	r.expired++
	r.lostTime += m.now.Sub(request.arrived)
}

func (m *model) serve(request *modelRequest) {
	if request.started.Sub(request.arrived) <= request.target {
		m.results[request.name].onTime++
	} else {
		m.results[request.name].late++
	}
}

// runEndpoints ends the requests that are complete or at their deadline, and fills the slots.
func (m *model) runEndpoints() {
	for _, endpoint := range m.endpoints {
		requests := slices.Concat(endpoint.running, endpoint.queue)
		endpoint.running, endpoint.queue = endpoint.running[:0:0], endpoint.queue[:0:0]
		for _, request := range requests {
			switch {
			case !request.started.IsZero() && m.now.Sub(request.started) >= request.runs:
				m.end(request, m.now.Sub(request.arrived), m.serve)
			case m.now.After(request.deadlineAt()):
				m.end(request, request.deadline, m.expire)
			case !request.started.IsZero() || len(endpoint.running) < modelSlots:
				if request.started.IsZero() {
					request.started = m.now
				}
				endpoint.running = append(endpoint.running, request)
			default:
				endpoint.queue = append(endpoint.queue, request)
			}
		}
	}
}

// load returns the number of requests at the endpoints for each slot.
func (m *model) load() float64 {
	requests := 0
	for _, endpoint := range m.endpoints {
		requests += endpoint.load()
	}
	return float64(requests) / float64(modelSlots*len(m.endpoints))
}

// observe lets the daemons see the reports, which are renewed each modelReports.
func (m *model) observe(at time.Duration) {
	if at%modelReports == 0 {
		for i, endpoint := range m.endpoints {
			m.loads[i] = endpoint.load()
		}
	}
	if !m.admits || at%(100*time.Millisecond) != 0 {
		return
	}
	load := float64(slices.Min(m.loads)) / modelSlots
	for _, daemon := range m.daemons {
		limit := daemon.window.Observe(throttler.Sample{KnownShare: 1, LeastLoad: load, MeanDuration: daemon.queue.MeanDuration(),
			Running: daemon.running, Waiting: daemon.queue.Waiting(), Target: m.target}, m.now)
		daemon.queue.SetCapacity(1e9)
		if limit.Active {
			daemon.queue.SetCapacity(limit.Requests)
		}
		daemon.queue.SetRefusing(limit.MayRefuse)
		m.apply(daemon.queue.Update(m.now))
	}
}

// total returns the sum of the results.
func (m *model) total() result {
	var total result
	for _, r := range m.results {
		total.onTime += r.onTime
		total.late += r.late
		total.refused += r.refused
		total.expired += r.expired
	}
	return total
}

// log prints the results of a run.
func (m *model) log(t *testing.T) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(m.results)) {
		r := m.results[name]
		lost := r.refused + r.expired
		t.Logf("%-9s: %-9s sent %4d, on time %4d, late %3d, refused %3d, expired %3d, each lost one after %s", m.name, name, r.sent, r.onTime, r.late, r.refused, r.expired,
			(r.lostTime / time.Duration(max(1, lost))).Round(10*time.Millisecond))
	}
}

// The streams of the tests: reports are the most urgent, then drafts, then notes. An endpoint runs
// modelSlots of them at once.
func reports(perSecond, surge float64) stream {
	return stream{name: "report", account: "a", priority: 0, perSecond: perSecond, surge: surge, runs: time.Second, target: 2 * time.Second, deadline: 10 * time.Second}
}

func drafts(name, account string, perSecond, surge float64) stream {
	return stream{name: name, account: account, priority: 1, perSecond: perSecond, surge: surge, runs: 500 * time.Millisecond, target: 3 * time.Second, deadline: 5 * time.Second}
}

func notes(perSecond float64) stream {
	return stream{name: "note", account: "c", priority: 2, perSecond: perSecond, runs: 2 * time.Second, target: 8 * time.Second, deadline: 25 * time.Second}
}

func repeating(s stream, repeats int) stream {
	s.repeats = repeats
	return s
}

func sized(name string, runs time.Duration, work float64) stream {
	return stream{name: name, account: name, priority: 1, perSecond: 40 / runs.Seconds(), runs: runs, work: work, target: 3 * time.Second, deadline: 12 * time.Second}
}

// hurried returns a stream of which each request has a deadline of its own kind.
func hurried(name string, perSecond float64, runs, deadline time.Duration) stream {
	return stream{name: name, account: "h", priority: 1, perSecond: perSecond, runs: runs, target: 2 * time.Second, deadline: deadline}
}

// minServedRatio is the least share of the requests of any stream that is served, in relation to
// that of all. Below it, callers take a stream for out of service.
const minServedRatio = 0.25

// TestOverload plays loads with and without admission control. It guards against an overload that
// falls on the most urgent requests, on accounts that did not cause it or on requests of one
// priority or size alone, and against refusals while there is room.
func TestOverload(t *testing.T) {
	rows := map[string]struct {
		endpoints int
		streams   []stream
		// spared are the streams that have to be served as if there were no overload.
		spared []string
	}{
		"everything idle":             {8, []stream{reports(10, 0), drafts("draft", "b", 10, 0), notes(5)}, []string{"report", "draft", "note"}},
		"burst of urgent requests":    {8, []stream{reports(25, 3), drafts("draft", "b", 30, 0), notes(10)}, []string{"report"}},
		"half of the pool gone":       {4, []stream{reports(20, 0), drafts("draft", "b", 30, 0), notes(10)}, []string{"report"}},
		"surge of one account":        {8, []stream{reports(20, 0), drafts("draft", "b", 30, 0), drafts("surging", "s", 20, 10), notes(5)}, []string{"report", "draft"}},
		"little time for one kind":    {8, []stream{hurried("hurried", 10, time.Second, 2*time.Second), hurried("patient", 250, 300*time.Millisecond, 10*time.Second)}, nil},
		"long prompts and short ones": {8, []stream{sized("long", 3*time.Second, 24000), sized("short", 300*time.Millisecond, 400)}, nil},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			without := play(noControl, row.endpoints, row.streams)
			with := play(fullControl, row.endpoints, row.streams)
			without.log(t)
			play(endpointControl, row.endpoints, row.streams).log(t)
			with.log(t)
			if with.refusedWithRoom != 0 {
				t.Errorf("refused with room got %d, want 0", with.refusedWithRoom)
			}
			all := with.total()
			for name, got := range with.results {
				if got.served() < minServedRatio*all.served() {
					t.Errorf("share of %s served got %.2f, want at least %.2f of %.2f", name, got.served(), minServedRatio, all.served())
				}
			}
			for _, name := range row.spared {
				got, before := with.results[name], without.results[name]
				if got.served() < minSpared || got.onTime < before.onTime {
					t.Errorf("%s got %+v, want %.2f served and no fewer on time than %+v", name, *got, minSpared, *before)
				}
			}
		})
	}
}

// minSpared is the least share of the requests that is served of a stream that others do not
// crowd out. The rest is refused by endpoints before the overload is known.
const minSpared = 0.95

// minSizeRatio is the least share of the requests of one size that is served, in relation to that of
// all. Below it, callers with large requests are kept out.
const minSizeRatio = 0.5

// TestSizesOfManyAccounts guards against an overload that falls on the large requests alone, because
// each account has so few requests that a large one is always behind the small ones of others.
func TestSizesOfManyAccounts(t *testing.T) {
	rows := map[string]int{"one account": 1, "some accounts": 20, "many accounts": 100}
	sizes := map[string]struct {
		perSecond float64
		runs      time.Duration
		work      float64
	}{
		"small":  {91, 500 * time.Millisecond, 1000},
		"medium": {26, time.Second, 4000},
		"large":  {13, 2 * time.Second, 10000},
	}
	for name, accounts := range rows {
		t.Run(name, func(t *testing.T) {
			var streams []stream
			for i := range accounts {
				for _, size := range slices.Sorted(maps.Keys(sizes)) {
					streams = append(streams, stream{name: size, account: fmt.Sprint(i), priority: 1, perSecond: sizes[size].perSecond / float64(accounts),
						runs: sizes[size].runs, work: sizes[size].work, target: 3 * time.Second, deadline: 6 * time.Second})
				}
			}
			with := play(fullControl, modelEndpoints, streams)
			with.log(t)
			all := with.total()
			for size, got := range with.results {
				if got.served() < minSizeRatio*all.served() {
					t.Errorf("share of %s requests served got %.2f, want at least %.2f of %.2f", size, got.served(), minSizeRatio, all.served())
				}
			}
		})
	}
}

// TestRepeatsAtOnce guards against clients that gain by repeating refused requests at once: of two
// accounts with the same requests, the one that repeats gets no more of them served, but for what
// it gets before the overload is known.
func TestRepeatsAtOnce(t *testing.T) {
	streams := []stream{drafts("patient", "p", 100, 0), repeating(drafts("repeating", "r", 100, 0), 5)}
	with := play(fullControl, modelEndpoints, streams)
	with.log(t)
	patient, repeats := with.results["patient"], with.results["repeating"]
	if got, most := repeats.served(), 1.02*patient.served(); got > most {
		t.Errorf("share served of repeating requests got %.3f, want at most %.3f", got, most)
	}
}
