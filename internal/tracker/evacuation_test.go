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
		"evacuated":                           {func(tr *tracker.Tracker, _ *tracker.Choice) { tr.SetEvacuated(map[string]bool{"a": true}) }, false},
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

// TestEvacuatedZone guards against requests to endpoints of an evacuated zone, also to those that
// start, restart or come back there, and against a service that changes its version because of
// the evacuation.
func TestEvacuatedZone(t *testing.T) {
	evacuateB := func(tr *tracker.Tracker) { tr.SetEvacuated(map[string]bool{"b": true}) }
	rows := map[string]struct {
		then func(tr *tracker.Tracker)
		// want is the number of endpoints that may get requests.
		want int
	}{
		"no zone":      {func(*tracker.Tracker) {}, 4},
		"one zone":     {evacuateB, 2},
		"unknown zone": {func(tr *tracker.Tracker) { tr.SetEvacuated(map[string]bool{"c": true}) }, 4},
		"all zones":    {func(tr *tracker.Tracker) { tr.SetEvacuated(map[string]bool{"a": true, "b": true}) }, 0},
		"withdrawn":    {func(tr *tracker.Tracker) { evacuateB(tr); tr.SetEvacuated(nil) }, 4},
		"endpoint restarts": {func(tr *tracker.Tracker) {
			evacuateB(tr)
			restarted := registration(1)
			restarted.Started = restarted.Started.Add(time.Minute)
			tr.Put(restarted)
		}, 2},
		"endpoint comes back": {func(tr *tracker.Tracker) {
			evacuateB(tr)
			tr.Remove("e1", 0)
			tr.Put(registration(1))
		}, 2},
		"endpoints start": {func(tr *tracker.Tracker) {
			evacuateB(tr)
			tr.Put(registration(4))
			tr.Put(registration(5))
		}, 3},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, _ := newTracker(t, 4)
			row.then(tr)
			query := promptQuery(7)
			used := 0
			for choice, ok := tr.Pick(query); ok; choice, ok = tr.Pick(query) {
				used++
				query.Tried = append(query.Tried, choice.ID)
			}
			if used != row.want {
				t.Errorf("endpoints that get requests got %d, want %d", used, row.want)
			}
			if got := tr.AvailableVersionCounts("helper")["v1"]; got != row.want {
				t.Errorf("AvailableVersionCounts() got %d, want %d", got, row.want)
			}
			if endpoints, _ := tr.Counts(); tr.InServiceVersionCounts()["helper"]["v1"] != endpoints {
				t.Errorf("InServiceVersionCounts() got %v, want all %d", tr.InServiceVersionCounts(), endpoints)
			}
		})
	}
}

// TestWaitIgnoresEvacuatedZone guards against a Retry-After that names the end of a pause at an
// endpoint which gets no requests after it either.
func TestWaitIgnoresEvacuatedZone(t *testing.T) {
	tr, _ := newTracker(t, 1)
	query := tracker.Query{Service: "helper"}
	pick(t, tr, query).ReportPause(5 * time.Second)
	tr.SetEvacuated(map[string]bool{"a": true})
	if wait, prevented := tr.Wait(query); prevented {
		t.Errorf("Wait() got %v, want no known time", wait)
	}
}
