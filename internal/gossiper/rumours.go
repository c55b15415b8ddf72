package gossiper

import (
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Receive merges the rumours of a message into the membership and returns what
// changed.
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
	for _, received := range rumours.GetFacts() {
		if fact, added := m.addFact(received, now); added {
			changes.Facts = append(changes.Facts, fact)
		}
	}
	changes.FactsDiffer = rumours.GetDigest() != m.factDigest()
	changes.MembersDiffer = rumours.GetMembersDigest() != m.membersDigest()
	changes.Urgent = m.isUrgent(rumours, changes)
	return changes
}

// isUrgent reports whether the changes, or a newer revision in the rumours, must
// be passed on at once. It also updates the newest revision.
func (m *Membership) isUrgent(rumours *schema.Rumours, changes Changes) bool {
	urgent := len(changes.StoppedVersions) > 0 || len(changes.DrainingEndpoints) > 0 || len(changes.Facts) > 0
	for _, received := range rumours.GetMembers() {
		if received.GetRevision() > m.newestRevision {
			m.newestRevision = received.GetRevision()
			urgent = true
		}
	}
	return urgent
}

// mergeMember updates a member from a rumour and reports whether the rumour was
// newer. It does not add an unknown member that is leaving or dead.
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
		m.raiseRevision(existing, received, now)
		return false
	}
	if existing == nil && received.GetStatus() != schema.Status_STATUS_ALIVE && received.GetStatus() != schema.Status_STATUS_SUSPECT {
		return false
	}
	member := &Member{
		Name:          received.GetName(),
		Zone:          received.GetZone(),
		Address:       address,
		Incarnation:   received.GetIncarnation(),
		Status:        received.GetStatus(),
		Revision:      received.GetRevision(),
		RevisionSince: now,
		sequence:      received.GetSequence(),
		statusSince:   now,
	}
	if existing != nil && existing.Incarnation == member.Incarnation && existing.Revision >= member.Revision {
		member.Revision, member.RevisionSince = existing.Revision, existing.RevisionSince
	}
	m.members[received.GetName()] = member
	m.queueRumour("member/" + received.GetName())
	return true
}

// raiseRevision records a higher revision of a member whose entry is no newer otherwise. It
// passes on only the first entry with a revision.
func (m *Membership) raiseRevision(member *Member, received *schema.Member, now time.Time) {
	if received.GetIncarnation() != member.Incarnation || received.GetRevision() <= member.Revision {
		return
	}
	member.Revision, member.RevisionSince = received.GetRevision(), now
	if member.Revision > m.newestRevision {
		m.queueRumour("member/" + member.Name)
	}
}

// refute responds to a rumour with a wrong status of this daemon by announcing
// the daemon with a higher sequence, and to one about a later incarnation of a former life
// with an incarnation after that. It ignores a rumour about any other incarnation
// under the same name. It always returns false, because no other member changes.
func (m *Membership) refute(received *schema.Member) bool {
	if m.takesLater && m.isFormerLife(received) {
		m.self.Incarnation = received.GetIncarnation() + 1
		m.announceSelf()
		return false
	}
	if received.GetIncarnation() != m.self.Incarnation || received.GetStatus() == m.self.Status {
		return false
	}
	if received.GetSequence() >= m.self.sequence {
		m.self.sequence = received.GetSequence()
		m.announceSelf()
	}
	return false
}

// isFormerLife reports whether a rumour is about a former life of this daemon with a later
// incarnation. One at another address may be alive: if both took later incarnations, they would
// do so without end.
func (m *Membership) isFormerLife(received *schema.Member) bool {
	isLater := received.GetIncarnation() > m.self.Incarnation && received.GetIncarnation() < math.MaxUint64
	return isLater && received.GetAddress() == m.self.Address.String()
}

// supersedes reports whether a rumour about a member is newer than the known
// entry: the later incarnation wins, then the later sequence, then the worse
// status.
func supersedes(received *schema.Member, existing *Member) bool {
	if received.GetIncarnation() != existing.Incarnation {
		return received.GetIncarnation() > existing.Incarnation
	}
	if received.GetSequence() != existing.sequence {
		return received.GetSequence() > existing.sequence
	}
	return received.GetStatus() > existing.Status
}

// RumoursFor returns the rumours to send in a message to the recipient. A joining
// daemon receives all rumours. A recipient that is not marked as alive receives
// its own entry, because the other daemons correct that entry only after the
// recipient has raised its sequence.
func (m *Membership) RumoursFor(recipient string, joining bool, now time.Time) *schema.Rumours {
	rumours := &schema.Rumours{Members: []*schema.Member{m.self.message()}, Facts: m.factRumours(joining, now), Digest: m.factDigest(), MembersDigest: m.membersDigest()}
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

// membersDigest returns a digest of the serving members and their incarnations.
func (m *Membership) membersDigest() uint64 {
	var digest uint64
	if m.self.Serving() {
		digest = m.self.digest()
	}
	for _, member := range m.members {
		if member.Serving() {
			digest ^= member.digest()
		}
	}
	return digest
}

// digest returns a digest of the member's name and incarnation.
func (m Member) digest() uint64 {
	return xxhash.Sum64String(m.Name + "/" + strconv.FormatUint(m.Incarnation, 10))
}

// message converts the member to its schema message.
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

// Message converts the member to its schema message.
func (m Member) Message() *schema.Member { return m.message() }

// queueRumour resets the number of messages that carry a rumour, so that it is
// sent again.
func (m *Membership) queueRumour(key string) {
	m.remainingTransmits[key] = transmitMultiplier * int(math.Ceil(math.Log2(float64(len(m.members)+2))))
}

// takeTransmit uses up one transmission of a rumour. It reports false if none is
// left.
func (m *Membership) takeTransmit(key string) bool {
	transmits := m.remainingTransmits[key]
	if transmits == 0 {
		delete(m.remainingTransmits, key)
		return false
	}
	m.remainingTransmits[key] = transmits - 1
	return true
}
