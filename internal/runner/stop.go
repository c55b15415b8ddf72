package runner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// unreadyPeriod is how long a stopping daemon still accepts connections. The load
	// balancer probes once a second and removes an instance after two failures.
	unreadyPeriod = 2600 * time.Millisecond
	// stopMargin is the part of the grace that is left for the process to exit.
	stopMargin = 700 * time.Millisecond
)

// stop makes the daemon unready, waits for requests to end and closes the clients'
// connections.
func (r *Runner) stop(ctx context.Context) {
	r.logger.Info("daemon stopping", "grace", r.settings.Load().StopGrace)
	r.stopping.Store(true)
	r.relayer.Drain()
	ctx, cancel := context.WithTimeout(ctx, r.settings.Load().StopGrace-stopMargin)
	defer cancel()
	var announced sync.WaitGroup
	announced.Go(func() { r.peers.prober.AnnounceLeaving(ctx) })
	defer announced.Wait()
	select {
	case <-time.After(unreadyPeriod):
	case <-ctx.Done():
	}
	if err := r.clientServer.Shutdown(ctx); err != nil && !errors.Is(err, context.Canceled) {
		r.logger.Warn("requests still running at the end of the stop grace", "error", err)
	}
}
