package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/apportioner"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

const (
	// coldRate and coldTime are what the service of these tests declares, coldBound is what its
	// operators allow.
	coldRate = 11
	coldTime = 20 * time.Second
	// coldLimit is the most requests of one second that coldBound allows.
	coldLimit = 21
	// startDelay is how long a daemon that has started has no share.
	startDelay = 10 * time.Second
	// maxTransit is the longest time that a request takes to an endpoint.
	maxTransit = 200 * time.Millisecond
)

var coldBound = apportioner.ColdBound{Factor: 1.5, Margin: 5}

func coldServices() map[string]tracker.ColdService {
	return map[string]tracker.ColdService{"helper": {PerSecond: coldRate, Time: coldTime}}
}

// coldFleet is a number of daemons that share endpoints but no memory.
type coldFleet struct {
	random    *rand.Rand
	clock     *clock
	endpoints []tracker.Registration
	daemons   []*coldDaemon
	// arrivals holds the times at which requests have reached each endpoint.
	arrivals map[string][]time.Time
	refused  int
}

// coldDaemon is one daemon of a fleet.
type coldDaemon struct {
	name    string
	tracker *tracker.Tracker
	// sharesAt is when the daemon gets its shares. Until then, shared is not set.
	sharesAt time.Time
	shared   bool
	// members are the names that the daemon knows.
	members []string
}

func newColdFleet(daemons, endpoints int) *coldFleet {
	f := &coldFleet{random: rand.New(rand.NewPCG(8, 60)), clock: &clock{now: time.Unix(1000, 0)}, arrivals: map[string][]time.Time{}}
	for i := range endpoints {
		f.endpoints = append(f.endpoints, registration(i))
	}
	var names []string
	for i := range daemons {
		names = append(names, fmt.Sprint("entry-", i))
	}
	for _, name := range names {
		f.daemons = append(f.daemons, &coldDaemon{name: name, members: names})
		f.start(len(f.daemons)-1, 0)
	}
	return f
}

// start starts a daemon, again if it was running. It has no share for a time.
func (f *coldFleet) start(number int, withoutShare time.Duration) {
	d := f.daemons[number]
	d.tracker = tracker.New("a", rand.New(rand.NewPCG(f.random.Uint64(), 2)), func() time.Time { return f.clock.now }, hclog.NewNullLogger())
	d.tracker.SetColdServices(coldServices())
	for _, endpoint := range f.endpoints {
		d.tracker.Put(endpoint)
	}
	d.tracker.Retain(f.ids(), 0)
	d.sharesAt, d.shared = f.clock.now.Add(withoutShare), false
}

func (f *coldFleet) ids() map[string]bool {
	ids := map[string]bool{}
	for _, endpoint := range f.endpoints {
		ids[endpoint.ID] = true
	}
	return ids
}

// register makes all daemons read a registration.
func (f *coldFleet) register(endpoint tracker.Registration) {
	for i, existing := range f.endpoints {
		if existing.ID == endpoint.ID {
			f.endpoints[i] = endpoint
		}
	}
	for _, d := range f.daemons {
		d.tracker.Put(endpoint)
	}
}

// run sends requests at a rate in each daemon.
func (f *coldFleet) run(duration time.Duration, perSecond float64) {
	const step = 5 * time.Millisecond
	for range int(duration / step) {
		f.clock.advance(step)
		for _, d := range f.daemons {
			if !d.shared && !f.clock.now.Before(d.sharesAt) {
				d.shared = true
				d.tracker.SetColdShare(func(endpoint string, perSecond float64) float64 {
					return coldBound.Share(endpoint, perSecond, d.name, d.members)
				})
			}
			if f.random.Float64() < perSecond*step.Seconds() {
				f.send(d)
			}
		}
	}
}

func (f *coldFleet) send(d *coldDaemon) {
	choice, ok := d.tracker.Pick(tracker.Query{Service: "helper"})
	if !ok {
		f.refused++
		return
	}
	transit := time.Duration(f.random.Int64N(int64(maxTransit)))
	f.arrivals[choice.ID] = append(f.arrivals[choice.ID], f.clock.now.Add(transit))
	choice.End(tracker.Success, 0)
}

// count returns the number of requests that have reached an endpoint between two times, and the
// most of them in any second.
func (f *coldFleet) count(id string, from, to time.Time) (total, most int) {
	arrivals := slices.SortedFunc(slices.Values(f.arrivals[id]), time.Time.Compare)
	begin := 0
	for end, at := range arrivals {
		if at.Before(from) || at.After(to) {
			begin = end + 1
			continue
		}
		total++
		for at.Sub(arrivals[begin]) > time.Second {
			begin++
		}
		most = max(most, end-begin+1)
	}
	return total, most
}

// without returns the names but those that drop selects.
func without(names []string, drop func(name string) bool) []string {
	return slices.DeleteFunc(slices.Clone(names), drop)
}

// TestColdEndpointsOfFleet guards against endpoints that crash because they get more than they
// bear while they are cold: each daemon alone sends little, and an endpoint without a backlog
// attracts all of them. The load is a zone that returns cold as a whole while clients send many times
// what it bears. It also guards against a bound that leaves such endpoints unused.
func TestColdEndpointsOfFleet(t *testing.T) {
	const (
		endpoints = 4
		settled   = 3 * time.Second
		// used is the least part of the declared rate that endpoints get, sharing the
		// part of the daemons that have shares all the time in the rows with an event.
		used    = 0.5
		sharing = 0.5
	)
	rows := map[string]struct {
		daemons   int
		perSecond float64
		// prepare changes what daemons know, before the endpoints turn cold. event happens
		// in the middle of the cold time.
		prepare func(f *coldFleet)
		event   func(f *coldFleet)
	}{
		"a small fleet":    {9, 20, nil, nil},
		"a fleet":          {60, 7, nil, nil},
		"a large fleet":    {300, 3, nil, nil},
		"few requests":     {300, 1.5, nil, nil},
		"a tenth restarts": {60, 7, nil, func(f *coldFleet) { f.restart(6) }},
		"half restart":     {60, 7, nil, func(f *coldFleet) { f.restart(30) }},
		"half of a large fleet restart": {300, 3, nil, func(f *coldFleet) {
			f.restart(150)
		}},
		"lists miss a quarter": {60, 7, func(f *coldFleet) { f.forget(0.25) }, nil},
		"lists of a large fleet miss a quarter": {300, 3, func(f *coldFleet) {
			f.forget(0.25)
		}, nil},
		"lists of a small fleet differ": {9, 20, func(f *coldFleet) { f.forget(0.12) }, nil},
		"daemons know only themselves": {60, 7, func(f *coldFleet) {
			for _, d := range f.daemons[:3] {
				d.members = []string{d.name}
			}
		}, nil},
		"one of a small fleet knows only itself": {9, 20, func(f *coldFleet) {
			f.daemons[0].members = []string{"entry-0"}
		}, nil},
		"a cut-off part does not know new daemons": {66, 7, func(f *coldFleet) {
			for _, d := range f.daemons[:20] {
				d.members = d.members[:60]
			}
		}, nil},
		"daemons restart, some lists differ and some daemons are alone": {300, 3, func(f *coldFleet) {
			f.forget(0.05)
			for _, d := range f.daemons[:2] {
				d.members = []string{d.name}
			}
		}, func(f *coldFleet) { f.restart(30) }},
		"an endpoint restarts under its id": {60, 7, nil, func(f *coldFleet) {
			again := f.endpoints[0]
			again.Started = again.Started.Add(time.Minute)
			again.WarmupRemaining = coldTime
			f.register(again)
		}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			f := newColdFleet(row.daemons, endpoints)
			if row.prepare != nil {
				row.prepare(f)
			}
			f.run(2*time.Second, row.perSecond)
			for _, endpoint := range slices.Clone(f.endpoints) {
				endpoint.Started = endpoint.Started.Add(time.Second)
				endpoint.WarmupRemaining = coldTime
				f.register(endpoint)
			}
			clear(f.arrivals)
			cold := f.clock.now
			f.run(coldTime/2, row.perSecond)
			if row.event != nil {
				row.event(f)
			}
			f.run(coldTime/2-2*maxTransit, row.perSecond)
			for _, endpoint := range f.endpoints {
				total, most := f.count(endpoint.ID, cold.Add(settled), f.clock.now)
				_, mostOfAll := f.count(endpoint.ID, cold, f.clock.now)
				if most = max(most, mostOfAll); most > coldLimit {
					t.Errorf("requests of %s in a second got %d, want at most %d", endpoint.ID, most, coldLimit)
				}
				want := used * coldRate
				if row.event != nil {
					want *= sharing
				}
				if got := float64(total) / f.clock.now.Sub(cold.Add(settled)).Seconds(); got < want {
					t.Errorf("requests a second of %s got %.1f, want at least %.1f", endpoint.ID, got, want)
				}
				t.Logf("%s: at most %d in a second, %d in all", endpoint.ID, most, total)
			}
		})
	}
}

// restart starts the first daemons again.
func (f *coldFleet) restart(count int) {
	for i := range f.endpoints {
		f.endpoints[i].WarmupRemaining = coldTime / 2
	}
	for i := range count {
		f.start(i, startDelay)
	}
}

// forget makes each daemon miss a share of the other members.
func (f *coldFleet) forget(share float64) {
	for _, d := range f.daemons {
		d.members = without(d.members, func(name string) bool { return name != d.name && f.random.Float64() < share })
	}
}

// TestFirstRequestsAreSpread guards against the first requests of all daemons that reach a cold endpoint
// together: the daemons read its registration at the same moment, while clients wait.
func TestFirstRequestsAreSpread(t *testing.T) {
	const (
		moment    = 250 * time.Millisecond
		perSecond = 100
	)
	f := newColdFleet(60, 1)
	endpoint := f.endpoints[0]
	endpoint.Started = endpoint.Started.Add(time.Second)
	endpoint.WarmupRemaining = coldTime
	f.run(time.Second, 0)
	f.register(endpoint)
	f.run(moment, perSecond)
	if got, want := len(f.arrivals[endpoint.ID]), coldRate/2; got > want {
		t.Errorf("requests in the first %v got %d, want at most %d", moment, got, want)
	}
}
