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

// Doubts gathers one daemon's doubts about a version by a cumulative sum of
// log-likelihood ratios, which also finds a version that turns bad late. It is
// not safe for concurrent use.
type Doubts struct {
	sums map[place]float64
	runs int
	bad  int
	// lost wait for what happens elsewhere; elsewhere is the newest loss there.
	lost      []loss
	elsewhere time.Duration
	harmed    bool
}

// NewDoubts returns no doubts.
func NewDoubts() *Doubts { return &Doubts{sums: map[place]float64{}} }

// Add takes a result. It reports whether it was bad.
func (d *Doubts) Add(endpoint, route string, good bool) {
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

// Lost takes an answer that was lost on its way: the endpoint crashed or was cut
// off, or the version is to blame.
func (d *Doubts) Lost(endpoint, route string, at time.Duration) {
	d.lost = append(d.lost, loss{place{endpoint, route}, at})
}

// LostElsewhere takes a loss at an endpoint of another version: losses of the same
// moment are not the version's.
func (d *Doubts) LostElsewhere(at time.Duration) {
	d.elsewhere = at
	d.harmed = true
	d.lost = slices.DeleteFunc(d.lost, func(l loss) bool { return at-l.at <= lossWait })
}

// Settle counts the losses that nothing else explains. It reports whether there
// were any.
func (d *Doubts) Settle(now time.Duration) bool {
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

// Runs returns the number of results, Bad that of the bad ones.
func (d *Doubts) Runs() int { return d.runs }

// Bad returns the number of bad results.
func (d *Doubts) Bad() int { return d.bad }

// Endpoints returns the doubt about each endpoint. A single bad result counts
// too: on a large fleet each daemon sees few.
func (d *Doubts) Endpoints() map[string]float64 {
	doubts := map[string]float64{}
	for at, sum := range d.sums {
		if sum > 0 {
			doubts[at.endpoint] = max(doubts[at.endpoint], sum)
		}
	}
	return doubts
}

// Adverse reports whether the doubts of all daemons speak against the version,
// whose requests go to a number of endpoints.
func Adverse(reports []map[string]float64, used int) bool {
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
