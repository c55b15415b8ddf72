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
type Views interface {
	// Catalog returns the configuration in force, or nil.
	Catalog() *compiler.Catalog
	// Stopped reports whether a version was stopped.
	Stopped(version *compiler.Version) bool
	// Estimates returns what is known of the versions.
	Estimates() *estimator.View
	// Alive reports whether a daemon that holds a claim may still finish it.
	Alive(holder string) bool
}

// Pins looks up conversations at the daemons that hold their pins.
type Pins interface {
	// Pin returns the version of a conversation. When there is none, or the one
	// given as replaced, it sets the given one, unless that is empty.
	Pin(ctx context.Context, key pinner.Key, version, replaced string) (string, error)
}

// Parts are what a router works with.
type Parts struct {
	Zone     string
	Views    Views
	Pins     Pins
	Signer   *pinner.Signer
	Watcher  *watcher.Watcher
	Sender   *sender.Sender
	Admitter *admitter.Admitter
	Limiter  *limiter.Limiter
	Claimer  *claimer.Claimer
	Biller   *biller.Biller
	Budget   *retrier.Budget
	Assessor *assessor.Assessor
	Roller   *roller.Roller
	Options  Options
	// Observe receives the length and time of each complete answer.
	Observe func(version compiler.VersionID, output int, took time.Duration)
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
	Plan PlanBaseline
}

// PlanBaseline is a simple choice of version to measure against.
type PlanBaseline int

// The baselines.
const (
	// PlanFull is the full choice.
	PlanFull PlanBaseline = iota
	// PlanDearest always takes the dearest version.
	PlanDearest
	// PlanCheapest always takes the cheapest version.
	PlanCheapest
	// PlanSplit takes each version equally often.
	PlanSplit
)

// Counts are the counters of a router.
type Counts struct {
	Requests    atomic.Uint64
	Answered    atomic.Uint64
	Failed      atomic.Uint64
	Retries     atomic.Uint64
	Hedges      atomic.Uint64
	Cascades    atomic.Uint64
	Escalations atomic.Uint64
	Exposed     atomic.Uint64
	Replays     atomic.Uint64
	Shadows     atomic.Uint64
}

// Router routes requests. It is safe for concurrent use.
type Router struct {
	parts   Parts
	random  *lockedRandom
	turn    atomic.Uint64
	counts  Counts
	ratings *sampler
	shadows *rate.Limiter
}

// New returns a router of the parts.
func New(parts Parts) *Router {
	return &Router{parts: parts, random: newLockedRandom(parts.Seed), ratings: newSampler(), shadows: rate.NewLimiter(shadowRate, 1)}
}

// Counts returns the counters.
func (r *Router) Counts() *Counts { return &r.counts }

// Receipt is what the caller is told of its answer.
type Receipt struct {
	Bill    string
	Version compiler.VersionID
	Cost    pricer.Money
	Usage   sender.Usage
	Reason  string
}

// admit passes the request through the account's rate and the queue.
func (r *Router) admit(ctx context.Context, account *compiler.Account) (end func(), err error) {
	if err := r.parts.Limiter.AcquireRate(ctx, account); err != nil {
		return nil, err
	}
	if r.parts.Options.NoAdmission {
		return func() {}, nil
	}
	deadline, _ := ctx.Deadline()
	return r.parts.Admitter.Admit(ctx, admitter.Request{
		Account:     account.Name,
		Weight:      account.Policy.Weight,
		Priority:    account.Policy.Priority,
		MaxParallel: account.Policy.MaxParallel,
		Deadline:    deadline,
	})
}

// pick chooses an endpoint and counts the request on it.
func (r *Router) pick(pool []picker.Endpoint, prefix uint64, tried []netip.AddrPort) (netip.AddrPort, bool) {
	request := picker.Request{Zone: r.parts.Zone, PrefixKey: prefix, Tried: tried}
	var chosen picker.Endpoint
	var ok bool
	r.random.use(func(random *rand.Rand) {
		chosen, ok = picker.Pick(request, pool, r.parts.Options.Picker, r.turn.Add(1), random)
	})
	if !ok {
		return netip.AddrPort{}, false
	}
	r.parts.Watcher.Begin(chosen.Address)
	return chosen.Address, true
}

// blame tells the watcher how an attempt failed.
func (r *Router) blame(endpoint netip.AddrPort, kind classifier.Kind) {
	result := watcher.Result{Failed: true}
	switch kind {
	case classifier.ClientDisconnected, classifier.EndpointRefused, classifier.BadRequest:
		result = watcher.Result{Neutral: true}
	default:
	}
	r.parts.Watcher.End(endpoint, result)
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}
