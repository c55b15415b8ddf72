package promoter

import "math"

const (
	// usualBad is the share of bad results that a sound version may have, faultyBad
	// that of a bad one.
	usualBad  = 0.05
	faultyBad = 0.40
	// endpointDoubt is the pooled doubt at which an endpoint counts as bad: two bad
	// results with few good ones between them.
	endpointDoubt = 3.5
	// badEndpoints is the number of bad endpoints that speak against the version:
	// one may be broken by itself.
	badEndpoints = 2
	// loneDoubt speaks against a version that has only one endpoint in use.
	loneDoubt = 12
	// maxDoubt bounds the doubt, so that it fades within some good results.
	maxDoubt = 15
)

// place is where a doubt arises: a version may be bad for one route only.
type place struct {
	endpoint string
	route    string
}

// Doubts gathers one daemon's doubts about a version by a cumulative sum of
// log-likelihood ratios, which also finds a version that turns bad late. It is
// not safe for concurrent use.
type Doubts struct {
	sums map[place]float64
	runs int
	bad  int
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
// of which the given number of endpoints is in use.
func Adverse(reports []map[string]float64, inUse int) bool {
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
	return bad >= badEndpoints || inUse <= 1 && most >= loneDoubt
}
