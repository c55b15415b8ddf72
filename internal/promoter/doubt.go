package promoter

import (
	"math"
	"slices"
	"time"
)

const (
	// usualBad is the share of bad results that a sound version may have, faultyBad
	// that of a bad one.
	usualBad  = 0.05
	faultyBad = 0.40
	// endpointDoubt is the pooled doubt at which an endpoint counts as bad: two bad
	// results with few good ones between them.
	endpointDoubt = 3.5
	// badEndpoints is the least number of bad endpoints that speak against the
	// version, badShare their least share of those that its requests go to: some may
	// be broken by themselves.
	badEndpoints = 2
	badShare     = 1.0 / 3
	// loneDoubt speaks against a version that has only one endpoint in use.
	loneDoubt = 12
	// maxDoubt bounds the doubt, so that it fades within some good results.
	maxDoubt = 15
	// A loss at an endpoint of another version shows that the version is not to blame
	// for one that comes within lossMemory after it or lossWait before it: a fault of
	// many endpoints lasts some seconds, and broken ones soon get no more requests.
	lossMemory = 3 * time.Second
	lossWait   = 600 * time.Millisecond
)

// place is where a doubt arises: a version may be bad for one route only.
type place struct {
	endpoint string
	route    string
}

// loss is an answer that was lost on its way, at a time of the daemon's clock.
type loss struct {
	place
	at time.Duration
}

// Evidence gathers one daemon's doubts about a version by a cumulative sum of
// log-likelihood ratios, which also finds a version that turns bad late. It is
// not safe for concurrent use.
type Evidence struct {
	sums map[place]float64
	runs int
	bad  int
	// lost wait for what happens elsewhere; elsewhere is the newest loss there.
	lost      []loss
	elsewhere time.Duration
	harmed    bool
}

// NewEvidence returns no doubts.
func NewEvidence() *Evidence { return &Evidence{sums: map[place]float64{}} }

// Add takes a result. It reports whether it was bad.
func (d *Evidence) Add(endpoint, route string, good bool) {
	d.runs++
	at := place{endpoint, route}
	step := math.Log(faultyBad / usualBad)
	if !good {
		d.bad++
	} else {
		step = math.Log((1 - faultyBad) / (1 - usualBad))
	}
	d.sums[at] = min(maxDoubt, max(0, d.sums[at]+step))
}

// AddConnectionFailure takes an answer that was lost on its way: the endpoint crashed or was cut
// off, or the version is to blame.
func (d *Evidence) AddConnectionFailure(endpoint, route string, at time.Duration) {
	d.lost = append(d.lost, loss{place{endpoint, route}, at})
}

// AddOtherConnectionFailure takes a loss at an endpoint of another version: losses of the same
// moment are not the version's.
func (d *Evidence) AddOtherConnectionFailure(at time.Duration) {
	d.elsewhere = at
	d.harmed = true
	d.lost = slices.DeleteFunc(d.lost, func(l loss) bool { return at-l.at <= lossWait })
}

// SettleConnectionFailures counts the losses that nothing else explains. It reports whether there
// were any.
func (d *Evidence) SettleConnectionFailures(now time.Duration) bool {
	before := d.bad
	var waiting []loss
	for _, l := range d.lost {
		switch {
		case now-l.at <= lossWait:
			waiting = append(waiting, l)
		case !d.harmed || l.at-d.elsewhere > lossMemory:
			d.Add(l.endpoint, l.route, false)
		}
	}
	d.lost = waiting
	return d.bad > before
}

// Results returns the number of results, Bad that of the bad ones.
func (d *Evidence) Results() int { return d.runs }

// Bad returns the number of bad results.
func (d *Evidence) Bad() int { return d.bad }

// ByEndpoint returns the doubt about each endpoint. A single bad result counts
// too: on a large fleet each daemon sees few.
func (d *Evidence) ByEndpoint() map[string]float64 {
	doubts := map[string]float64{}
	for at, sum := range d.sums {
		if sum > 0 {
			doubts[at.endpoint] = max(doubts[at.endpoint], sum)
		}
	}
	return doubts
}

// IsWorse reports whether the doubts of all daemons speak against the version,
// whose requests go to a number of endpoints.
func IsWorse(reports []map[string]float64, used int) bool {
	pooled := map[string]float64{}
	for _, report := range reports {
		for endpoint, doubt := range report {
			pooled[endpoint] += doubt
		}
	}
	bad, most := 0, 0.0
	for _, doubt := range pooled {
		if doubt >= endpointDoubt {
			bad++
		}
		most = max(most, doubt)
	}
	least := max(badEndpoints, int(math.Ceil(badShare*float64(used))))
	return bad >= least || used <= 1 && most >= loneDoubt
}
