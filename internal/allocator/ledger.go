// Package allocator divides limited resources among daemons: each daemon holds an
// allocation of a resource, and the sum of the allocations never exceeds the
// limit, even if daemons are partitioned or messages are lost. A Ledger is the
// state that results from applying the grants in the log; an Allocation is the
// part of a limit that one daemon holds.
package allocator

import (
	"time"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Stream is the log stream of the grants.
const Stream = "grants"

// portion is a part of an allocation that expires at one time.
type portion struct {
	amount    int64
	expiresAt time.Time
}

// resourceState is the limit of one resource and the allocations of its holders.
type resourceState struct {
	limit            int64
	portionsByHolder map[string][]portion
}

// Ledger is the state of all resources after applying the grants in the log. It
// is deterministic: the same records in the same order give the same state. It is
// not safe for concurrent use.
type Ledger struct {
	resources map[string]*resourceState
	// appliedAt maps the id of each recent record to the clock when it was
	// applied.
	appliedAt map[string]time.Time
	// clock is the newest time of any record, so it never goes back.
	clock     time.Time
	lastSweep time.Time
}

// sweepInterval is how often expired state is removed, in record time.
const sweepInterval = 10 * time.Minute

// recordIDRetention is how long the id of an applied record is kept, in record
// time, so that duplicates of the record are ignored.
const recordIDRetention = time.Hour

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{resources: map[string]*resourceState{}, appliedAt: map[string]time.Time{}}
}

// Apply applies one grant record. Records must be applied in log order. It
// returns the amount granted or renewed, which may be less than requested, and
// when that expires. For a release it returns the negated amount. A duplicate
// record changes no allocation and returns 0.
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
	// The lifetime counts from the holder's own time, not from the ledger's clock,
	// so that the holder and the ledger agree on when the portion expires.
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

// Unallocated returns the amount of a resource that no daemon holds. It sets the
// resource's limit.
func (l *Ledger) Unallocated(resource string, limit int64) int64 {
	state := l.resources[resource]
	if state == nil {
		return limit
	}
	state.limit = limit
	return state.unallocated(l.clock)
}

// Allocated returns the sum of a resource's allocations that have not expired.
func (l *Ledger) Allocated(resource string) int64 {
	state := l.resources[resource]
	if state == nil {
		return 0
	}
	return state.allocated(l.clock)
}

// ensureResource returns the state of a resource, which it creates if needed.
func (l *Ledger) ensureResource(name string) *resourceState {
	state := l.resources[name]
	if state == nil {
		state = &resourceState{portionsByHolder: map[string][]portion{}}
		l.resources[name] = state
	}
	return state
}

// sweep removes the ids of old records and the resources without allocations.
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

// allocated returns the sum of the unexpired portions and removes the expired
// ones.
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

// remove removes up to amount from a holder's unexpired portions, the oldest
// first, and returns the amount removed.
func (s *resourceState) remove(holder string, amount int64, now time.Time) int64 {
	s.allocated(now)
	portions, removed := removePortions(s.portionsByHolder[holder], amount)
	s.portionsByHolder[holder] = portions
	return removed
}

// removePortions removes up to amount from the portions, in their order.
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
