package tracker_test

import (
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// limitOf returns a limit of the endpoint with a number.
func limitOf(i int, perSecond float64) tracker.Limit {
	return tracker.Limit{Endpoint: registration(i).ID, Started: registration(i).Started, Limited: perSecond > 0, PerSecond: perSecond}
}

// countPicks returns how many of the requests in a time go to each endpoint.
func countPicks(t *testing.T, tr *tracker.Tracker, c *clock, duration, interval time.Duration) (picks map[string]int, unserved int) {
	t.Helper()
	picks = map[string]int{}
	for range int(duration / interval) {
		c.advance(interval)
		choice, ok := tr.Pick(tracker.Query{Service: "helper"})
		if !ok {
			unserved++
			continue
		}
		picks[choice.ID]++
		choice.End(tracker.Success, 0)
	}
	return picks, unserved
}

// TestLimitedEndpoint guards against an endpoint that gets more requests than this daemon's
// share of its limit, and against a limit that outlives its cause.
func TestLimitedEndpoint(t *testing.T) {
	const (
		duration = 10 * time.Second
		interval = 20 * time.Millisecond
	)
	rows := map[string]struct {
		prepare func(tr *tracker.Tracker, c *clock)
		// min and max bound the requests that the endpoint gets in the duration.
		min, max int
	}{
		"no limit":        {func(*tracker.Tracker, *clock) {}, 100, 500},
		"from a response": {func(tr *tracker.Tracker, c *clock) { tr.RecordLimit(limitOf(0, 2), c.now) }, 15, 21},
		"from a peer":     {func(tr *tracker.Tracker, c *clock) { tr.ApplyLimit(limitOf(0, 2), c.now) }, 15, 21},
		"a share of it": {func(tr *tracker.Tracker, c *clock) {
			tr.SetShare(func(_ string, perSecond float64) float64 { return perSecond / 4 })
			tr.RecordLimit(limitOf(0, 2), c.now)
		}, 3, 6},
		"the share changes later": {func(tr *tracker.Tracker, c *clock) {
			tr.RecordLimit(limitOf(0, 2), c.now)
			tr.SetShare(func(string, float64) float64 { return 0 })
		}, 0, 1},
		"no longer named by a later response": {func(tr *tracker.Tracker, c *clock) {
			tr.RecordLimit(limitOf(0, 2), c.now)
			c.advance(time.Second)
			tr.RecordLimit(limitOf(0, 0), c.now)
		}, 100, 500},
		"not named by an earlier response": {func(tr *tracker.Tracker, c *clock) {
			sentAt := c.now
			c.advance(time.Second)
			tr.RecordLimit(limitOf(0, 2), c.now)
			tr.RecordLimit(limitOf(0, 0), sentAt)
		}, 15, 21},
		"lifted by a peer": {func(tr *tracker.Tracker, c *clock) {
			tr.RecordLimit(limitOf(0, 2), c.now)
			tr.ApplyLimit(limitOf(0, 0), c.now)
		}, 100, 500},
		"endpoint restarts": {func(tr *tracker.Tracker, c *clock) {
			tr.RecordLimit(limitOf(0, 2), c.now)
			restarted := registration(0)
			restarted.Started = restarted.Started.Add(time.Minute)
			tr.Put(restarted)
		}, 100, 500},
		"not reported for long": {func(tr *tracker.Tracker, c *clock) {
			tr.RecordLimit(limitOf(0, 2), c.now)
			c.advance(tracker.LimitLifetime)
			tr.SetShare(func(_ string, perSecond float64) float64 { return perSecond })
		}, 100, 500},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, c := newTracker(t, 4)
			row.prepare(tr, c)
			picks, unserved := countPicks(t, tr, c, duration, interval)
			if got := picks[registration(0).ID]; got < row.min || got > row.max {
				t.Errorf("requests of the endpoint got %d, want %d to %d", got, row.min, row.max)
			}
			if unserved > 0 {
				t.Errorf("requests without an endpoint got %d, want none", unserved)
			}
		})
	}
}

// TestAllEndpointsLimited guards against requests that wait although they are known not to
// be served, and against a client that is not told when to return.
func TestAllEndpointsLimited(t *testing.T) {
	tr, c := newTracker(t, 2)
	tr.RecordLimit(limitOf(0, 1), c.now)
	if _, limited := tr.Wait(tracker.Query{Service: "helper"}); limited {
		t.Error("Wait() got a wait beside an endpoint without a limit, want none")
	}
	tr.RecordLimit(limitOf(1, 0.5), c.now)
	if _, ok := tr.Pick(tracker.Query{Service: "helper"}); ok {
		t.Error("Pick() got an endpoint, want none at first")
	}
	wait, limited := tr.Wait(tracker.Query{Service: "helper"})
	if !limited || wait != time.Second {
		t.Errorf("Wait() got %v, %v, want 1s, true", wait, limited)
	}
	c.advance(wait)
	if _, ok := tr.Pick(tracker.Query{Service: "helper"}); !ok {
		t.Error("Pick() got no endpoint after the wait, want one")
	}
}
