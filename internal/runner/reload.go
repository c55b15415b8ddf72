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
func (r *Runner) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.deps.ReloadSignal:
			r.logger.Info("reload asked for")
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := r.reloadSettings(); err != nil {
			r.logger.Error("settings are not taken over", "error", err)
		}
	}
}

// adopt reads the settings and puts them in force if they have changed.
func (r *Runner) reloadSettings() error {
	if r.deps.LoadSettings == nil {
		return nil
	}
	loaded, err := r.deps.LoadSettings()
	if err != nil {
		return err
	}
	current := *r.settings.Load()
	if loaded == current {
		return nil
	}
	if loaded.ClientAddress != current.ClientAddress || loaded.ReadyAddress != current.ReadyAddress || loaded.MetricsAddress != current.MetricsAddress ||
		loaded.RelayAddress != current.RelayAddress || loaded.LogAddress != current.LogAddress || loaded.Zone != current.Zone || loaded.Name != current.Name {
		return errors.New("name, zone and addresses change only with a restart")
	}
	r.settings.Store(&loaded)
	r.logger.SetLevel(loaded.LogLevel)
	r.logger.Info("settings changed", "revoke", loaded.RevokeDeadline, "grace", loaded.StopGrace, "level", loaded.LogLevel)
	return nil
}
