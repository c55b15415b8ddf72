package runner

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
)

// usualKey is what the time of an answer depends on.
type usualKey struct {
	service string
	route   string
	model   string
}

// usual is the time that answers of the old version take.
type usual struct {
	first time.Duration
	pace  time.Duration
	count int
}

const (
	// usualSmoothing is the weight of the newest answer in the averages.
	usualSmoothing = 0.1
	// usualCount is the number of answers before others are compared with them.
	usualCount = 5
	// slowFactor times the usual time is slow, if it is also longer than slowFirst
	// or slowPace.
	slowFactor = 4
	slowFirst  = 400 * time.Millisecond
	slowPace   = 40 * time.Millisecond
)

func (u usual) add(result forwarder.Result) usual {
	u.count++
	u.first = smooth(u.first, result.TTFT)
	u.pace = smooth(u.pace, result.DecodePace)
	return u
}

func smooth(average, value time.Duration) time.Duration {
	if average == 0 || value == 0 {
		return max(average, value)
	}
	return average + time.Duration(usualSmoothing*float64(value-average))
}

// slow reports whether a result is much slower than usual.
func (u usual) slow(result forwarder.Result) bool {
	if u.count < usualCount {
		return false
	}
	lateFirst := u.first > 0 && result.TTFT > max(slowFirst, slowFactor*u.first, slowFactor*result.ExpectedTTFT)
	latePace := u.pace > 0 && result.DecodePace > max(slowPace, slowFactor*u.pace)
	return lateFirst || latePace
}

// ran takes a result.
func (o *rollouts) ran(result forwarder.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.services[result.Service]
	if known == nil || known.order.Target != result.Version || known.state.Final() {
		o.ranOld(known, result)
		return
	}
	good := result.Outcome == forwarder.Completed
	switch result.Outcome {
	case forwarder.NotSent:
		return
	case forwarder.Incomplete:
		known.doubts.AddConnectionFailure(result.Endpoint, result.Route, o.process.Clock())
		return
	case forwarder.Completed, forwarder.ServerError:
	}
	if known.state == promoter.Canary {
		// When all requests move at once, prompts are read anew and answers are
		// slow for a while, whatever the version.
		good = good && !o.usual[keyOf(result)].slow(result)
	}
	known.doubts.Add(result.Endpoint, result.Route, good)
	if !good {
		o.judge(known)
	}
}

// ranOld takes a result of a version that is not on trial. What it loses shows
// that a new version is not alone in losing answers.
func (o *rollouts) ranOld(known *rollout, result forwarder.Result) {
	switch result.Outcome {
	case forwarder.Completed:
		key := keyOf(result)
		o.usual[key] = o.usual[key].add(result)
	case forwarder.Incomplete, forwarder.NotSent:
		if known != nil {
			known.doubts.AddOtherConnectionFailure(o.process.Clock())
		}
	case forwarder.ServerError:
	}
}

func keyOf(result forwarder.Result) usualKey {
	return usualKey{result.Service, result.Route, result.Model}
}
