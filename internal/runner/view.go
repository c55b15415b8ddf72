package runner

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
)

// proofShare is the share of the time within which a withdrawn key must stop
// working for which a proof of reading counts; the rest is for clocks that run
// at different rates.
const freshnessShare = 0.96

// View implements forwarder.Believer.
func (r *Runner) View() forwarder.View {
	age, verified := r.operatorTopic.VerifiedAge()
	return forwarder.View{
		Table:    r.table(),
		Age:      age,
		Fresh:    verified && age < time.Duration(freshnessShare*float64(r.settings.Load().RevokeDeadline)),
		Stopping: r.stopping.Load(),
	}
}

// table returns the declaration in force, or nil.
func (r *Runner) table() *matcher.Table { return r.operatorState.Snapshot().table }

// Version implements forwarder.Believer.
func (r *Runner) Version(request forwarder.Question) forwarder.Constraint {
	return r.rollouts.chooseVersion(request)
}

// Ran implements forwarder.Believer.
func (r *Runner) Ran(result forwarder.Result) { r.rollouts.recordResult(result) }

// Entered implements forwarder.Believer.
func (r *Runner) Entered(session string) { r.rollouts.requestStarted(session) }

// Left implements forwarder.Believer.
func (r *Runner) Left(session string) { r.rollouts.requestEnded(session) }
