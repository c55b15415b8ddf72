package allocator

import (
	"slices"
	"time"
)

// clockMargin is how long before its expiry in the ledger a holder stops using a
// portion. Two holders therefore never use the same amount as long as their clocks
// differ by less than this.
const clockMargin = 30 * time.Second

// Allocation is the part of one resource's limit that one daemon holds. The zero
// value holds nothing. It is not safe for concurrent use.
type Allocation struct {
	portions []portion
	// reserved is the amount that running requests may still consume.
	reserved int64
	// overdrawn is the consumption that the portions did not cover when it was
	// settled. It is deducted from portions that are added later.
	overdrawn int64
}

// Add adds an amount that expires at the given time.
func (a *Allocation) Add(amount int64, expiresAt time.Time) {
	if amount > 0 {
		a.portions = append(a.portions, portion{amount, expiresAt})
	}
}

// Total returns the amount that has not expired, including what is reserved.
func (a *Allocation) Total(now time.Time) int64 {
	a.removeExpired(now)
	var sum int64
	for _, p := range a.portions {
		sum += p.amount
	}
	return sum
}

// Available returns the amount that can still be reserved. It is negative if more
// is reserved or overdrawn than has not expired.
func (a *Allocation) Available(now time.Time) int64 {
	return a.Total(now) - a.reserved - a.overdrawn
}

// Reserve reserves an amount. It reports whether that much was available, and
// reserves nothing if not.
func (a *Allocation) Reserve(amount int64, now time.Time) bool {
	if a.Available(now) < amount {
		return false
	}
	a.reserved += amount
	return true
}

// Settle ends a reservation of the given amount and deducts the amount used, which
// may exceed the reservation.
func (a *Allocation) Settle(reserved, used int64) {
	a.reserved -= reserved
	remaining, removed := removePortions(a.portions, used+a.overdrawn)
	a.portions = remaining
	a.overdrawn = used + a.overdrawn - removed
}

// Release removes up to the given amount that is not reserved. It returns the
// amount removed and the earliest expiry of any portion held.
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

// ExpiringBefore returns the amount that expires before the deadline.
func (a *Allocation) ExpiringBefore(deadline time.Time) int64 {
	var sum int64
	for _, p := range a.portions {
		if p.expiresAt.Before(deadline) {
			sum += p.amount
		}
	}
	return sum
}

// Renew moves up to the given amount to a later expiry.
func (a *Allocation) Renew(amount int64, expiresAt time.Time) {
	a.portions, amount = removePortions(a.portions, amount)
	a.Add(amount, expiresAt)
}

func (a *Allocation) removeExpired(now time.Time) {
	a.portions = slices.DeleteFunc(a.portions, func(p portion) bool {
		return !p.expiresAt.After(now.Add(clockMargin))
	})
}
