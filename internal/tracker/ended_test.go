package tracker_test

import (
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// TestResponseEnded guards against an endpoint that seems to be busy for as long as slow clients read
// what it has sent: its slots stay taken, and the duration of its requests grows.
func TestResponseEnded(t *testing.T) {
	tr, c := newTracker(t, 1)
	query := tracker.Query{Service: "helper"}
	choice := pick(t, tr, query)
	c.advance(time.Second)
	choice.ResponseEnded()
	choice.ResponseEnded()
	if got := pick(t, tr, query); got.Load != 0 {
		t.Errorf("load after the response has ended got %d, want 0", got.Load)
	} else {
		got.End(tracker.Neutral, 0)
	}
	c.advance(time.Minute)
	choice.End(tracker.Success, 0)
	for load := range 8 {
		if got := pick(t, tr, query); got.Load != load {
			t.Errorf("load after the client has read the response got %d, want %d", got.Load, load)
		}
	}
	// The mean duration begins at 300 ms and moves by a twentieth towards the second that the
	// endpoint took; one of 8 slots becomes free after an eighth of it.
	if got, want := pick(t, tr, query).Backlog, 335*time.Millisecond/8; got != want {
		t.Errorf("expected wait for a slot got %v, want %v", got, want)
	}
}
