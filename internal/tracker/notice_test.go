package tracker_test

import (
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// TestNoticesOfConcurrentResponses guards against a later response that ends a longer pause, and
// against a response of an endpoint's earlier incarnation that speaks for the new one.
func TestNoticesOfConcurrentResponses(t *testing.T) {
	query := tracker.Query{Service: "helper"}
	rows := map[string]struct {
		// report reports what two requests in progress got.
		report func(tr *tracker.Tracker, first, second *tracker.Choice)
		want   time.Duration
	}{
		"shorter pause after a longer one": {func(_ *tracker.Tracker, first, second *tracker.Choice) {
			first.ReportPause(5 * time.Second)
			second.ReportPause(time.Second)
		}, 5 * time.Second},
		"longer pause after a shorter one": {func(_ *tracker.Tracker, first, second *tracker.Choice) {
			first.ReportPause(time.Second)
			second.ReportPause(5 * time.Second)
		}, 5 * time.Second},
		"of an earlier incarnation": {func(tr *tracker.Tracker, first, second *tracker.Choice) {
			restarted := registration(0)
			restarted.Started = restarted.Started.Add(time.Minute)
			tr.Put(restarted)
			first.ReportPause(5 * time.Second)
			second.ReportLeaving()
		}, 0},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, c := newTracker(t, 1)
			row.report(tr, pick(t, tr, query), pick(t, tr, query))
			wait, prevented := tr.Wait(query)
			if wait != row.want || prevented != (row.want > 0) {
				t.Errorf("Wait() got %v, %t, want %v", wait, prevented, row.want)
			}
			c.advance(row.want)
			pick(t, tr, query)
		})
	}
}
