package runner

import (
	"context"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// decideInterval is how often running roll-outs are looked at.
	decideInterval = 200 * time.Millisecond
	// reportInterval is the time between two reports of a daemon. It counts from
	// the beginning of the state, so that the reports of all daemons come together
	// and share a read.
	reportInterval = 1500 * time.Millisecond
	// writeSpread spreads the daemons' attempts to write the same progress.
	writeJitter = time.Second
	// resultsPace is the pause after results have come.
	resultsBatchDelay = 250 * time.Millisecond
	// progressWait is how long a read waits for progress or results.
	rolloutReadWait = 8 * time.Second
	// progressAge is the age of what is known of a roll-out beyond which no more
	// sessions get the new version. A read that fails says so before that.
	maxRolloutAge = rolloutReadWait + 2*time.Second
	// writeTimeout bounds one write.
	writeTimeout = time.Second
)

// rollout is what this daemon knows of one service's roll-out.
type rolloutState struct {
	order  promoter.Order
	state  promoter.State
	status promoter.Status
	// began is when the order was first seen and entered when the state was, by
	// the daemon's clock.
	firstSeen    time.Duration
	stateEntered time.Duration
	evidence     *promoter.Evidence
	// reported is the number of bad results that the newest report told of.
	reportedBad int
	// intervals counts the intervals of reports so far.
	lastReportInterval int64
	// reports are the doubts of the other daemons by their key.
	peerEvidence map[string]map[string]float64
	// listed is set when this daemon has told which sessions run on the old
	// version; sessions are their digests, held those of all daemons.
	sessionsListed         bool
	oldVersionSessions     []uint64
	peerOldVersionSessions map[uint64]bool
	// adverse is set when the doubts speak against the version.
	worse bool
	// due is when this daemon writes the next state; 0 when it has none to write.
	writeAt time.Duration
}

// rollouts follows and drives the roll-outs of all services.
type rolloutManager struct {
	*Runner
	reportKey    string
	statusTopic  *subscriber.Subscriber
	resultsTopic *subscriber.Subscriber
	// active signals that a roll-out may have begun or ended.
	changed chan struct{}

	mu        sync.Mutex
	byService map[string]*rolloutState
	// usualVersions are the versions of the services without an order.
	currentVersions map[string]string
	statuses        map[string]promoter.Status
	sessions        *promoter.Sessions
	baselines       map[baselineKey]baseline
}

func newRolloutManager(r *Runner) *rolloutManager {
	m := &rolloutManager{
		Runner:          r,
		reportKey:       r.settings.Load().Name + "/" + strconv.FormatInt(int64(r.deps.Clock()), 36),
		changed:         make(chan struct{}, 1),
		byService:       map[string]*rolloutState{},
		currentVersions: map[string]string{},
		statuses:        map[string]promoter.Status{},
		sessions:        promoter.NewSessions(r.settings.Load().SessionTimeout),
		baselines:       map[baselineKey]baseline{},
	}
	m.statusTopic = subscriber.New("status", r.deps.StatusTopic, subscriber.ReadTiming{Wait: rolloutReadWait, ConfirmAfter: confirmAfter}, r.deps.Clock, m.applyStatuses, r.logger)
	m.resultsTopic = subscriber.New("results", r.deps.ResultsTopic, subscriber.ReadTiming{Wait: rolloutReadWait, BatchDelay: resultsBatchDelay, ConfirmAfter: confirmAfter}, r.deps.Clock, m.applyReports, r.logger)
	return m
}

// order takes an operator's order.
func (m *rolloutManager) addOrder(order promoter.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rollout := m.byService[order.Service]
	if rollout != nil && rollout.order.Offset == order.Offset {
		return
	}
	now := m.deps.Clock()
	rollout = &rolloutState{
		order:                  order,
		firstSeen:              now,
		stateEntered:           now,
		evidence:               promoter.NewEvidence(),
		peerEvidence:           map[string]map[string]float64{},
		peerOldVersionSessions: map[uint64]bool{},
	}
	m.byService[order.Service] = rollout
	m.applyStatus(rollout, m.statuses[order.Service])
	m.wake()
}

func (m *rolloutManager) removeOrder(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.byService, service)
	m.wake()
}

func (m *rolloutManager) wake() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// takeStatus takes the progress that daemons have agreed on.
func (m *rolloutManager) applyStatuses(change subscriber.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, record := range change.Records {
		status, err := m.deps.Translator.DecodeStatus(record)
		if err != nil {
			m.logger.Error("progress of a roll-out is not usable", "key", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		m.statuses[status.Service] = status
		if rollout := m.byService[status.Service]; rollout != nil {
			m.applyStatus(rollout, status)
		}
	}
	m.wake()
}

// adopt takes over an agreed state. States only go forward.
func (m *rolloutManager) applyStatus(rollout *rolloutState, status promoter.Status) {
	state := status.StateOf(rollout.order)
	if state <= rollout.state || rollout.state.Final() {
		return
	}
	now := m.deps.Clock()
	m.logger.Info("roll-out goes on", "service", rollout.order.Service, "target", rollout.order.Target,
		"from", rollout.state.String(), "to", state.String(), "runs", rollout.evidence.Results(), "elapsed", noter.FormatDuration(now-rollout.firstSeen))
	rollout.state = state
	rollout.status = status
	rollout.stateEntered = now
	rollout.writeAt = 0
	// A daemon that started later takes the order's age from the first one.
	age := min(rollout.order.Duration, max(0, time.Since(status.FirstSeen)))
	rollout.firstSeen = min(rollout.firstSeen, now-age)
}

// takeResults takes what daemons hold against new versions.
func (m *rolloutManager) applyReports(change subscriber.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, record := range change.Records {
		report := &schema.RolloutReport{}
		if err := proto.Unmarshal(record.Value, report); err != nil {
			m.logger.Error("report of a roll-out is not usable", "key", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		rollout := m.byService[report.GetService()]
		if rollout == nil || rollout.order.Offset != report.GetOrder() || record.Key == m.reportKey {
			continue
		}
		rollout.peerEvidence[record.Key] = report.GetDoubts()
		for _, digest := range report.GetSessions() {
			rollout.peerOldVersionSessions[digest] = true
		}
		m.evaluate(rollout)
	}
}

// judge looks at the doubts of all daemons.
func (m *rolloutManager) evaluate(rollout *rolloutState) {
	if rollout.worse || rollout.state.Final() {
		return
	}
	reports := []map[string]float64{rollout.evidence.ByEndpoint()}
	for _, report := range rollout.peerEvidence {
		reports = append(reports, report)
	}
	if promoter.IsWorse(reports, m.endpointsInUse(rollout)) {
		rollout.worse = true
		m.logger.Warn("new version is worse", "service", rollout.order.Service, "target", rollout.order.Target,
			"doubts", reports, "runs", rollout.evidence.Results(), "elapsed", noter.FormatDuration(m.deps.Clock()-rollout.firstSeen), "results_age", noter.FormatDuration(m.topicAge(m.resultsTopic)))
	}
}

// used returns the number of endpoints that the new version's requests go to.
func (m *rolloutManager) endpointsInUse(rollout *rolloutState) int {
	endpoints := m.tracker.VersionCounts(rollout.order.Service)[rollout.order.Target]
	if rollout.state != promoter.Canary {
		return endpoints
	}
	return tracker.SubsetSize(endpoints, m.endpointSubset(rollout))
}

func (m *rolloutManager) topicAge(topic *subscriber.Subscriber) time.Duration {
	age, verified := topic.VerifiedAge()
	if !verified {
		return time.Hour
	}
	return age
}

// run follows progress while a roll-out is under way, and drives it.
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

func (m *rolloutManager) hasActive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rollout := range m.byService {
		if !rollout.state.Final() {
			return true
		}
	}
	return false
}

// follow runs until no roll-out is under way.
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
