// Package router runs an authenticated request: it applies the limits, chooses
// the version and the endpoint, makes the attempts and records the bill.
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

// State provides the snapshots that routing decisions read.
type State interface {
	// Catalog returns the configuration in force, or nil.
	Catalog() *compiler.Catalog
	// Stopped reports whether a version has been stopped.
	Stopped(version *compiler.Version) bool
	// Estimates returns the estimates of the versions' quality, response length
	// and duration.
	Estimates() *estimator.Snapshot
	// Alive reports whether the daemon that holds a claim may still finish it.
	Alive(holder string) bool
}

// PinStore reads and sets the pins of conversations at the daemons that hold
// them.
type PinStore interface {
	// Pin returns the version that a conversation is pinned to. If there is no
	// pin, or if the pinned version equals replaced, it pins the conversation to
	// version, unless version is empty.
	Pin(ctx context.Context, key pinner.Key, version, replaced string) (string, error)
}

// Config holds the dependencies and settings of a router.
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
	// ObserveResponse is called with the number of output tokens and the duration
	// of each complete response.
	ObserveResponse func(version compiler.VersionID, output int, duration time.Duration)
	// Background runs work that outlives its request. The daemon waits for it
	// when it stops.
	Background func(func())
	Seed       uint64
}

// Options turns mechanisms off, for measurements.
type Options struct {
	Picker picker.Options
	// NoHedge turns off hedged requests.
	NoHedge bool
	// NoCascade turns off cascades.
	NoCascade bool
	// NoShadow turns off the copies of requests to new versions.
	NoShadow bool
	// NoAdmission turns off the admission queue, so that every request runs
	// immediately.
	NoAdmission bool
	// Baseline, when set, replaces the planner's choice by a baseline.
	Baseline Baseline
}

// Baseline is a simple way to choose a version, which the planner is measured
// against.
type Baseline int

// The baselines and their absence.
const (
	// BaselineNone uses the planner.
	BaselineNone Baseline = iota
	// BaselineMostExpensive always takes the version with the highest price per
	// output token.
	BaselineMostExpensive
	// BaselineCheapest always takes the version with the lowest price per output
	// token.
	BaselineCheapest
	// BaselineRandom takes a random version, each with the same probability.
	BaselineRandom
)

// Counters holds the event counters of a router.
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

// New returns a router with the given configuration.
func New(config Config) *Router {
	return &Router{config: config, random: newLockedRandom(config.Seed), ratingSampler: newRatingSampler(), shadowLimiter: rate.NewLimiter(shadowsPerSecond, 1)}
}

// Counters returns the router's counters.
func (r *Router) Counters() *Counters { return &r.counters }

// Receipt describes a response to the client: its bill, cost and token counts,
// and the version and the reason for the choice of it.
type Receipt struct {
	BillID  string
	Version compiler.VersionID
	Cost    pricer.Money
	Usage   sender.Usage
	Reason  string
}

// admit applies the account's rate limit and waits in the admission queue. The
// returned function must be called when the request ends.
func (r *Router) admit(ctx context.Context, account *compiler.Account) (release func(), err error) {
	if err := r.config.Limiter.AcquireRate(ctx, account); err != nil {
		return nil, err
	}
	if r.config.Options.NoAdmission {
		return func() {}, nil
	}
	deadline, _ := ctx.Deadline()
	end, err := r.config.Admitter.Admit(ctx, admitter.Request{
		Account:     account.Name,
		Weight:      account.Policy.Weight,
		Priority:    account.Policy.Priority,
		MaxParallel: account.Policy.MaxParallel,
		Deadline:    deadline,
	})
	if err != nil {
		return nil, err
	}
	return func() { end(true) }, nil
}

// pickEndpoint chooses an endpoint of the pool and counts the attempt as in
// flight there. It returns false if no endpoint can be chosen.
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

// recordFailure reports a failed attempt to the watcher. A failure that is not
// the endpoint's fault is reported as neutral.
func (r *Router) recordFailure(endpoint netip.AddrPort, kind classifier.Kind) {
	result := watcher.Result{Failed: true}
	switch kind {
	case classifier.ClientDisconnected, classifier.EndpointRefused, classifier.BadRequest:
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
