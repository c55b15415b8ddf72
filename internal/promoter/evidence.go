package promoter

import (
	"math"
	"slices"
	"time"
)

const (
	// healthyBadRate is the share of bad results of a healthy version, faultyBadRate
	// that of a faulty one.
	healthyBadRate = 0.05
	faultyBadRate  = 0.40
	// endpointThreshold is the pooled evidence at which an endpoint counts as bad.
	// Two bad results with few good ones between them reach it.
	endpointThreshold = 3.5
	// A version is worse if at least minBadEndpoints endpoints are bad, and at least
	// the share minBadEndpointShare of those that its requests go to, because some
	// endpoints may be faulty independently of the version.
	minBadEndpoints     = 2
	minBadEndpointShare = 1.0 / 3
	// singleEndpointThreshold is the evidence at which a version with only one
	// endpoint in use is worse.
	singleEndpointThreshold = 12
	// maxEvidence bounds the evidence, so that some good results bring it down again.
	maxEvidence = 15
	// A connection failure at an endpoint of another version clears the version of
	// those that follow it within failureLookback or precede it by at most
	// failureSettleDelay. A fault of many endpoints lasts some seconds, and failing
	// endpoints soon get no more requests.
	failureLookback    = 3 * time.Second
	failureSettleDelay = 600 * time.Millisecond
)

// resultKey identifies the results that are summed together. Routes are kept apart
// because a version may be bad for one route only.
type resultKey struct {
	endpoint string
	route    string
}

// connectionFailure is an attempt without a complete response, at a time of the
// daemon's clock.
type connectionFailure struct {
	resultKey
	at time.Duration
}

// Evidence collects one daemon's evidence against a version as cumulative sums
// (CUSUM) of log-likelihood ratios, which also detect a version that turns bad
// late. It is not safe for concurrent use.
type Evidence struct {
	sums    map[resultKey]float64
	results int
	bad     int
	// pending holds connection failures until failureSettleDelay has passed.
	// otherFailedAt is the time of the latest one at another version if otherFailed
	// is set.
	pending       []connectionFailure
	otherFailedAt time.Duration
	otherFailed   bool
	// balance sums up the speed of good results and the bad results, compared counts
	// the results in it.
	balance  Balance
	compared int
}

// NewEvidence returns evidence without results.
func NewEvidence() *Evidence { return &Evidence{sums: map[resultKey]float64{}} }

// AddScore adds a score to the balance of results for and against the version, at a
// time since the order.
func (d *Evidence) AddScore(score Score, order Order, at time.Duration) {
	d.balance.add(score, order, at)
	d.compared++
}

// Balance returns the balance of this daemon's results.
func (d *Evidence) Balance() Balance { return d.balance }

// Compared returns the number of results in the balance.
func (d *Evidence) Compared() int { return d.compared }

// Add records a result of an endpoint on a route.
func (d *Evidence) Add(endpoint, route string, good bool) {
	d.results++
	at := resultKey{endpoint, route}
	step := math.Log(faultyBadRate / healthyBadRate)
	if !good {
		d.bad++
	} else {
		step = math.Log((1 - faultyBadRate) / (1 - healthyBadRate))
	}
	d.sums[at] = min(maxEvidence, max(0, d.sums[at]+step))
}

// AddConnectionFailure records an attempt without a complete response. Either
// the endpoint crashed or became unreachable, or the version is faulty.
func (d *Evidence) AddConnectionFailure(endpoint, route string, at time.Duration) {
	d.pending = append(d.pending, connectionFailure{resultKey{endpoint, route}, at})
}

// AddOtherConnectionFailure records a connection failure at an endpoint of
// another version. Failures at about the same time do not count against the
// version.
func (d *Evidence) AddOtherConnectionFailure(at time.Duration) {
	d.otherFailedAt = at
	d.otherFailed = true
	d.pending = slices.DeleteFunc(d.pending, func(l connectionFailure) bool { return at-l.at <= failureSettleDelay })
}

// SettleConnectionFailures counts as bad results the connection failures that
// no failure of another version explains. It returns their number.
func (d *Evidence) SettleConnectionFailures(now time.Duration) int {
	before := d.bad
	var waiting []connectionFailure
	for _, l := range d.pending {
		switch {
		case now-l.at <= failureSettleDelay:
			waiting = append(waiting, l)
		case !d.otherFailed || l.at-d.otherFailedAt > failureLookback:
			d.Add(l.endpoint, l.route, false)
		}
	}
	d.pending = waiting
	return d.bad - before
}

// Results returns the number of results.
func (d *Evidence) Results() int { return d.results }

// Bad returns the number of bad results.
func (d *Evidence) Bad() int { return d.bad }

// ByEndpoint returns the evidence against each endpoint. It includes single bad
// results, because each daemon of a large fleet sees few.
func (d *Evidence) ByEndpoint() map[string]float64 {
	evidence := map[string]float64{}
	for at, sum := range d.sums {
		if sum > 0 {
			evidence[at.endpoint] = max(evidence[at.endpoint], sum)
		}
	}
	return evidence
}

// IsWorse reports whether the pooled evidence of all daemons shows that the
// version is worse. used is the number of endpoints that its requests go to.
func IsWorse(reports []map[string]float64, used int) bool {
	pooled := map[string]float64{}
	for _, report := range reports {
		for endpoint, evidence := range report {
			pooled[endpoint] += evidence
		}
	}
	bad, most := 0, 0.0
	for _, evidence := range pooled {
		if evidence >= endpointThreshold {
			bad++
		}
		most = max(most, evidence)
	}
	least := max(minBadEndpoints, int(math.Ceil(minBadEndpointShare*float64(used))))
	return bad >= least || used <= 1 && most >= singleEndpointThreshold
}
