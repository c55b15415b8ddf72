package runner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

const (
	// unreadyTime is how long a stopping daemon goes on taking connections: the
	// balancer asks once a second and needs two misses.
	unreadyPeriod = 2600 * time.Millisecond
	// stopMargin is kept free at the end of the grace, for the process to end.
	stopMargin = 700 * time.Millisecond
)

// stop makes the daemon unready, lets requests end and closes connections.
func (r *Runner) stop(ctx context.Context) {
	r.logger.Info("stop began", "grace", r.settings.Load().StopGrace)
	r.stopping.Store(true)
	r.relayer.Drain()
	ctx, cancel := context.WithTimeout(ctx, r.settings.Load().StopGrace-stopMargin)
	defer cancel()
	select {
	case <-time.After(unreadyPeriod):
	case <-ctx.Done():
	}
	if err := r.clientServer.Shutdown(ctx); err != nil && !errors.Is(err, context.Canceled) {
		r.logger.Warn("requests were still running at the end of the grace", "error", err)
	}
}
