package runner

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// isStale reports whether recent records of a rollout topic may be missing.
func (m *rolloutManager) isStale(topic *subscriber.Subscriber) bool {
	return topic.Failing() || m.topicAge(topic) > maxRolloutAge
}

// chooseVersion returns the version constraint of a request and records the
// version for its session.
func (m *rolloutManager) chooseVersion(request forwarder.VersionQuery) forwarder.VersionConstraint {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	rollout := m.byService[request.Service]
	if rollout == nil {
		// A rollout may begin before the session's next request.
		m.sessions.SetVersion(request.Session, oldVersion, now)
		return forwarder.VersionConstraint{Only: m.currentVersions[request.Service]}
	}
	target := rollout.order.Target
	if !m.useTarget(rollout, request, now) {
		m.sessions.SetVersion(request.Session, oldVersion, now)
		return forwarder.VersionConstraint{Except: target}
	}
	m.sessions.SetVersion(request.Session, target, now)
	if rollout.state == promoter.Canary {
		return forwarder.VersionConstraint{Only: target, EndpointShare: m.endpointSubset(rollout)}
	}
	return forwarder.VersionConstraint{Only: target}
}

// updateCurrentVersions records the version that each service without an order
// runs on. Endpoints of a new version may be seen before its order, and must not
// get requests until then.
func (m *rolloutManager) updateCurrentVersions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, versions := range m.tracker.InServiceVersionCounts() {
		if current := m.currentVersions[service]; versions[current] == 0 {
			m.currentVersions[service] = mostCommonVersion(versions)
		}
	}
}

// mostCommonVersion returns the version with the most endpoints. Of several it is
// the first in lexical order.
func mostCommonVersion(versions map[string]int) string {
	mostCommon := ""
	for version, count := range versions {
		if count > versions[mostCommon] || count == versions[mostCommon] && version < mostCommon {
			mostCommon = version
		}
	}
	return mostCommon
}

// subsetFactor times the canary's share of the sessions is the share of the new
// endpoints that serve it. They then run under half of their usual load.
const subsetFactor = 2

// endpointSubset returns the share of the new endpoints that serve a canary.
func (m *rolloutManager) endpointSubset(rollout *rolloutState) float64 {
	return subsetFactor * promoter.CurrentShare(rollout.status.Share, m.canMoveSessions(rollout))
}

// canMoveSessions reports whether sessions may move to the new version.
func (m *rolloutManager) canMoveSessions(rollout *rolloutState) bool {
	return promoter.CanMoveSessions(rollout.order, rollout.state, m.elapsed(rollout))
}

// requestStarted records that a session's request has started.
func (m *rolloutManager) requestStarted(session string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions.RequestStarted(session, time.Now())
}

// requestEnded records that a session's request has ended.
func (m *rolloutManager) requestEnded(session string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions.RequestEnded(session, time.Now())
}

// sweepSessions removes the sessions that have ended.
func (m *rolloutManager) sweepSessions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions.Sweep(time.Now())
}

// oldVersion is recorded for every version other than the target.
const oldVersion = "old"

// useTarget reports whether the request goes to the new version.
func (m *rolloutManager) useTarget(rollout *rolloutState, request forwarder.VersionQuery, now time.Time) bool {
	switch {
	case rollout.state == promoter.Completed:
		return true
	case rollout.worse || rollout.state == promoter.RolledBack || rollout.state == promoter.Waiting:
		return false
	case rollout.state == promoter.Full:
		return true
	case request.PreviouslyFailed:
		return false
	}
	clock := m.deps.Clock()
	movable := m.canMoveSessions(rollout)
	switch m.sessions.Version(request.Session, now) {
	case rollout.order.Target:
		return true
	case oldVersion:
		if !movable {
			return false
		}
	}
	if !promoter.AcceptsSessions(rollout.state, clock-rollout.stateEntered) || m.isStale(m.statusTopic) || m.isStale(m.resultsTopic) {
		return false
	}
	session := request.Session
	if session == "" {
		session = request.Request
	}
	if !movable && rollout.peerOldVersionSessions[promoter.Digest(session)] {
		// Another daemon has served the session on the old version.
		return false
	}
	return promoter.InShare(session, rollout.order, promoter.CurrentShare(rollout.status.Share, movable))
}
