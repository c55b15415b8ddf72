// Package gossiper implements a gossip protocol that maintains the membership of
// the daemons. It probes one random member at a time and piggybacks rumours on the
// probes: updates about members, stopped versions, draining endpoints, and facts that
// one daemon has observed and all act on. The
// package does no I/O and reads no clock: the time and the random source are
// arguments, and the messages are returned to the caller, which sends them.
//
// With heartbeats in a full mesh of 360 daemons, each daemon would send 359
// messages per interval, which exceeds its share of the control traffic. The cost
// of one probe per interval does not depend on the number of daemons.
package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// suspectTimeout is the time in which a suspect member can refute the
	// suspicion before it is marked as dead.
	suspectTimeout = 4 * time.Second
	// deadRetention is how long a dead or leaving member is retained, so that
	// an old rumour that it is alive is recognised as outdated.
	deadRetention = 10 * time.Minute
	// maxRumours limits the rumours of each kind in one message.
	maxRumours = 24
	// maxFactRumours limits the facts in one message that does not carry all.
	maxFactRumours = 256
	// transmitMultiplier times log2(members) is the number of messages that
	// carry a rumour.
	transmitMultiplier = 3
	// urgentFanout is the number of members to which an urgent change is sent at
	// once.
	urgentFanout = 3
	// drainingRetention is how long a draining endpoint is retained.
	drainingRetention = 10 * time.Minute
)

// Member is the state of one daemon as this daemon sees it.
type Member struct {
	Name    string
	Zone    string
	Address netip.AddrPort
	// Incarnation identifies one life of the daemon's process under its name.
	Incarnation uint64
	Status      schema.Status
	// Revision is the configuration revision in force at the member.
	Revision uint64
	// RevisionSince is when this daemon recorded the revision.
	RevisionSince time.Time
	// sequence is raised by the member with each change of its own entry.
	sequence uint64
	// statusSince is when this daemon recorded the status.
	statusSince time.Time
}

// Serving reports whether the daemon can receive work or state, which is the case
// if it is alive or suspect.
func (m Member) Serving() bool {
	return m.Status == schema.Status_STATUS_ALIVE || m.Status == schema.Status_STATUS_SUSPECT
}

// Expected reports whether the daemon may be running: it is serving, or has not been dead
// for longer than the grace period.
func (m Member) Expected(now time.Time, grace time.Duration) bool {
	return m.Serving() || m.Status == schema.Status_STATUS_DEAD && now.Sub(m.statusSince) < grace
}

// StoppedVersion is a model version that was taken out of service.
type StoppedVersion struct {
	// Version has the form "model@version".
	Version string
	// Generation is the generation of the version that the stop applies to.
	Generation uint64
	Reason     string
	// Origin is the daemon that stopped the version.
	Origin string
}

// Changes describes what a received message changed in the membership.
type Changes struct {
	Members           bool
	StoppedVersions   []StoppedVersion
	DrainingEndpoints []string
	// Facts are the facts that are new or newer.
	Facts []Fact
	// FactsDiffer is set if the sender's facts are not the same as this daemon's,
	// MembersDiffer if its serving members are not.
	FactsDiffer   bool
	MembersDiffer bool
	// Urgent is set for a change that must reach every member within seconds:
	// a stopped version, a draining endpoint, a fact or a newer configuration revision.
	Urgent bool
}

// Membership is the membership as seen by one daemon. It is not safe for
// concurrent use.
type Membership struct {
	self              Member
	members           map[string]*Member
	stoppedVersions   map[string]StoppedVersion
	drainingEndpoints map[string]time.Time
	// facts holds the facts by their key.
	facts map[string]Fact
	// remainingTransmits is the number of further messages that carry a
	// rumour, by the key of the rumour.
	remainingTransmits map[string]int
	// probeQueue contains the members that are still to be probed in this round.
	probeQueue []string
	// newestRevision is the newest configuration revision known here.
	newestRevision uint64
	// takesLater is set if this daemon takes an incarnation after that of a former life.
	takesLater bool
}

// New returns the membership of a daemon that has no other members yet.
func New(self Member) *Membership {
	self.Status = schema.Status_STATUS_ALIVE
	m := &Membership{
		self:               self,
		members:            map[string]*Member{},
		stoppedVersions:    map[string]StoppedVersion{},
		drainingEndpoints:  map[string]time.Time{},
		facts:              map[string]Fact{},
		remainingTransmits: map[string]int{},
	}
	return m
}

// TakeLaterIncarnations makes this daemon take a later incarnation when it hears that a former life
// of it had a later one, as after a restart with an earlier wall clock. A daemon whose incarnation
// also names other things, such as its bills, must not take another one.
func (m *Membership) TakeLaterIncarnations() { m.takesLater = true }

// Self returns this daemon's own entry.
func (m *Membership) Self() Member { return m.self }

// Member returns the named member, which is not this daemon.
func (m *Membership) Member(name string) (Member, bool) {
	if member := m.members[name]; member != nil {
		return *member, true
	}
	return Member{}, false
}

// Members returns all members including this daemon, sorted by name.
func (m *Membership) Members() []Member {
	list := []Member{m.self}
	for _, member := range m.members {
		list = append(list, *member)
	}
	slices.SortFunc(list, func(a, b Member) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	return list
}

// StoppedVersions returns the stopped versions by "model@version".
func (m *Membership) StoppedVersions() map[string]StoppedVersion {
	stopped := make(map[string]StoppedVersion, len(m.stoppedVersions))
	for version, stop := range m.stoppedVersions {
		stopped[version] = stop
	}
	return stopped
}

// DrainingEndpoints returns the addresses of the draining endpoints, sorted.
func (m *Membership) DrainingEndpoints() []string {
	var list []string
	for endpoint := range m.drainingEndpoints {
		list = append(list, endpoint)
	}
	slices.Sort(list)
	return list
}

// SetRevision sets the configuration revision in force at this daemon and
// announces it if it changed.
func (m *Membership) SetRevision(revision uint64) {
	if revision != m.self.Revision {
		m.self.Revision = revision
		m.newestRevision = max(m.newestRevision, revision)
		m.announceSelf()
	}
}

// ReportRevision sets the configuration revision in force at this daemon, which each of its
// messages carries anyway. Unlike SetRevision, it makes no rumour: if all members did at once,
// each would pass on the entries of all others.
func (m *Membership) ReportRevision(revision uint64) {
	m.self.Revision = max(m.self.Revision, revision)
	m.newestRevision = max(m.newestRevision, revision)
}

// AnnounceDraining announces that this daemon is about to stop and gets no new
// work.
func (m *Membership) AnnounceDraining() {
	m.self.Status = schema.Status_STATUS_LEAVING
	m.announceSelf()
}

// announceSelf raises this daemon's sequence and queues its entry as a rumour.
func (m *Membership) announceSelf() {
	m.self.sequence++
	m.queueRumour("member/" + m.self.Name)
}

// AddStoppedVersion records that a version is stopped. It returns false if a stop
// of this or a later generation was already recorded.
func (m *Membership) AddStoppedVersion(stop StoppedVersion) bool {
	existing, ok := m.stoppedVersions[stop.Version]
	if ok && existing.Generation >= stop.Generation {
		return false
	}
	m.stoppedVersions[stop.Version] = stop
	m.queueRumour("stop/" + stop.Version)
	return true
}

// RemoveStoppedVersions removes the stopped versions for which superseded returns
// true. The configuration supersedes a stop when it raises the generation of the
// version or removes the version.
func (m *Membership) RemoveStoppedVersions(superseded func(StoppedVersion) bool) {
	for version, stop := range m.stoppedVersions {
		if superseded(stop) {
			delete(m.stoppedVersions, version)
		}
	}
}

// AddDrainingEndpoint records that an endpoint is draining. It returns false if
// that was already recorded.
func (m *Membership) AddDrainingEndpoint(endpoint string, now time.Time) bool {
	if _, exists := m.drainingEndpoints[endpoint]; exists {
		return false
	}
	m.drainingEndpoints[endpoint] = now
	m.queueRumour("departure/" + endpoint)
	return true
}

// NextProbeTarget returns the member to probe next, or false if there is none. It
// returns each member once per round, in random order. Members that are marked as
// dead are included, because after a network partition each side has marked the
// members of the other side as dead. So are leaving ones, because a daemon that has
// restarted may know no other one.
func (m *Membership) NextProbeTarget(random *rand.Rand) (Member, bool) {
	for len(m.probeQueue) > 0 {
		name := m.probeQueue[0]
		m.probeQueue = m.probeQueue[1:]
		if member := m.members[name]; member != nil {
			return *member, true
		}
	}
	m.probeQueue = m.probeQueue[:0]
	for name := range m.members {
		m.probeQueue = append(m.probeQueue, name)
	}
	slices.Sort(m.probeQueue)
	random.Shuffle(len(m.probeQueue), func(i, j int) { m.probeQueue[i], m.probeQueue[j] = m.probeQueue[j], m.probeQueue[i] })
	if len(m.probeQueue) == 0 {
		return Member{}, false
	}
	next := *m.members[m.probeQueue[0]]
	m.probeQueue = m.probeQueue[1:]
	return next, true
}

// ProbeHelpers returns up to count random live members other than the target,
// which can probe the target on behalf of this daemon.
func (m *Membership) ProbeHelpers(target string, count int, random *rand.Rand) []Member {
	var list []Member
	for _, member := range m.members {
		if member.Name != target && member.Status == schema.Status_STATUS_ALIVE {
			list = append(list, *member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return a.Address.Compare(b.Address) })
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// MarkUnreachable records that a member did not respond to a probe. A live member
// becomes suspect.
func (m *Membership) MarkUnreachable(name string, now time.Time) {
	member := m.members[name]
	if member == nil || member.Status != schema.Status_STATUS_ALIVE {
		return
	}
	member.Status = schema.Status_STATUS_SUSPECT
	member.statusSince = now
	m.queueRumour("member/" + name)
}

// MarkReachable records that a member responded, and with which incarnation. The
// member becomes alive unless the incarnation is outdated or is leaving.
func (m *Membership) MarkReachable(name string, incarnation uint64, now time.Time) {
	member := m.members[name]
	if member == nil || incarnation < member.Incarnation || member.Status == schema.Status_STATUS_ALIVE {
		return
	}
	if member.Status == schema.Status_STATUS_LEAVING && member.Incarnation == incarnation {
		return
	}
	member.Status = schema.Status_STATUS_ALIVE
	member.Incarnation = incarnation
	member.statusSince = now
	m.queueRumour("member/" + name)
}

// Tick marks suspect members that did not refute the suspicion in time as dead,
// and removes expired members, draining endpoints and facts. It reports whether a member
// changed or was removed.
func (m *Membership) Tick(now time.Time) bool {
	changed := false
	for name, member := range m.members {
		switch {
		case member.Status == schema.Status_STATUS_SUSPECT && now.Sub(member.statusSince) >= suspectTimeout:
			member.Status = schema.Status_STATUS_DEAD
			member.statusSince = now
			m.queueRumour("member/" + name)
			changed = true
		case !member.Serving() && now.Sub(member.statusSince) >= deadRetention:
			delete(m.members, name)
			changed = true
		}
	}
	for endpoint, addedAt := range m.drainingEndpoints {
		if now.Sub(addedAt) >= drainingRetention {
			delete(m.drainingEndpoints, endpoint)
		}
	}
	m.removeExpiredFacts(now)
	return changed
}

// AddSeed adds a member that has not been in contact yet, such as an instance from
// the platform's list, and assumes that it is alive. It has no effect if the
// member is already present or is this daemon.
func (m *Membership) AddSeed(member Member, now time.Time) {
	if member.Name == m.self.Name || m.members[member.Name] != nil {
		return
	}
	member.Status = schema.Status_STATUS_ALIVE
	member.statusSince = now
	m.members[member.Name] = &member
}

// FanoutTargets returns random live members to which an urgent change is sent at
// once. With only one probe per second, a change took seven seconds to reach 360
// members.
func (m *Membership) FanoutTargets(random *rand.Rand) []Member {
	return m.ProbeHelpers("", urgentFanout, random)
}
