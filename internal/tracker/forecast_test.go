package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// newUnevenTracker returns a tracker of endpoints that have reported their slowdowns and that
// no request runs there.
func newUnevenTracker(t *testing.T, slowdowns []float64) (*tracker.Tracker, *clock) {
	t.Helper()
	tr, c := newTracker(t, len(slowdowns))
	c.advance(time.Second)
	tr.MergeLoads(loadsOf(slowdowns, 0))
	return tr, c
}

func loadsOf(slowdowns []float64, requests int) []tracker.Load {
	var loads []tracker.Load
	for i, slowdown := range slowdowns {
		loads = append(loads, tracker.Load{ID: fmt.Sprint("e", i), Requests: requests, Slowdown: slowdown})
	}
	return loads
}

func chatQuery(prefixKey uint64) tracker.Query {
	query := promptQuery(prefixKey)
	query.Events = 20
	return query
}

// A pool of endpoints on uneven hosts: one that is slow but has no queue must not look as good as
// a fast one.
func TestPickFavoursFastHosts(t *testing.T) {
	slowdowns := []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6}
	tr, c := newUnevenTracker(t, slowdowns)
	picks := map[float64]int{}
	for prefixKey := range uint64(900) {
		choice := pick(t, tr, chatQuery(prefixKey))
		var index int
		if _, err := fmt.Sscanf(choice.ID, "e%d", &index); err != nil {
			t.Fatal(err)
		}
		picks[slowdowns[index]]++
		choice.ResponseStarted(choice.ExpectedTTFT())
		choice.End(tracker.Success, 0)
		c.advance(100 * time.Millisecond)
	}
	if picks[0.6] < 2*picks[1.6] || picks[1.6] == 0 {
		t.Errorf("picks by slowdown got %v, want at least twice as many of 0.6 as of 1.6, and some of 1.6", picks)
	}
}

// Many daemons that have the same load reports: if each sent its request to the endpoint that the
// reports favour, all requests of a while would run there.
func TestPickSpreadsOverSameReports(t *testing.T) {
	slowdowns := make([]float64, 40)
	for i := range slowdowns {
		slowdowns[i] = 1
	}
	picks := map[string]int{}
	for prefixKey := range uint64(200) {
		tr, _ := newUnevenTracker(t, slowdowns)
		loads := loadsOf(slowdowns, 6)
		loads[0].Requests, loads[0].Age = 0, -time.Nanosecond
		tr.MergeLoads(loads)
		picks[pick(t, tr, chatQuery(prefixKey)).ID]++
	}
	if picks["e0"] > 60 {
		t.Errorf("picks of the idle endpoint got %d of 200, want at most 60", picks["e0"])
	}
}

// A neighbour on an endpoint's host slows it for less than a second: a report from before that
// must not count as if it were new, nor be forgotten.
func TestSlowdownReturnsToUsual(t *testing.T) {
	tr, c := newUnevenTracker(t, []float64{1})
	for range 20 {
		c.advance(time.Second)
		tr.MergeLoads(loadsOf([]float64{1}, 0))
	}
	c.advance(time.Second)
	tr.MergeLoads(loadsOf([]float64{3}, 0))
	rows := []struct {
		after       time.Duration
		least, most float64
	}{{0, 2.9, 3.1}, {300 * time.Millisecond, 1.9, 2.4}, {3 * time.Second, 1, 1.5}}
	elapsed := time.Duration(0)
	for _, row := range rows {
		c.advance(row.after - elapsed)
		elapsed = row.after
		choice := pick(t, tr, chatQuery(1))
		if got := choice.Slowdown; got < row.least || got > row.most {
			t.Errorf("Slowdown %v after the report got %.2f, want %v to %v", row.after, got, row.least, row.most)
		}
		choice.End(tracker.Neutral, 0)
	}
}

// Endpoints that do not report the speed of their hosts are chosen as before, whatever others of
// another service report.
func TestForecastOnlyWhereSlowdownIsReported(t *testing.T) {
	tr, c := newTracker(t, 8)
	other := registration(8)
	other.Service = "other"
	tr.Put(other)
	c.advance(time.Second)
	tr.MergeLoads([]tracker.Load{{ID: "e8", Slowdown: 2}})
	if got := pick(t, tr, chatQuery(1)).ExpectedGap(); got != 0 {
		t.Errorf("ExpectedGap() got %v for a service without reports, want 0", got)
	}
	query := chatQuery(1)
	query.Service = "other"
	if got := pick(t, tr, query).ExpectedGap(); got == 0 {
		t.Error("ExpectedGap() got 0 for a service with reports, want more")
	}
}

// The reports of idle endpoints, too, are passed on within the zone where hosts are uneven.
func TestBusyLoadsOfUnevenHosts(t *testing.T) {
	tr, c := newUnevenTracker(t, []float64{0.6, 1.6})
	c.advance(2 * time.Second)
	got := tr.BusyLoads()
	if len(got) != 2 || got[0].Slowdown == 0 || got[0].Age != 2*time.Second {
		t.Errorf("BusyLoads() got %+v, want both endpoints with their slowdown, 2s old", got)
	}
}
