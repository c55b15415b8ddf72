package runner

import (
	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
)

// baselineKey identifies the responses whose times are comparable.
type baselineKey struct {
	service string
	route   string
	model   string
}

// baseline returns the times of the old version's responses that are comparable with
// a result.
func (m *rolloutManager) baseline(result forwarder.Result) *promoter.Baseline {
	key := baselineKey{result.Service, result.Route, result.Model}
	baseline := m.baselines[key]
	if baseline == nil {
		baseline = &promoter.Baseline{}
		m.baselines[key] = baseline
	}
	return baseline
}

func newTiming(result forwarder.Result) promoter.Timing {
	return promoter.Timing{TTFT: result.TTFT, ExpectedTTFT: result.ExpectedTTFT, DecodePace: result.DecodePace}
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
	switch result.Outcome {
	case forwarder.NotSent:
	case forwarder.Incomplete:
		rollout.evidence.AddConnectionFailure(result.Endpoint, result.Route, m.deps.Clock())
	case forwarder.Completed:
		rollout.evidence.Add(result.Endpoint, result.Route, true)
		m.recordSpeed(rollout, result)
	case forwarder.Overdue:
		m.recordSpeed(rollout, result)
	case forwarder.ServerError:
		rollout.evidence.Add(result.Endpoint, result.Route, false)
		rollout.evidence.AddScore(promoter.BadResult, rollout.order, m.elapsed(rollout))
		m.evaluate(rollout)
	}
}

// recordSpeed compares a response of the new version with the old one. It does so
// only in a canary: when all requests move to the new version at once, its endpoints
// have no cached prefixes yet, and responses are slow for a while even if the version
// is good.
func (m *rolloutManager) recordSpeed(rollout *rolloutState, result forwarder.Result) {
	if rollout.state != promoter.Canary {
		return
	}
	if score, ok := m.baseline(result).Score(newTiming(result)); ok {
		rollout.evidence.AddScore(score, rollout.order, m.elapsed(rollout))
		m.evaluate(rollout)
	}
}

// recordOldVersionResult records a result of a version that is not being rolled
// out. A failed connection there shows that connections do not fail only at the
// new version.
func (m *rolloutManager) recordOldVersionResult(rollout *rolloutState, result forwarder.Result) {
	switch result.Outcome {
	case forwarder.Completed, forwarder.Overdue:
		m.baseline(result).Add(newTiming(result))
	case forwarder.Incomplete, forwarder.NotSent:
		if rollout != nil {
			rollout.evidence.AddOtherConnectionFailure(m.deps.Clock())
		}
	case forwarder.ServerError:
	}
}
