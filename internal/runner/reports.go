package runner

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// reportInterval is the time between two reports of a daemon. It counts from the
	// beginning of the state, so that the reports of all daemons arrive together and
	// share a read.
	reportInterval = 1500 * time.Millisecond
	// speedReportIntervals is the number of report intervals between two reports
	// without new bad results.
	speedReportIntervals = 2
)

// applyReports applies the evidence and the sessions that other daemons have
// reported. It logs and skips an invalid report.
func (m *rolloutManager) applyReports(change subscriber.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetOwnReports(change)
	changed := map[*rolloutState]bool{}
	for _, record := range change.Records {
		report := &schema.RolloutReport{}
		if err := proto.Unmarshal(record.Value, report); err != nil {
			m.logger.Error("invalid rollout report", "key", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		if record.Key == m.reportKey {
			if record.Epoch >= change.Epoch {
				m.ownReports[report.GetService()] = string(record.Value)
			}
			continue
		}
		rollout := m.byService[report.GetService()]
		if rollout == nil || !m.isReportOn(rollout, report) {
			continue
		}
		rollout.peerEvidence[record.Key] = report.GetDoubts()
		rollout.peerBalances[record.Key] = promoter.Balance{Sum: promoter.Score{TTFT: report.GetTtft(), Pace: report.GetPace(), TTFTFloor: report.GetTtftFloor(), PaceFloor: report.GetPaceFloor(), PaceNarrow: report.GetPaceNarrow()}, At: report.GetAt().AsDuration()}
		for _, digest := range report.GetSessions() {
			rollout.peerOldVersionSessions[digest] = true
		}
		changed[rollout] = true
	}
	// Each evaluation takes time in proportion to the number of daemons.
	for rollout := range changed {
		m.evaluate(rollout)
	}
}

// isReportOn reports whether another daemon's report is about the rollout. While the log has lost
// the order, and after it was written again, other daemons may know it at another offset.
func (m *rolloutManager) isReportOn(rollout *rolloutState, report *schema.RolloutReport) bool {
	order := rollout.order
	// Daemons of an earlier version name no target.
	if target := report.GetTarget(); target != "" {
		if target != order.Target {
			return false
		}
		if m.isLost(order) {
			return true
		}
	}
	return report.GetOrder() == order.Offset || slices.Contains(rollout.formerOffsets, report.GetOrder())
}

// forgetOwnReports forgets this daemon's reports that the log does not hold any more. After a
// restore of the log, each rollout's latest report is compared with them once.
func (m *rolloutManager) forgetOwnReports(change subscriber.Change) {
	if change.Complete || slices.Contains(change.Lost, m.reportKey) {
		clear(m.ownReports)
	}
	if change.Epoch <= m.resultsEpoch {
		return
	}
	isFirst := m.resultsEpoch == 0
	m.resultsEpoch = change.Epoch
	if isFirst {
		return
	}
	for _, rollout := range m.byService {
		rollout.checkReport = true
	}
}

// reportWrite returns a write of this daemon's report on a rollout, or nil if
// none is due. A report is due when a report interval begins and the number of bad
// results has changed, the log has lost the latest report or its append failed; every few
// intervals if the number of compared results has changed; and once to list the sessions on the
// old version if there are any. The append that failed may have been done: a second report
// replaces the first.
func (m *rolloutManager) reportWrite(rollout *rolloutState, now time.Duration) func(context.Context) error {
	listSessions := !rollout.sessionsListed && promoter.ShouldListSessions(rollout.state, now-rollout.stateEntered)
	if listSessions {
		rollout.sessionsListed = true
		rollout.oldVersionSessions = m.sessions.OldVersionDigests(rollout.order, rollout.status.Share, time.Now())
	}
	interval := int64((now - rollout.stateEntered) / reportInterval)
	due := interval != rollout.lastReportInterval
	rollout.lastReportInterval = interval
	evidenceGrown := due && (rollout.evidence.Bad() != rollout.reportedBad ||
		interval%speedReportIntervals == 0 && rollout.evidence.Compared() != rollout.reportedCompared)
	isMissing := due && (m.hasLostReport(rollout) || rollout.reportFailed)
	if !evidenceGrown && !isMissing && (!listSessions || len(rollout.oldVersionSessions) == 0) {
		return nil
	}
	rollout.reportFailed = false
	rollout.reportedBad = rollout.evidence.Bad()
	rollout.reportedCompared = rollout.evidence.Compared()
	data, err := proto.Marshal(newReport(rollout))
	rollout.lastReport = string(data)
	return func(ctx context.Context) error {
		if err != nil {
			return err
		}
		return m.appendReport(ctx, rollout, data)
	}
}

// appendReport appends a report on a rollout to the log, and records a failure.
func (m *rolloutManager) appendReport(ctx context.Context, rollout *rolloutState, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := m.deps.ResultsTopic.Append(ctx, m.reportKey, data)
	if err != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		rollout.reportFailed = true
	}
	return err
}

// hasLostReport reports, once after a restore of the log, whether it has lost the latest report
// on the rollout.
func (m *rolloutManager) hasLostReport(rollout *rolloutState) bool {
	if !rollout.checkReport {
		return false
	}
	rollout.checkReport = false
	return rollout.lastReport != "" && m.ownReports[rollout.order.Service] != rollout.lastReport
}

// newReport returns this daemon's report on a rollout.
func newReport(rollout *rolloutState) *schema.RolloutReport {
	balance := rollout.evidence.Balance()
	return &schema.RolloutReport{
		Service:    rollout.order.Service,
		Order:      rollout.order.Offset,
		Target:     rollout.order.Target,
		Doubts:     rollout.evidence.ByEndpoint(),
		Sessions:   rollout.oldVersionSessions,
		Ttft:       balance.Sum.TTFT,
		Pace:       balance.Sum.Pace,
		At:         durationpb.New(balance.At),
		TtftFloor:  balance.Sum.TTFTFloor,
		PaceFloor:  balance.Sum.PaceFloor,
		PaceNarrow: balance.Sum.PaceNarrow,
	}
}
