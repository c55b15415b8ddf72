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

// TestStopOfStarvedDaemon guards against a stream that a stopping daemon passes on more than 3 s
// after the signal and cuts at the end of the grace, because it counts both from when it noticed
// the signal.
func TestStopOfStarvedDaemon(t *testing.T) {
	signalled := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const grace = 8 * time.Second
	rows := map[string]struct {
		// noticed is how much later than the signal the daemon notices it.
		noticed time.Duration
		delay   time.Duration
		// wantUnlisted is the latest time from the signal at which the daemon still passes
		// streams on, wantClosed that at which it closes the last connections.
		wantUnlisted time.Duration
		wantClosed   time.Duration
	}{
		"at once":                      {0, 0, unreadyPeriod, grace - stopMargin},
		"one round for each goroutine": {600 * time.Millisecond, 200 * time.Millisecond, unreadyPeriod, grace - stopMargin},
		"delay has grown since":        {450 * time.Millisecond, 200 * time.Millisecond, unreadyPeriod, grace - stopMargin},
		"delay is longer than a stop":  {2 * time.Second, 5 * time.Second, unreadyPeriod, grace - stopMargin},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			now := signalled.Add(row.noticed)
			times := newStopTimes(signalTime(now, row.delay, grace), grace)
			if got := times.unlistedAt.Sub(signalled); got > row.wantUnlisted {
				t.Errorf("end of new connections got %v after the signal, want at most %v", got, row.wantUnlisted)
			}
			if got := times.closedAt.Sub(signalled); got > row.wantClosed {
				t.Errorf("close got %v after the signal, want at most %v", got, row.wantClosed)
			}
		})
	}
}
