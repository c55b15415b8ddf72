package tracker_test

import (
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// TestTakeBack guards against an endpoint that hangs and attracts the next requests, against one
// that is not tried again, and against a sound one that loses more than one request at a time because
// its queue was long once.
func TestTakeBack(t *testing.T) {
	rows := map[string]struct {
		// takenBack is the number of requests taken back one after the other, each after a
		// second, and atOnce that of requests sent before the first of them was.
		takenBack, atOnce int
		// responds is set if a response then begins.
		responds bool
		// pause is the time until the endpoint gets a request again.
		pause time.Duration
	}{
		"one long wait":                       {1, 0, false, 500 * time.Millisecond},
		"an endpoint that hangs":              {3, 0, false, 2 * time.Second},
		"an endpoint that hangs for long":     {9, 0, false, 4 * time.Second},
		"requests that were sent before":      {1, 5, false, 500 * time.Millisecond},
		"an endpoint that responds again":     {5, 0, true, 0},
		"an endpoint that was only busy once": {1, 0, true, 0},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, c := newTracker(t, 2)
			// Only the endpoint of the own zone may get the query; without the restriction it is preferred.
			query := tracker.Query{Service: "helper", Tried: []string{"e1"}}
			earlier := []*tracker.Choice{}
			for range row.atOnce {
				earlier = append(earlier, pick(t, tr, query))
			}
			for range row.takenBack {
				choice := pick(t, tr, query)
				c.advance(time.Second)
				choice.TakeBack()
				choice.TakeBack()
			}
			for _, choice := range earlier {
				choice.TakeBack()
			}
			if row.responds {
				pick(t, tr, query).ResponseStarted(time.Second)
			}
			query.Tried = nil
			if row.pause > 0 {
				c.advance(row.pause - time.Millisecond)
				if got := picksOfFirst(t, tr, query); got != 0 {
					t.Errorf("requests to the endpoint before the pause is over got %d, want 0", got)
				}
				c.advance(time.Millisecond)
				if got := picksOfFirst(t, tr, query); got != 1 {
					t.Errorf("requests to the endpoint after the pause got %d, want 1 at a time", got)
				}
			} else if got := picksOfFirst(t, tr, query); got < 2 {
				t.Errorf("requests to the endpoint that responds got %d, want its share", got)
			}
			if _, ejections := tr.Counts(); ejections != 0 {
				t.Errorf("ejections got %d, want 0", ejections)
			}
		})
	}
}

// picksOfFirst returns how many of 20 requests for the query go to the first endpoint.
func picksOfFirst(t *testing.T, tr *tracker.Tracker, query tracker.Query) int {
	t.Helper()
	count := 0
	for range 20 {
		choice := pick(t, tr, query)
		choice.End(tracker.Neutral, 0)
		if choice.ID == "e0" {
			count++
		}
	}
	return count
}

// TestRefusalEndsSilence guards against an endpoint that is avoided as silent although it responds: it
// refuses the request that was to show that.
func TestRefusalEndsSilence(t *testing.T) {
	tr, c := newTracker(t, 2)
	query := tracker.Query{Service: "helper", Tried: []string{"e1"}}
	for range 4 {
		choice := pick(t, tr, query)
		c.advance(time.Second)
		choice.TakeBack()
	}
	refused := pick(t, tr, query)
	refused.ReportRefusal()
	refused.End(tracker.Neutral, 0)
	query.Tried = nil
	if got := picksOfFirst(t, tr, query); got < 2 {
		t.Errorf("requests to the endpoint that refused one got %d, want its share", got)
	}
}
