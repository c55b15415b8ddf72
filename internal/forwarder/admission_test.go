package forwarder

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/admitter"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// fullLoad and idleLoad are numbers of requests at an endpoint with 8 slots.
const (
	fullLoad = 24
	idleLoad = 4
)

// newTestPool returns the pool of one endpoint with 8 slots.
func newTestPool() *pool {
	logger := hclog.NewNullLogger()
	tr := tracker.New("a", rand.New(rand.NewPCG(1, 2)), time.Now, logger)
	tr.Put(tracker.Registration{ID: "e", Service: "engine", Zone: "a", Version: "v1", Slots: 8, Address: netip.MustParseAddrPort("10.0.0.1:80"), Started: time.Now()})
	return newAdmission(tr, func() bool { return false }, logger).pool(tracker.Query{Service: "engine"}, time.Second)
}

// reportLoad has the endpoint report a load for a time.
func reportLoad(p *pool, requests int, duration time.Duration) {
	const interval = 100 * time.Millisecond
	for range duration / interval {
		p.tracker.MergeLoads([]tracker.Load{{ID: "e", Requests: requests}})
		time.Sleep(interval)
	}
}

// TestStopEndsLimit guards against a stopping daemon that holds a request back for room until it has
// to end it.
func TestStopEndsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool()
		var stopping atomic.Bool
		p.stopping = stopping.Load
		p.limit()
		reportLoad(p, fullLoad, time.Second)
		p.limit()
		reportLoad(p, fullLoad, time.Second)
		if got := p.limit(); !got.Active {
			t.Fatalf("limit() got %+v after a second of overload, want a limit", got)
		}
		request := admitter.Request{Deadline: time.Now().Add(time.Hour)}
		started := make(chan struct{}, 2)
		for range cap(started) {
			go func() {
				if _, err := p.admitter.Admit(t.Context(), request); err == nil {
					started <- struct{}{}
				}
			}()
		}
		reportLoad(p, fullLoad, time.Second)
		if got := len(started); got != 1 {
			t.Errorf("started requests got %d, want 1 within the limit", got)
		}
		stopping.Store(true)
		reportLoad(p, fullLoad, 200*time.Millisecond)
		if got := len(started); got != cap(started) {
			t.Errorf("started requests got %d of a stopping daemon, want %d", got, cap(started))
		}
	})
}

// TestSeparateMomentsOfOverload guards against a daemon with few requests that limits them because
// two of them, some time apart, came at moments of overload.
func TestSeparateMomentsOfOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool()
		reportLoad(p, fullLoad, 100*time.Millisecond)
		p.limit()
		reportLoad(p, idleLoad, 5*time.Second)
		reportLoad(p, fullLoad, 100*time.Millisecond)
		if got := p.limit(); got.Active {
			t.Errorf("limit() got %+v after two separate moments of overload, want none", got)
		}
		reportLoad(p, fullLoad, time.Second)
		if got := p.limit(); !got.Active {
			t.Errorf("limit() got %+v after a second of overload, want a limit", got)
		}
		reportLoad(p, idleLoad, 2*time.Second)
	})
}

// TestPoolOfTheModelThatRuns guards against a request that may run only once and begins on the
// largest model, but waits for room at the endpoints of the smallest.
func TestPoolOfTheModelThatRuns(t *testing.T) {
	route := matcher.Route{Name: "report", Kind: matcher.Stream, Service: "engine", TargetLatency: time.Second, Models: []string{"small", "large"}}
	rows := map[string]struct {
		resumable bool
		want      string
	}{
		"may run again": {true, "small"},
		"runs once":     {false, "large"},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			route := route
			route.Resumable = row.resumable
			tr := tracker.New("a", rand.New(rand.NewPCG(1, 2)), time.Now, hclog.NewNullLogger())
			f := New(Dependencies{ControlPlane: &versionRecorder{}, Tracker: tr, RetryBudgets: NewRetryBudgets(1, 1), Counters: NewCounters(metrics.NewSet()), Logger: hclog.NewNullLogger()})
			table := matcher.NewTable(matcher.Declaration{
				Routes:   []matcher.Route{route},
				Services: []matcher.Service{{Name: "engine", Costs: map[string]float64{"small": 1, "large": 10}}},
			})
			c := &call{Forwarder: f, Request: Request{AnyModel: true}, view: View{Table: table}, route: &route, arrived: time.Now(), deadline: time.Now().Add(time.Minute)}
			if problem := c.runAdmitted(t.Context()); problem == nil {
				t.Fatal("runAdmitted() without endpoints got no error")
			}
			for key := range f.admission.pools {
				if key.model != row.want {
					t.Errorf("model of the pool got %q, want %q", key.model, row.want)
				}
			}
		})
	}
}
