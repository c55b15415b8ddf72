// Package limiter enforces limits over all daemons: the request rate and the
// daily spend of an account, and the number of people that a rollout exposes to
// a new version. Each daemon uses only its own allocation of a limit, so neither
// a network partition nor a lost message lets the daemons exceed the limit.
package limiter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/allocator"
	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/journaler"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// rateAllocationLifetime is how long an allocation of a rate may be used
	// without renewal. It bounds the outage of the log during which accounts with
	// a rate limit can still be served.
	rateAllocationLifetime = 6 * time.Hour
	// renewalLead is how long before its expiry an allocation is renewed.
	renewalLead = 4 * time.Hour
	// spendAllocationLifetime lets an allocation of a day's spend be used until
	// after the end of that day.
	spendAllocationLifetime = 30 * time.Hour
	// exposureAllocationLifetime is how long an allocation of a rollout's
	// exposure may be used.
	exposureAllocationLifetime = 30 * 24 * time.Hour
	// minRequestInterval is the minimum time between two requests for an
	// allocation of one resource.
	minRequestInterval = 500 * time.Millisecond
	// peerRequestDelay is how long a request to the log may be pending before the
	// allocation is requested from peers.
	peerRequestDelay = time.Second
	// usageWindow is the minimum time over which the use of a rate is measured.
	usageWindow = time.Minute
	// maxRateWait bounds how long a request waits for a token of its account's
	// rate.
	maxRateWait = time.Second
	// maxSpendWait bounds how long a request waits for an allocation of its
	// account's spend.
	maxSpendWait = 2 * time.Second
	// burstWindow is the time for which tokens of an unused rate accumulate.
	burstWindow = 10 * time.Second
	// unitsPerRequest is the number of allocation units that stand for a rate of
	// one request per second.
	unitsPerRequest = 1000
	// maintenanceInterval is the time between two maintenance runs.
	maintenanceInterval = 250 * time.Millisecond
)

// resourceKind is the kind of a limited resource. It determines the unit of its
// allocations.
type resourceKind int

const (
	// rateResource is a request rate, in thousandths of a request per second.
	rateResource resourceKind = iota
	// spendResource is the spend of one day, in units of pricer.Money.
	spendResource
	// exposureResource is a number of people that a rollout exposes.
	exposureResource
)

// resource is this daemon's state of one limited resource.
type resource struct {
	name       string
	kind       resourceKind
	createdAt  time.Time
	limit      int64
	allocation allocator.Allocation
	// tokens is the number of requests that may start now; only for a rate. It is
	// negative while requests wait for tokens that they have already taken.
	tokens     float64
	refilledAt time.Time
	// insufficient is set when the allocation did not cover a request.
	insufficient bool
	// windowRequests counts requests since windowStart; only for a rate.
	windowRequests int
	windowStart    time.Time
	// requestedAt is when an allocation was last requested from the log or from
	// peers.
	requestedAt time.Time
	// pendingRecordID is the id of the pending grant record; empty for none.
	pendingRecordID string
	// partlyGranted is set when less was granted than requested, which means that
	// peers hold the rest.
	partlyGranted bool
	// missingAmount is the largest amount by which the allocation fell short of a
	// waiting request.
	missingAmount int64
}

// Peers requests parts of other daemons' allocations.
type Peers interface {
	// Transfer returns the amount that a peer released to this daemon, and when
	// it expires. The amount is 0 if no peer released any.
	Transfer(ctx context.Context, resource string, amount int64) (int64, time.Time)
}

// Counts holds the counters of a limiter.
type Counts struct {
	// Requested counts the allocations requested from the log, without renewals.
	Requested uint64
	// Transferred counts the allocations received from peers.
	Transferred uint64
	// Refused counts the requests refused for lack of an allocation.
	Refused uint64
}

// Limiter holds the allocations of one daemon. It is safe for concurrent use.
type Limiter struct {
	holder   string
	newID    func() string
	appender *journaler.Appender
	follower *journaler.Follower
	peers    Peers

	mu          sync.Mutex
	ledger      *allocator.Ledger
	resources   map[string]*resource
	liveDaemons int
	counts      Counts
	// allocationAdded is closed and replaced when an allocation is added.
	allocationAdded chan struct{}
	// wakeup starts a maintenance run before the next interval.
	wakeup chan struct{}
}

// New returns a limiter for the daemon with the given holder id. The follower
// reads the log at the given interval. The caller runs the appender, the follower
// and Run.
func New(holder string, newID func() string, appender *journaler.Appender, log journaler.Log, interval time.Duration, peers Peers) *Limiter {
	l := &Limiter{
		holder:          holder,
		newID:           newID,
		appender:        appender,
		peers:           peers,
		ledger:          allocator.NewLedger(),
		resources:       map[string]*resource{},
		liveDaemons:     1,
		allocationAdded: make(chan struct{}),
		wakeup:          make(chan struct{}, 1),
	}
	l.follower = journaler.NewFollower(log, allocator.Stream, interval, l.apply)
	return l
}

// Follower returns the follower of the stream of grants.
func (l *Limiter) Follower() *journaler.Follower { return l.follower }

// Counts returns a copy of the counters.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// apply applies records of the log to the ledger and handles this daemon's own
// grants.
func (l *Limiter) apply(_ uint64, records []*schema.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range records {
		grant := record.GetGrant()
		if grant == nil {
			continue
		}
		granted, expiresAt := l.ledger.Apply(record.GetId(), grant)
		if grant.GetHolder() == l.holder {
			l.handleGrant(record.GetId(), grant, granted, expiresAt)
		}
	}
}

// handleGrant adds a grant of this daemon to its allocation, or renews a part of
// the allocation. The lock is held.
func (l *Limiter) handleGrant(id string, grant *schema.Grant, granted int64, expiresAt time.Time) {
	r := l.resources[grant.GetResource()]
	if r == nil {
		return
	}
	if r.pendingRecordID == id {
		r.pendingRecordID = ""
		r.partlyGranted = !grant.GetRenew() && granted < grant.GetAmount()
	}
	switch {
	case grant.GetRenew():
		r.allocation.Renew(granted, expiresAt)
	case granted > 0:
		r.allocation.Add(granted, expiresAt)
		l.notifyWaiters()
	}
}

// notifyWaiters wakes the requests that wait for an allocation. The lock is held.
func (l *Limiter) notifyWaiters() {
	close(l.allocationAdded)
	l.allocationAdded = make(chan struct{})
}

// Configure sets the limits of the catalog and the number of live daemons.
func (l *Limiter) Configure(catalog *compiler.Catalog, liveDaemons int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.liveDaemons = max(1, liveDaemons)
	now := time.Now()
	configured := compiler.Set[string]{}
	for _, account := range catalog.Accounts {
		if account.Policy.RequestRate > 0 {
			configured.Add(l.ensureResource(rateResourceName(account), rateResource, int64(account.Policy.RequestRate*unitsPerRequest), now).name)
		}
		if account.Policy.DailySpend > 0 {
			configured.Add(l.ensureResource(spendResourceName(account, now), spendResource, int64(account.Policy.DailySpend), now).name)
		}
	}
	for _, rollout := range catalog.Rollouts {
		if rollout.Running || rollout.Paused {
			configured.Add(l.ensureResource(exposureResourceName(rollout), exposureResource, int64(rollout.MaxPeople), now).name)
		}
	}
	for name, r := range l.resources {
		// The spend of a past day is kept until its allocation is used up or has
		// expired, so that the last requests of the day can settle.
		if !configured.Has(name) && (r.kind != spendResource || r.allocation.Total(now) == 0) {
			delete(l.resources, name)
		}
	}
}

// rateResourceName returns the name of an account's rate. It contains the limit,
// so that a changed limit is a new resource.
func rateResourceName(account *compiler.Account) string {
	return fmt.Sprintf("rate/%s/%d", account.Name, int64(account.Policy.RequestRate*unitsPerRequest))
}

// spendResourceName returns the name of an account's spend of the current day in
// UTC.
func spendResourceName(account *compiler.Account, now time.Time) string {
	return "spend/" + account.Name + "/" + now.UTC().Format(time.DateOnly)
}

// exposureResourceName returns the name of the exposure of a rollout's new
// version.
func exposureResourceName(rollout *compiler.Rollout) string {
	return "people/" + rollout.Name + "/" + rollout.To.String()
}

// ensureResource returns the resource with the name, which it creates if needed,
// and sets its limit. The lock is held.
func (l *Limiter) ensureResource(name string, kind resourceKind, limit int64, now time.Time) *resource {
	r := l.resources[name]
	if r == nil {
		r = &resource{name: name, kind: kind, createdAt: now, tokens: 1, refilledAt: now, windowStart: now, insufficient: true}
		l.resources[name] = r
	}
	r.limit = limit
	return r
}

// AcquireRate takes one token of an account's rate. If a token will be available
// within maxRateWait, it waits for it. Otherwise it refuses the request with a
// *classifier.Error of kind RateLimited.
func (l *Limiter) AcquireRate(ctx context.Context, account *compiler.Account) error {
	if account.Policy.RequestRate <= 0 {
		return nil
	}
	delay, err := l.takeToken(account)
	if err != nil || delay == 0 {
		return err
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return classifier.New(classifier.RateLimited, "the request was cancelled or reached its deadline while it waited for the account's rate limit")
	}
}

// takeToken takes one token and returns how long the request must wait for it.
func (l *Limiter) takeToken(account *compiler.Account) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r := l.ensureResource(rateResourceName(account), rateResource, int64(account.Policy.RequestRate*unitsPerRequest), now)
	allocatedRate := float64(r.allocation.Total(now)) / unitsPerRequest
	// At least one token accumulates, since an allocation of a low rate would
	// otherwise never admit a request.
	maxTokens := max(1, allocatedRate*burstWindow.Seconds())
	r.tokens = min(maxTokens, r.tokens+allocatedRate*now.Sub(r.refilledAt).Seconds())
	r.refilledAt = now
	r.windowRequests++
	if r.tokens >= 1 {
		r.tokens--
		return 0, nil
	}
	r.insufficient = true
	delay := time.Second
	if allocatedRate > 0 {
		delay = time.Duration((1 - r.tokens) / allocatedRate * float64(time.Second))
	}
	if allocatedRate > 0 && delay <= maxRateWait {
		r.tokens--
		return delay, nil
	}
	l.counts.Refused++
	return 0, classifier.New(classifier.RateLimited, "this instance has used up its allocation of the account's rate limit of %g requests per second", account.Policy.RequestRate).WithRetryAfter(delay)
}

// AcquireExposure takes one person from the exposure limit of a rollout. It
// reports whether this daemon's allocation covered it.
func (l *Limiter) AcquireExposure(rollout *compiler.Rollout) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r := l.ensureResource(exposureResourceName(rollout), exposureResource, int64(rollout.MaxPeople), now)
	if !r.allocation.Reserve(1, now) {
		r.insufficient = true
		return false
	}
	r.allocation.Settle(1, 1)
	return true
}

// Transfer releases up to the amount of a resource to a peer, but at most half
// of what is available in this daemon's allocation. It returns the amount
// released and when that expires.
func (l *Limiter) Transfer(name string, amount int64) (int64, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.resources[name]
	if r == nil {
		return 0, time.Time{}
	}
	now := time.Now()
	return r.allocation.Release(min(amount, r.allocation.Available(now)/2), now)
}
