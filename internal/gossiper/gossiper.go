// Package gossiper keeps the membership of the daemons and spreads rumours
// (members, stopped versions, leaving endpoints) by probing one random member
// at a time. It is pure: time and randomness are arguments, messages are
// returned to the caller.
//
// A full mesh of heartbeats at 360 daemons costs each of them 359 messages per
// interval, more than its share of control traffic; one probe per interval
// costs the same at any size, and rumours ride on the probes.
package gossiper

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// suspicion is how long a suspect may refute before it counts as dead.
	suspectTimeout = 4 * time.Second
	// forget is how long dead members stay listed, so that old rumours of them
	// being alive are recognised.
	deadRetention = 10 * time.Minute
	// maxRumours bounds the rumours of each sort in one message.
	maxRumours = 24
	// spread is multiplied by log2(members) to give the number of messages
	// that carry a rumour.
	transmitMultiplier = 3
	// fanout is the number of members that are told urgent news at once.
	urgentFanout = 3
	// departureLife is how long a leaving endpoint is remembered.
	drainingRetention = 10 * time.Minute
)

// Member is one daemon as this one sees it.
type Member struct {
	Name        string
	Zone        string
	Address     netip.AddrPort
	Incarnation uint64
	Status      schema.Status
	Revision    uint64
	sequence    uint64
	// since is when the status was learnt.
	statusSince time.Time
}

// Serving reports whether the daemon can be given work or state.
func (m Member) Serving() bool {
	return m.Status == schema.Status_STATUS_ALIVE || m.Status == schema.Status_STATUS_SUSPECT
}

// Stop is a stopped version.
type StoppedVersion struct {
	Version    string
	Generation uint64
	Reason     string
	Origin     string
}

// Changes tells what a message taught.
type Changes struct {
	Members           bool
	StoppedVersions   []StoppedVersion
	DrainingEndpoints []string
	// Urgent is set for news that every member must have within seconds: a
	// stopped version, a leaving endpoint, a newer revision.
	Urgent bool
}

// State is the membership as seen by one daemon. It is not safe for
// concurrent use.
type Membership struct {
	self              Member
	members           map[string]*Member
	stoppedVersions   map[string]StoppedVersion
	drainingEndpoints map[string]time.Time
	// remaining counts the messages that a rumour still rides on, by its key.
	remainingTransmits map[string]int
	probeQueue         []string
	// newest is the newest revision heard of.
	newestRevision uint64
}

// New returns the state of a daemon that knows only itself.
func New(self Member) *Membership {
	self.Status = schema.Status_STATUS_ALIVE
	m := &Membership{
		self:               self,
		members:            map[string]*Member{},
		stoppedVersions:    map[string]StoppedVersion{},
		drainingEndpoints:  map[string]time.Time{},
		remainingTransmits: map[string]int{},
	}
	return m
}

// Self returns this daemon's own entry.
func (m *Membership) Self() Member { return m.self }

// Members returns all known members with this daemon, sorted by name.
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

// Stops returns the stopped versions by "model@version".
func (m *Membership) StoppedVersions() map[string]StoppedVersion {
	stopped := make(map[string]StoppedVersion, len(m.stoppedVersions))
	for version, stop := range m.stoppedVersions {
		stopped[version] = stop
	}
	return stopped
}

// Departures returns the endpoints that are leaving.
func (m *Membership) DrainingEndpoints() []string {
	var list []string
	for endpoint := range m.drainingEndpoints {
		list = append(list, endpoint)
	}
	slices.Sort(list)
	return list
}

// SetRevision announces the configuration revision in force here.
func (m *Membership) SetRevision(revision uint64) {
	if revision != m.self.Revision {
		m.self.Revision = revision
		m.newestRevision = max(m.newestRevision, revision)
		m.announceSelf()
	}
}

// Leave announces that this daemon is stopping.
func (m *Membership) AnnounceDraining() {
	m.self.Status = schema.Status_STATUS_LEAVING
	m.announceSelf()
}

func (m *Membership) announceSelf() {
	m.self.sequence++
	m.queueRumour("member/" + m.self.Name)
}

// AddStop records that a version is stopped; it reports whether that is new.
func (m *Membership) AddStoppedVersion(stop StoppedVersion) bool {
	existing, ok := m.stoppedVersions[stop.Version]
	if ok && existing.Generation >= stop.Generation {
		return false
	}
	m.stoppedVersions[stop.Version] = stop
	m.queueRumour("stop/" + stop.Version)
	return true
}

// ClearStops drops the stops that the configuration has overtaken: the
// version's generation was raised, or the version is gone.
func (m *Membership) RemoveStoppedVersions(superseded func(StoppedVersion) bool) {
	for version, stop := range m.stoppedVersions {
		if superseded(stop) {
			delete(m.stoppedVersions, version)
		}
	}
}

// AddDeparture records that an endpoint is leaving; it reports whether that is
// new.
func (m *Membership) AddDrainingEndpoint(endpoint string, now time.Time) bool {
	if _, exists := m.drainingEndpoints[endpoint]; exists {
		return false
	}
	m.drainingEndpoints[endpoint] = now
	m.queueRumour("departure/" + endpoint)
	return true
}

// Target returns the member to probe next: each one once, in random order,
// then again. Members that count as dead are tried now and then too, since
// after a partition both sides count the other as dead.
func (m *Membership) NextProbeTarget(random *rand.Rand) (Member, bool) {
	for len(m.probeQueue) > 0 {
		name := m.probeQueue[0]
		m.probeQueue = m.probeQueue[1:]
		if member := m.members[name]; member != nil && member.Status != schema.Status_STATUS_LEAVING {
			return *member, true
		}
	}
	m.probeQueue = m.probeQueue[:0]
	for name, member := range m.members {
		if member.Status != schema.Status_STATUS_LEAVING {
			m.probeQueue = append(m.probeQueue, name)
		}
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

// Relays returns up to count live members other than the target, to probe it
// on this daemon's behalf.
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

// Unreachable records that a member did not answer.
func (m *Membership) MarkUnreachable(name string, now time.Time) {
	member := m.members[name]
	if member == nil || member.Status != schema.Status_STATUS_ALIVE {
		return
	}
	member.Status = schema.Status_STATUS_SUSPECT
	member.statusSince = now
	m.queueRumour("member/" + name)
}

// Reached records that a member answered with the incarnation.
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

// Tick turns suspects that did not refute into dead members and forgets old
// entries; it reports whether the membership changed.
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
	return changed
}

// Seed adds a member known only by its address, such as one of the platform's
// list.
func (m *Membership) AddSeed(member Member, now time.Time) {
	if member.Name == m.self.Name || m.members[member.Name] != nil {
		return
	}
	member.Status = schema.Status_STATUS_ALIVE
	member.statusSince = now
	m.members[member.Name] = &member
}

// Receive merges the rumours of a message.
func (m *Membership) Receive(rumours *schema.Rumours, now time.Time) Changes {
	changes := Changes{}
	for _, received := range rumours.GetMembers() {
		if m.mergeMember(received, now) {
			changes.Members = true
		}
	}
	for _, received := range rumours.GetStops() {
		stop := StoppedVersion{Version: received.GetVersion(), Generation: received.GetGeneration(), Reason: received.GetReason(), Origin: received.GetOrigin()}
		if m.AddStoppedVersion(stop) {
			changes.StoppedVersions = append(changes.StoppedVersions, stop)
		}
	}
	for _, received := range rumours.GetDepartures() {
		if m.AddDrainingEndpoint(received.GetEndpoint(), now) {
			changes.DrainingEndpoints = append(changes.DrainingEndpoints, received.GetEndpoint())
		}
	}
	changes.Urgent = m.isUrgent(rumours, changes)
	return changes
}

func (m *Membership) isUrgent(rumours *schema.Rumours, changes Changes) bool {
	urgent := len(changes.StoppedVersions) > 0 || len(changes.DrainingEndpoints) > 0
	for _, received := range rumours.GetMembers() {
		if received.GetRevision() > m.newestRevision {
			m.newestRevision = received.GetRevision()
			urgent = true
		}
	}
	return urgent
}

// Fanout returns random serving members to tell urgent news at once. With one
// probe a second alone, news took seven seconds to reach 360 members.
func (m *Membership) FanoutTargets(random *rand.Rand) []Member {
	return m.ProbeHelpers("", urgentFanout, random)
}

func (m *Membership) mergeMember(received *schema.Member, now time.Time) bool {
	if received.GetName() == m.self.Name {
		return m.refute(received)
	}
	address, err := netip.ParseAddrPort(received.GetAddress())
	if err != nil {
		return false
	}
	existing := m.members[received.GetName()]
	if existing != nil && !supersedes(received, existing) {
		return false
	}
	if existing == nil && received.GetStatus() != schema.Status_STATUS_ALIVE && received.GetStatus() != schema.Status_STATUS_SUSPECT {
		return false
	}
	m.members[received.GetName()] = &Member{
		Name:        received.GetName(),
		Zone:        received.GetZone(),
		Address:     address,
		Incarnation: received.GetIncarnation(),
		Status:      received.GetStatus(),
		Revision:    received.GetRevision(),
		sequence:    received.GetSequence(),
		statusSince: now,
	}
	m.queueRumour("member/" + received.GetName())
	return true
}

// refute answers a rumour that this daemon is not alive with a higher
// sequence. A rumour of a later incarnation under the same name is left alone.
func (m *Membership) refute(received *schema.Member) bool {
	if received.GetIncarnation() != m.self.Incarnation || received.GetStatus() == m.self.Status {
		return false
	}
	if received.GetSequence() >= m.self.sequence {
		m.self.sequence = received.GetSequence()
		m.announceSelf()
	}
	return false
}

// supersedes orders rumours of one member: a later incarnation wins, then a
// later sequence, then the worse status.
func supersedes(received *schema.Member, existing *Member) bool {
	if received.GetIncarnation() != existing.Incarnation {
		return received.GetIncarnation() > existing.Incarnation
	}
	if received.GetSequence() != existing.sequence {
		return received.GetSequence() > existing.sequence
	}
	return received.GetStatus() > existing.Status
}

// Rumours returns what to put on a message to a member. A joining daemon is
// told of every member. A member that is not held to be alive is told so, since
// only a higher sequence of its own undoes that rumour elsewhere.
func (m *Membership) RumoursFor(recipient string, joining bool) *schema.Rumours {
	rumours := &schema.Rumours{Members: []*schema.Member{m.self.message()}}
	m.remainingTransmits["member/"+m.self.Name] = 0
	if member := m.members[recipient]; member != nil && member.Status != schema.Status_STATUS_ALIVE && !joining {
		rumours.Members = append(rumours.Members, member.message())
	}
	names := make([]string, 0, len(m.members))
	for name := range m.members {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		hasRoom := len(rumours.GetMembers()) < maxRumours
		if joining || (hasRoom && m.takeTransmit("member/"+name)) {
			rumours.Members = append(rumours.Members, m.members[name].message())
		}
	}
	for _, stop := range m.stoppedVersions {
		if joining || (len(rumours.GetStops()) < maxRumours && m.takeTransmit("stop/"+stop.Version)) {
			rumours.Stops = append(rumours.Stops, &schema.Stop{Version: stop.Version, Generation: stop.Generation, Reason: stop.Reason, Origin: stop.Origin})
		}
	}
	for endpoint := range m.drainingEndpoints {
		if joining || (len(rumours.GetDepartures()) < maxRumours && m.takeTransmit("departure/"+endpoint)) {
			rumours.Departures = append(rumours.Departures, &schema.Departure{Endpoint: endpoint})
		}
	}
	return rumours
}

func (m Member) message() *schema.Member {
	return &schema.Member{
		Name:        m.Name,
		Zone:        m.Zone,
		Address:     m.Address.String(),
		Incarnation: m.Incarnation,
		Status:      m.Status,
		Revision:    m.Revision,
		Sequence:    m.sequence,
	}
}

// Message returns the member as a schema message.
func (m Member) Message() *schema.Member { return m.message() }

func (m *Membership) queueRumour(key string) {
	m.remainingTransmits[key] = transmitMultiplier * int(math.Ceil(math.Log2(float64(len(m.members)+2))))
}

func (m *Membership) takeTransmit(key string) bool {
	transmits := m.remainingTransmits[key]
	if transmits == 0 {
		delete(m.remainingTransmits, key)
		return false
	}
	m.remainingTransmits[key] = transmits - 1
	return true
}
