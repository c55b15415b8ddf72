package tracker_test

import (
	"net/netip"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// TestPermitted guards against a request that is sent to an endpoint which may not get it any more
// since it was chosen.
func TestPermitted(t *testing.T) {
	put := func(change func(*tracker.Registration)) func(*tracker.Tracker, *tracker.Choice) {
		return func(tr *tracker.Tracker, _ *tracker.Choice) {
			changed := registration(0)
			changed.Sequence++
			change(&changed)
			tr.Put(changed)
		}
	}
	rows := map[string]struct {
		then func(tr *tracker.Tracker, choice *tracker.Choice)
		want bool
	}{
		"registered again":                    {put(func(*tracker.Registration) {}), true},
		"asks for a pause":                    {func(_ *tracker.Tracker, choice *tracker.Choice) { choice.ReportPause(time.Second) }, true},
		"draining":                            {put(func(r *tracker.Registration) { r.Draining = true }), false},
		"restarted":                           {put(func(r *tracker.Registration) { r.Started = r.Started.Add(time.Second) }), false},
		"at another address":                  {put(func(r *tracker.Registration) { r.Address = netip.MustParseAddrPort("10.0.0.9:80") }), false},
		"removed":                             {func(tr *tracker.Tracker, _ *tracker.Choice) { tr.Remove("e0", 0) }, false},
		"removed during an outage of the log": {func(tr *tracker.Tracker, _ *tracker.Choice) { tr.Remove("e0", time.Second) }, true},
		"is leaving":                          {func(_ *tracker.Tracker, choice *tracker.Choice) { choice.ReportLeaving() }, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, _ := newTracker(t, 1)
			choice := pick(t, tr, tracker.Query{Service: "helper"})
			row.then(tr, choice)
			if got := choice.Permitted(); got != row.want {
				t.Errorf("Permitted() got %t, want %t", got, row.want)
			}
		})
	}
}
