package limiter

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Run asks for shares, renews them and gives back what is not used, until ctx
// ends.
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

// need is a share that the log did not grant in time.
type peerRequest struct {
	resource string
	amount   int64
}

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

// baseline is the share that each daemon asks for before any demand. A part of
// the limit is left to move to where the demand is.
func (l *Limiter) baselineAllocation(r *resource) int64 {
	return max(1, 3*r.limit/int64(4*l.liveDaemons))
}

// shortfall returns how much more of a resource to ask for.
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

// renew extends the shares that lapse soon.
func (l *Limiter) renew(r *resource, now time.Time) {
	expiring := r.allocation.ExpiringBefore(now.Add(renewalLead))
	if expiring == 0 || r.pendingRecordID != "" || now.Sub(r.requestedAt) < minRequestInterval {
		return
	}
	r.pendingRecordID = l.submitGrant(r, expiring, true)
	r.requestedAt = now
}

// giveBack returns what the last window did not use.
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

// supplyTime bounds how long a daemon waits for its first shares.
const initialAllocationTimeout = 4 * time.Second

// Supplied reports whether every limited resource has some share, which a
// daemon awaits for a while before it calls itself ready.
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

// GiveAll returns all shares, for a daemon that stops.
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
