package runner

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
)

// usualKey is what the time of an answer depends on.
type baselineKey struct {
	service string
	route   string
	model   string
}

// usual is the time that answers of the old version take.
type baseline struct {
	ttft       time.Duration
	decodePace time.Duration
	count      int
}

const (
	// usualSmoothing is the weight of the newest answer in the averages.
	baselineSmoothing = 0.1
	// usualCount is the number of answers before others are compared with them.
	minBaselineCount = 5
	// slowFactor times the usual time is slow, if it is also longer than slowFirst
	// or slowPace.
	slowFactor        = 4
	minSlowTTFT       = 400 * time.Millisecond
	minSlowDecodePace = 40 * time.Millisecond
)

func (b baseline) add(result forwarder.Result) baseline {
	b.count++
	b.ttft = smooth(b.ttft, result.First)
	b.decodePace = smooth(b.decodePace, result.Pace)
	return b
}

func smooth(average, value time.Duration) time.Duration {
	if average == 0 || value == 0 {
		return max(average, value)
	}
	return average + time.Duration(baselineSmoothing*float64(value-average))
}

// slow reports whether a result is much slower than usual.
func (b baseline) isSlow(result forwarder.Result) bool {
	if b.count < minBaselineCount {
		return false
	}
	slowTTFT := b.ttft > 0 && result.First > max(minSlowTTFT, slowFactor*b.ttft, slowFactor*result.Expected)
	slowDecodePace := b.decodePace > 0 && result.Pace > max(minSlowDecodePace, slowFactor*b.decodePace)
	return slowTTFT || slowDecodePace
}

// ran takes a result.
func (m *rolloutManager) recordResult(result forwarder.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rollout := m.byService[result.Service]
	if rollout == nil || rollout.order.Target != result.Version || rollout.state.Final() {
		m.recordOldVersionResult(rollout, result)
		return
	}
	good := result.Ending == forwarder.Answered
	switch result.Ending {
	case forwarder.Unreached:
		return
	case forwarder.Broken:
		rollout.evidence.AddConnectionFailure(result.Endpoint, result.Route, m.deps.Clock())
		return
	case forwarder.Answered, forwarder.Failed:
	}
	if rollout.state == promoter.Canary {
		// When all requests move at once, prompts are read anew and answers are
		// slow for a while, whatever the version.
		good = good && !m.baselines[newBaselineKey(result)].isSlow(result)
	}
	rollout.evidence.Add(result.Endpoint, result.Route, good)
	if !good {
		m.evaluate(rollout)
	}
}

// ranOld takes a result of a version that is not on trial. What it loses shows
// that a new version is not alone in losing answers.
func (m *rolloutManager) recordOldVersionResult(rollout *rolloutState, result forwarder.Result) {
	switch result.Ending {
	case forwarder.Answered:
		key := newBaselineKey(result)
		m.baselines[key] = m.baselines[key].add(result)
	case forwarder.Broken, forwarder.Unreached:
		if rollout != nil {
			rollout.evidence.AddOtherConnectionFailure(m.deps.Clock())
		}
	case forwarder.Failed:
	}
}

func newBaselineKey(result forwarder.Result) baselineKey {
	return baselineKey{result.Service, result.Route, result.Model}
}
