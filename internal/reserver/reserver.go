// Package reserver bounds the memory that all requests in progress hold together. Memory is
// reserved before it is used, so that a request that does not fit is refused in time.
package reserver

import "sync"

const (
	// SmallBytes is the size up to which a holder counts as small.
	SmallBytes = 64 << 10
	// largeShare is the share of the budget that holders of more may use. The rest is left
	// for small ones, so that large or slow requests do not keep them out.
	largeShare = 0.75
)

// Budget is an amount of memory that is shared out. It is safe for concurrent use.
type Budget struct {
	total int64
	mu    sync.Mutex
	used  int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(total int64) *Budget { return &Budget{total: total} }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// grow reserves more bytes for a small or large holder. It reports whether there was room.
func (b *Budget) grow(more int64, large bool) bool {
	bound := b.total
	if large {
		bound = int64(largeShare * float64(b.total))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if more > bound-b.used {
		return false
	}
	b.used += more
	return true
}

func (b *Budget) release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}

// Reservation is the memory that one request holds. It is for one goroutine.
type Reservation struct {
	budget   *Budget
	bytes    int64
	optional bool
}

// NewReservation returns a reservation of no bytes.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// NewOptionalReservation returns a reservation of memory that its holder can do without. Of whatever
// size, it gets no more than a large holder would.
func (b *Budget) NewOptionalReservation() *Reservation {
	return &Reservation{budget: b, optional: true}
}

// Grow makes the reservation hold a number of bytes in all. It reports whether there was room;
// otherwise the reservation stays as it is.
func (r *Reservation) Grow(bytes int64) bool {
	if bytes <= r.bytes {
		return true
	}
	if !r.budget.grow(bytes-r.bytes, r.optional || bytes > SmallBytes) {
		return false
	}
	r.bytes = bytes
	return true
}

// Shrink gives back what exceeds a number of bytes.
func (r *Reservation) Shrink(bytes int64) {
	if bytes < r.bytes {
		r.budget.release(r.bytes - bytes)
		r.bytes = bytes
	}
}

// Release gives all bytes back.
func (r *Reservation) Release() { r.Shrink(0) }
