package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// writeDue writes this daemon's reports and the rollout states that are due. It
// logs a failed write. The state is then decided anew at the next call, whereas a
// failed report is written anew when the next report interval begins.
func (m *rolloutManager) writeDue(ctx context.Context) {
	for _, write := range m.dueWrites() {
		if err := write(ctx); err != nil {
			m.logger.Info("cannot write rollout state or report", "error", err)
		}
	}
}

// dueWrites returns the writes that are due now. The caller runs them without
// holding the mutex.
func (m *rolloutManager) dueWrites() []func(context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.deps.Clock()
	var writes []func(context.Context) error
	for _, rollout := range m.byService {
		if rewrite := m.rewrite(rollout, now); rewrite != nil {
			writes = append(writes, rewrite)
			continue
		}
		if rollout.state.Final() {
			continue
		}
		for range rollout.evidence.SettleConnectionFailures(now) {
			rollout.evidence.AddScore(promoter.BadResult, rollout.order, m.elapsed(rollout))
			m.evaluate(rollout)
		}
		if report := m.reportWrite(rollout, now); report != nil {
			writes = append(writes, report)
		}
		if progress := m.progressWrite(rollout, now); progress != nil {
			writes = append(writes, progress)
		}
	}
	return writes
}

// progressWrite returns a write of the rollout's next state, or nil if the state
// does not change or its write is not due.
func (m *rolloutManager) progressWrite(rollout *rolloutState, now time.Duration) func(context.Context) error {
	newEndpoints, oldEndpoints := countByTarget(m.tracker.AvailableVersionCounts(rollout.order.Service), rollout.order.Target)
	if rollout.initialOldEndpoints == 0 {
		// The endpoints of an evacuated zone count, since its evacuation may be withdrawn
		// during the rollout.
		_, rollout.initialOldEndpoints = countByTarget(m.tracker.InServiceVersionCounts()[rollout.order.Service], rollout.order.Target)
	}
	if _, verified := m.statusTopic.VerifiedAge(); !verified {
		// The states that other daemons have written are not known yet.
		return nil
	}
	if m.isLost(rollout.order) {
		// Nobody may write the order again, and its status would be without an order.
		return nil
	}
	view := promoter.View{
		Order:       rollout.order,
		State:       rollout.state,
		Elapsed:     now - rollout.firstSeen,
		TimeInState: now - rollout.stateEntered,
		Worse:       rollout.worse,
		// Endpoints that replace others may be counted beside them for a while.
		OldEndpoints: min(oldEndpoints, rollout.initialOldEndpoints),
		NewEndpoints: newEndpoints,
		Balance:      m.pooledBalance(rollout),
		Stale:        m.isStale(m.resultsTopic),
	}
	next := promoter.Decide(view)
	if next == rollout.state || now < rollout.decideFrom {
		return nil
	}
	if rollout.writeAt == 0 {
		rollout.writeAt = now + m.writeDelay(next, view)
	}
	if now < rollout.writeAt {
		return nil
	}
	rollout.writeAt = 0
	share := rollout.status.Share
	if rollout.state == promoter.Waiting {
		share = promoter.CanaryShare(oldEndpoints, m.settings.Load().ExposureShare)
	}
	status := promoter.Status{
		Service:       rollout.order.Service,
		Target:        rollout.order.Target,
		OrderOffset:   rollout.order.Offset,
		OrderDuration: rollout.order.Duration,
		State:         next,
		Share:         share,
		FirstSeen:     time.Now().Add(rollout.firstSeen - now),
	}
	if next == promoter.RolledBack {
		status.Reason = view.Reason()
		m.logger.Warn("rolling back", "service", status.Service, "target", status.Target, "reason", status.Reason,
			"ttft_balance", view.Balance.TTFT, "pace_balance", view.Balance.Pace, "ttft_floor", view.Balance.TTFTFloor, "pace_floor", view.Balance.PaceFloor, "pace_narrow", view.Balance.PaceNarrow, "elapsed", noter.FormatDuration(view.Elapsed), "old_endpoints", oldEndpoints, "new_endpoints", newEndpoints)
	}
	return m.statusWrite(status)
}

// countByTarget returns the numbers of endpoints of the target version and of all others.
func countByTarget(versions map[string]int, target string) (newEndpoints, oldEndpoints int) {
	for version, count := range versions {
		if version == target {
			newEndpoints = count
		} else {
			oldEndpoints += count
		}
	}
	return newEndpoints, oldEndpoints
}

// writeDelay returns how long this daemon waits before it writes a state. The zone
// readers see a change first and write first, so that the other daemons, of which there
// are many, rarely make a conflicting write.
func (m *rolloutManager) writeDelay(next promoter.State, view promoter.View) time.Duration {
	jitter := jitterOf(next, view)
	delay := time.Duration(rand.Int64N(int64(jitter)))
	if m.relayer.Following() {
		delay += jitter
	}
	return delay
}

// jitterOf returns the jitter of the daemons' writes of a state. A short order leaves little
// time to write the full state, of which all of them together use at most half.
func jitterOf(next promoter.State, view promoter.View) time.Duration {
	switch next {
	case promoter.RolledBack:
		return rollbackJitter
	case promoter.Full:
		return max(minWriteJitter, min(writeJitter, view.TimeForFull()/4))
	default:
		return writeJitter
	}
}

// statusWrite returns a write of a state. The append is conditional on the
// topic's end, so that only one of the daemons writes the state. A conflict is
// not an error: another daemon has written first.
func (m *rolloutManager) statusWrite(status promoter.Status) func(context.Context) error {
	next := m.statusTopic.Next()
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		key, value, err := m.deps.Translator.EncodeStatus(status)
		if err != nil {
			return err
		}
		err = m.deps.StatusTopic.AppendAt(ctx, key, value, next)
		if errors.Is(err, subscriber.ErrOffsetConflict) {
			return nil
		}
		if err == nil {
			m.logger.Info("rollout state written", "service", status.Service, "target", status.Target, "state", status.State.String(), "at", next.Offset)
		}
		return err
	}
}
