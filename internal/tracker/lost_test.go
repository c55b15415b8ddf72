package tracker_test

import (
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// TestRegistrationThatLogHasLost guards against requests to an endpoint that has been drained,
// which an older copy of the log shows as ready, and against a service without endpoints because
// the log has lost their registrations.
func TestRegistrationThatLogHasLost(t *testing.T) {
	const (
		grace = 2 * time.Second
		hold  = 10 * time.Second
	)
	ready := registration(0)
	ready.Sequence = 1
	draining := ready
	draining.Draining, draining.Sequence = true, 2
	readyAgain := ready
	readyAgain.Sequence = 3
	restarted := ready
	restarted.Started = ready.Started.Add(time.Minute)
	retain := func(tr *tracker.Tracker, registrations ...tracker.Registration) {
		seen := map[string]bool{}
		for _, registration := range registrations {
			seen[registration.ID] = true
			tr.Put(registration)
		}
		tr.Retain(seen, 0)
	}
	type step func(tr *tracker.Tracker, c *clock)
	lose := func(tr *tracker.Tracker, _ *clock) { tr.Lose(ready.ID, grace) }
	remove := func(tr *tracker.Tracker, _ *clock) { tr.Remove(ready.ID, 0) }
	put := func(registration tracker.Registration) step {
		return func(tr *tracker.Tracker, _ *clock) { tr.Put(registration) }
	}
	wait := func(pause time.Duration) step { return func(_ *tracker.Tracker, c *clock) { c.advance(pause) } }
	// holdEnds is a complete change of what the log holds.
	holdEnds := func(registrations ...tracker.Registration) step {
		return func(tr *tracker.Tracker, c *clock) {
			c.advance(hold)
			retain(tr, registrations...)
		}
	}
	rows := map[string]struct {
		steps []step
		want  bool
	}{
		"ready, within the grace period":           {[]step{put(ready), lose, wait(grace - 1)}, true},
		"ready, after the grace period":            {[]step{put(ready), lose, wait(grace + 1)}, false},
		"ready, lost twice":                        {[]step{put(ready), lose, wait(grace - 1), lose, wait(2)}, false},
		"ready, registered again":                  {[]step{put(ready), lose, wait(grace - 1), put(ready), wait(grace)}, true},
		"ready, registered again later":            {[]step{put(ready), lose, wait(grace + 1), put(ready)}, true},
		"draining":                                 {[]step{put(ready), put(draining), lose}, false},
		"draining, older copy":                     {[]step{put(ready), put(draining), lose, put(ready)}, false},
		"draining, older copy after the hold":      {[]step{put(ready), put(draining), lose, holdEnds(ready)}, false},
		"draining, older copy in pieces":           {[]step{put(ready), put(draining), lose, holdEnds(), put(ready)}, false},
		"draining, deregistered, older copy":       {[]step{put(ready), put(draining), remove, put(ready)}, false},
		"draining, registered again":               {[]step{put(ready), put(draining), lose, put(readyAgain)}, true},
		"draining, deregistered, registered again": {[]step{put(ready), put(draining), remove, put(readyAgain)}, true},
		"draining, restarted":                      {[]step{put(ready), put(draining), remove, put(restarted)}, true},
		"restarted, older copy of the first one":   {[]step{put(restarted), put(ready), put(draining)}, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, c := newTracker(t, 0)
			for _, apply := range row.steps {
				apply(tr, c)
			}
			if _, got := tr.Pick(promptQuery(1)); got != row.want {
				t.Errorf("Pick() got an endpoint: %t, want %t", got, row.want)
			}
		})
	}
}
