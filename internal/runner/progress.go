package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// step reports doubts and writes the states that are due.
func (m *rolloutManager) writeDue(ctx context.Context) {
	for _, write := range m.dueWrites() {
		if err := write(ctx); err != nil {
			m.logger.Info("progress of a roll-out could not be written", "error", err)
		}
	}
}

// writes returns what is to be written now.
func (m *rolloutManager) dueWrites() []func(context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.deps.Clock()
	var writes []func(context.Context) error
	for _, rollout := range m.byService {
		if rollout.state.Final() {
			continue
		}
		if rollout.evidence.SettleConnectionFailures(now) {
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

// report returns a write of this daemon's doubts if they have grown, and of its
// sessions when they are to be told.
func (m *rolloutManager) reportWrite(rollout *rolloutState, now time.Duration) func(context.Context) error {
	listSessions := !rollout.sessionsListed && promoter.ShouldListSessions(rollout.state, now-rollout.stateEntered)
	if listSessions {
		rollout.sessionsListed = true
		rollout.oldVersionSessions = m.sessions.OldVersionDigests(rollout.order, rollout.status.Share, time.Now())
	}
	evidence := rollout.evidence.ByEndpoint()
	interval := int64((now - rollout.stateEntered) / reportInterval)
	due := interval != rollout.lastReportInterval
	rollout.lastReportInterval = interval
	evidenceGrown := due && rollout.evidence.Bad() != rollout.reportedBad
	if !evidenceGrown && (!listSessions || len(rollout.oldVersionSessions) == 0) {
		return nil
	}
	rollout.reportedBad = rollout.evidence.Bad()
	report := &schema.RolloutReport{
		Service:  rollout.order.Service,
		Order:    rollout.order.Offset,
		Doubts:   evidence,
		Sessions: rollout.oldVersionSessions,
	}
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		data, err := proto.Marshal(report)
		if err != nil {
			return err
		}
		return m.deps.ResultsTopic.Append(ctx, m.reportKey, data)
	}
}

// progress returns a write of the next state if it is due.
func (m *rolloutManager) progressWrite(rollout *rolloutState, now time.Duration) func(context.Context) error {
	versions := m.tracker.VersionCounts(rollout.order.Service)
	newEndpoints := versions[rollout.order.Target]
	oldEndpoints := -newEndpoints
	for _, count := range versions {
		oldEndpoints += count
	}
	if _, verified := m.statusTopic.VerifiedAge(); !verified {
		// What others have written is not known yet.
		return nil
	}
	next := promoter.Decide(promoter.View{
		Order:        rollout.order,
		State:        rollout.state,
		Elapsed:      now - rollout.firstSeen,
		TimeInState:  now - rollout.stateEntered,
		Worse:        rollout.worse,
		OldEndpoints: oldEndpoints,
		NewEndpoints: newEndpoints,
		Results:      rollout.evidence.Results(),
	})
	if next == rollout.state {
		return nil
	}
	if rollout.writeAt == 0 {
		rollout.writeAt = now
		if next != promoter.RolledBack {
			rollout.writeAt += time.Duration(rand.Int64N(int64(writeJitter)))
		}
	}
	if now < rollout.writeAt {
		return nil
	}
	rollout.writeAt = 0
	share := rollout.status.Share
	if rollout.state == promoter.Waiting {
		share = promoter.CanaryShare(oldEndpoints, m.settings.Load().ExposureShare)
	}
	return m.statusWrite(rollout, next, share, now)
}

// write returns a write of a state on condition that nobody wrote before.
func (m *rolloutManager) statusWrite(rollout *rolloutState, next promoter.State, share float64, now time.Duration) func(context.Context) error {
	status := promoter.Status{
		Service:     rollout.order.Service,
		Target:      rollout.order.Target,
		OrderOffset: rollout.order.Offset,
		State:       next,
		Share:       share,
		FirstSeen:   time.Now().Add(rollout.firstSeen - now),
	}
	offset := m.statusTopic.NextOffset()
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		key, value, err := m.deps.Translator.EncodeStatus(status)
		if err != nil {
			return err
		}
		err = m.deps.StatusTopic.AppendAt(ctx, key, value, offset)
		if errors.Is(err, subscriber.ErrOffsetConflict) {
			return nil
		}
		if err == nil {
			m.logger.Info("progress of a roll-out written", "service", status.Service, "target", status.Target, "state", status.State.String(), "at", offset)
		}
		return err
	}
}
