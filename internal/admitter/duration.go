package admitter

import "time"

const (
	// durationSmoothing is the least weight of the newest request in a moving average of
	// durations.
	durationSmoothing = 0.05
	// initialDuration is the assumed duration of a request before any has completed.
	initialDuration = time.Second
	// maxKinds bounds the number of kinds of which a queue knows the duration.
	maxKinds = 1000
)

// durations holds how long requests run, over all requests and by kind.
type durations struct {
	mean   time.Duration
	count  int
	byKind map[string]*kindDuration
}

// kindDuration is the moving average of the duration of one kind of request.
type kindDuration struct {
	mean  time.Duration
	count int
}

func newDurations() *durations {
	return &durations{mean: initialDuration, byKind: map[string]*kindDuration{}}
}

// known reports whether a request has completed.
func (d *durations) known() bool { return d.count > 0 }

// record adds the duration of a request of a kind.
func (d *durations) record(kind string, took time.Duration) {
	d.count++
	d.mean = smooth(d.mean, took, d.count)
	ofKind := d.byKind[kind]
	if ofKind == nil {
		if len(d.byKind) >= maxKinds {
			clear(d.byKind)
		}
		ofKind = &kindDuration{}
		d.byKind[kind] = ofKind
	}
	ofKind.count++
	ofKind.mean = smooth(ofKind.mean, took, ofKind.count)
}

// smooth returns the moving average after the latest of a number of values. The first ones have
// equal weights, so that the initial value is soon gone.
func smooth(mean, latest time.Duration, count int) time.Duration {
	weight := max(durationSmoothing, 1/float64(count))
	return mean + time.Duration(weight*float64(latest-mean))
}

// of returns how long a request of a kind runs. For a kind of which none has completed, it is 0, so
// that no request is refused for it, or initialDuration before any request has completed.
func (d *durations) of(kind string) time.Duration {
	if ofKind := d.byKind[kind]; ofKind != nil {
		return ofKind.mean
	}
	if !d.known() {
		return d.mean
	}
	return 0
}
