// Package limiter keeps an account's rate and spend, and the people a roll-out
// exposes, within their limits over all daemons. Each daemon uses only its own
// share, so no split of the daemons and no lost message can exceed a limit.
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
	// shareLife is how long a share of a rate may be used without renewal; it
	// bounds the outage of the log that limited accounts can be served through.
	rateAllocationLifetime = 6 * time.Hour
	// renewBefore is how long before its lapse a share is renewed.
	renewalLead = 4 * time.Hour
	// spendLife lets a share of a day's spend be used until after that day.
	spendAllocationLifetime = 30 * time.Hour
	// peopleLife is the life of a share of a roll-out's people.
	exposureAllocationLifetime = 30 * 24 * time.Hour
	// askInterval is the least time between two requests for one resource.
	minRequestInterval = 500 * time.Millisecond
	// peerAfter is how long a request to the log may stay unanswered before
	// peers are asked.
	peerRequestDelay = time.Second
	// usageWindow is the time over which the use of a rate is measured.
	usageWindow = time.Minute
	// maxRateWait bounds how long a request waits for its account's rate.
	maxRateWait = time.Second
	// maxSpendWait bounds how long a request waits for a share of the spend.
	maxSpendWait = 2 * time.Second
	// burst is the time for which an unused rate is saved up.
	burstWindow = 10 * time.Second
	// milli is the number of rate units in one request a second.
	unitsPerRequest = 1000
	// tick is the interval of maintenance.
	maintenanceInterval = 250 * time.Millisecond
)

// sort is the sort of a resource.
type resourceKind int

const (
	rateResource resourceKind = iota
	spendResource
	exposureResource
)

// resource is this daemon's view of one limited resource.
type resource struct {
	name       string
	kind       resourceKind
	createdAt  time.Time
	limit      int64
	allocation allocator.Allocation
	// tokens are the requests that may start now, for a rate.
	tokens     float64
	refilledAt time.Time
	// short is set when a request found too little.
	insufficient bool
	// used counts requests since windowStart, for a rate.
	windowRequests int
	windowStart    time.Time
	requestedAt    time.Time
	// asking is the record id of the request to the log that is under way.
	pendingRecordID string
	// clipped is set when the log granted less than was asked for, which means
	// that peers hold the rest.
	partlyGranted bool
	// wanted is the largest amount that a waiting request lacks.
	missingAmount int64
}

// Peers asks another daemon for a part of its share.
type Peers interface {
	// Transfer returns the amount that some peer gave up, and when it lapses.
	Transfer(ctx context.Context, resource string, amount int64) (int64, time.Time)
}

// Counts are the counters of a limiter.
type Counts struct {
	Requested   uint64
	Transferred uint64
	Refused     uint64
}

// Limiter holds the shares of one daemon. It is safe for concurrent use.
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
	// changed is closed when a share arrives.
	allocationAdded chan struct{}
	wakeup          chan struct{}
}

// New returns a limiter. The caller runs its appender, its follower and Run.
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

// Follower returns the follower of the grants stream.
func (l *Limiter) Follower() *journaler.Follower { return l.follower }

// Counts returns the counters.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

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

// announce wakes the requests that wait for a share. The lock is held.
func (l *Limiter) notifyWaiters() {
	close(l.allocationAdded)
	l.allocationAdded = make(chan struct{})
}

// Configure sets the catalog and the number of live daemons.
func (l *Limiter) Configure(catalog *compiler.Catalog, liveDaemons int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.liveDaemons = max(1, liveDaemons)
	now := time.Now()
	configured := compiler.Set[string]{}
	for _, account := range catalog.Accounts {
		if account.Policy.Rate > 0 {
			configured.Add(l.ensureResource(rateResourceName(account), rateResource, int64(account.Policy.Rate*unitsPerRequest), now).name)
		}
		if account.Policy.Spend > 0 {
			configured.Add(l.ensureResource(spendResourceName(account, now), spendResource, int64(account.Policy.Spend), now).name)
		}
	}
	for _, rollout := range catalog.Rollouts {
		if rollout.Running || rollout.Paused {
			configured.Add(l.ensureResource(exposureResourceName(rollout), exposureResource, int64(rollout.People), now).name)
		}
	}
	for name, r := range l.resources {
		// A day's spend is kept until its last requests have settled.
		if !configured.Has(name) && (r.kind != spendResource || r.allocation.Total(now) == 0) {
			delete(l.resources, name)
		}
	}
}

// rateName contains the limit, so that a changed limit is a new resource.
func rateResourceName(account *compiler.Account) string {
	return fmt.Sprintf("rate/%s/%d", account.Name, int64(account.Policy.Rate*unitsPerRequest))
}

func spendResourceName(account *compiler.Account, now time.Time) string {
	return "spend/" + account.Name + "/" + now.UTC().Format(time.DateOnly)
}

func exposureResourceName(rollout *compiler.Rollout) string {
	return "people/" + rollout.Name + "/" + rollout.To.String()
}

func (l *Limiter) ensureResource(name string, kind resourceKind, limit int64, now time.Time) *resource {
	r := l.resources[name]
	if r == nil {
		r = &resource{name: name, kind: kind, createdAt: now, tokens: 1, refilledAt: now, windowStart: now, insufficient: true}
		l.resources[name] = r
	}
	r.limit = limit
	return r
}

// Start takes one request from an account's rate. It waits when the rate allows
// the request within a moment, and refuses it otherwise.
func (l *Limiter) AcquireRate(ctx context.Context, account *compiler.Account) error {
	if account.Policy.Rate <= 0 {
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
		return classifier.New(classifier.RateLimited, "the request ended while it waited for the account's rate")
	}
}

// take returns how long the request must wait for its token.
func (l *Limiter) takeToken(account *compiler.Account) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r := l.ensureResource(rateResourceName(account), rateResource, int64(account.Policy.Rate*unitsPerRequest), now)
	allocatedRate := float64(r.allocation.Total(now)) / unitsPerRequest
	// At least one request is saved up, since a share of a small rate would
	// otherwise never let one through.
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
	return 0, classifier.New(classifier.RateLimited, "the account's rate of %g requests a second is used up here", account.Policy.Rate).After(delay)
}

// Expose takes one person from the bound of a roll-out.
func (l *Limiter) AcquireExposure(rollout *compiler.Rollout) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r := l.ensureResource(exposureResourceName(rollout), exposureResource, int64(rollout.People), now)
	if !r.allocation.Reserve(1, now) {
		r.insufficient = true
		return false
	}
	r.allocation.Settle(1, 1)
	return true
}

// Transfer gives up to the amount of a resource to a peer, but no more than
// half of what is free here.
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
