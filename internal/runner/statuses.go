package runner

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

const (
	// lateHold is how long a daemon writes no next state of an order that it finds when it
	// reads all records. The log may have lost the rollout's state, and daemons that know it
	// write it again meanwhile. A short order allows less: one part in lateHoldParts.
	lateHold      = 2 * time.Second
	lateHoldParts = 8
)

// lateHoldOf returns how long a daemon writes no next state of an order that it has not seen
// being made.
func lateHoldOf(order promoter.Order) time.Duration {
	return min(lateHold, order.Duration/lateHoldParts)
}

// applyStatuses applies the states that daemons have written. It logs and skips
// an invalid record.
func (m *rolloutManager) applyStatuses(change subscriber.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetLogged(change)
	for _, record := range change.Records {
		status, err := m.deps.Translator.DecodeStatus(record)
		if err != nil {
			m.logger.Error("invalid rollout status record", "key", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		m.statuses[status.Service] = status
		if record.Epoch >= change.Epoch {
			m.logged[status.Service] = status
		}
		if rollout := m.byService[status.Service]; rollout != nil {
			m.applyStatus(rollout, status)
		}
	}
	m.wake()
}

// forgetLogged forgets the statuses that the log does not hold any more.
func (m *rolloutManager) forgetLogged(change subscriber.Change) {
	if change.Complete {
		clear(m.logged)
	}
	for _, key := range change.Lost {
		if status, err := m.deps.Translator.DecodeStatus(subscriber.Record{Key: key}); err == nil {
			delete(m.logged, status.Service)
		}
	}
}

// applyStatus moves a rollout to the state that the daemons have agreed on.
// States only move forward.
func (m *rolloutManager) applyStatus(rollout *rolloutState, status promoter.Status) {
	state := stateOf(rollout, status)
	if !state.Supersedes(rollout.state) {
		return
	}
	now := m.deps.Clock()
	balance := m.pooledBalance(rollout)
	m.logger.Info("rollout state changed", "ttft_balance", balance.TTFT, "pace_balance", balance.Pace, "ttft_floor", balance.TTFTFloor, "pace_floor", balance.PaceFloor, "pace_narrow", balance.PaceNarrow, "service", rollout.order.Service, "target", rollout.order.Target,
		"from", rollout.state.String(), "to", state.String(), "runs", rollout.evidence.Results(), "elapsed", noter.FormatDuration(now-rollout.firstSeen))
	rollout.state = state
	rollout.status = status
	rollout.stateEntered = now
	rollout.writeAt = 0
	// A daemon that started later derives the order's age from the time at which the
	// first daemon saw it.
	age := min(rollout.order.Duration, max(0, time.Since(status.FirstSeen)))
	rollout.firstSeen = min(rollout.firstSeen, now-age)
}

// stateOf returns the state of the rollout according to a status. A daemon that has not read yet
// that the order was written again names its former offset.
func stateOf(rollout *rolloutState, status promoter.Status) promoter.State {
	if slices.Contains(rollout.formerOffsets, status.OrderOffset) {
		return status.StateOfLost(rollout.order)
	}
	return status.StateOf(rollout.order)
}

// logLacks reports whether the newest status in the log is behind the rollout's state: the log
// has lost it, or a daemon that did not know it has written an earlier one.
func (m *rolloutManager) logLacks(rollout *rolloutState) bool {
	logged, order := m.logged[rollout.order.Service], rollout.order
	switch {
	case m.isLost(order):
		// Its status would replace that of the order that the log shows instead, which may count
		// in the end.
		return false
	case logged.OrderOffset > order.Offset && !slices.Contains(rollout.formerOffsets, logged.OrderOffset):
		// It may be of a newer order, which this daemon has yet to read.
		return false
	default:
		return rollout.state.Supersedes(logged.StateOf(order))
	}
}

// rewrite returns a write of the state that the rollout is in, or nil if the log holds it or the
// write is not due.
func (m *rolloutManager) rewrite(rollout *rolloutState, now time.Duration) func(context.Context) error {
	if !m.logLacks(rollout) || m.isStale(m.statusTopic) {
		rollout.rewriteAt = 0
		return nil
	}
	if rollout.rewriteAt == 0 {
		rollout.rewriteAt = now + m.rewriteDelay()
	}
	if now < rollout.rewriteAt {
		return nil
	}
	rollout.rewriteAt = 0
	status := rollout.status
	status.OrderOffset, status.OrderDuration = rollout.order.Offset, rollout.order.Duration
	m.logger.Info("writing again the rollout state that the log lacks", "service", status.Service, "target", status.Target, "state", status.State.String())
	return m.statusWrite(status)
}

// rewriteDelay returns how long this daemon waits before it writes a state again. As for a next
// state, the zone readers are first.
func (m *rolloutManager) rewriteDelay() time.Duration {
	delay := time.Duration(rand.Int64N(int64(writeJitter)))
	if m.relayer.Following() {
		delay += writeJitter
	}
	return delay
}
