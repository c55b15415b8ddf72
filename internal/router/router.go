// Package router takes one authenticated request through its decisions: the
// limits, the version, the endpoint, the attempts, the bill.
package router

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"quetzalgrade.example/quetzalgrade/internal/admitter"
	"quetzalgrade.example/quetzalgrade/internal/assessor"
	"quetzalgrade.example/quetzalgrade/internal/biller"
	"quetzalgrade.example/quetzalgrade/internal/claimer"
	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/estimator"
	"quetzalgrade.example/quetzalgrade/internal/limiter"
	"quetzalgrade.example/quetzalgrade/internal/picker"
	"quetzalgrade.example/quetzalgrade/internal/pinner"
	"quetzalgrade.example/quetzalgrade/internal/pricer"
	"quetzalgrade.example/quetzalgrade/internal/retrier"
	"quetzalgrade.example/quetzalgrade/internal/roller"
	"quetzalgrade.example/quetzalgrade/internal/sender"
	"quetzalgrade.example/quetzalgrade/internal/watcher"
)

// Views are the snapshots that decisions read.
type State interface {
	// Catalog returns the configuration in force, or nil.
	Catalog() *compiler.Catalog
	// Stopped reports whether a version was stopped.
	Stopped(version *compiler.Version) bool
	// Estimates returns what is known of the versions.
	Estimates() *estimator.Snapshot
	// Alive reports whether a daemon that holds a claim may still finish it.
	Alive(holder string) bool
}

// Pins looks up conversations at the daemons that hold their pins.
type PinStore interface {
	// Pin returns the version of a conversation. When there is none, or the one
	// given as replaced, it sets the given one, unless that is empty.
	Pin(ctx context.Context, key pinner.Key, version, replaced string) (string, error)
}

// Parts are what a router works with.
type Config struct {
	Zone        string
	State       State
	Pins        PinStore
	Signer      *pinner.Signer
	Watcher     *watcher.Watcher
	Sender      *sender.Sender
	Admitter    *admitter.Admitter
	Limiter     *limiter.Limiter
	Claimer     *claimer.Claimer
	Biller      *biller.Biller
	RetryBudget *retrier.Budget
	Assessor    *assessor.Assessor
	Roller      *roller.Roller
	Options     Options
	// Observe receives the length and time of each complete answer.
	ObserveResponse func(version compiler.VersionID, output int, duration time.Duration)
	// Background runs work that outlives its request; a stop waits for it.
	Background func(func())
	Seed       uint64
}

// Options switches mechanisms off, for measurements.
type Options struct {
	Picker picker.Options
	// NoHedge turns hedged requests off.
	NoHedge bool
	// NoCascade turns cascades off.
	NoCascade bool
	// NoShadow turns copies of requests to new versions off.
	NoShadow bool
	// NoAdmission lets every request run at once.
	NoAdmission bool
	// Plan, when set, replaces the choice of the plan by a baseline.
	Baseline Baseline
}

// PlanBaseline is a simple choice of version to measure against.
type Baseline int

// The baselines.
const (
	// PlanFull is the full choice.
	BaselineNone Baseline = iota
	// PlanDearest always takes the dearest version.
	BaselineMostExpensive
	// PlanCheapest always takes the cheapest version.
	BaselineCheapest
	// PlanSplit takes each version equally often.
	BaselineRandom
)

// Counts are the counters of a router.
type Counters struct {
	Requests     atomic.Uint64
	Completed    atomic.Uint64
	Failed       atomic.Uint64
	Retries      atomic.Uint64
	Hedges       atomic.Uint64
	Cascades     atomic.Uint64
	Escalations  atomic.Uint64
	ExposedUsers atomic.Uint64
	Replays      atomic.Uint64
	Shadows      atomic.Uint64
}

// Router routes requests. It is safe for concurrent use.
type Router struct {
	config        Config
	random        *lockedRandom
	pickSequence  atomic.Uint64
	counters      Counters
	ratingSampler *ratingSampler
	shadowLimiter *rate.Limiter
}

// New returns a router of the parts.
func New(config Config) *Router {
	return &Router{config: config, random: newLockedRandom(config.Seed), ratingSampler: newRatingSampler(), shadowLimiter: rate.NewLimiter(shadowsPerSecond, 1)}
}

// Counts returns the counters.
func (r *Router) Counters() *Counters { return &r.counters }

// Receipt is what the caller is told of its answer.
type Receipt struct {
	BillID  string
	Version compiler.VersionID
	Cost    pricer.Money
	Usage   sender.Usage
	Reason  string
}

// admit passes the request through the account's rate and the queue.
func (r *Router) admit(ctx context.Context, account *compiler.Account) (release func(), err error) {
	if err := r.config.Limiter.Start(ctx, account); err != nil {
		return nil, err
	}
	if r.config.Options.NoAdmission {
		return func() {}, nil
	}
	deadline, _ := ctx.Deadline()
	return r.config.Admitter.Admit(ctx, admitter.Request{
		Account:  account.Name,
		Weight:   account.Policy.Weight,
		Priority: account.Policy.Priority,
		Parallel: account.Policy.Parallel,
		Deadline: deadline,
	})
}

// pick chooses an endpoint and counts the request on it.
func (r *Router) pickEndpoint(pool []picker.Endpoint, prefixKey uint64, tried []netip.AddrPort) (netip.AddrPort, bool) {
	request := picker.Request{Zone: r.config.Zone, PrefixKey: prefixKey, Tried: tried}
	var chosen picker.Endpoint
	var ok bool
	r.random.withLock(func(random *rand.Rand) {
		chosen, ok = picker.Pick(request, pool, r.config.Options.Picker, r.pickSequence.Add(1), random)
	})
	if !ok {
		return netip.AddrPort{}, false
	}
	r.config.Watcher.Begin(chosen.Address)
	return chosen.Address, true
}

// blame tells the watcher how an attempt failed.
func (r *Router) recordFailure(endpoint netip.AddrPort, kind classifier.Kind) {
	result := watcher.Result{Failed: true}
	switch kind {
	case classifier.CallerGone, classifier.EndpointRefused, classifier.BadRequest:
		result = watcher.Result{Neutral: true}
	default:
	}
	r.config.Watcher.End(endpoint, result)
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}
