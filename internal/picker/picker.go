// Package picker chooses the endpoint for a request among those that serve its
// version. Picking is a pure function: the state of the endpoints, the time and
// the source of randomness are arguments. The package also tracks the health of
// endpoints, which decides their ejection.
package picker

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is a candidate for a request, with its current state.
type Endpoint struct {
	Address netip.AddrPort
	Zone    string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Load is the number of requests running and queued: those of this daemon
	// plus those of other daemons according to the newest load report.
	Load int
	// Slowness is the time per token relative to the median of the pool, or 0
	// when unknown.
	Slowness float64
	// Ejected endpoints get no work while other endpoints can take it.
	Ejected bool
	// Draining endpoints get no new work.
	Draining bool
	// Probing endpoints get one request at a time.
	Probing bool
	// Backlog is the expected time until the endpoint starts the prefill of this
	// request, UncachedPrefill the prefill time of the part of the shared prefix
	// that is not in the endpoint's prefix cache.
	Backlog         time.Duration
	UncachedPrefill time.Duration
	// Preferred endpoints are likely to have the shared prefix in their cache.
	Preferred bool
	// Expected is the expected time to the end of the response, if it is forecast.
	Expected time.Duration
}

const (
	// minCrossZonePenalty is the least time by which an endpoint of another zone must be
	// faster to be preferred.
	minCrossZonePenalty = 3 * time.Millisecond
	// crossZoneShare is that time as a share of the target latency: clients do not notice
	// less, and bytes between zones are paid for.
	crossZoneShare = 0.02
)

// crossZonePenalty returns the time by which an endpoint of another zone must be faster to be
// preferred for a request with a target latency, or with none if it is 0.
func crossZonePenalty(target time.Duration) time.Duration {
	return max(minCrossZonePenalty, time.Duration(crossZoneShare*float64(target)))
}

// timeToFirstToken returns the expected time to first token, less the prefill
// time that is the same at every endpoint.
func (e Endpoint) timeToFirstToken(request Request) time.Duration {
	total := e.Backlog + e.UncachedPrefill
	if e.Slowness > 1 {
		total = time.Duration(float64(total) * e.Slowness)
	}
	if e.Zone != request.Zone {
		total += crossZonePenalty(request.TargetLatency)
	}
	return total
}

// utilisation returns the load per slot with the new request included.
func (e Endpoint) utilisation() float64 {
	return (float64(e.Load) + 1) / float64(max(1, e.Slots))
}

// Request describes a request for which an endpoint is chosen.
type Request struct {
	// Zone is the availability zone of the daemon.
	Zone string
	// PrefixKey is the hash of the prompt's shared prefix, or 0 for none.
	PrefixKey uint64
	// Tried holds the addresses of endpoints that must not be chosen again.
	Tried []netip.AddrPort
	// PrefillBound requests go to the endpoint with the shortest expected time
	// to first token, because prefill is most of their work.
	PrefillBound bool
	// TargetLatency is the time within which the response should begin, or 0 for none.
	TargetLatency time.Duration
	// Forecast is set if the candidates' Expected times are known. The request goes to the
	// shortest of a sample of them.
	Forecast bool
}

// Options changes how an endpoint is chosen, for measurements. The zero value is
// the normal operation.
type Options struct {
	// NoAffinity disables prefix affinity.
	NoAffinity bool
	// StrictAffinity keeps a prefix on its first preferred endpoint regardless
	// of load.
	StrictAffinity bool
	// NoEjection lets ejected and probing endpoints get work.
	NoEjection bool
	// Baseline replaces the algorithm by a simple one.
	Baseline Baseline
}

// Baseline is a simple algorithm to compare measurements with.
type Baseline int

// The available baselines.
const (
	// NoBaseline is the full algorithm.
	NoBaseline Baseline = iota
	// Random chooses an endpoint at random.
	Random
	// RoundRobin chooses the endpoints in turn.
	RoundRobin
	// LeastLoaded chooses the endpoint with the lowest utilisation by its
	// reported load.
	LeastLoaded
)

const (
	// affinityLoadFactor bounds the utilisation of a preferred endpoint relative
	// to the mean of the pool.
	affinityLoadFactor = 1.25
	// affinityEndpoints is the number of preferred endpoints of a prefix.
	affinityEndpoints = 2
)

// Pick returns the endpoint for a request; ok is false when no endpoint may take
// it. Turn is the position of the request in the round-robin baseline.
func Pick(request Request, endpoints []Endpoint, options Options, turn uint64, random *rand.Rand) (chosen Endpoint, ok bool) {
	candidates := eligible(request, endpoints, options)
	if len(candidates) == 0 {
		return Endpoint{}, false
	}
	switch options.Baseline {
	case Random:
		return candidates[random.IntN(len(candidates))], true
	case RoundRobin:
		return candidates[turn%uint64(len(candidates))], true
	case LeastLoaded:
		return minBy(candidates, Endpoint.utilisation), true
	case NoBaseline:
	}
	if request.Forecast {
		return shortest(request.Zone, candidates, random), true
	}
	if request.PrefillBound {
		return minBy(candidates, func(e Endpoint) float64 { return float64(e.timeToFirstToken(request)) }), true
	}
	preferredZone := preferLocalZone(request.Zone, candidates)
	if request.PrefixKey != 0 && !options.NoAffinity {
		if preferred, found := preferredEndpoint(request.PrefixKey, localOrAll(request.Zone, candidates), options.StrictAffinity); found {
			return preferred, true
		}
	}
	return powerOfTwoChoices(preferredZone, random), true
}

// eligible returns the endpoints that may be chosen. When every endpoint is
// ejected or has a probe in flight, these states are ignored, so that a fault
// shared by all endpoints does not empty the pool.
func eligible(request Request, endpoints []Endpoint, options Options) []Endpoint {
	var healthy, ejected []Endpoint
	for _, endpoint := range endpoints {
		if endpoint.Draining || slices.Contains(request.Tried, endpoint.Address) {
			continue
		}
		probeInFlight := endpoint.Probing && endpoint.Load > 0
		if (endpoint.Ejected || probeInFlight) && !options.NoEjection {
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

// preferLocalZone returns the endpoints of the local zone with a free slot, or
// else those of other zones with a free slot. When every slot is taken, it
// returns all endpoints, because queueing takes much longer than the round trip
// to another zone. Staying in the local zone up to half a queue made the slowest
// responses slower than those of round robin.
func preferLocalZone(zone string, endpoints []Endpoint) []Endpoint {
	var local, remote []Endpoint
	for _, endpoint := range endpoints {
		switch {
		case endpoint.Load >= endpoint.Slots:
		case endpoint.Zone == zone:
			local = append(local, endpoint)
		default:
			remote = append(remote, endpoint)
		}
	}
	switch {
	case len(local) > 0:
		return local
	case len(remote) > 0:
		return remote
	default:
		return endpoints
	}
}

// localOrAll returns the endpoints of the zone, or all endpoints if the zone has
// none.
func localOrAll(zone string, endpoints []Endpoint) []Endpoint {
	var local []Endpoint
	for _, endpoint := range endpoints {
		if endpoint.Zone == zone {
			local = append(local, endpoint)
		}
	}
	if len(local) == 0 {
		return endpoints
	}
	return local
}

// meanUtilisation returns the mean utilisation of the endpoints.
func meanUtilisation(endpoints []Endpoint) float64 {
	sum := 0.0
	for _, endpoint := range endpoints {
		sum += endpoint.utilisation()
	}
	return sum / float64(len(endpoints))
}

// preferredEndpoint returns the first preferred endpoint of a prefix, in the order
// of rendezvous hashing, whose utilisation is not well above the mean of the pool
// and which is not slow. It returns false if there is none.
func preferredEndpoint(prefixKey uint64, pool []Endpoint, strict bool) (Endpoint, bool) {
	ranked := slices.Clone(pool)
	slices.SortFunc(ranked, func(a, b Endpoint) int {
		return cmp.Compare(rendezvousScore(prefixKey, b), rendezvousScore(prefixKey, a))
	})
	if strict {
		return ranked[0], true
	}
	maxUtilisation := affinityLoadFactor * meanUtilisation(pool)
	for _, preferred := range ranked[:min(affinityEndpoints, len(ranked))] {
		hasCapacity := preferred.utilisation() <= maxUtilisation || preferred.Load < preferred.Slots/2
		if hasCapacity && preferred.Slowness < maxAffinitySlowness {
			return preferred, true
		}
	}
	return Endpoint{}, false
}

// maxAffinitySlowness is the slowness at which an endpoint is no longer preferred
// for its prefixes.
const maxAffinitySlowness = 2

// rendezvousScore returns the hash of the prefix key and the endpoint's address,
// by which rendezvous hashing orders the endpoints of a prefix.
func rendezvousScore(prefixKey uint64, endpoint Endpoint) uint64 {
	var data [24]byte
	for i := range 8 {
		data[i] = byte(prefixKey >> (8 * i))
	}
	address := endpoint.Address.Addr().As16()
	copy(data[8:], address[:])
	data[8] ^= byte(endpoint.Address.Port())
	data[9] ^= byte(endpoint.Address.Port() >> 8)
	return xxhash.Sum64(data[:])
}

// powerOfTwoChoices returns the one of two random endpoints that has the lower
// weighted utilisation.
func powerOfTwoChoices(pool []Endpoint, random *rand.Rand) Endpoint {
	if len(pool) == 1 {
		return pool[0]
	}
	first := random.IntN(len(pool))
	second := random.IntN(len(pool) - 1)
	if second >= first {
		second++
	}
	return minBy([]Endpoint{pool[first], pool[second]}, weightedUtilisation)
}

// weightedUtilisation returns the utilisation multiplied by the endpoint's
// slowness.
func weightedUtilisation(e Endpoint) float64 {
	return e.utilisation() * max(1, e.Slowness)
}

// minBy returns the endpoint with the lowest key, the first of equal ones.
func minBy(endpoints []Endpoint, key func(Endpoint) float64) Endpoint {
	best := endpoints[0]
	for _, endpoint := range endpoints[1:] {
		if key(endpoint) < key(best) {
			best = endpoint
		}
	}
	return best
}

const (
	// localSample and remoteSample are the numbers of random endpoints, of the daemon's zone
	// and of others, that are compared with the preferred ones. If all daemons compared all
	// endpoints, they would send their requests to the same one between two load reports.
	localSample  = 4
	remoteSample = 2
	// crossZoneFactor is the factor by which an endpoint of another zone must be faster. It
	// takes the place of crossZonePenalty, since the error of a forecast grows with the time.
	crossZoneFactor = 1.1
)

// shortest returns the endpoint with the shortest expected time among the preferred ones and
// a random sample of the others.
func shortest(zone string, candidates []Endpoint, random *rand.Rand) Endpoint {
	var compared, local, remote []Endpoint
	for _, candidate := range candidates {
		switch {
		case candidate.Preferred:
			compared = append(compared, candidate)
		case candidate.Zone == zone:
			local = append(local, candidate)
		default:
			remote = append(remote, candidate)
		}
	}
	compared = append(compared, sample(local, localSample, random)...)
	compared = append(compared, sample(remote, remoteSample, random)...)
	return minBy(compared, func(e Endpoint) float64 {
		if e.Zone == zone {
			return float64(e.Expected)
		}
		return crossZoneFactor * float64(e.Expected)
	})
}

// sample returns some of the endpoints at random. It changes their order.
func sample(endpoints []Endpoint, size int, random *rand.Rand) []Endpoint {
	size = min(size, len(endpoints))
	for i := range size {
		j := i + random.IntN(len(endpoints)-i)
		endpoints[i], endpoints[j] = endpoints[j], endpoints[i]
	}
	return endpoints[:size]
}
