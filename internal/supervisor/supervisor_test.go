package supervisor_test

import (
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/supervisor"
)

// ms returns a number of milliseconds.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestDecide guards against requests that stay at an endpoint that does not respond although
// another one would, and against requests that are taken back from a sound endpoint.
func TestDecide(t *testing.T) {
	// The endpoint hangs: nothing explains the wait, and another endpoint is idle.
	hanging := supervisor.Wait{Waited: ms(2000), Expected: ms(200), Deviation: ms(100), Target: ms(2000), Alternative: ms(200), Left: ms(6000), Work: ms(1000), OtherRuns: 2}
	wait := supervisor.Decision{Recheck: ms(1000)}
	rows := map[string]struct {
		change func(*supervisor.Wait)
		want   supervisor.Decision
	}{
		"an endpoint hangs in an idle fleet":         {func(*supervisor.Wait) {}, supervisor.Decision{Move: true}},
		"the wait is still usual":                    {func(w *supervisor.Wait) { w.Waited = ms(900) }, supervisor.Decision{Recheck: ms(300)}},
		"a long prompt explains the wait":            {func(w *supervisor.Wait) { w.Expected = ms(1500) }, supervisor.Decision{Recheck: ms(1000)}},
		"waits vary widely":                          {func(w *supervisor.Wait) { w.Deviation = ms(600) }, supervisor.Decision{Recheck: ms(600)}},
		"all endpoints have long queues":             {func(w *supervisor.Wait) { w.Alternative = ms(1500) }, wait},
		"no other endpoint accepts requests":         {func(w *supervisor.Wait) { w.Alternative = time.Hour }, wait},
		"most requests of the service are late":      {func(w *supervisor.Wait) { w.Overloaded = true }, wait},
		"the last run":                               {func(w *supervisor.Wait) { w.OtherRuns = 0 }, supervisor.Decision{}},
		"too little time is left for the work":       {func(w *supervisor.Wait) { w.Left = ms(900) }, supervisor.Decision{}},
		"too little time is left for a second queue": {func(w *supervisor.Wait) { w.Left = ms(1100) }, wait},
		"just enough time is left":                   {func(w *supervisor.Wait) { w.Left = ms(1200) }, supervisor.Decision{Move: true}},
		"a short target is not rechecked all the time": {func(w *supervisor.Wait) { w.Target, w.Overloaded = ms(50), true },
			supervisor.Decision{Recheck: ms(100)}},
		"a stream is silent while its engine preempts requests": {func(w *supervisor.Wait) {
			w.Waited, w.Target, w.Expected, w.Deviation = ms(2500), ms(1000), ms(1500), 0
		}, supervisor.Decision{Recheck: ms(500)}},
		"a stream is silent for no reason": {func(w *supervisor.Wait) {
			w.Waited, w.Target, w.Expected, w.Deviation = ms(1100), ms(1000), ms(60), ms(250)
		}, supervisor.Decision{Move: true}},
		"the events of a stream have always come slowly": {func(w *supervisor.Wait) {
			w.Waited, w.Target, w.Expected, w.Deviation = ms(1100), ms(1000), ms(800), ms(250)
		}, supervisor.Decision{Recheck: ms(700)}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			wait := hanging
			row.change(&wait)
			if got := supervisor.Decide(wait); got != row.want {
				t.Errorf("Decide(%+v) got %+v, want %+v", wait, got, row.want)
			}
		})
	}
}

// TestOverloaded guards against an overloaded fleet that gets further load because requests are
// taken back there, and against a single endpoint that hangs and looks like one.
func TestOverloaded(t *testing.T) {
	rows := map[string]struct {
		// onTime and late are requests before now, and lateBefore those of a while before.
		onTime, late, lateBefore int
		want                     bool
	}{
		"too few requests to tell":       {0, 7, 0, false},
		"one of three endpoints hangs":   {20, 10, 0, false},
		"all endpoints are full":         {4, 16, 0, true},
		"fewer are late, but still many": {10, 5, 100, true},
		"the load is over":               {30, 5, 100, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			load := supervisor.NewLoad()
			now := time.Unix(1000, 0)
			for range row.lateBefore {
				load.RecordLate(now)
			}
			load.Overloaded(now)
			now = now.Add(20 * time.Second)
			for range row.onTime {
				load.RecordOnTime(now)
			}
			for range row.late {
				load.RecordLate(now)
			}
			if got := load.Overloaded(now); got != row.want {
				t.Errorf("Overloaded() got %t, want %t", got, row.want)
			}
		})
	}
}

// TestTakenBackRequestsAreFew guards against a fleet that turns slow within moments: before that
// shows in the share of late requests, at most 10 requests are taken back, and a tenth of those
// that are on time later.
func TestTakenBackRequestsAreFew(t *testing.T) {
	load := supervisor.NewLoad()
	taken := 0
	for range 100 {
		if load.TrySpend() {
			taken++
		}
	}
	if taken != 10 {
		t.Errorf("requests taken back at once got %d, want 10", taken)
	}
	for range 25 {
		load.RecordOnTime(time.Unix(1000, 0))
	}
	for range 100 {
		if load.TrySpend() {
			taken++
		}
	}
	if taken != 12 {
		t.Errorf("requests taken back after 25 on time got %d, want 12", taken)
	}
}

// TestTimingFollowsLoad guards against the usual time of an idle fleet that makes all waits late
// when the fleet is busy: responses have come after 100 ms, and come after 900 ms from then on.
func TestTimingFollowsLoad(t *testing.T) {
	timing := supervisor.NewTiming(ms(2000))
	if mean, deviation := timing.Start(); mean != 0 || deviation != ms(500) {
		t.Errorf("Start() without a response got %v and %v, want 0 and a quarter of the target", mean, deviation)
	}
	for range 100 {
		timing.RecordStart(ms(100))
	}
	for range 8 {
		timing.RecordStart(ms(900))
	}
	mean, deviation := timing.Start()
	if got := supervisor.Patience(supervisor.Wait{Expected: mean, Deviation: deviation}); got < ms(900) {
		t.Errorf("Patience() after 8 responses of 900ms got %v, want more than that", got)
	}
}
