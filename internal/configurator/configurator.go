// Package configurator folds the configuration stream of the log into the
// revision in force. The fold is pure and gives the same result on every
// instance, so that racing operators get one winner and one refusal.
package configurator

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Stream is the log stream of the configuration.
const Stream = "configuration"

// maxTrail bounds the audit trail kept in memory.
const maxAuditEntries = 2000

// Verdict is what the fold decided on one revision.
type Decision struct {
	Accepted bool
	// Number is the revision's own number when accepted; otherwise the number
	// that was in force when it was refused.
	Number uint64
}

// Entry is one line of the audit trail.
type AuditEntry struct {
	ID      string
	Number  uint64
	Follows uint64
	// Change holds the differences; whole declarations would fill the memory.
	Change   *schema.Change
	Decision Decision
}

// Fold is the state of the configuration on one instance.
type State struct {
	// logged is the newest revision accepted in log order.
	logged *schema.Revision
	// adopted is the newest revision received from a peer.
	adopted    *schema.Revision
	decisions  map[string]Decision
	auditTrail []AuditEntry
	// copied is when the newest copy of the logged revision was appended.
	lastCopied time.Time
	// incomplete is set when records expired before they were read. A revision
	// then may have lost to one that was not read, so none is accepted until a
	// checkpoint shows which revision won.
	incomplete bool
}

// New returns an empty fold.
func New() *State {
	return &State{decisions: map[string]Decision{}}
}

// Apply folds one record in log order. A revision is accepted only when it
// follows the one before it; a repeated append of one record has the verdict
// of its first copy.
func (f *State) Apply(id string, revision *schema.Revision) Decision {
	if revision.GetCheckpoint() {
		return f.applyCheckpoint(revision)
	}
	if decision, seen := f.decisions[id]; seen {
		return decision
	}
	current := f.logged.GetNumber()
	follows := !f.incomplete && revision.GetFollows() == current && revision.GetNumber() == current+1
	decision := Decision{Accepted: follows, Number: current}
	if follows {
		decision.Number = revision.GetNumber()
		f.logged = proto.CloneOf(revision)
		f.logged.Origin = id
		f.lastCopied = revision.GetCopied().AsTime()
	}
	f.recordDecision(id, revision, decision)
	return decision
}

// Skip tells the fold that records expired before they were read.
func (f *State) MarkGap() { f.incomplete = true }

// applyCheckpoint takes a checkpoint that is ahead of the fold, which happens
// when the records before it have expired. Checkpoints are written only of
// accepted revisions, so one that is ahead is safe to take.
func (f *State) applyCheckpoint(revision *schema.Revision) Decision {
	current := f.logged.GetNumber()
	if revision.GetNumber() < current {
		return Decision{Number: current}
	}
	f.incomplete = false
	if copied := revision.GetCopied().AsTime(); copied.After(f.lastCopied) || revision.GetNumber() > current {
		f.lastCopied = copied
	}
	if revision.GetNumber() > current {
		f.logged = proto.CloneOf(revision)
		f.logged.Checkpoint = false
		f.recordDecision(revision.GetOrigin(), revision, Decision{Accepted: true, Number: revision.GetNumber()})
	}
	return Decision{Accepted: true, Number: revision.GetNumber()}
}

func (f *State) recordDecision(id string, revision *schema.Revision, decision Decision) {
	f.decisions[id] = decision
	f.auditTrail = append(f.auditTrail, AuditEntry{
		ID:       id,
		Number:   revision.GetNumber(),
		Follows:  revision.GetFollows(),
		Change:   revision.GetChange(),
		Decision: decision,
	})
	if len(f.auditTrail) > maxAuditEntries {
		delete(f.decisions, f.auditTrail[0].ID)
		f.auditTrail = f.auditTrail[1:]
	}
}

// Adopt takes a revision in force at a peer; it reports whether it is newer.
func (f *State) AdoptFromPeer(revision *schema.Revision) bool {
	if revision.GetNumber() <= f.Current().GetNumber() {
		return false
	}
	f.adopted = proto.CloneOf(revision)
	return true
}

// Current returns the revision in force, or nil. Its number never goes down.
func (f *State) Current() *schema.Revision {
	if f.adopted.GetNumber() > f.logged.GetNumber() {
		return f.adopted
	}
	return f.logged
}

// Verdict returns the decision on a record; ok is false before it was read.
func (f *State) Decision(id string) (decision Decision, ok bool) {
	decision, ok = f.decisions[id]
	return decision, ok
}

// Trail returns the audit trail, oldest first.
func (f *State) AuditTrail() []AuditEntry { return append([]AuditEntry(nil), f.auditTrail...) }

// Checkpoint returns a copy of the current revision to append, or nil when the
// newest copy in the log is younger than age. Copies of one revision made by
// several instances differ only in their time.
func (f *State) Checkpoint(now time.Time, maxAge time.Duration) *schema.Revision {
	current := f.Current()
	if current == nil {
		return nil
	}
	// A revision known only from a peer is written too: the log may have lost
	// the record while it was down.
	if f.logged.GetNumber() == current.GetNumber() && now.Sub(f.lastCopied) < maxAge {
		return nil
	}
	checkpoint := proto.CloneOf(current)
	checkpoint.Checkpoint = true
	checkpoint.Copied = timestamppb.New(now)
	return checkpoint
}
