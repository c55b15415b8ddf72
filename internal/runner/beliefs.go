package runner

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
)

// proofShare is the share of the time within which a withdrawn key must stop
// working for which a proof of reading counts; the rest is for clocks that run
// at different rates.
const proofShare = 0.96

// View implements forwarder.ControlPlane.
func (r *Runner) View() forwarder.View {
	age, proven := r.declared.VerifiedAge()
	return forwarder.View{
		Table:    r.table(),
		Age:      age,
		Fresh:    proven && age < time.Duration(proofShare*float64(r.settings.Load().Revoke)),
		Draining: r.stopping.Load(),
	}
}

// table returns the declaration in force, or nil.
func (r *Runner) table() *matcher.Table { return r.declaration.Snapshot().table }

// SelectVersion implements forwarder.ControlPlane.
func (r *Runner) SelectVersion(question forwarder.VersionQuery) forwarder.VersionConstraint {
	return r.rollouts.version(question)
}

// RecordResult implements forwarder.ControlPlane.
func (r *Runner) RecordResult(result forwarder.Result) { r.rollouts.ran(result) }

// RequestStarted implements forwarder.ControlPlane.
func (r *Runner) RequestStarted(session string) { r.rollouts.entered(session) }

// RequestEnded implements forwarder.ControlPlane.
func (r *Runner) RequestEnded(session string) { r.rollouts.left(session) }
