package runner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// reloadInterval is how often the settings are read without a signal.
const reloadInterval = 10 * time.Second

// watchSettings reloads the settings on a signal and at each interval until ctx
// ends, and returns the error of ctx. A reload does not interrupt requests.
func (r *Runner) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.deps.ReloadSignal:
			r.logger.Info("settings reload requested")
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := r.reloadSettings(); err != nil {
			r.logger.Error("cannot reload settings", "error", err)
		}
	}
}

// reloadSettings reads the settings and puts them in force if they have changed.
// It returns an error for a change that needs a restart.
func (r *Runner) reloadSettings() error {
	if r.deps.LoadSettings == nil {
		return nil
	}
	loaded, err := r.deps.LoadSettings()
	if err != nil {
		return err
	}
	current := *r.settings.Load()
	if loaded.equal(current) {
		return nil
	}
	if loaded.ClientAddress != current.ClientAddress || loaded.ReadyAddress != current.ReadyAddress || loaded.MetricsAddress != current.MetricsAddress ||
		loaded.RelayAddress != current.RelayAddress || loaded.LogAddress != current.LogAddress || loaded.Zone != current.Zone || loaded.Name != current.Name {
		return errors.New("name, zone and addresses cannot change without a restart")
	}
	r.settings.Store(&loaded)
	r.logger.SetLevel(loaded.LogLevel)
	r.logger.Info("settings changed", "revoke", loaded.RevokeDeadline, "grace", loaded.StopGrace, "level", loaded.LogLevel, "released", len(loaded.Released))
	return nil
}
