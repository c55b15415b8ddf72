package runner

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// stale reports whether what is known of roll-outs may lack news.
func (o *rollouts) stale(topic *subscriber.Subscriber) bool {
	return topic.Failing() || o.age(topic) > progressAge
}

// version returns the version that a request must run on.
func (o *rollouts) version(question forwarder.VersionQuery) forwarder.VersionConstraint {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	known := o.services[question.Service]
	if known == nil {
		// A roll-out may begin before the session's next request.
		o.sessions.SetVersion(question.Session, oldVersion, now)
		return forwarder.VersionConstraint{Only: o.usualVersions[question.Service]}
	}
	target := known.order.Target
	if !o.choose(known, question, now) {
		o.sessions.SetVersion(question.Session, oldVersion, now)
		return forwarder.VersionConstraint{Except: target}
	}
	o.sessions.SetVersion(question.Session, target, now)
	if known.state == promoter.Canary {
		return forwarder.VersionConstraint{Only: target, EndpointShare: o.subset(known)}
	}
	return forwarder.VersionConstraint{Only: target}
}

// registered notes the version of each service that is in use without an order:
// endpoints of a new version may be seen before its order is.
func (o *rollouts) registered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, versions := range o.tracker.AllVersionCounts() {
		if usual := o.usualVersions[service]; versions[usual] == 0 {
			o.usualVersions[service] = mostOf(versions)
		}
	}
}

// mostOf returns the version with the most endpoints.
func mostOf(versions map[string]int) string {
	best := ""
	for version, count := range versions {
		if count > versions[best] || count == versions[best] && version < best {
			best = version
		}
	}
	return best
}

// subsetOfShare times the share of the sessions in a trial is the share of the
// new endpoints that serve them: they are then under half of their usual load.
const subsetOfShare = 2

// subset returns the share of the new endpoints that serve a trial.
func (o *rollouts) subset(known *rollout) float64 {
	return subsetOfShare * promoter.CurrentShare(known.status.Share, o.movable(known))
}

// movable reports whether sessions may move to the new version.
func (o *rollouts) movable(known *rollout) bool {
	return promoter.CanMoveSessions(known.order, known.state, o.process.Clock()-known.began)
}

// entered records that a session's request has come.
func (o *rollouts) entered(session string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sessions.RequestStarted(session, time.Now())
}

// left records that a session's request has ended.
func (o *rollouts) left(session string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sessions.RequestEnded(session, time.Now())
}

// sweep forgets sessions that have ended.
func (o *rollouts) sweep() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sessions.Sweep(time.Now())
}

// oldVersion stands for any version but the target.
const oldVersion = "old"

// choose reports whether the request goes to the new version.
func (o *rollouts) choose(known *rollout, question forwarder.VersionQuery, now time.Time) bool {
	switch {
	case known.state == promoter.Completed:
		return true
	case known.adverse || known.state == promoter.RolledBack || known.state == promoter.Waiting:
		return false
	case known.state == promoter.Full:
		return true
	case question.PreviouslyFailed:
		return false
	}
	clock := o.process.Clock()
	movable := o.movable(known)
	switch o.sessions.Version(question.Session, now) {
	case known.order.Target:
		return true
	case oldVersion:
		if !movable {
			return false
		}
	}
	if !promoter.AcceptsSessions(known.state, clock-known.entered) || o.stale(o.status) || o.stale(o.results) {
		return false
	}
	session := question.Session
	if session == "" {
		session = question.Request
	}
	if !movable && known.held[promoter.Digest(session)] {
		// Another daemon has served it on the old version.
		return false
	}
	return promoter.InShare(session, known.order, promoter.CurrentShare(known.status.Share, movable))
}
