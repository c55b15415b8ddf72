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

// View implements forwarder.Believer.
func (r *Runner) View() forwarder.View {
	age, proven := r.declared.VerifiedAge()
	return forwarder.View{
		Table:    r.table(),
		Age:      age,
		Fresh:    proven && age < time.Duration(proofShare*float64(r.settings.Load().Revoke)),
		Stopping: r.stopping.Load(),
	}
}

// table returns the declaration in force, or nil.
func (r *Runner) table() *matcher.Table { return r.declaration.Snapshot().table }

// Version implements forwarder.Believer.
func (r *Runner) Version(question forwarder.Question) forwarder.Constraint {
	return r.rollouts.version(question)
}

// Ran implements forwarder.Believer.
func (r *Runner) Ran(result forwarder.Result) { r.rollouts.ran(result) }

// Entered implements forwarder.Believer.
func (r *Runner) Entered(session string) { r.rollouts.entered(session) }

// Left implements forwarder.Believer.
func (r *Runner) Left(session string) { r.rollouts.left(session) }
