package limiter

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Run requests allocations, renews them and releases unused ones until ctx ends.
// It returns the error of ctx.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.wakeup:
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, request := range l.maintain(time.Now()) {
			l.requestFromPeers(ctx, request)
		}
	}
}

// peerRequest is a request to the peers for an amount that the log granted only
// in part or not in time.
type peerRequest struct {
	resource string
	amount   int64
}

// maintain renews, releases and requests allocations through the log. It returns
// the requests for the peers.
func (l *Limiter) maintain(now time.Time) []peerRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests []peerRequest
	for _, r := range l.resources {
		if r.kind == rateResource {
			l.renew(r, now)
			l.releaseUnused(r, now)
		}
		amount := l.shortfall(r, now)
		if amount <= 0 || now.Sub(r.requestedAt) < minRequestInterval {
			continue
		}
		if r.partlyGranted || (r.pendingRecordID != "" && now.Sub(r.requestedAt) > peerRequestDelay) {
			requests = append(requests, peerRequest{r.name, amount})
			r.partlyGranted = false
			r.requestedAt = now
			continue
		}
		if r.pendingRecordID != "" {
			continue
		}
		r.pendingRecordID = l.submitGrant(r, amount, false)
		r.requestedAt = now
		r.insufficient, r.missingAmount = false, 0
		l.counts.Requested++
	}
	return requests
}

// baselineAllocation returns the allocation that each daemon requests before any
// demand. The rest of the limit stays unallocated, so that it can go to the
// daemons that have the demand.
func (l *Limiter) baselineAllocation(r *resource) int64 {
	return max(1, 3*r.limit/int64(4*l.liveDaemons))
}

// shortfall returns the additional amount of a resource to request, or 0.
func (l *Limiter) shortfall(r *resource, now time.Time) int64 {
	baseline := l.baselineAllocation(r)
	available := r.allocation.Available(now)
	if r.kind == rateResource {
		if available < baseline {
			return baseline - available
		}
		if r.insufficient {
			return max(1, available/2)
		}
		return 0
	}
	if available < (baseline+1)/2 || r.insufficient {
		return max(baseline, r.missingAmount)
	}
	return 0
}

// renew requests the renewal of the part of an allocation that expires soon.
func (l *Limiter) renew(r *resource, now time.Time) {
	expiring := r.allocation.ExpiringBefore(now.Add(renewalLead))
	if expiring == 0 || r.pendingRecordID != "" || now.Sub(r.requestedAt) < minRequestInterval {
		return
	}
	r.pendingRecordID = l.submitGrant(r, expiring, true)
	r.requestedAt = now
}

// releaseUnused releases the part of a rate's allocation that the last window did
// not use. It retains at least the baseline and twice the rate that was used.
func (l *Limiter) releaseUnused(r *resource, now time.Time) {
	elapsed := now.Sub(r.windowStart)
	if elapsed < usageWindow {
		return
	}
	usedRate := int64(float64(r.windowRequests) / elapsed.Seconds() * unitsPerRequest)
	r.windowRequests, r.windowStart = 0, now
	total := r.allocation.Total(now)
	retained := max(l.baselineAllocation(r), 2*usedRate)
	if total <= retained+retained/4 {
		return
	}
	if released, _ := r.allocation.Release(total-retained, now); released > 0 {
		l.submitGrant(r, -released, false)
	}
}

// submitGrant submits a grant record to the log and returns its id. A negative
// amount is a release.
func (l *Limiter) submitGrant(r *resource, amount int64, renew bool) string {
	lifetime := rateAllocationLifetime
	switch r.kind {
	case spendResource:
		lifetime = spendAllocationLifetime
	case exposureResource:
		lifetime = exposureAllocationLifetime
	case rateResource:
	}
	id := l.newID()
	l.appender.Submit(&schema.Record{Id: id, Body: &schema.Record_Grant{Grant: &schema.Grant{
		Resource: r.name,
		Holder:   l.holder,
		Amount:   amount,
		Limit:    r.limit,
		Time:     timestamppb.Now(),
		Life:     durationpb.New(lifetime),
		Renew:    renew,
	}}}, amount > 0 && !renew)
	return id
}

// requestFromPeers requests an amount from the peers and adds what they released.
func (l *Limiter) requestFromPeers(ctx context.Context, request peerRequest) {
	amount, expiresAt := l.peers.Transfer(ctx, request.resource, request.amount)
	if amount <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Transferred++
	if r := l.resources[request.resource]; r != nil {
		r.allocation.Add(amount, expiresAt)
		r.insufficient, r.missingAmount = false, 0
		l.notifyWaiters()
	}
}

// initialAllocationTimeout bounds how long a daemon waits for its first
// allocation of a resource.
const initialAllocationTimeout = 4 * time.Second

// Ready reports whether every limited resource has an allocation or has waited
// for one for initialAllocationTimeout. A daemon reports readiness only then.
func (l *Limiter) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, r := range l.resources {
		if r.allocation.Total(now) == 0 && now.Sub(r.createdAt) < initialAllocationTimeout {
			return false
		}
	}
	return true
}

// ReleaseAll releases everything that is not reserved, for a daemon that stops.
func (l *Limiter) ReleaseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, r := range l.resources {
		if released, _ := r.allocation.Release(r.allocation.Available(now), now); released > 0 {
			l.submitGrant(r, -released, false)
		}
	}
}
