package runner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// reloadInterval is how often settings are read without a signal.
const reloadInterval = 10 * time.Second

// reload follows changes of the settings. Nothing that is under way is cut; a
// change that a running process cannot make is refused.
func (r *Runner) reload(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.process.Reload:
			r.logger.Info("reload asked for")
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := r.adopt(); err != nil {
			r.logger.Error("settings are not taken over", "error", err)
		}
	}
}

// adopt reads the settings and puts them in force if they have changed.
func (r *Runner) adopt() error {
	if r.process.Load == nil {
		return nil
	}
	fresh, err := r.process.Load()
	if err != nil {
		return err
	}
	current := *r.settings.Load()
	if fresh == current {
		return nil
	}
	if fresh.Callers != current.Callers || fresh.Ready != current.Ready || fresh.Metrics != current.Metrics ||
		fresh.Relay != current.Relay || fresh.Store != current.Store || fresh.Zone != current.Zone || fresh.Name != current.Name {
		return errors.New("name, zone and addresses change only with a restart")
	}
	r.settings.Store(&fresh)
	r.logger.SetLevel(fresh.Level)
	r.logger.Info("settings changed", "revoke", fresh.Revoke, "grace", fresh.Grace, "level", fresh.Level)
	return nil
}
