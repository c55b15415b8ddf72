// Package orderer sends orders to model engines that state which versions to
// load. One daemon of each zone holds a lease from the log and sends the orders
// of the zone. The offset of the lease in the log, plus one, is the fencing
// number of these orders.
package orderer

import (
	"time"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Stream is the name of the log stream of lease records.
const Stream = "leases"

// Lease is the right to send orders to the workers of a zone.
type Lease struct {
	Holder string
	// FencingNumber increases with each new lease; a renewal keeps it.
	FencingNumber uint64
	// RequestedAt is when the holder requested or last renewed the lease, by the
	// holder's clock.
	RequestedAt time.Time
	Expires     time.Time
	// PreviousExpires is when the previous lease of the zone expired, or zero if
	// there was none.
	PreviousExpires time.Time
}

// LeaseTable is the state of all leases, rebuilt by applying records of the log.
// It is not safe for concurrent use.
type LeaseTable struct {
	leases     map[string]Lease
	appliedIDs map[string]bool
	latestTime time.Time
}

// maxAppliedIDs is the maximum number of record ids kept to drop duplicates.
const maxAppliedIDs = 10_000

// NewLeaseTable returns an empty table.
func NewLeaseTable() *LeaseTable {
	return &LeaseTable{leases: map[string]Lease{}, appliedIDs: map[string]bool{}}
}

// Apply applies one record; records must be applied in log order. A lease is
// granted if its zone has no unexpired one, and renewed if the record is by its
// holder. Expiry is judged by the latest time of any applied record instead of
// the local clock, so that all instances come to the same state.
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

// Lease returns the newest lease of a zone and whether there is one. The lease
// may have expired.
func (t *LeaseTable) Lease(zone string) (Lease, bool) {
	lease, exists := t.leases[zone]
	return lease, exists
}
