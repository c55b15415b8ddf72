package runner

import (
	"context"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
)

const (
	// unreadyPeriod is how long a stopping daemon still accepts connections. The load
	// balancer probes once a second and removes an instance after two failures.
	unreadyPeriod = 2600 * time.Millisecond
	// newConnectionWait is how long after that a connection may stay without a request.
	newConnectionWait = time.Second
	// stopMargin is the part of the grace that is left for the process to exit, and
	// responseMargin the part before it that is left to respond to requests that are still
	// running.
	stopMargin     = 700 * time.Millisecond
	responseMargin = 300 * time.Millisecond
	// stopPollInterval is the time between two checks whether the requests have ended.
	stopPollInterval = 20 * time.Millisecond
)

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// unlistedAt is when the load balancer sends no more connections, requestsEndAt when
	// requests that are still running are ended, and closedAt when the connections are
	// closed.
	unlistedAt    time.Time
	requestsEndAt time.Time
	closedAt      time.Time
}

func newStopTimes(now time.Time, grace time.Duration) *stopTimes {
	closedAt := now.Add(max(0, grace-stopMargin))
	requestsEndAt := closedAt.Add(-responseMargin)
	unlistedAt := now.Add(unreadyPeriod)
	if unlistedAt.After(requestsEndAt) {
		unlistedAt = requestsEndAt
	}
	return &stopTimes{unlistedAt: unlistedAt, requestsEndAt: requestsEndAt, closedAt: closedAt}
}

// stop makes the daemon unready, waits for requests to end and closes the clients'
// connections. A request that has not ended by then gets a response that says so.
func (r *Runner) stop(ctx context.Context) {
	grace := r.settings.Load().StopGrace
	times := newStopTimes(time.Now(), grace)
	r.logger.Info("daemon stopping", "grace", grace)
	r.stopTimes.Store(times)
	r.relayer.Drain()
	ctx, cancel := context.WithDeadline(ctx, times.closedAt)
	defer cancel()
	var announced sync.WaitGroup
	announced.Go(func() { r.peers.prober.AnnounceLeaving(ctx) })
	defer announced.Wait()
	sleepUntil(ctx, times.unlistedAt)
	late := time.Since(times.unlistedAt)
	_ = r.listeners.clients.Close()
	defer r.logConnections(late)
	if !r.awaitRequests(ctx, times.unlistedAt, times.requestsEndAt) {
		r.logger.Warn("requests still running at the end of the stop grace")
		r.endRequests(forwarder.ErrStopping)
		r.awaitRequests(ctx, times.unlistedAt, times.closedAt)
	}
}

// logConnections logs what became of the connections in a planned stop. late is how much later
// than planned the daemon began to close them, because it did not get the processor before.
func (r *Runner) logConnections(late time.Duration) {
	counts := r.connections.closeCounts()
	r.logger.Info("unused connections closed", "closed", counts.closed, "unread", counts.unread, "dropped", counts.dropped, "late", late)
}

// awaitRequests closes idle connections and waits until no other one has a request and those
// without one had time to send it since the load balancer stopped to send connections, but not
// longer than the end. It reports whether no request is left.
func (r *Runner) awaitRequests(ctx context.Context, unlistedAt, end time.Time) bool {
	for {
		now := time.Now()
		active, fresh := r.connections.close(false)
		if active == 0 && (fresh == 0 || now.Sub(unlistedAt) > newConnectionWait) {
			active, _ = r.connections.close(true)
		}
		if active == 0 && fresh == 0 {
			return true
		}
		if !now.Before(end) || ctx.Err() != nil {
			return active == 0
		}
		sleepUntil(ctx, now.Add(stopPollInterval))
	}
}

// sleepUntil sleeps until the time or the end of ctx.
func sleepUntil(ctx context.Context, end time.Time) {
	select {
	case <-time.After(time.Until(end)):
	case <-ctx.Done():
	}
}
