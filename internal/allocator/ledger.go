// Package allocator shares out limited resources among daemons by escrow: the
// sum of the shares held never exceeds the limit, whatever is cut off or lost.
// The ledger is the pure fold of the grants in the log; the wallet is what one
// daemon holds.
package allocator

import (
	"time"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Stream is the log stream of the grants.
const Stream = "grants"

// piece is a share that lapses at one time.
type portion struct {
	amount    int64
	expiresAt time.Time
}

// account is the state of one resource.
type resourceState struct {
	limit            int64
	portionsByHolder map[string][]portion
}

// Ledger is the fold of all grants.
type Ledger struct {
	resources map[string]*resourceState
	appliedAt map[string]time.Time
	// clock is the newest time of any record; a record cannot turn it back.
	clock     time.Time
	lastSweep time.Time
}

// sweepInterval is how often lapsed state is dropped, in record time.
const sweepInterval = 10 * time.Minute

// seenLife is how long the id of a record is remembered to drop its copies.
const recordIDRetention = time.Hour

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{resources: map[string]*resourceState{}, appliedAt: map[string]time.Time{}}
}

// Apply folds one record in log order and returns the amount that the holder
// got, which may be less than it asked for, and when that lapses. A repeated
// record changes nothing.
func (l *Ledger) Apply(id string, grant *schema.Grant) (granted int64, expiresAt time.Time) {
	if at := grant.GetTime().AsTime(); at.After(l.clock) {
		l.clock = at
	}
	l.sweep()
	if _, repeated := l.appliedAt[id]; repeated {
		return 0, time.Time{}
	}
	l.appliedAt[id] = l.clock
	state := l.ensureResource(grant.GetResource())
	state.limit = grant.GetLimit()
	// The share's life counts from the holder's own time, not from the fold's
	// clock, so that the holder and the fold agree on when it lapses.
	expiresAt = grant.GetTime().AsTime().Add(grant.GetLife().AsDuration())
	holder := grant.GetHolder()
	switch {
	case grant.GetAmount() < 0:
		return -state.remove(holder, -grant.GetAmount(), l.clock), expiresAt
	case grant.GetRenew():
		granted = state.remove(holder, grant.GetAmount(), l.clock)
	default:
		granted = min(grant.GetAmount(), state.unallocated(l.clock))
	}
	if granted > 0 && expiresAt.After(l.clock) {
		state.portionsByHolder[holder] = append(state.portionsByHolder[holder], portion{granted, expiresAt})
		return granted, expiresAt
	}
	return 0, expiresAt
}

// Free returns what of a resource is held by nobody.
func (l *Ledger) Unallocated(resource string, limit int64) int64 {
	state := l.resources[resource]
	if state == nil {
		return limit
	}
	state.limit = limit
	return state.unallocated(l.clock)
}

// Held returns the sum of a resource's shares that have not lapsed.
func (l *Ledger) Allocated(resource string) int64 {
	state := l.resources[resource]
	if state == nil {
		return 0
	}
	return state.allocated(l.clock)
}

func (l *Ledger) ensureResource(name string) *resourceState {
	state := l.resources[name]
	if state == nil {
		state = &resourceState{portionsByHolder: map[string][]portion{}}
		l.resources[name] = state
	}
	return state
}

func (l *Ledger) sweep() {
	if l.clock.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = l.clock
	for id, at := range l.appliedAt {
		if l.clock.Sub(at) > recordIDRetention {
			delete(l.appliedAt, id)
		}
	}
	for name, state := range l.resources {
		if state.allocated(l.clock) == 0 {
			delete(l.resources, name)
		}
	}
}

func (s *resourceState) unallocated(now time.Time) int64 { return max(0, s.limit-s.allocated(now)) }

func (s *resourceState) allocated(now time.Time) int64 {
	var sum int64
	for holder, portions := range s.portionsByHolder {
		unexpired := portions[:0]
		for _, p := range portions {
			if p.expiresAt.After(now) {
				unexpired = append(unexpired, p)
				sum += p.amount
			}
		}
		s.portionsByHolder[holder] = unexpired
		if len(unexpired) == 0 {
			delete(s.portionsByHolder, holder)
		}
	}
	return sum
}

// take removes up to amount from a holder's live pieces, oldest first, and
// returns what it removed.
func (s *resourceState) remove(holder string, amount int64, now time.Time) int64 {
	s.allocated(now)
	portions, removed := removePortions(s.portionsByHolder[holder], amount)
	s.portionsByHolder[holder] = portions
	return removed
}

// takePieces removes up to amount from the pieces, first ones first.
func removePortions(portions []portion, amount int64) (remaining []portion, removed int64) {
	for _, p := range portions {
		deducted := min(p.amount, amount-removed)
		removed += deducted
		if p.amount -= deducted; p.amount > 0 {
			remaining = append(remaining, p)
		}
	}
	return remaining, removed
}
