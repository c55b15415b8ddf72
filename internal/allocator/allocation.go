package allocator

import (
	"slices"
	"time"
)

// clockMargin is how much earlier than the ledger a holder stops using a
// share, so that clocks that differ by less cannot make two holders use it.
const clockMargin = 30 * time.Second

// Wallet holds one daemon's shares of one resource. It is not safe for
// concurrent use.
type Allocation struct {
	portions []portion
	// reserved is what running requests may still consume.
	reserved int64
	// overdrawn is consumption that exceeded its reservation.
	overdrawn int64
}

// Receive adds a share.
func (a *Allocation) Add(amount int64, expiresAt time.Time) {
	if amount > 0 {
		a.portions = append(a.portions, portion{amount, expiresAt})
	}
}

// Total returns the shares that have not lapsed.
func (a *Allocation) Total(now time.Time) int64 {
	a.removeExpired(now)
	var sum int64
	for _, p := range a.portions {
		sum += p.amount
	}
	return sum
}

// Available returns what may still be reserved.
func (a *Allocation) Available(now time.Time) int64 {
	return a.Total(now) - a.reserved - a.overdrawn
}

// Reserve sets an amount aside; it reports whether that much was available.
func (a *Allocation) Reserve(amount int64, now time.Time) bool {
	if a.Available(now) < amount {
		return false
	}
	a.reserved += amount
	return true
}

// Settle ends a reservation and consumes the amount that was used.
func (a *Allocation) Settle(reserved, used int64) {
	a.reserved -= reserved
	remaining, removed := removePortions(a.portions, used+a.overdrawn)
	a.portions = remaining
	a.overdrawn = used + a.overdrawn - removed
}

// Give removes up to amount that is not reserved, and returns what it removed
// and when that lapses.
func (a *Allocation) Release(amount int64, now time.Time) (released int64, expiresAt time.Time) {
	amount = min(amount, a.Available(now))
	if amount <= 0 {
		return 0, time.Time{}
	}
	expiresAt = a.portions[0].expiresAt
	for _, p := range a.portions {
		if p.expiresAt.Before(expiresAt) {
			expiresAt = p.expiresAt
		}
	}
	a.portions, released = removePortions(a.portions, amount)
	return released, expiresAt
}

// Lapsing returns the amount that lapses before the time.
func (a *Allocation) ExpiringBefore(deadline time.Time) int64 {
	var sum int64
	for _, p := range a.portions {
		if p.expiresAt.Before(deadline) {
			sum += p.amount
		}
	}
	return sum
}

// Renewed moves an amount to a later lapse.
func (a *Allocation) Renew(amount int64, expiresAt time.Time) {
	a.portions, amount = removePortions(a.portions, amount)
	a.Add(amount, expiresAt)
}

func (a *Allocation) removeExpired(now time.Time) {
	a.portions = slices.DeleteFunc(a.portions, func(p portion) bool {
		return !p.expiresAt.After(now.Add(clockMargin))
	})
}
