package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// report merges a load report of each of the endpoints, which is of an age.
func report(tr *tracker.Tracker, requests int, age time.Duration, endpoints ...int) {
	var loads []tracker.Load
	for _, i := range endpoints {
		loads = append(loads, tracker.Load{ID: fmt.Sprint("e", i), Requests: requests, Age: age})
	}
	tr.MergeLoads(loads)
}

// TestRoom guards against admission control that takes endpoints for full, because it reads
// reports that are over, or those of endpoints that do not get the request.
func TestRoom(t *testing.T) {
	rows := map[string]struct {
		arrange func(tr *tracker.Tracker)
		want    tracker.Room
	}{
		"no report": {func(*tracker.Tracker) {}, tracker.Room{Endpoints: 4, Slots: 32}},
		"all full": {func(tr *tracker.Tracker) { report(tr, 12, 0, 0, 1, 2, 3) },
			tracker.Room{Endpoints: 4, Slots: 32, KnownEndpoints: 4, Requests: 48, LeastLoad: 1.5}},
		"one has a free slot": {func(tr *tracker.Tracker) { report(tr, 12, 0, 0, 1, 2); report(tr, 4, 0, 3) },
			tracker.Room{Endpoints: 4, Slots: 32, KnownEndpoints: 4, Requests: 40, LeastLoad: 0.5}},
		"stale report": {func(tr *tracker.Tracker) { report(tr, 12, 0, 0, 1, 2); report(tr, 12, time.Second, 3) },
			tracker.Room{Endpoints: 4, Slots: 32, KnownEndpoints: 3, Requests: 36, LeastLoad: 1.5}},
		"one drains": {func(tr *tracker.Tracker) {
			report(tr, 12, 0, 0, 1, 2)
			draining := registration(3)
			draining.Draining = true
			tr.Put(draining)
		}, tracker.Room{Endpoints: 3, Slots: 24, KnownEndpoints: 3, Requests: 36, LeastLoad: 1.5}},
		"one refuses connections": {func(tr *tracker.Tracker) {
			report(tr, 12, 0, 0, 1, 2)
			choice, _ := tr.Pick(tracker.Query{Service: "helper", Tried: []string{"e0", "e1", "e2"}})
			choice.End(tracker.ConnectFailed, 0)
		}, tracker.Room{Endpoints: 3, Slots: 24, KnownEndpoints: 3, Requests: 36, LeastLoad: 1.5}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, _ := newTracker(t, 4)
			row.arrange(tr)
			if got := tr.Room(tracker.Query{Service: "helper"}); got != row.want {
				t.Errorf("Room() got %+v, want %+v", got, row.want)
			}
		})
	}
}
