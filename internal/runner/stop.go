package runner

import (
	"context"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/sleeper"
)

const (
	// unreadyPeriod is how long a stopping daemon still accepts connections. The load
	// balancer probes once a second and removes an instance after two failures.
	unreadyPeriod = 2600 * time.Millisecond
	// stopMargin is the part of the grace that is left for the process to exit, and
	// responseMargin the part before it that is left to respond to requests that are still
	// running.
	stopMargin     = 700 * time.Millisecond
	responseMargin = 300 * time.Millisecond
)

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// refusedFrom is when requests are refused that may not end in time, those too that may be
	// repeated.
	refusedFrom time.Time
	// unlistedAt is when the load balancer sends no more connections, requestsEndAt when
	// requests that are still running are ended, and closedAt when the connections are
	// closed.
	unlistedAt    time.Time
	requestsEndAt time.Time
	closedAt      time.Time
}

// newStopTimes returns the times of a stop whose signal is noticed now. Each counts from the end of
// the signal's span that is safe: requests are refused early rather than cut, and those that
// run are ended late rather than cut, but before the grace is over.
func newStopTimes(now time.Time, delay, grace time.Duration) *stopTimes {
	earliest, latest := signalTimes(now, delay, grace)
	closedAt := latest.Add(max(0, grace-stopMargin))
	requestsEndAt := closedAt.Add(-responseMargin)
	return &stopTimes{
		refusedFrom:   earlier(earliest.Add(unreadyPeriod), requestsEndAt),
		unlistedAt:    earlier(now.Add(unreadyPeriod), requestsEndAt),
		requestsEndAt: requestsEndAt,
		closedAt:      closedAt,
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stop makes the daemon unready, waits for requests to end and closes the clients'
// connections. A request that has not ended by then gets a response that says so.
func (r *Runner) stop(ctx context.Context) {
	grace := r.settings.Load().StopGrace
	now, delay := time.Now(), r.delay.delay()
	times := newStopTimes(now, delay, grace)
	r.logger.Info("daemon stopping", "grace", grace, "delay", delay)
	r.stopTimes.Store(times)
	r.relayer.Drain()
	ctx, cancel := context.WithDeadline(ctx, times.closedAt)
	defer cancel()
	var announced sync.WaitGroup
	announced.Go(func() { r.peers.prober.AnnounceLeaving(ctx) })
	defer announced.Wait()
	sleeper.Sleep(ctx, time.Until(times.unlistedAt))
	defer r.logConnections()
	if !r.drainer.Drain(ctx, times.requestsEndAt) {
		r.logger.Warn("requests still running at the end of the stop grace")
		r.endRequests(forwarder.ErrStopping)
		r.drainer.Drain(ctx, times.closedAt)
	}
}

// logConnections logs what became of the unused connections in a planned stop.
func (r *Runner) logConnections() {
	counts := r.drainer.Counts()
	r.logger.Info("unused connections closed", "closed", counts.Closed, "found", counts.Found, "delay", r.delay.delay())
}
