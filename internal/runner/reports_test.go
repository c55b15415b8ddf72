package runner

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// reportsOf returns one report of each of a number of daemons.
func reportsOf(t *testing.T, daemons int) []subscriber.Record {
	t.Helper()
	var records []subscriber.Record
	for i := range daemons {
		value, err := proto.Marshal(&schema.RolloutReport{
			Service: "helper", Order: 7, Ttft: -1, At: durationpb.New(time.Second), Doubts: map[string]float64{fmt.Sprint("e", i%8): 0.001},
		})
		if err != nil {
			t.Fatalf("Marshal() got error %v, want nil", err)
		}
		records = append(records, subscriber.Record{Key: fmt.Sprint("entry-", i), Value: value})
	}
	return records
}

// TestWorkOnReportsGrowsWithTheirNumber guards against a large fleet whose daemons
// evaluate the reports of all others anew for each report of a page: the work would
// grow with the square of the fleet. It compares the bytes that are allocated, which
// hardly differ from run to run.
func TestWorkOnReportsGrowsWithTheirNumber(t *testing.T) {
	allocated := func(daemons int) uint64 {
		r := &Runner{logger: hclog.NewNullLogger()}
		r.deps.Clock = func() time.Duration { return time.Minute }
		r.tracker = tracker.New("ouse", rand.New(rand.NewPCG(1, 2)), time.Now, r.logger)
		m := &rolloutManager{Runner: r, statuses: map[string]promoter.Status{}, byService: map[string]*rolloutState{}, changed: make(chan struct{}, 1)}
		m.addOrder(promoter.Order{Service: "helper", Target: "v2", Duration: time.Minute, Offset: 7}, false)
		change := subscriber.Change{Records: reportsOf(t, daemons)}
		m.applyReports(change)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		m.applyReports(change)
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	const small, large = 30, 300
	if got, limit := allocated(large), 2*allocated(small)*large/small; got > limit {
		t.Errorf("bytes allocated for %d reports got %d, want at most %d, twice %d times those for %d", large, got, limit, large/small, small)
	}
}
