package runner

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// delayInterval is the time between two measurements of the scheduling delay.
	delayInterval = 200 * time.Millisecond
	// signalHops is the number of goroutines that run one after the other from the arrival of a
	// signal until the daemon begins to stop. Each of them waits for the processor.
	signalHops = 3
	// maxSignalDelayShare is the share of the grace after which a signal is noticed at the latest.
	maxSignalDelayShare = 0.25
)

// delayMeter measures how long a goroutine that could run waits for the processor. It is safe for
// concurrent use.
type delayMeter struct {
	// due is when the next measurement is due, in nanoseconds since start, and last is the delay
	// of the one before.
	due   atomic.Int64
	last  atomic.Int64
	start time.Time
}

func newDelayMeter() *delayMeter { return &delayMeter{start: time.Now()} }

// run measures until ctx ends.
func (m *delayMeter) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		due := time.Since(m.start) + delayInterval
		m.due.Store(int64(due))
		timer.Reset(delayInterval)
		select {
		case <-timer.C:
			// A timer's goroutine runs before those that wait already; one that yields runs
			// after them, as the goroutine that gets a signal does.
			runtime.Gosched()
			m.last.Store(int64(time.Since(m.start) - due))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// delay returns the last measurement, or how much the next one is overdue if that is more.
func (m *delayMeter) delay() time.Duration {
	overdue := time.Since(m.start) - time.Duration(m.due.Load())
	if m.due.Load() == 0 {
		overdue = 0
	}
	return max(0, overdue, time.Duration(m.last.Load()))
}

// signalTimes estimates when the signal came, at the earliest and at the latest, that a daemon with
// a scheduling delay notices now. A daemon that is short of processor time notices it late.
func signalTimes(now time.Time, delay, grace time.Duration) (earliest, latest time.Time) {
	longest := time.Duration(maxSignalDelayShare * float64(grace))
	earliest = now.Add(-min(signalHops*delay, longest))
	latest = now.Add(-min(delay, responseMargin))
	return earliest, latest
}
