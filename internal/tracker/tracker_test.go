package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// clock is a manually advanced clock.
type clock struct{ now time.Time }

func (c *clock) advance(by time.Duration) { c.now = c.now.Add(by) }

// newTracker returns a tracker in zone a whose endpoints alternate between the
// zones a and b.
func newTracker(t *testing.T, endpoints int) (*tracker.Tracker, *clock) {
	t.Helper()
	c := &clock{now: time.Unix(1000, 0)}
	tr := tracker.New("a", rand.New(rand.NewPCG(1, 2)), func() time.Time { return c.now }, hclog.NewNullLogger())
	for i := range endpoints {
		tr.Put(registration(i))
	}
	return tr, c
}

func registration(i int) tracker.Registration {
	return tracker.Registration{
		ID: fmt.Sprint("e", i), Service: "helper", Zone: string(rune('a' + i%2)), Version: "v1", Slots: 8,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
		Started: time.Unix(1, 0), Models: []string{"small", "large"},
	}
}

func promptQuery(prefixKey uint64) tracker.Query {
	return tracker.Query{Service: "helper", Model: "large", PrefixKey: prefixKey, SharedTokens: 6000, PromptTokens: 9000}
}

func pick(t *testing.T, tr *tracker.Tracker, query tracker.Query) *tracker.Choice {
	t.Helper()
	choice, ok := tr.Pick(query)
	if !ok {
		t.Fatalf("Pick() got no endpoint, want one")
	}
	return choice
}

// Long prompts with few distinct prefixes: spreading a prefix over endpoints would
// prefill it again on each of them.
func TestPickKeepsPrefixOnOneEndpointWithoutBacklog(t *testing.T) {
	tr, c := newTracker(t, 8)
	preferred := map[uint64]string{}
	for round := range 5 {
		for prefixKey := uint64(1); prefixKey <= 40; prefixKey++ {
			choice := pick(t, tr, promptQuery(prefixKey))
			if want, found := preferred[prefixKey]; found && want != choice.ID {
				t.Errorf("prefix %d in round %d got %s, want its preferred endpoint %s", prefixKey, round, choice.ID, want)
			}
			preferred[prefixKey] = choice.ID
			choice.ResponseStarted(choice.ExpectedTTFT())
			choice.End(tracker.Success, 0)
			c.advance(time.Second)
		}
	}
	used := map[string]bool{}
	for _, id := range preferred {
		used[id] = true
	}
	if len(used) < 7 {
		t.Errorf("preferred endpoints of 40 prefixes got %d of 8 endpoints, want at least 7", len(used))
	}
}

// A burst of requests with one prefix: prefix affinity alone would queue all of
// them at one endpoint.
func TestPickSpreadsHotPrefixWhenPreferredEndpointIsBusy(t *testing.T) {
	tr, _ := newTracker(t, 8)
	counts := map[string]int{}
	for range 40 {
		counts[pick(t, tr, promptQuery(7)).ID]++
	}
	if len(counts) < 4 {
		t.Errorf("endpoints of a burst with one prefix got %v, want at least 4", counts)
	}
}

// Prompts that queue behind other prompts: an endpoint whose responses begin late
// must be avoided until the measured queue delay has decayed.
func TestPickAvoidsDelayedEndpointUntilDelayDecays(t *testing.T) {
	tr, c := newTracker(t, 8)
	choice := pick(t, tr, promptQuery(3))
	preferred := choice.ID
	choice.ResponseStarted(3 * time.Second)
	choice.End(tracker.Success, 0)
	if got := pick(t, tr, promptQuery(3)); got.ID == preferred {
		t.Errorf("Pick() after a delay of 3 s got the same endpoint, want another")
	} else {
		got.ResponseStarted(got.ExpectedTTFT())
		got.End(tracker.Success, 0)
	}
	c.advance(5 * time.Second)
	if got := pick(t, tr, promptQuery(3)); got.ID != preferred {
		t.Errorf("Pick() 5 s later got %s, want the preferred endpoint %s again", got.ID, preferred)
	}
}

// Overloaded endpoints shared by many daemons, each of which gets few responses: a
// mean that decays per response instead of over time would lag behind.
func TestMeanQueueDelayIsIndependentOfResponseRate(t *testing.T) {
	rows := map[string]time.Duration{"few responses": 100 * time.Millisecond, "many responses": 20 * time.Millisecond}
	for name, interval := range rows {
		t.Run(name, func(t *testing.T) {
			tr, c := newTracker(t, 8)
			meanDelay := func(duration, extra time.Duration) time.Duration {
				for startedAt := c.now; c.now.Sub(startedAt) < duration; c.advance(interval) {
					choice := pick(t, tr, promptQuery(1))
					choice.ResponseStarted(choice.ExpectedTTFT() - choice.Backlog + extra)
					choice.End(tracker.Success, 0)
				}
				_, delay := tr.EstimateTTFT(promptQuery(1))
				return delay
			}
			if got := meanDelay(time.Second, 800*time.Millisecond); got < 500*time.Millisecond || got > 800*time.Millisecond {
				t.Errorf("mean queue delay got %v after a second of 800ms, want 500ms to 800ms", got)
			}
			if got := meanDelay(2*time.Second, 0); got > 100*time.Millisecond {
				t.Errorf("mean queue delay got %v two seconds later, want at most 100ms", got)
			}
		})
	}
}

// Endpoints with few slots that are filled by many other daemons: without their
// load reports, requests would queue at the preferred endpoint.
func TestPickAvoidsEndpointLoadedByOtherDaemons(t *testing.T) {
	rows := map[string]struct {
		load tracker.Load
		// wantOther is set when the preferred endpoint must not be chosen.
		wantOther bool
	}{
		"free slot":        {tracker.Load{Requests: 7}, false},
		"all slots taken":  {tracker.Load{Requests: 16}, true},
		"outdated report":  {tracker.Load{Requests: 16, Age: 2 * time.Second}, false},
		"unknown endpoint": {tracker.Load{ID: "e99", Requests: 16}, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, c := newTracker(t, 8)
			preferred := pick(t, tr, promptQuery(1))
			c.advance(time.Second)
			preferred.ResponseStarted(preferred.ExpectedTTFT())
			preferred.End(tracker.Success, 0)
			c.advance(10 * time.Second)
			if row.load.ID == "" {
				row.load.ID = preferred.ID
			}
			tr.MergeLoads([]tracker.Load{row.load})
			if got := pick(t, tr, promptQuery(1)).ID; (got != preferred.ID) != row.wantOther {
				t.Errorf("Pick() got %s with %d requests at the preferred endpoint %s, want another: %t", got, row.load.Requests, preferred.ID, row.wantOther)
			}
		})
	}
}

// A daemon that passes on a load report without its age would let an outdated
// report replace a newer one.
func TestLoadsKeepTheirAge(t *testing.T) {
	tr, c := newTracker(t, 4)
	choice := pick(t, tr, promptQuery(1))
	choice.ReportLoad(9, 3, 0)
	c.advance(300 * time.Millisecond)
	for name, loads := range map[string][]tracker.Load{"DirectLoads": tr.DirectLoads(), "BusyLoads": tr.BusyLoads()} {
		if len(loads) != 1 || loads[0].ID != choice.ID || loads[0].Requests != 12 || loads[0].Age != 300*time.Millisecond {
			t.Errorf("%s() got %+v, want 12 requests of %s 300ms ago", name, loads, choice.ID)
		}
	}
	tr.MergeLoads([]tracker.Load{{ID: choice.ID, Requests: 2, Age: 500 * time.Millisecond}})
	if got := tr.BusyLoads(); len(got) != 1 {
		t.Errorf("BusyLoads() got %+v after an older report, want the load reported to this daemon", got)
	}
	tr.MergeLoads([]tracker.Load{{ID: choice.ID, Requests: 2, Age: 100 * time.Millisecond}})
	if got := tr.BusyLoads(); len(got) != 0 {
		t.Errorf("BusyLoads() got %+v after a newer report of an idle endpoint, want none", got)
	}
	// A report from the future must not outlast those that follow.
	tr.MergeLoads([]tracker.Load{{ID: choice.ID, Requests: 2, Age: -time.Hour}})
	c.advance(100 * time.Millisecond)
	tr.MergeLoads([]tracker.Load{{ID: choice.ID, Requests: 12}})
	if got := tr.BusyLoads(); len(got) != 1 {
		t.Errorf("BusyLoads() got %+v after a report from the future and a newer one, want the newer one", got)
	}
	c.advance(2 * time.Second)
	if got := tr.DirectLoads(); len(got) != 0 {
		t.Errorf("DirectLoads() got %+v two seconds later, want none", got)
	}
}

// An endpoint that is down has no backlog and would attract all requests unless it
// is avoided for a time.
func TestPickAvoidsEndpointAfterRefusedConnection(t *testing.T) {
	tr, c := newTracker(t, 4)
	choice := pick(t, tr, promptQuery(3))
	preferred := choice.ID
	choice.End(tracker.ConnectFailed, 0)
	for range 50 {
		got := pick(t, tr, promptQuery(3))
		if got.ID == preferred {
			t.Fatalf("Pick() right after a refused connection got the same endpoint")
		}
		got.End(tracker.Neutral, 0)
	}
	c.advance(5 * time.Second)
	if got := pick(t, tr, promptQuery(3)); got.ID != preferred {
		t.Errorf("Pick() 5 s later got %s, want the preferred endpoint %s again", got.ID, preferred)
	}
}

// The only endpoint of a service is still tried while it is down, since there is no
// other one.
func TestPickReturnsLastEndpointEvenWhenDown(t *testing.T) {
	tr, _ := newTracker(t, 1)
	pick(t, tr, promptQuery(3)).End(tracker.ConnectFailed, 0)
	pick(t, tr, promptQuery(3)).End(tracker.ConnectFailed, 0)
}

// During a network partition, every endpoint of the other zone would otherwise
// fail requests one by one. The zone must get its share again after a response.
func TestUnreachableZoneGetsOneRequestAtATime(t *testing.T) {
	tr, c := newTracker(t, 8)
	failed := 0
	for prefixKey := uint64(1); prefixKey <= 200; prefixKey++ {
		choice := pick(t, tr, promptQuery(prefixKey))
		if choice.Zone == "b" {
			failed++
			choice.End(tracker.Unreachable, 0)
		} else {
			choice.ResponseStarted(choice.ExpectedTTFT())
			choice.End(tracker.Success, 0)
		}
		c.advance(10 * time.Millisecond)
	}
	if failed > 5 {
		t.Errorf("requests to the unreachable zone in 2 s got %d, want at most 5", failed)
	}
	// The zone is reachable again.
	c.advance(2 * time.Second)
	resumed := 0
	for prefixKey := uint64(1); prefixKey <= 200; prefixKey++ {
		choice := pick(t, tr, promptQuery(prefixKey))
		if choice.Zone == "b" {
			resumed++
		}
		choice.ResponseStarted(choice.ExpectedTTFT())
		choice.End(tracker.Success, 0)
		c.advance(50 * time.Millisecond)
	}
	if resumed < 50 {
		t.Errorf("requests to the zone once it is reachable got %d of 200, want at least 50", resumed)
	}
}

// A retry must not reach an endpoint that was tried already, and no request may
// reach an endpoint of another service, version or model.
func TestPickFiltersByVersionModelAndTried(t *testing.T) {
	tr, _ := newTracker(t, 4)
	updated := registration(3)
	updated.Version = "v2"
	updated.Sequence = 1
	updated.Models = []string{"small"}
	tr.Put(updated)
	rows := map[string]struct {
		query tracker.Query
		want  string
	}{
		"only version":    {tracker.Query{Service: "helper", OnlyVersion: "v2"}, "e3"},
		"already tried":   {tracker.Query{Service: "helper", Tried: []string{"e0", "e1", "e3"}}, "e2"},
		"except version":  {tracker.Query{Service: "helper", ExceptVersion: "v1"}, "e3"},
		"model":           {tracker.Query{Service: "helper", OnlyVersion: "v2", Model: "large"}, ""},
		"service":         {tracker.Query{Service: "other"}, ""},
		"unknown version": {tracker.Query{Service: "helper", OnlyVersion: "v3"}, ""},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			got := ""
			if choice, ok := tr.Pick(row.query); ok {
				got = choice.ID
			}
			if got != row.want {
				t.Errorf("Pick() got %q, want %q", got, row.want)
			}
		})
	}
}

// If daemons chose different subsets, a small share would still reach many
// endpoints; a subset of one endpoint could not distinguish a bad version from a
// broken endpoint.
func TestSubsetIsTheSameOnAllDaemonsAndNeverOneEndpoint(t *testing.T) {
	used := map[string]bool{}
	for range 3 {
		tr, _ := newTracker(t, 12)
		for prefixKey := uint64(1); prefixKey <= 100; prefixKey++ {
			query := promptQuery(prefixKey)
			query.SubsetShare = 0.01
			used[pick(t, tr, query).ID] = true
		}
	}
	if len(used) != 2 {
		t.Errorf("endpoints of a small subset got %v, want the same two on all daemons", used)
	}
}

// endWith ends requests at an endpoint with an outcome and a pace.
func endWith(t *testing.T, tr *tracker.Tracker, id string, results int, outcome tracker.Outcome, pace time.Duration) {
	t.Helper()
	for range results {
		pickFrom(t, tr, id).End(outcome, pace)
	}
}

// pickFrom returns a choice of the endpoint.
func pickFrom(t *testing.T, tr *tracker.Tracker, id string) *tracker.Choice {
	t.Helper()
	var others []string
	for i := range 10 {
		if other := fmt.Sprint("e", i); other != id {
			others = append(others, other)
		}
	}
	return pick(t, tr, tracker.Query{Service: "helper", Tried: others})
}

// moved returns the registration of an endpoint at the address of another one.
func moved(i, address int) tracker.Registration {
	endpoint := registration(i)
	endpoint.Address = registration(address).Address
	endpoint.Sequence = 1
	return endpoint
}

// TestEjectionAfterEndpointsAreGone guards against an endpoint that is not ejected because of the
// health of endpoints that are gone: ejected ones use up the cap, and their paces count in the
// median.
func TestEjectionAfterEndpointsAreGone(t *testing.T) {
	rows := map[string]struct {
		// gone takes the endpoints e0 and e1 out of six.
		gone func(tr *tracker.Tracker, c *clock)
		// late is set if results of these endpoints arrive afterwards.
		late bool
	}{
		"removed": {func(tr *tracker.Tracker, _ *clock) {
			tr.Remove("e0", 0)
			tr.Remove("e1", 0)
		}, false},
		"removed, late results": {func(tr *tracker.Tracker, _ *clock) {
			tr.Remove("e0", 0)
			tr.Remove("e1", 0)
		}, true},
		"not among those of the log": {func(tr *tracker.Tracker, _ *clock) {
			tr.Retain(map[string]bool{"e2": true, "e3": true, "e4": true, "e5": true}, 0)
		}, false},
		"grace period is over": {func(tr *tracker.Tracker, c *clock) {
			tr.Remove("e0", time.Second)
			tr.Remove("e1", time.Second)
			c.advance(1100 * time.Millisecond)
			// The next look at the endpoints removes them.
			tr.Room(tracker.Query{Service: "helper"})
		}, false},
		"moved to other addresses": {func(tr *tracker.Tracker, _ *clock) {
			tr.Put(moved(0, 10))
			tr.Put(moved(1, 11))
		}, false},
		"moved to other addresses, late results": {func(tr *tracker.Tracker, _ *clock) {
			tr.Put(moved(0, 10))
			tr.Put(moved(1, 11))
		}, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Run("failing", func(t *testing.T) {
				tr, c := newTracker(t, 6)
				var late []*tracker.Choice
				for range 8 {
					late = append(late, pickFrom(t, tr, "e0"), pickFrom(t, tr, "e1"))
				}
				if !row.late {
					endWith(t, tr, "e0", 4, tracker.Failure, 0)
					endWith(t, tr, "e1", 4, tracker.Failure, 0)
				}
				row.gone(tr, c)
				if row.late {
					endAll(late, tracker.Failure, 0)
				}
				_, before := tr.Counts()
				endWith(t, tr, "e2", 4, tracker.Failure, 0)
				if _, after := tr.Counts(); after != before+1 {
					t.Errorf("ejections of a failing endpoint got %d, want 1", after-before)
				}
			})
			t.Run("slow", func(t *testing.T) {
				tr, c := newTracker(t, 6)
				late := []*tracker.Choice{pickFrom(t, tr, "e0"), pickFrom(t, tr, "e0"), pickFrom(t, tr, "e1"), pickFrom(t, tr, "e1")}
				if !row.late {
					endAll(late, tracker.Success, 100*time.Millisecond)
				}
				row.gone(tr, c)
				if row.late {
					endAll(late, tracker.Success, 100*time.Millisecond)
				}
				endWith(t, tr, "e2", 2, tracker.Success, 10*time.Millisecond)
				endWith(t, tr, "e3", 2, tracker.Success, 40*time.Millisecond)
				if _, got := tr.Counts(); got != 1 {
					t.Errorf("ejections of a slow endpoint got %d, want 1", got)
				}
			})
		})
	}
}

// endAll ends requests with an outcome and a pace.
func endAll(choices []*tracker.Choice, outcome tracker.Outcome, pace time.Duration) {
	for _, choice := range choices {
		choice.End(outcome, pace)
	}
}

// TestHealthAtReusedAddress guards against an endpoint that gets a clean record, or that of
// another one, when an endpoint that was at its address before is removed or moves.
func TestHealthAtReusedAddress(t *testing.T) {
	rows := map[string]struct {
		// leave takes e0 from the address at which e6 is.
		leave func(tr *tracker.Tracker, late []*tracker.Choice)
		// failures are those of e6 after that, of which it has three before.
		failures int
		want     uint64
	}{
		"removed": {func(tr *tracker.Tracker, _ []*tracker.Choice) { tr.Remove("e0", 0) }, 1, 1},
		"moved":   {func(tr *tracker.Tracker, _ []*tracker.Choice) { tr.Put(moved(0, 10)) }, 1, 1},
		"removed, late failures of the former one": {func(tr *tracker.Tracker, late []*tracker.Choice) {
			tr.Remove("e0", 0)
			endAll(late, tracker.Failure, 0)
		}, 0, 0},
		"moved, late failures of the former one": {func(tr *tracker.Tracker, late []*tracker.Choice) {
			tr.Put(moved(0, 10))
			endAll(late, tracker.Failure, 0)
		}, 0, 0},
		"registered again, late failures": {func(tr *tracker.Tracker, late []*tracker.Choice) {
			tr.Remove("e6", 0)
			tr.Remove("e0", 0)
			tr.Put(registration(0))
			endAll(late, tracker.Failure, 0)
		}, 0, 1},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, _ := newTracker(t, 6)
			var late []*tracker.Choice
			for range 4 {
				late = append(late, pickFrom(t, tr, "e0"))
			}
			tr.Put(moved(6, 0))
			endWith(t, tr, "e6", 3, tracker.Failure, 0)
			row.leave(tr, late)
			endWith(t, tr, "e6", row.failures, tracker.Failure, 0)
			if _, got := tr.Counts(); got != row.want {
				t.Errorf("ejections got %d, want %d", got, row.want)
			}
		})
	}
}
