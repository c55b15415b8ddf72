// Package claimer decides which daemon may run a request that may not be
// repeated. The first claim of a key in log order wins; a daemon dispatches
// only after it has read its own claim as the winner.
package claimer

import (
	"bytes"
	"time"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Stream is the log stream of claims and outcomes.
const Stream = "claims"

// Key names a request of an account.
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

// Table is the fold of the claims stream. It is not safe for concurrent use.
type Table struct {
	entries  map[Key]*entry
	released map[string]time.Time
	// window is how long a key is remembered.
	window     time.Duration
	recordTime time.Time
	lastSweep  time.Time
}

// sweepInterval is how often expired keys are dropped, in record time.
const sweepInterval = time.Minute

// NewTable returns an empty table that remembers keys for the window.
func NewTable(window time.Duration) *Table {
	return &Table{entries: map[Key]*entry{}, released: map[string]time.Time{}, window: window}
}

// Apply folds one record in log order.
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
	// A copy of a claim can land after its release; it must not win again.
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

// Len returns the number of keys remembered.
func (t *Table) Len() int { return len(t.entries) }

// State is what is known of a key.
type State int

// The states of a key.
const (
	// Unclaimed: nobody has the right to run the request.
	Unclaimed State = iota
	// Mine: the given claim won and has no outcome.
	Owned
	// Running: another claim won and has no outcome.
	Running
	// Finished: the request ran and its answer is known.
	Finished
	// Lost: the request may have run and its answer is not known.
	OutcomeUnknown
	// Reused: the key belongs to another request.
	Reused
)

// Result is what is known of a key.
type LookupResult struct {
	State State
	// Holder is the daemon whose claim won.
	Holder  string
	Outcome *schema.Outcome
}

// Lookup returns what is known of a key to the owner of a claim, which may be
// empty.
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
