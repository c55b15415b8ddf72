// Package claimer decides which daemon can run a non-idempotent request. The
// daemons append claims of the request's key to the log, and the first claim in
// log order wins. A daemon dispatches the request only after it has read its own
// claim back from the log as the winner.
package claimer

import (
	"bytes"
	"time"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Stream is the name of the log stream that contains claims, releases and
// outcomes.
const Stream = "claims"

// Key identifies a request of a client account by its idempotency key.
type Key struct {
	Account string
	Key     string
}

// entry is the state of one key.
type entry struct {
	claimID   string
	holder    string
	digest    []byte
	claimedAt time.Time
	outcome   *schema.Outcome
}

// Table is the state of all keys, rebuilt by replaying the claims stream. It is
// not safe for concurrent use.
type Table struct {
	entries map[Key]*entry
	// released contains the record time of the release, by claim ID.
	released map[string]time.Time
	// window is how long a key is remembered.
	window time.Duration
	// recordTime is the latest time of any applied claim.
	recordTime time.Time
	lastSweep  time.Time
}

// sweepInterval is the interval between removals of expired keys. It is measured
// by the times in the records, not by the local clock.
const sweepInterval = time.Minute

// NewTable returns an empty Table that remembers keys for the window.
func NewTable(window time.Duration) *Table {
	return &Table{entries: map[Key]*entry{}, released: map[string]time.Time{}, window: window}
}

// Apply updates the table with the next record in log order.
func (t *Table) Apply(record *schema.Record) {
	switch body := record.GetBody().(type) {
	case *schema.Record_Claim:
		t.applyClaim(record.GetId(), body.Claim)
	case *schema.Record_Release:
		t.applyRelease(body.Release)
	case *schema.Record_Outcome:
		t.applyOutcome(body.Outcome)
	}
}

func (t *Table) applyClaim(id string, claim *schema.Claim) {
	t.advanceRecordTime(claim.GetTime().AsTime())
	// A duplicate of a claim can be appended after the release of that
	// claim. It must not win again.
	if _, released := t.released[id]; released {
		return
	}
	key := Key{claim.GetAccount(), claim.GetKey()}
	if t.entries[key] != nil {
		return
	}
	t.entries[key] = &entry{claimID: id, holder: claim.GetHolder(), digest: claim.GetDigest(), claimedAt: claim.GetTime().AsTime()}
}

func (t *Table) applyRelease(release *schema.Release) {
	t.released[release.GetClaim()] = t.recordTime
	key := Key{release.GetAccount(), release.GetKey()}
	existing := t.entries[key]
	if existing != nil && existing.claimID == release.GetClaim() && existing.outcome == nil {
		delete(t.entries, key)
	}
}

func (t *Table) applyOutcome(outcome *schema.Outcome) {
	existing := t.entries[Key{outcome.GetAccount(), outcome.GetKey()}]
	if existing != nil && existing.claimID == outcome.GetClaim() && existing.outcome == nil {
		existing.outcome = outcome
	}
}

// advanceRecordTime moves the record time forward and removes expired keys and
// releases once every sweepInterval.
func (t *Table) advanceRecordTime(now time.Time) {
	if now.After(t.recordTime) {
		t.recordTime = now
	}
	if t.recordTime.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = t.recordTime
	for key, existing := range t.entries {
		if t.recordTime.Sub(existing.claimedAt) > t.window {
			delete(t.entries, key)
		}
	}
	for id, releasedAt := range t.released {
		if t.recordTime.Sub(releasedAt) > t.window {
			delete(t.released, id)
		}
	}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.entries) }

// State is the state of a key with respect to one claim and one request.
type State int

// The states of a key.
const (
	// Unclaimed means that no daemon has the right to run the request.
	Unclaimed State = iota
	// Owned means that the given claim won and has no outcome yet.
	Owned
	// Running means that another claim won and has no outcome yet.
	Running
	// Finished means that the request ran and its outcome is recorded. The
	// response is missing from the outcome if it was too large to record.
	Finished
	// OutcomeUnknown means that the request may have run but its response is
	// not known.
	OutcomeUnknown
	// Reused means that the key belongs to a request with different content.
	Reused
)

// LookupResult is the result of Table.Lookup.
type LookupResult struct {
	State State
	// Holder is the daemon whose claim won.
	Holder string
	// Outcome is set in the states Finished and OutcomeUnknown.
	Outcome *schema.Outcome
}

// Lookup returns the state of a key for a request whose content has the given
// digest. The claim ID identifies the claim that the lookup is for; it is empty
// if there is none.
func (t *Table) Lookup(key Key, claimID string, digest []byte) LookupResult {
	existing := t.entries[key]
	switch {
	case existing == nil:
		return LookupResult{State: Unclaimed}
	case !bytes.Equal(existing.digest, digest):
		return LookupResult{State: Reused, Holder: existing.holder}
	case existing.outcome == nil && existing.claimID == claimID:
		return LookupResult{State: Owned, Holder: existing.holder}
	case existing.outcome == nil:
		return LookupResult{State: Running, Holder: existing.holder}
	case existing.outcome.GetUnknown():
		return LookupResult{State: OutcomeUnknown, Holder: existing.holder, Outcome: existing.outcome}
	default:
		return LookupResult{State: Finished, Holder: existing.holder, Outcome: existing.outcome}
	}
}
