package throttler_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/repeater"
	"quetzalgrade.example/quetzalgrade/internal/throttler"
)

// sample returns a sample of which all loads are known, with 20 requests that run and 5 that
// wait. A request is in a slot for a second.
func sample(load float64) throttler.Sample {
	duration := time.Duration(max(1, load) * float64(time.Second))
	return throttler.Sample{KnownShare: 1, LeastLoad: load, MeanDuration: duration, Running: 20, Waiting: 5, Target: time.Second}
}

// drive observes what observe returns every 50 ms for a time and returns the last decision.
func drive(window *throttler.Window, from time.Time, duration time.Duration, observe func(at time.Duration) throttler.Sample) throttler.Limit {
	for at := time.Duration(0); at <= duration; at += 50 * time.Millisecond {
		window.Observe(observe(at), from.Add(at))
	}
	return window.Limit()
}

func steady(s throttler.Sample) func(time.Duration) throttler.Sample {
	return func(time.Duration) throttler.Sample { return s }
}

// TestLimitBegins guards against requests that wait or are refused although endpoints have room
// or may have it, and against a limit that does not begin when all are overloaded.
func TestLimitBegins(t *testing.T) {
	with := func(s throttler.Sample, change func(*throttler.Sample)) throttler.Sample {
		change(&s)
		return s
	}
	rows := map[string]struct {
		sample   throttler.Sample
		duration time.Duration
		want     throttler.Limit
	}{
		"idle":                           {sample(0), 2 * time.Second, throttler.Limit{}},
		"slots in use, nothing waits":    {sample(1), 2 * time.Second, throttler.Limit{}},
		"short queues at endpoints":      {sample(1.4), 2 * time.Second, throttler.Limit{}},
		"burst shorter than two reports": {sample(1.8), 400 * time.Millisecond, throttler.Limit{}},
		"half of the pool gone, the rest overloaded": {sample(1.6), 500 * time.Millisecond,
			throttler.Limit{Active: true, Requests: 20, MayRefuse: true}},
		"endpoints near refusing": {sample(2.6), 500 * time.Millisecond,
			throttler.Limit{Active: true, Requests: 20, MostUrgent: true, MayRefuse: true}},
		"endpoints near refusing though requests are short": {with(sample(2.6), func(s *throttler.Sample) { s.MeanDuration = 50 * time.Millisecond }), 500 * time.Millisecond,
			throttler.Limit{Active: true, Requests: 20, MostUrgent: true, MayRefuse: true}},
		"one endpoint in twenty hangs and reports nothing": {with(sample(1.6), func(s *throttler.Sample) { s.KnownShare = 0.95 }), 500 * time.Millisecond,
			throttler.Limit{Active: true, Requests: 20, MayRefuse: true}},
		"reports of an eighth are stale":         {with(sample(3), func(s *throttler.Sample) { s.KnownShare = 0.875 }), 2 * time.Second, throttler.Limit{}},
		"no request has completed":               {with(sample(2), func(s *throttler.Sample) { s.MeanDuration = 0 }), 2 * time.Second, throttler.Limit{}},
		"short requests wait little of a target": {with(sample(2), func(s *throttler.Sample) { s.MeanDuration = 150 * time.Millisecond }), 2 * time.Second, throttler.Limit{}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			if got := drive(throttler.NewWindow(), time.Unix(0, 0), row.duration, steady(row.sample)); got != row.want {
				t.Errorf("Limit() got %+v, want %+v", got, row.want)
			}
		})
	}
}

// TestLimitEnds guards against a limit that stays when endpoints have room again or their load
// is no longer known.
func TestLimitEnds(t *testing.T) {
	start := time.Unix(0, 0)
	overloaded := func() *throttler.Window {
		window := throttler.NewWindow()
		drive(window, start, time.Second, steady(sample(1.6)))
		return window
	}
	t.Run("stale reports", func(t *testing.T) {
		if got := overloaded().Observe(throttler.Sample{KnownShare: 0.5, LeastLoad: 3, Running: 20, Waiting: 5}, start.Add(2*time.Second)); got.Active {
			t.Errorf("Observe() got %+v, want no limit", got)
		}
	})
	t.Run("room", func(t *testing.T) {
		window := overloaded()
		got := window.Observe(sample(0.8), start.Add(1500*time.Millisecond))
		if got.MayRefuse {
			t.Errorf("Observe() got %+v, want no refusal", got)
		}
		running := got.Requests
		got = drive(window, start.Add(1500*time.Millisecond), time.Second, func(time.Duration) throttler.Sample {
			s := sample(0.8)
			s.Running = window.Limit().Requests
			return s
		})
		if got.Requests < 4*running {
			t.Errorf("requests after a second of room got %d, want at least 4 times %d", got.Requests, running)
		}
	})
	t.Run("nothing waits", func(t *testing.T) {
		calm := sample(1.2)
		calm.Waiting = 0
		if got := drive(overloaded(), start.Add(2*time.Second), 1100*time.Millisecond, steady(calm)); got.Active {
			t.Errorf("Limit() got %+v, want none", got)
		}
	})
}

// TestLimitDoesNotSwing guards against refusals that come and go with a load around the
// threshold: while some requests wait, a load between "slots in use" and "overloaded" neither
// ends the limit nor changes it by more than a request each half second.
func TestLimitDoesNotSwing(t *testing.T) {
	window := throttler.NewWindow()
	start := time.Unix(0, 0)
	drive(window, start, 500*time.Millisecond, steady(sample(1.6)))
	changes := 0
	last := window.Limit()
	drive(window, start.Add(550*time.Millisecond), 10*time.Second, func(at time.Duration) throttler.Sample {
		if limit := window.Limit(); limit.Active != last.Active || limit.MostUrgent != last.MostUrgent {
			changes++
			last = limit
		}
		return sample(1.5 + 0.2*float64(at/(300*time.Millisecond)%2) - 0.1)
	})
	if changes != 0 {
		t.Errorf("changes got %d, want none", changes)
	}
	if got := window.Limit().Requests; got < 10 || got > 30 {
		t.Errorf("limit got %d requests, want 10 to 30", got)
	}
}

// TestNoRefusalWithRoom guards, for any sequence of samples, against refusals while an endpoint
// has a free slot or the load is not known, and against a limit that lets nothing run.
func TestNoRefusalWithRoom(t *testing.T) {
	repeater.Check(t, func(rt *rapid.T) {
		window := throttler.NewWindow()
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 200).Draw(rt, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(rt, "milliseconds")) * time.Millisecond)
			s := sample(rapid.SampledFrom([]float64{0.9, 1.3, 2, 2.6, 3, 3, 3}).Draw(rt, "load"))
			s.KnownShare = rapid.SampledFrom([]float64{0, 0.95, 1, 1, 1, 1, 1, 1}).Draw(rt, "known")
			s.Running = rapid.IntRange(0, 50).Draw(rt, "running")
			s.Waiting = rapid.IntRange(0, 3).Draw(rt, "waiting")
			got := window.Observe(s, now)
			if got.MayRefuse && (s.LeastLoad < 1 || s.KnownShare < 0.9) {
				rt.Fatalf("Observe(%+v) got %+v, want no refusal", s, got)
			}
			if got.Active && got.Requests < 1 {
				rt.Fatalf("Observe(%+v) got %+v, want at least one request", s, got)
			}
		}
	})
}
