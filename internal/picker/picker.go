// Package picker chooses the endpoint of a request among those that serve its
// version. It is pure: views, time and randomness are arguments.
package picker

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is the view of one endpoint.
type Endpoint struct {
	Address netip.AddrPort
	Zone    string
	Slots   int
	// Load is the number of requests running and queued: this daemon's own
	// plus the others' by the newest report.
	Load int
	// Slowness is the time per token relative to the median of the pool; 0
	// when unknown.
	Slowness float64
	// Ejected endpoints get no work while others can take it.
	Ejected bool
	// Leaving endpoints get no work.
	Draining bool
	// Probing endpoints get one request at a time.
	Probing bool
	// Backlog is the expected time before the endpoint reads this request's
	// prompt, Miss the time to read those of its parts that it does not keep.
	Backlog         time.Duration
	UncachedPrefill time.Duration
}

// farPenalty is the time that an endpoint of another zone must be ahead.
const farPenalty = 3 * time.Millisecond

// untilFirst is the expected time to the first token beyond the time that any
// endpoint needs.
func (e Endpoint) untilFirst(zone string) time.Duration {
	total := e.Backlog + e.UncachedPrefill
	if e.Slowness > 1 {
		total = time.Duration(float64(total) * e.Slowness)
	}
	if e.Zone != zone {
		total += farPenalty
	}
	return total
}

func (e Endpoint) utilisation() float64 {
	return (float64(e.Load) + 1) / float64(max(1, e.Slots))
}

// Request is what the choice depends on.
type Request struct {
	// Zone is the daemon's own availability zone.
	Zone string
	// Prefix hashes the start of the prompt; 0 for none.
	PrefixKey uint64
	// Tried endpoints are not chosen again.
	Tried []netip.AddrPort
	// Prefill requests go where their first token comes soonest: reading the
	// prompt is most of their work.
	PrefillBound bool
}

// Options switches mechanisms off, for measurements.
type Options struct {
	NoAffinity     bool
	StrictAffinity bool
	NoEjection     bool
	// Baseline replaces the choice by a simple one.
	Baseline Baseline
}

// Baseline is a simple choice to measure against.
type Baseline int

// The baselines.
const (
	// None is the full choice.
	NoBaseline Baseline = iota
	// Random chooses any endpoint.
	Random
	// RoundRobin takes the endpoints in turn.
	RoundRobin
	// LeastReported takes the endpoint with the lowest reported load.
	LeastLoaded
)

const (
	// affinityFactor bounds the load of a prefix's home endpoint relative to the
	// mean of the pool.
	affinityFactor = 1.25
	// affinityHomes is the number of endpoints that share a prefix.
	affinityHomes = 2
)

// Pick returns the endpoint for a request; ok is false when none may take it.
func Pick(request Request, endpoints []Endpoint, options Options, turn uint64, random *rand.Rand) (chosen Endpoint, ok bool) {
	usable := usable(request, endpoints, options)
	if len(usable) == 0 {
		return Endpoint{}, false
	}
	switch options.Baseline {
	case Random:
		return usable[random.IntN(len(usable))], true
	case RoundRobin:
		return usable[turn%uint64(len(usable))], true
	case LeastLoaded:
		return least(usable, Endpoint.utilisation), true
	case NoBaseline:
	}
	if request.PrefillBound {
		return least(usable, func(e Endpoint) float64 { return float64(e.untilFirst(request.Zone)) }), true
	}
	pool := zoneFirst(request.Zone, usable)
	if request.PrefixKey != 0 && !options.NoAffinity {
		if home, found := affine(request.PrefixKey, ownZone(request.Zone, usable), options.StrictAffinity); found {
			return home, true
		}
	}
	return twoChoices(pool, random), true
}

// usable drops the endpoints that may not be chosen. When every endpoint is
// ejected, the ejection is ignored: a fault that all share must not empty the
// pool.
func usable(request Request, endpoints []Endpoint, options Options) []Endpoint {
	var healthy, ejected []Endpoint
	for _, endpoint := range endpoints {
		if endpoint.Draining || slices.Contains(request.Tried, endpoint.Address) {
			continue
		}
		busyProbe := endpoint.Probing && endpoint.Load > 0
		if (endpoint.Ejected || busyProbe) && !options.NoEjection {
			ejected = append(ejected, endpoint)
			continue
		}
		healthy = append(healthy, endpoint)
	}
	if len(healthy) == 0 {
		return ejected
	}
	return healthy
}

// zoneFirst prefers endpoints of the own zone with a free slot, then those of
// other zones with a free slot. When every slot is taken all are considered: a
// wait in a queue is much longer than the way to another zone. To stay in the
// own zone up to half a queue made the slowest answers slower than round robin.
func zoneFirst(zone string, endpoints []Endpoint) []Endpoint {
	var near, far []Endpoint
	for _, endpoint := range endpoints {
		switch {
		case endpoint.Load >= endpoint.Slots:
		case endpoint.Zone == zone:
			near = append(near, endpoint)
		default:
			far = append(far, endpoint)
		}
	}
	switch {
	case len(near) > 0:
		return near
	case len(far) > 0:
		return far
	default:
		return endpoints
	}
}

// ownZone returns the endpoints of a zone, or all when it has none.
func ownZone(zone string, endpoints []Endpoint) []Endpoint {
	var near []Endpoint
	for _, endpoint := range endpoints {
		if endpoint.Zone == zone {
			near = append(near, endpoint)
		}
	}
	if len(near) == 0 {
		return endpoints
	}
	return near
}

func meanUtilisation(endpoints []Endpoint) float64 {
	sum := 0.0
	for _, endpoint := range endpoints {
		sum += endpoint.utilisation()
	}
	return sum / float64(len(endpoints))
}

// affine returns the least loaded home of a prefix unless all its homes are
// loaded well above the pool's mean.
func affine(prefix uint64, pool []Endpoint, strict bool) (Endpoint, bool) {
	homes := slices.Clone(pool)
	slices.SortFunc(homes, func(a, b Endpoint) int {
		return cmp.Compare(score(prefix, b), score(prefix, a))
	})
	if strict {
		return homes[0], true
	}
	limit := affinityFactor * meanUtilisation(pool)
	for _, home := range homes[:min(affinityHomes, len(homes))] {
		fits := home.utilisation() <= limit || home.Load < home.Slots/2
		if fits && home.Slowness < slowFactor {
			return home, true
		}
	}
	return Endpoint{}, false
}

// slowFactor is the slowness at which an endpoint loses its prefixes.
const slowFactor = 2

func score(prefix uint64, endpoint Endpoint) uint64 {
	var data [24]byte
	for i := range 8 {
		data[i] = byte(prefix >> (8 * i))
	}
	address := endpoint.Address.Addr().As16()
	copy(data[8:], address[:])
	data[8] ^= byte(endpoint.Address.Port())
	data[9] ^= byte(endpoint.Address.Port() >> 8)
	return xxhash.Sum64(data[:])
}

// twoChoices takes the better of two random endpoints.
func twoChoices(pool []Endpoint, random *rand.Rand) Endpoint {
	if len(pool) == 1 {
		return pool[0]
	}
	first := random.IntN(len(pool))
	second := random.IntN(len(pool) - 1)
	if second >= first {
		second++
	}
	return least([]Endpoint{pool[first], pool[second]}, weighted)
}

// weighted is the utilisation, scaled by the endpoint's slowness.
func weighted(e Endpoint) float64 {
	return e.utilisation() * max(1, e.Slowness)
}

func least(endpoints []Endpoint, key func(Endpoint) float64) Endpoint {
	best := endpoints[0]
	for _, endpoint := range endpoints[1:] {
		if key(endpoint) < key(best) {
			best = endpoint
		}
	}
	return best
}
