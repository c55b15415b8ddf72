package runner

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

const (
	// decideInterval is how often the states of active rollouts are decided.
	decideInterval = 200 * time.Millisecond
	// writeJitter spreads the daemons' attempts to write the same state, rollbackJitter
	// those to write a roll-back. Daemons stop using a bad version before that.
	writeJitter    = time.Second
	minWriteJitter = 10 * time.Millisecond
	rollbackJitter = 200 * time.Millisecond
	// resultsBatchDelay is the pause after a read that returned reports.
	resultsBatchDelay = 250 * time.Millisecond
	// rolloutReadWait is how long a read waits for a status or a report.
	rolloutReadWait = 8 * time.Second
	// maxRolloutAge is the age of the last verified read of a rollout topic beyond
	// which no more sessions get the new version. A read that fails is reported
	// before that.
	maxRolloutAge = rolloutReadWait + 2*time.Second
	// writeTimeout bounds one write.
	writeTimeout = time.Second
)

// rolloutState is this daemon's state of one service's rollout.
type rolloutState struct {
	order promoter.Order
	// formerOffsets are those at which the order was before the log lost it.
	formerOffsets []int64

	state  promoter.State
	status promoter.Status
	// initialOldEndpoints is the number of endpoints of the old version when this daemon
	// first counted them.
	initialOldEndpoints int
	// firstSeen is when the order was first seen, and stateEntered when the state
	// was, by the daemon's clock.
	firstSeen    time.Duration
	stateEntered time.Duration
	evidence     *promoter.Evidence
	// reportedBad and reportedCompared are the numbers of bad and of compared results
	// in the latest report.
	reportedBad      int
	reportedCompared int
	// lastReport is the latest report. checkReport is set when the log may have lost it,
	// reportFailed when its append failed.
	lastReport   string
	checkReport  bool
	reportFailed bool
	// lastReportInterval is the number of report intervals that had passed in the
	// state at the latest check.
	lastReportInterval int64
	// peerEvidence is the evidence of the other daemons by endpoint, by the key of
	// their reports, and peerBalances the balance of their results.
	peerEvidence map[string]map[string]float64
	peerBalances map[string]promoter.Balance
	// sessionsListed is set once this daemon has listed its sessions on the old
	// version. oldVersionSessions are the digests of these sessions, and
	// peerOldVersionSessions those that other daemons have reported.
	sessionsListed         bool
	oldVersionSessions     []uint64
	peerOldVersionSessions map[uint64]bool
	// worse is set once the pooled evidence shows that the new version is worse.
	worse bool
	// writeAt is when this daemon writes the next state; 0 if it has none to write.
	writeAt time.Duration
	// rewriteAt is when this daemon writes the state again that the log lacks; 0 if it does
	// not.
	rewriteAt time.Duration
	// decideFrom is when this daemon may first write a next state.
	decideFrom time.Duration
}

// rolloutManager follows the rollouts of all services and writes their next
// states.
type rolloutManager struct {
	*Runner
	// reportKey is the key of this daemon's reports. It includes the start time, so
	// that a restarted daemon has another key.
	reportKey    string
	statusTopic  *subscriber.Subscriber
	resultsTopic *subscriber.Subscriber
	// changed signals that a rollout may have begun or ended.
	changed chan struct{}

	mu sync.Mutex
	// byService holds the rollouts that have an order.
	byService map[string]*rolloutState
	// former holds the latest rollouts of each service whose orders were withdrawn or replaced.
	former map[string][]formerRollout
	// epoch is the log's epoch of the last change of the operators' topic.
	epoch subscriber.Epoch
	// mayBeOld is set if the orders of that change may be old ones: it holds all records, or is
	// the first one after a restore of the log.
	mayBeOld bool
	// restoreWindowEnd is the end of the restoreWindow after the last restore of the log.
	restoreWindowEnd time.Duration
	// currentVersions are the versions that services without an order run on.
	currentVersions map[string]string
	// statuses are the newest known status of each service, logged those that the log holds.
	statuses map[string]promoter.Status
	logged   map[string]promoter.Status
	// ownReports are this daemon's reports that the log holds, by service, resultsEpoch the
	// log's epoch of the last change of the results topic.
	ownReports   map[string]string
	resultsEpoch subscriber.Epoch
	sessions     *promoter.Sessions
	baselines    map[baselineKey]*promoter.Baseline
}

// newRolloutManager returns a manager without rollouts.
func newRolloutManager(r *Runner) *rolloutManager {
	m := &rolloutManager{
		Runner:          r,
		reportKey:       r.settings.Load().Name + "/" + strconv.FormatInt(int64(r.deps.Clock()), 36),
		changed:         make(chan struct{}, 1),
		byService:       map[string]*rolloutState{},
		former:          map[string][]formerRollout{},
		currentVersions: map[string]string{},
		statuses:        map[string]promoter.Status{},
		logged:          map[string]promoter.Status{},
		ownReports:      map[string]string{},
		sessions:        promoter.NewSessions(r.settings.Load().SessionTimeout),
		baselines:       map[baselineKey]*promoter.Baseline{},
	}
	m.statusTopic = subscriber.New("status", r.deps.StatusTopic, subscriber.ReadTiming{Wait: rolloutReadWait, ConfirmAfter: confirmAfter}, r.deps.Clock, m.applyStatuses, r.logger)
	m.resultsTopic = subscriber.New("results", r.deps.ResultsTopic, subscriber.ReadTiming{Wait: rolloutReadWait, BatchDelay: resultsBatchDelay, ConfirmAfter: confirmAfter}, r.deps.Clock, m.applyReports, r.logger)
	return m
}

// wake signals that a rollout may have begun or ended. It does not block.
func (m *rolloutManager) wake() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// elapsed returns the time since the rollout's order was first seen.
func (m *rolloutManager) elapsed(rollout *rolloutState) time.Duration {
	return m.deps.Clock() - rollout.firstSeen
}

// pooledBalance returns the balance of all daemons' results now.
func (m *rolloutManager) pooledBalance(rollout *rolloutState) promoter.Score {
	balances := append(slices.Collect(maps.Values(rollout.peerBalances)), rollout.evidence.Balance())
	return promoter.SumBalances(rollout.order, m.elapsed(rollout), balances...)
}

// evaluate sets worse if the pooled evidence of all daemons shows that the new
// version is worse: it fails more often or, in a canary, is slower.
func (m *rolloutManager) evaluate(rollout *rolloutState) {
	if rollout.worse || rollout.state.Final() {
		return
	}
	reports := []map[string]float64{rollout.evidence.ByEndpoint()}
	for _, report := range rollout.peerEvidence {
		reports = append(reports, report)
	}
	balance := m.pooledBalance(rollout)
	isSlower := rollout.state == promoter.Canary && balance.IsWorse()
	if isSlower || promoter.IsWorse(reports, m.endpointsInUse(rollout)) {
		rollout.worse = true
		m.logger.Warn("evidence shows that the new version is worse", "service", rollout.order.Service, "target", rollout.order.Target,
			"doubts", reports, "ttft_balance", balance.TTFT, "pace_balance", balance.Pace, "ttft_floor", balance.TTFTFloor, "pace_floor", balance.PaceFloor, "pace_narrow", balance.PaceNarrow, "runs", rollout.evidence.Results(), "elapsed", noter.FormatDuration(m.elapsed(rollout)), "results_age", noter.FormatDuration(m.topicAge(m.resultsTopic)))
	}
}

// endpointsInUse returns the number of endpoints that requests of the new version
// are sent to.
func (m *rolloutManager) endpointsInUse(rollout *rolloutState) int {
	endpoints := m.tracker.AvailableVersionCounts(rollout.order.Service)[rollout.order.Target]
	if rollout.state != promoter.Canary {
		return endpoints
	}
	return tracker.SubsetSize(endpoints, m.endpointSubset(rollout))
}

// topicAge returns the age of the topic's last verified read. It returns an hour
// if there is none, which counts as stale.
func (m *rolloutManager) topicAge(topic *subscriber.Subscriber) time.Duration {
	age, verified := topic.VerifiedAge()
	if !verified {
		return time.Hour
	}
	return age
}

// run follows and advances rollouts while there are active ones. It returns the
// error of ctx when ctx ends.
func (m *rolloutManager) run(ctx context.Context) error {
	for {
		select {
		case <-m.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !m.hasActive() {
			continue
		}
		m.runWhileActive(ctx)
	}
}

// hasActive reports whether a rollout is not in a final state, or whether the states of rollouts
// must be compared with those in the log, since it may have lost some.
func (m *rolloutManager) hasActive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	inRestoreWindow := m.deps.Clock() < m.restoreWindowEnd
	for _, rollout := range m.byService {
		if inRestoreWindow || !rollout.state.Final() || m.logLacks(rollout) {
			return true
		}
	}
	return false
}

// runWhileActive reads the rollout topics and writes due states until no rollout
// is active or ctx ends.
func (m *rolloutManager) runWhileActive(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, topic := range []*subscriber.Subscriber{m.statusTopic, m.resultsTopic} {
		group.Go(func() { _ = topic.Run(ctx) })
	}
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for m.hasActive() && ctx.Err() == nil {
		select {
		case <-ticker.C:
			m.writeDue(ctx)
		case <-ctx.Done():
		}
	}
	cancel()
	group.Wait()
}
