package runner

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
)

// freshnessShare is the maximum age of a verified read, as a share of the time
// within which a withdrawn key must stop working. The rest allows for clocks that
// run at different rates.
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

// table returns the declaration in force. It is nil before the first one.
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
