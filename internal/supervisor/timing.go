package supervisor

import (
	"sync"
	"time"
)

const (
	// meanSmoothing and deviationSmoothing are the weights of the newest response, as in the
	// estimate of a round trip time.
	meanSmoothing      = 1.0 / 16
	deviationSmoothing = 1.0 / 8
	// firstDeviationShare is the deviation that is assumed before the first response, as a
	// share of the target.
	firstDeviationShare = 0.25
)

// Timing holds how long the responses of one kind of request usually take. It is safe for
// concurrent use.
type Timing struct {
	mu        sync.Mutex
	known     bool
	start     time.Duration
	deviation time.Duration
	rest      time.Duration
}

// NewTiming returns a timing for requests whose responses should begin within the target.
func NewTiming(target time.Duration) *Timing {
	return &Timing{deviation: time.Duration(firstDeviationShare * float64(target))}
}

// RecordStart records the time to the beginning of a response. For a request that was taken back, it
// is the time until then, which is less than the response would have taken.
func (t *Timing) RecordStart(elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		t.known = true
		t.start = elapsed
		return
	}
	difference := elapsed - t.start
	t.start += time.Duration(meanSmoothing * float64(difference))
	t.deviation += time.Duration(deviationSmoothing * float64(difference.Abs()-t.deviation))
}

// RecordRest records how long a response took after its beginning.
func (t *Timing) RecordRest(elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rest == 0 {
		t.rest = elapsed
	}
	t.rest += time.Duration(meanSmoothing * float64(elapsed-t.rest))
}

// Start returns the usual time to the beginning of a response, and the usual deviation from it.
func (t *Timing) Start() (mean, deviation time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.start, t.deviation
}

// Rest returns the usual time from the beginning of a response to its end.
func (t *Timing) Rest() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rest
}
