package forwarder

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

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
	return newAdmission(tr, logger).pool(tracker.Query{Service: "engine"}, time.Second)
}

// reportLoad has the endpoint report a load for a time.
func reportLoad(p *pool, requests int, duration time.Duration) {
	const interval = 100 * time.Millisecond
	for range duration / interval {
		p.tracker.MergeLoads([]tracker.Load{{ID: "e", Requests: requests}})
		time.Sleep(interval)
	}
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
