// Package orderer sends orders to model engines: which versions to load. One
// daemon of each zone holds a lease from the log; the offset of the lease is
// the fencing number of its orders.
package orderer

import (
	"time"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Stream is the log stream of leases.
const Stream = "leases"

// Lease is the right to send orders to the workers of a zone.
type Lease struct {
	Holder string
	// Fence is the fencing number: it rises with each new holder.
	FencingNumber uint64
	// Granted is when the holder asked, by the holder's clock.
	RequestedAt time.Time
	Expires     time.Time
	// Before is when the lease before this one lapsed; zero for none.
	PreviousExpires time.Time
}

// Table is the fold of the leases. It is not safe for concurrent use.
type LeaseTable struct {
	leases     map[string]Lease
	appliedIDs map[string]bool
	latestTime time.Time
}

// maxSeen bounds the record ids remembered to drop copies.
const maxAppliedIDs = 10_000

// NewTable returns an empty table.
func NewLeaseTable() *LeaseTable {
	return &LeaseTable{leases: map[string]Lease{}, appliedIDs: map[string]bool{}}
}

// Apply folds one record in log order. A lease is granted when its zone has
// none that is live, and renewed for its holder. The fold's clock is the
// newest time of any record, so all instances decide alike.
func (t *LeaseTable) Apply(id string, offset uint64, lease *schema.Lease) {
	if t.appliedIDs[id] {
		return
	}
	if len(t.appliedIDs) >= maxAppliedIDs {
		clear(t.appliedIDs)
	}
	t.appliedIDs[id] = true
	requestedAt := lease.GetTime().AsTime()
	if requestedAt.After(t.latestTime) {
		t.latestTime = requestedAt
	}
	expires := requestedAt.Add(lease.GetLife().AsDuration())
	current, exists := t.leases[lease.GetZone()]
	live := exists && current.Expires.After(t.latestTime)
	switch {
	case live && current.Holder != lease.GetHolder():
		return
	case live:
		current.RequestedAt, current.Expires = requestedAt, expires
		t.leases[lease.GetZone()] = current
	default:
		t.leases[lease.GetZone()] = Lease{Holder: lease.GetHolder(), FencingNumber: offset + 1, RequestedAt: requestedAt, Expires: expires, PreviousExpires: current.Expires}
	}
}

// Lease returns the newest lease of a zone.
func (t *LeaseTable) Lease(zone string) (Lease, bool) {
	lease, exists := t.leases[zone]
	return lease, exists
}
