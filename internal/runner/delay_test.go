package runner

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestDelayOfStarvedDaemon guards against a daemon that does not know that its goroutines wait for
// the processor, so that it begins a stop too late.
func TestDelayOfStarvedDaemon(t *testing.T) {
	const (
		spinners = 40
		spinTime = 1500 * time.Millisecond
		// A goroutine that could run waits for all others, which have 10 ms each.
		want = 150 * time.Millisecond
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	meter := newDelayMeter()
	var group sync.WaitGroup
	group.Go(func() { _ = meter.run(ctx) })
	end := time.Now().Add(spinTime)
	for range spinners {
		group.Go(func() {
			for time.Now().Before(end) {
				runtime.KeepAlive(end)
			}
		})
	}
	var got time.Duration
	for time.Now().Before(end) {
		got = max(got, meter.delay())
		runtime.Gosched()
	}
	cancel()
	group.Wait()
	if got < want {
		t.Errorf("delay() got %v, want at least %v", got, want)
	}
}

// TestDelayOfDaemonThatRuns guards against a stop that begins too early although the daemon gets
// the processor at once.
func TestDelayOfDaemonThatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		meter := newDelayMeter()
		if got := meter.delay(); got != 0 {
			t.Errorf("delay() before the first measurement got %v, want 0", got)
		}
		go func() { _ = meter.run(ctx) }()
		for range 50 {
			time.Sleep(delayInterval / 7)
			if got := meter.delay(); got != 0 {
				t.Fatalf("delay() got %v, want 0", got)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// TestStopOfStarvedDaemon guards against a stop that counts from when a daemon without processor
// time notices the signal: it passes streams on that it cuts at the end of the grace, is killed
// before it has ended them, or, if it takes the signal for older than it is, ends them too soon.
func TestStopOfStarvedDaemon(t *testing.T) {
	const (
		grace = 8 * time.Second
		// What came in the first 3 s may be ended in the last sixth of the grace.
		lastStream = 3 * time.Second
		earliest   = grace - grace/6
	)
	signalled := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rows := map[string]struct {
		// noticed is how much later than the signal the daemon notices it, delay the
		// scheduling delay that it has measured.
		noticed, delay time.Duration
	}{
		"at once":                      {0, 0},
		"one round for each goroutine": {600 * time.Millisecond, 200 * time.Millisecond},
		"delay was longer before":      {20 * time.Millisecond, 400 * time.Millisecond},
		"delay has grown since":        {800 * time.Millisecond, 200 * time.Millisecond},
		"one long wait":                {400 * time.Millisecond, 365 * time.Millisecond},
		"delay is longer than a stop":  {900 * time.Millisecond, 5 * time.Second},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			times := newStopTimes(signalled.Add(row.noticed), row.delay, grace)
			if got := times.refusedFrom.Sub(signalled); got > lastStream {
				t.Errorf("refusals got from %v after the signal, want from %v at the latest", got, lastStream)
			}
			if got := times.unlistedAt.Sub(signalled); got < unreadyPeriod {
				t.Errorf("listener closed got %v after the signal, want %v at the earliest", got, unreadyPeriod)
			}
			if got := times.requestsEndAt.Sub(signalled); got < earliest {
				t.Errorf("end of requests got %v after the signal, want %v at the earliest", got, earliest)
			}
			if got := times.closedAt.Sub(signalled); got >= grace {
				t.Errorf("end of connections got %v after the signal, want less than %v", got, grace)
			}
		})
	}
}
