package tracker_test

import (
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// newColdTracker returns a tracker whose endpoints are warm and have a bound when they are cold,
// all of which this daemon may send.
func newColdTracker(t *testing.T, endpoints int) (*tracker.Tracker, *clock) {
	t.Helper()
	tr, c := newTracker(t, endpoints)
	ids := map[string]bool{}
	for i := range endpoints {
		ids[registration(i).ID] = true
	}
	tr.Retain(ids, 0)
	tr.SetColdServices(coldServices())
	tr.SetColdShare(func(_ string, perSecond float64) float64 { return perSecond })
	return tr, c
}

// restarted returns a first registration of a new incarnation of an endpoint, which started at
// a time.
func restarted(i int, started time.Time, remaining time.Duration) tracker.Registration {
	r := registration(i)
	r.Started, r.Sequence, r.WarmupRemaining = started, 1, remaining
	return r
}

// coldFor returns how long an endpoint is still cold.
func coldFor(tr *tracker.Tracker, c *clock) time.Duration {
	const step = 100 * time.Millisecond
	begin := c.now
	for tr.ColdEndpoints() > 0 {
		c.advance(step)
	}
	return c.now.Sub(begin)
}

// TestColdTime guards against an endpoint that gets its usual requests although it is cold,
// because one of the ways in which it says so is overlooked or overrides a longer time, and against
// warm endpoints that are held back.
func TestColdTime(t *testing.T) {
	const (
		short = 2 * time.Second
		long  = 5 * time.Second
	)
	cold := func(c *clock, remaining time.Duration) tracker.Cold {
		return tracker.Cold{Endpoint: "e0", Started: c.now, Remaining: remaining}
	}
	rows := map[string]struct {
		prepare func(tr *tracker.Tracker, c *clock)
		want    time.Duration
	}{
		"known at the daemon's start": {func(*tracker.Tracker, *clock) {}, 0},
		"registration says so":        {func(tr *tracker.Tracker, c *clock) { tr.Put(restarted(0, c.now, short)) }, short},
		"new incarnation says nothing": {func(tr *tracker.Tracker, c *clock) {
			tr.Put(restarted(0, c.now, 0))
		}, coldTime},
		"unknown id says nothing": {func(tr *tracker.Tracker, c *clock) { tr.Put(restarted(7, c.now, 0)) }, coldTime},
		"unknown id that started long ago": {func(tr *tracker.Tracker, c *clock) {
			tr.Put(restarted(7, c.now.Add(-time.Hour), 0))
		}, 0},
		"unknown id whose first registration was missed": {func(tr *tracker.Tracker, c *clock) {
			r := restarted(7, c.now, 0)
			r.Sequence = 2
			tr.Put(r)
		}, 0},
		"response says longer than the registration": {func(tr *tracker.Tracker, c *clock) {
			tr.Put(restarted(0, c.now, short))
			tr.RecordCold(cold(c, long))
		}, long},
		"registration says longer than the response": {func(tr *tracker.Tracker, c *clock) {
			tr.Put(restarted(0, c.now, long))
			tr.RecordCold(cold(c, short))
		}, long},
		"another daemon's response says longer": {func(tr *tracker.Tracker, c *clock) {
			tr.Put(restarted(0, c.now, short))
			tr.ApplyCold(cold(c, long), c.now.Add(-time.Second))
		}, long - time.Second},
		"another daemon's response to the incarnation before": {func(tr *tracker.Tracker, c *clock) {
			earlier := cold(c, long)
			earlier.Started = registration(0).Started
			tr.Put(restarted(0, c.now, short))
			tr.ApplyCold(earlier, c.now)
		}, short},
		"response comes before the registration": {func(tr *tracker.Tracker, c *clock) {
			tr.ApplyCold(cold(c, long), c.now)
			tr.Put(restarted(0, c.now, 0))
		}, coldTime},
		"turns cold at any moment": {func(tr *tracker.Tracker, c *clock) {
			again := registration(0)
			again.Sequence, again.WarmupRemaining = 9, short
			tr.Put(again)
		}, short},
		"the same registration is read again": {func(tr *tracker.Tracker, c *clock) {
			tr.Put(restarted(0, c.now, short))
			r := restarted(0, c.now, short)
			c.advance(time.Second)
			tr.Put(r)
		}, short - time.Second},
		"later registration says that it is warm": {func(tr *tracker.Tracker, c *clock) {
			tr.Put(restarted(0, c.now, long))
			warm := restarted(0, c.now, 0)
			warm.Sequence = 2
			tr.Put(warm)
		}, 0},
		"later registration says warm before the response's time": {func(tr *tracker.Tracker, c *clock) {
			tr.Put(restarted(0, c.now, long))
			tr.RecordCold(cold(c, short))
			warm := restarted(0, c.now, 0)
			warm.Sequence = 2
			tr.Put(warm)
		}, short},
		"accepts no connection": {func(tr *tracker.Tracker, _ *clock) {
			choice, _ := tr.Pick(tracker.Query{Service: "helper"})
			choice.End(tracker.ConnectFailed, 0)
		}, coldTime},
		"restarts under its id while it is cold": {func(tr *tracker.Tracker, c *clock) {
			tr.Put(restarted(0, c.now, long))
			c.advance(time.Second)
			tr.Put(restarted(0, c.now, long))
		}, long},
		"says a time without end": {func(tr *tracker.Tracker, c *clock) {
			tr.Put(restarted(0, c.now, 1<<63-1))
		}, 10 * time.Minute},
		"service declares no rate": {func(tr *tracker.Tracker, c *clock) {
			tr.SetColdServices(nil)
			tr.Put(restarted(0, c.now, long))
			tr.RecordCold(cold(c, long))
		}, 0},
		"rate is declared later": {func(tr *tracker.Tracker, c *clock) {
			tr.SetColdServices(nil)
			tr.Put(restarted(0, c.now, long))
			tr.SetColdServices(coldServices())
		}, long},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, c := newColdTracker(t, 1)
			row.prepare(tr, c)
			if got := coldFor(tr, c); got != row.want {
				t.Errorf("endpoint is cold for %v, want %v", got, row.want)
			}
		})
	}
}

// TestColdEndpointsBeforeFirstSnapshot guards against a daemon that starts and holds back all
// endpoints, because it has seen none of them before.
func TestColdEndpointsBeforeFirstSnapshot(t *testing.T) {
	tr, c := newTracker(t, 0)
	tr.SetColdServices(coldServices())
	tr.SetColdShare(func(_ string, perSecond float64) float64 { return perSecond })
	tr.Put(restarted(0, c.now, 0))
	tr.Put(restarted(1, c.now, time.Second))
	tr.Retain(map[string]bool{"e0": true, "e1": true}, 0)
	if got, want := tr.ColdEndpoints(), 1; got != want {
		t.Errorf("ColdEndpoints() got %d, want %d", got, want)
	}
}

// TestColdEndpointGetsShare guards against a cold endpoint that gets all requests, because it has no
// backlog, and against one of two limits that lifts the other.
func TestColdEndpointGetsShare(t *testing.T) {
	const (
		duration = 10 * time.Second
		interval = 10 * time.Millisecond
	)
	share := func(part float64) func(*tracker.Tracker) {
		return func(tr *tracker.Tracker) {
			tr.SetColdShare(func(_ string, perSecond float64) float64 { return part * perSecond })
		}
	}
	rows := map[string]struct {
		prepare func(tr *tracker.Tracker, c *clock)
		// min and max bound the requests that the cold endpoint gets in the duration.
		min, max int
	}{
		"all of the rate": {func(tr *tracker.Tracker, _ *clock) { share(1)(tr) }, 80, 111},
		"a part of it":    {func(tr *tracker.Tracker, _ *clock) { share(0.1)(tr) }, 8, 12},
		"no part":         {func(tr *tracker.Tracker, _ *clock) { share(0)(tr) }, 0, 0},
		"part is withdrawn": {func(tr *tracker.Tracker, c *clock) {
			c.advance(time.Second)
			share(0)(tr)
		}, 0, 0},
		"part is given later": {func(tr *tracker.Tracker, _ *clock) {
			share(0)(tr)
			share(0.1)(tr)
		}, 8, 12},
		"names a lower limit":  {func(tr *tracker.Tracker, c *clock) { tr.RecordLimit(coldLimitOf(2), c.now) }, 15, 21},
		"names a higher limit": {func(tr *tracker.Tracker, c *clock) { tr.RecordLimit(coldLimitOf(30), c.now) }, 80, 111},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, c := newColdTracker(t, 4)
			tr.Put(restarted(0, time.Unix(1000, 0), coldTime))
			row.prepare(tr, c)
			picks, unserved := countPicks(t, tr, c, duration, interval)
			if got := picks["e0"]; got < row.min || got > row.max {
				t.Errorf("requests of the cold endpoint got %d, want %d to %d", got, row.min, row.max)
			}
			if unserved > 0 {
				t.Errorf("requests without an endpoint got %d, want none", unserved)
			}
		})
	}
}

// coldLimitOf returns a limit of the endpoint of TestColdEndpointGetsShare.
func coldLimitOf(perSecond float64) tracker.Limit {
	return tracker.Limit{Endpoint: "e0", Started: time.Unix(1000, 0), Limited: true, PerSecond: perSecond}
}

// TestBoundEndsWithColdTime guards against an endpoint that is held back when it is warm again, by
// daemons that wait for a message.
func TestBoundEndsWithColdTime(t *testing.T) {
	tr, c := newColdTracker(t, 1)
	tr.SetColdShare(func(string, float64) float64 { return 0 })
	tr.Put(restarted(0, c.now, time.Second))
	if _, ok := tr.Pick(tracker.Query{Service: "helper"}); ok {
		t.Error("Pick() got a cold endpoint without a share, want none")
	}
	c.advance(time.Second)
	for range 20 {
		pick(t, tr, tracker.Query{Service: "helper"}).End(tracker.Success, 0)
	}
	tr.SweepCold()
	if got := tr.ColdEndpoints(); got != 0 {
		t.Errorf("ColdEndpoints() got %d, want 0", got)
	}
}

// TestWaitForColdEndpoints guards against clients that are told to return too early, or never,
// when all endpoints return cold at once.
func TestWaitForColdEndpoints(t *testing.T) {
	const remaining = 5 * time.Second
	rows := map[string]struct {
		prepare   func(tr *tracker.Tracker, c *clock)
		min, max  time.Duration
		prevented bool
	}{
		"until the endpoint is warm": {func(tr *tracker.Tracker, c *clock) {
			tr.SetColdShare(func(string, float64) float64 { return 0 })
			tr.Put(restarted(0, c.now, remaining))
			tr.Put(restarted(1, c.now, remaining))
		}, remaining, remaining, true},
		"until the share allows a request": {func(tr *tracker.Tracker, c *clock) {
			tr.SetColdShare(func(string, float64) float64 { return 0.5 })
			tr.Put(restarted(0, c.now, remaining))
			tr.Put(restarted(1, c.now, remaining))
		}, time.Millisecond, 2 * time.Second, true},
		"until the endpoint is warm, before the share allows a request": {func(tr *tracker.Tracker, c *clock) {
			tr.SetColdShare(func(string, float64) float64 { return 0.01 })
			tr.Put(restarted(0, c.now, remaining))
			tr.Put(restarted(1, c.now, time.Second))
		}, time.Millisecond, time.Second, true},
		"beside a warm endpoint": {func(tr *tracker.Tracker, c *clock) {
			tr.SetColdShare(func(string, float64) float64 { return 0 })
			tr.Put(restarted(0, c.now, remaining))
		}, 0, 0, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, c := newColdTracker(t, 2)
			row.prepare(tr, c)
			query := tracker.Query{Service: "helper"}
			wait, prevented := tr.Wait(query)
			if wait < row.min || wait > row.max || prevented != row.prevented {
				t.Fatalf("Wait() got %v, %v, want %v to %v, %v", wait, prevented, row.min, row.max, row.prevented)
			}
			c.advance(wait)
			if _, ok := tr.Pick(query); !ok {
				t.Error("Pick() got no endpoint after the wait, want one")
			}
		})
	}
}

// TestChosenEndpointTurnsCold guards against requests that wait for a connection while the endpoint
// restarts, and all reach it when it is cold.
func TestChosenEndpointTurnsCold(t *testing.T) {
	rows := map[string]struct {
		share     float64
		remaining time.Duration
		wait      time.Duration
		want      int
	}{
		"no share":                        {0, coldTime, time.Second, 0},
		"the share allows none yet":       {0.001, coldTime, 0, 0},
		"the share allows one":            {0.5, coldTime, 2 * time.Second, 1},
		"the endpoint is warm in the end": {0, time.Second, time.Second, 3},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, c := newColdTracker(t, 1)
			tr.SetColdShare(func(string, float64) float64 { return row.share })
			var choices []*tracker.Choice
			for range 3 {
				choices = append(choices, pick(t, tr, tracker.Query{Service: "helper"}))
			}
			c.advance(time.Millisecond)
			tr.ApplyCold(tracker.Cold{Endpoint: "e0", Started: registration(0).Started, Remaining: row.remaining}, c.now)
			c.advance(row.wait)
			got := 0
			for _, choice := range choices {
				if choice.WithinColdShare() {
					got++
				}
			}
			if got != row.want {
				t.Errorf("requests within the share got %d, want %d", got, row.want)
			}
		})
	}
}

// TestShareOutlivesRestart guards against an endpoint that restarts again and again under its id
// while it is cold, and gets a request from each daemon after each start.
func TestShareOutlivesRestart(t *testing.T) {
	const (
		pause    = 2 * time.Second
		interval = 300 * time.Millisecond
	)
	tr, c := newColdTracker(t, 1)
	tr.SetColdShare(func(string, float64) float64 { return 1 / pause.Seconds() })
	var last time.Time
	for range 200 {
		tr.Put(restarted(0, c.now, coldTime))
		c.advance(interval)
		if _, ok := tr.Pick(tracker.Query{Service: "helper"}); !ok {
			continue
		}
		if got := c.now.Sub(last); got < pause {
			t.Errorf("time between two requests got %v, want at least %v", got, pause)
		}
		last = c.now
	}
	if last.IsZero() {
		t.Error("requests got none, want some")
	}
}

// TestChosenColdEndpointKeepsShare guards against a request that is taken from the share twice.
func TestChosenColdEndpointKeepsShare(t *testing.T) {
	tr, c := newColdTracker(t, 1)
	tr.Put(restarted(0, c.now, coldTime))
	c.advance(time.Second)
	if choice := pick(t, tr, tracker.Query{Service: "helper"}); !choice.WithinColdShare() {
		t.Error("WithinColdShare() got false for a request from the share, want true")
	}
}

// TestColdReportsAreFew guards against a message to all daemons for each response of a cold
// endpoint.
func TestColdReportsAreFew(t *testing.T) {
	const interval = 50 * time.Millisecond
	tr, c := newColdTracker(t, 1)
	began, messages := c.now, 0
	for range int(coldTime / interval) {
		c.advance(interval)
		if tr.RecordCold(tracker.Cold{Endpoint: "e0", Started: registration(0).Started, Remaining: coldTime - c.now.Sub(began)}) {
			messages++
		}
	}
	if want := 1; messages != want {
		t.Errorf("messages got %d, want %d", messages, want)
	}
	tr.SetColdServices(nil)
	if tr.RecordCold(tracker.Cold{Endpoint: "e0", Started: registration(0).Started, Remaining: coldTime}) {
		t.Error("RecordCold() got true for a service without a rate, want false")
	}
}
