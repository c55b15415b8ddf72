// Package configurator applies the records of the configuration stream to derive
// the revision in force. The result depends only on the records and is the same on
// every instance. If operators publish concurrently, exactly one of the changes is
// therefore accepted and the others are refused.
package configurator

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Stream is the name of the log stream that holds the configuration.
const Stream = "configuration"

// maxAuditEntries limits the audit trail kept in memory.
const maxAuditEntries = 2000

// Decision is the outcome of one published revision.
type Decision struct {
	Accepted bool
	// Number is the number of the revision if it was accepted, and otherwise the
	// number of the revision that was in force when it was refused.
	Number uint64
}

// AuditEntry is one entry of the audit trail.
type AuditEntry struct {
	ID      string
	Number  uint64
	Follows uint64
	// Change contains only the differences, because whole declarations would take
	// too much memory.
	Change   *schema.Change
	Decision Decision
}

// State is the configuration state of one instance. It is not safe for concurrent
// use.
type State struct {
	// logged is the newest revision accepted from the log.
	logged *schema.Revision
	// adopted is the newest revision received from a peer.
	adopted    *schema.Revision
	decisions  map[string]Decision
	auditTrail []AuditEntry
	// lastCopied is when the newest copy of the logged revision was appended.
	lastCopied time.Time
	// incomplete is set after records expired before they were read. A revision
	// may then conflict with an earlier one that was never read, so none is
	// accepted until a checkpoint shows which revision was accepted.
	incomplete bool
}

// New returns a state without a revision.
func New() *State {
	return &State{decisions: map[string]Decision{}}
}

// Apply applies one record; records must be applied in log order. A revision is
// accepted only if it follows the current one. A record that was appended more
// than once gets the decision on its first copy.
func (s *State) Apply(id string, revision *schema.Revision) Decision {
	if revision.GetCheckpoint() {
		return s.applyCheckpoint(revision)
	}
	if decision, seen := s.decisions[id]; seen {
		return decision
	}
	current := s.logged.GetNumber()
	follows := !s.incomplete && revision.GetFollows() == current && revision.GetNumber() == current+1
	decision := Decision{Accepted: follows, Number: current}
	if follows {
		decision.Number = revision.GetNumber()
		s.logged = proto.CloneOf(revision)
		s.logged.Origin = id
		s.lastCopied = revision.GetCopied().AsTime()
	}
	s.recordDecision(id, revision, decision)
	return decision
}

// MarkGap records that log records expired before they were read. No revision is
// accepted until the next checkpoint.
func (s *State) MarkGap() { s.incomplete = true }

// applyCheckpoint applies a checkpoint. A checkpoint is newer than the logged
// revision if the records before it have expired. It is then safe to use, because
// checkpoints are written only for accepted revisions.
func (s *State) applyCheckpoint(revision *schema.Revision) Decision {
	current := s.logged.GetNumber()
	if revision.GetNumber() < current {
		return Decision{Number: current}
	}
	s.incomplete = false
	if copied := revision.GetCopied().AsTime(); copied.After(s.lastCopied) || revision.GetNumber() > current {
		s.lastCopied = copied
	}
	if revision.GetNumber() > current {
		s.logged = proto.CloneOf(revision)
		s.logged.Checkpoint = false
		s.recordDecision(revision.GetOrigin(), revision, Decision{Accepted: true, Number: revision.GetNumber()})
	}
	return Decision{Accepted: true, Number: revision.GetNumber()}
}

// recordDecision stores a decision and its audit entry, and drops the oldest ones
// beyond maxAuditEntries.
func (s *State) recordDecision(id string, revision *schema.Revision, decision Decision) {
	s.decisions[id] = decision
	s.auditTrail = append(s.auditTrail, AuditEntry{
		ID:       id,
		Number:   revision.GetNumber(),
		Follows:  revision.GetFollows(),
		Change:   revision.GetChange(),
		Decision: decision,
	})
	if len(s.auditTrail) > maxAuditEntries {
		delete(s.decisions, s.auditTrail[0].ID)
		s.auditTrail = s.auditTrail[1:]
	}
}

// AdoptFromPeer adopts the revision in force at a peer if it is newer than the
// current one, and reports whether it did.
func (s *State) AdoptFromPeer(revision *schema.Revision) bool {
	if revision.GetNumber() <= s.Current().GetNumber() {
		return false
	}
	s.adopted = proto.CloneOf(revision)
	return true
}

// Current returns the revision in force, or nil if there is none. Its number never
// decreases.
func (s *State) Current() *schema.Revision {
	if s.adopted.GetNumber() > s.logged.GetNumber() {
		return s.adopted
	}
	return s.logged
}

// Decision returns the decision on a record. ok is false if the record has not
// been read yet or its decision has been dropped.
func (s *State) Decision(id string) (decision Decision, ok bool) {
	decision, ok = s.decisions[id]
	return decision, ok
}

// AuditTrail returns a copy of the audit trail, oldest entry first.
func (s *State) AuditTrail() []AuditEntry { return append([]AuditEntry(nil), s.auditTrail...) }

// Checkpoint returns a copy of the current revision to append to the log, or nil
// if there is no revision or its newest copy in the log is younger than maxAge.
// Copies of one revision made by several instances differ only in their time.
func (s *State) Checkpoint(now time.Time, maxAge time.Duration) *schema.Revision {
	current := s.Current()
	if current == nil {
		return nil
	}
	// A revision known only from a peer is appended regardless of its age, because
	// the log may have lost the record during an outage.
	if s.logged.GetNumber() == current.GetNumber() && now.Sub(s.lastCopied) < maxAge {
		return nil
	}
	checkpoint := proto.CloneOf(current)
	checkpoint.Checkpoint = true
	checkpoint.Copied = timestamppb.New(now)
	return checkpoint
}
