package tracker

import "time"

const (
	// minUnreachableEndpoints is the number of endpoints of a zone that must be
	// unreachable, without a response from any endpoint of the zone in between,
	// before the zone counts as partitioned.
	minUnreachableEndpoints = 2
	// partitionRetryInterval is the time without requests to a partitioned zone
	// before a single request is sent there to probe it.
	partitionRetryInterval = 1200 * time.Millisecond
)

// reachability is the state of the network path to a zone.
type reachability struct {
	// unreachableEndpoints holds the ids of the endpoints that were unreachable
	// since the last response from the zone.
	unreachableEndpoints map[string]bool
	blockedUntil         time.Time
	// partitioned stays set until a response arrives from the zone.
	partitioned bool
}

// recordFailure records an unreachable endpoint. It reports whether the zone has
// thereby become partitioned.
func (r *reachability) recordFailure(endpointID string, now time.Time) bool {
	if r.unreachableEndpoints == nil {
		r.unreachableEndpoints = map[string]bool{}
	}
	r.unreachableEndpoints[endpointID] = true
	if len(r.unreachableEndpoints) < minUnreachableEndpoints {
		return false
	}
	changed := !r.partitioned
	r.partitioned = true
	r.blockedUntil = now.Add(partitionRetryInterval)
	return changed
}

// recordResponse records a response from the zone, which ends a partition.
func (r *reachability) recordResponse() {
	r.partitioned = false
	clear(r.unreachableEndpoints)
}

// blocked reports whether the zone gets no requests at the time.
func (r *reachability) blocked(now time.Time) bool {
	return r.partitioned && now.Before(r.blockedUntil)
}

// recordPick records that a request is sent to the zone. While the zone is
// partitioned, this blocks it for another interval, so that one request at a
// time probes it.
func (r *reachability) recordPick(now time.Time) {
	if r.partitioned && !now.Before(r.blockedUntil) {
		r.blockedUntil = now.Add(partitionRetryInterval)
	}
}
