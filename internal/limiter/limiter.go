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
	shareLife = 6 * time.Hour
	// renewBefore is how long before its lapse a share is renewed.
	renewBefore = 4 * time.Hour
	// spendLife lets a share of a day's spend be used until after that day.
	spendLife = 30 * time.Hour
	// peopleLife is the life of a share of a roll-out's people.
	peopleLife = 30 * 24 * time.Hour
	// askInterval is the least time between two requests for one resource.
	askInterval = 500 * time.Millisecond
	// peerAfter is how long a request to the log may stay unanswered before
	// peers are asked.
	peerAfter = time.Second
	// usageWindow is the time over which the use of a rate is measured.
	usageWindow = time.Minute
	// maxRateWait bounds how long a request waits for its account's rate.
	maxRateWait = time.Second
	// maxSpendWait bounds how long a request waits for a share of the spend.
	maxSpendWait = 2 * time.Second
	// burst is the time for which an unused rate is saved up.
	burst = 10 * time.Second
	// milli is the number of rate units in one request a second.
	milli = 1000
	// tick is the interval of maintenance.
	tick = 250 * time.Millisecond
)

// sort is the sort of a resource.
type sort int

const (
	sortRate sort = iota
	sortSpend
	sortPeople
)

// resource is this daemon's view of one limited resource.
type resource struct {
	name    string
	sort    sort
	created time.Time
	limit   int64
	wallet  allocator.Wallet
	// tokens are the requests that may start now, for a rate.
	tokens   float64
	refilled time.Time
	// short is set when a request found too little.
	short bool
	// used counts requests since windowStart, for a rate.
	used        int
	windowStart time.Time
	asked       time.Time
	// asking is the record id of the request to the log that is under way.
	asking string
	// clipped is set when the log granted less than was asked for, which means
	// that peers hold the rest.
	clipped bool
	// wanted is the largest amount that a waiting request lacks.
	wanted int64
}

// Peers asks another daemon for a part of its share.
type Peers interface {
	// Transfer returns the amount that some peer gave up, and when it lapses.
	Transfer(ctx context.Context, resource string, amount int64) (int64, time.Time)
}

// Counts are the counters of a limiter.
type Counts struct {
	Asked       uint64
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

	mu        sync.Mutex
	ledger    *allocator.Ledger
	resources map[string]*resource
	daemons   int
	counts    Counts
	// changed is closed when a share arrives.
	changed chan struct{}
	wake    chan struct{}
}

// New returns a limiter. The caller runs its appender, its follower and Run.
func New(holder string, newID func() string, appender *journaler.Appender, log journaler.Log, interval time.Duration, peers Peers) *Limiter {
	l := &Limiter{
		holder:    holder,
		newID:     newID,
		appender:  appender,
		peers:     peers,
		ledger:    allocator.NewLedger(),
		resources: map[string]*resource{},
		daemons:   1,
		changed:   make(chan struct{}),
		wake:      make(chan struct{}, 1),
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
		granted, until := l.ledger.Apply(record.GetId(), grant)
		if grant.GetHolder() == l.holder {
			l.receive(record.GetId(), grant, granted, until)
		}
	}
}

func (l *Limiter) receive(id string, grant *schema.Grant, granted int64, until time.Time) {
	r := l.resources[grant.GetResource()]
	if r == nil {
		return
	}
	if r.asking == id {
		r.asking = ""
		r.clipped = !grant.GetRenew() && granted < grant.GetAmount()
	}
	switch {
	case grant.GetRenew():
		r.wallet.Renewed(granted, until)
	case granted > 0:
		r.wallet.Receive(granted, until)
		l.announce()
	}
}

// announce wakes the requests that wait for a share. The lock is held.
func (l *Limiter) announce() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Configure sets the catalog and the number of live daemons.
func (l *Limiter) Configure(catalog *compiler.Catalog, daemons int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons = max(1, daemons)
	now := time.Now()
	wanted := compiler.Set[string]{}
	for _, account := range catalog.Accounts {
		if account.Policy.Rate > 0 {
			wanted.Add(l.ensure(rateName(account), sortRate, int64(account.Policy.Rate*milli), now).name)
		}
		if account.Policy.Spend > 0 {
			wanted.Add(l.ensure(spendName(account, now), sortSpend, int64(account.Policy.Spend), now).name)
		}
	}
	for _, rollout := range catalog.Rollouts {
		if rollout.Running || rollout.Paused {
			wanted.Add(l.ensure(peopleName(rollout), sortPeople, int64(rollout.People), now).name)
		}
	}
	for name, r := range l.resources {
		// A day's spend is kept until its last requests have settled.
		if !wanted.Has(name) && (r.sort != sortSpend || r.wallet.Total(now) == 0) {
			delete(l.resources, name)
		}
	}
}

// rateName contains the limit, so that a changed limit is a new resource.
func rateName(account *compiler.Account) string {
	return fmt.Sprintf("rate/%s/%d", account.Name, int64(account.Policy.Rate*milli))
}

func spendName(account *compiler.Account, now time.Time) string {
	return "spend/" + account.Name + "/" + now.UTC().Format(time.DateOnly)
}

func peopleName(rollout *compiler.Rollout) string {
	return "people/" + rollout.Name + "/" + rollout.To.String()
}

func (l *Limiter) ensure(name string, sort sort, limit int64, now time.Time) *resource {
	r := l.resources[name]
	if r == nil {
		r = &resource{name: name, sort: sort, created: now, tokens: 1, refilled: now, windowStart: now, short: true}
		l.resources[name] = r
	}
	r.limit = limit
	return r
}

// Start takes one request from an account's rate. It waits when the rate allows
// the request within a moment, and refuses it otherwise.
func (l *Limiter) Start(ctx context.Context, account *compiler.Account) error {
	if account.Policy.Rate <= 0 {
		return nil
	}
	delay, err := l.take(account)
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
func (l *Limiter) take(account *compiler.Account) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r := l.ensure(rateName(account), sortRate, int64(account.Policy.Rate*milli), now)
	share := float64(r.wallet.Total(now)) / milli
	// At least one request is saved up, since a share of a small rate would
	// otherwise never let one through.
	most := max(1, share*burst.Seconds())
	r.tokens = min(most, r.tokens+share*now.Sub(r.refilled).Seconds())
	r.refilled = now
	r.used++
	if r.tokens >= 1 {
		r.tokens--
		return 0, nil
	}
	r.short = true
	delay := time.Second
	if share > 0 {
		delay = time.Duration((1 - r.tokens) / share * float64(time.Second))
	}
	if share > 0 && delay <= maxRateWait {
		r.tokens--
		return delay, nil
	}
	l.counts.Refused++
	return 0, classifier.New(classifier.RateLimited, "the account's rate of %g requests a second is used up here", account.Policy.Rate).WithRetryAfter(delay)
}

// Expose takes one person from the bound of a roll-out.
func (l *Limiter) Expose(rollout *compiler.Rollout) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r := l.ensure(peopleName(rollout), sortPeople, int64(rollout.People), now)
	if !r.wallet.Reserve(1, now) {
		r.short = true
		return false
	}
	r.wallet.Settle(1, 1)
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
	return r.wallet.Give(min(amount, r.wallet.Available(now)/2), now)
}
