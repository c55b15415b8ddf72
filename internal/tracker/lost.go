package tracker

import (
	"maps"
	"time"
)

const (
	// drainedLifetime is how long a drained endpoint is remembered after its removal. It is far
	// longer than what the log can lose in a restore.
	drainedLifetime = 5 * time.Minute
	// drainedSweep is the time between two removals of those that were remembered for longer.
	drainedSweep = time.Minute
)

// drainedEndpoint is the last registration of an endpoint that was removed while it was draining.
type drainedEndpoint struct {
	Registration
	removedAt time.Time
}

// drainedEndpoints remembers drained endpoints by their id.
type drainedEndpoints struct {
	byID    map[string]drainedEndpoint
	sweptAt time.Time
}

func (d *drainedEndpoints) add(registration Registration, now time.Time) {
	if now.Sub(d.sweptAt) > drainedSweep {
		maps.DeleteFunc(d.byID, func(_ string, endpoint drainedEndpoint) bool { return now.Sub(endpoint.removedAt) > drainedLifetime })
		d.sweptAt = now
	}
	d.byID[registration.ID] = drainedEndpoint{registration, now}
}

// supersedes reports whether a registration is from before its endpoint was draining. An older copy
// of the log may show it again.
func (d *drainedEndpoints) supersedes(registration Registration) bool {
	endpoint, found := d.byID[registration.ID]
	return found && registration.supersededBy(endpoint.Registration)
}

// Lose is called when the log has lost the newest registration of an endpoint. An endpoint that is
// alive registers again within the grace period. A draining one is kept, so that an older
// registration does not bring it back into service.
func (t *Tracker) Lose(id string, grace time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if endpoint := t.endpoints[id]; endpoint != nil && !endpoint.Draining {
		t.remove(id, grace)
	}
}
