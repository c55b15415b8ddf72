package runner

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
)

// baselineKey identifies the responses whose times are comparable.
type baselineKey struct {
	service string
	route   string
	model   string
}

// baseline holds moving averages of the response times of the old version.
type baseline struct {
	ttft       time.Duration
	decodePace time.Duration
	count      int
}

const (
	// baselineSmoothing is the weight of the newest response in the averages.
	baselineSmoothing = 0.1
	// minBaselineCount is the number of responses before others are compared with
	// the baseline.
	minBaselineCount = 5
	// A response is slow if a time exceeds slowFactor times its baseline and also
	// minSlowTTFT or minSlowDecodePace. The time to first token must also exceed
	// slowFactor times the time that the endpoint's backlog and the prompt explain.
	slowFactor        = 4
	minSlowTTFT       = 400 * time.Millisecond
	minSlowDecodePace = 40 * time.Millisecond
)

func (b baseline) add(result forwarder.Result) baseline {
	b.count++
	b.ttft = smooth(b.ttft, result.TTFT)
	b.decodePace = smooth(b.decodePace, result.DecodePace)
	return b
}

// smooth moves the average towards the value. A zero stands for an unknown time.
func smooth(average, value time.Duration) time.Duration {
	if average == 0 || value == 0 {
		return max(average, value)
	}
	return average + time.Duration(baselineSmoothing*float64(value-average))
}

// isSlow reports whether a result is much slower than the baseline.
func (b baseline) isSlow(result forwarder.Result) bool {
	if b.count < minBaselineCount {
		return false
	}
	slowTTFT := b.ttft > 0 && result.TTFT > max(minSlowTTFT, slowFactor*b.ttft, slowFactor*result.ExpectedTTFT)
	slowDecodePace := b.decodePace > 0 && result.DecodePace > max(minSlowDecodePace, slowFactor*b.decodePace)
	return slowTTFT || slowDecodePace
}

// recordResult records a result as evidence, or in the baseline if it is not from
// a version that is being rolled out.
func (m *rolloutManager) recordResult(result forwarder.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rollout := m.byService[result.Service]
	if rollout == nil || rollout.order.Target != result.Version || rollout.state.Final() {
		m.recordOldVersionResult(rollout, result)
		return
	}
	good := result.Outcome == forwarder.Completed
	switch result.Outcome {
	case forwarder.NotSent:
		return
	case forwarder.Incomplete:
		rollout.evidence.AddConnectionFailure(result.Endpoint, result.Route, m.deps.Clock())
		return
	case forwarder.Completed, forwarder.ServerError:
	}
	if rollout.state == promoter.Canary {
		// When all requests move to the new version at once, its endpoints have no cached
		// prefixes yet. Responses are then slow for a while even if the version is good.
		good = good && !m.baselines[newBaselineKey(result)].isSlow(result)
	}
	rollout.evidence.Add(result.Endpoint, result.Route, good)
	if !good {
		m.evaluate(rollout)
	}
}

// recordOldVersionResult records a result of a version that is not being rolled
// out. A failed connection there shows that connections do not fail only at the
// new version.
func (m *rolloutManager) recordOldVersionResult(rollout *rolloutState, result forwarder.Result) {
	switch result.Outcome {
	case forwarder.Completed:
		key := newBaselineKey(result)
		m.baselines[key] = m.baselines[key].add(result)
	case forwarder.Incomplete, forwarder.NotSent:
		if rollout != nil {
			rollout.evidence.AddOtherConnectionFailure(m.deps.Clock())
		}
	case forwarder.ServerError:
	}
}

func newBaselineKey(result forwarder.Result) baselineKey {
	return baselineKey{result.Service, result.Route, result.Model}
}
