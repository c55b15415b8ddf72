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

// View implements forwarder.ControlPlane.
func (r *Runner) View() forwarder.View {
	age, verified := r.operatorTopic.VerifiedAge()
	table := r.table()
	view := forwarder.View{
		Table: table,
		Age:   age,
		Fresh: verified && age < time.Duration(freshnessShare*float64(r.settings.Load().RevokeDeadline)) && !r.revisions.isOutdated(table, age),
	}
	if times := r.stopTimes.Load(); times != nil {
		view.Draining = true
		view.Ending = !time.Now().Before(times.refusedFrom)
		view.RequestsEndAt = times.requestsEndAt
	}
	return view
}

// table returns the declaration in force. It is nil before the first one.
func (r *Runner) table() *matcher.Table { return r.operatorState.Snapshot().table }

// SelectVersion implements forwarder.ControlPlane.
func (r *Runner) SelectVersion(request forwarder.VersionQuery) forwarder.VersionConstraint {
	return r.rollouts.chooseVersion(request)
}

// RecordResult implements forwarder.ControlPlane.
func (r *Runner) RecordResult(result forwarder.Result) { r.rollouts.recordResult(result) }

// RequestStarted implements forwarder.ControlPlane.
func (r *Runner) RequestStarted(session string) { r.rollouts.requestStarted(session) }

// RequestEnded implements forwarder.ControlPlane.
func (r *Runner) RequestEnded(session string) { r.rollouts.requestEnded(session) }
