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
	writeSpread = time.Second
	// resultsPace is the pause after results have come.
	resultsPace = 250 * time.Millisecond
	// progressWait is how long a read waits for progress or results.
	progressWait = 8 * time.Second
	// progressAge is the age of what is known of a roll-out beyond which no more
	// sessions get the new version. A read that fails says so before that.
	progressAge = progressWait + 2*time.Second
	// writeTimeout bounds one write.
	writeTimeout = time.Second
)

// rollout is what this daemon knows of one service's roll-out.
type rollout struct {
	order  promoter.Order
	state  promoter.State
	status promoter.Status
	// began is when the order was first seen and entered when the state was, by
	// the daemon's clock.
	began   time.Duration
	entered time.Duration
	doubts  *promoter.Evidence
	// reported is the number of bad results that the newest report told of.
	reported int
	// intervals counts the intervals of reports so far.
	intervals int64
	// reports are the doubts of the other daemons by their key.
	reports map[string]map[string]float64
	// listed is set when this daemon has told which sessions run on the old
	// version; sessions are their digests, held those of all daemons.
	listed   bool
	sessions []uint64
	held     map[uint64]bool
	// adverse is set when the doubts speak against the version.
	adverse bool
	// due is when this daemon writes the next state; 0 when it has none to write.
	due time.Duration
}

// rollouts follows and drives the roll-outs of all services.
type rollouts struct {
	*Runner
	key     string
	status  *subscriber.Subscriber
	results *subscriber.Subscriber
	// active signals that a roll-out may have begun or ended.
	active chan struct{}

	mu       sync.Mutex
	services map[string]*rollout
	// usualVersions are the versions of the services without an order.
	usualVersions map[string]string
	statuses      map[string]promoter.Status
	sessions      *promoter.Sessions
	usual         map[usualKey]usual
}

func newRollouts(r *Runner) *rollouts {
	o := &rollouts{
		Runner:        r,
		key:           r.settings.Load().Name + "/" + strconv.FormatInt(int64(r.process.Clock()), 36),
		active:        make(chan struct{}, 1),
		services:      map[string]*rollout{},
		usualVersions: map[string]string{},
		statuses:      map[string]promoter.Status{},
		sessions:      promoter.NewSessions(r.settings.Load().Session),
		usual:         map[usualKey]usual{},
	}
	o.status = subscriber.New("status", r.process.Status, subscriber.ReadTiming{Wait: progressWait, ConfirmAfter: confirmTime}, r.process.Clock, o.takeStatus, r.logger)
	o.results = subscriber.New("results", r.process.Results, subscriber.ReadTiming{Wait: progressWait, BatchDelay: resultsPace, ConfirmAfter: confirmTime}, r.process.Clock, o.takeResults, r.logger)
	return o
}

// order takes an operator's order.
func (o *rollouts) order(order promoter.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.services[order.Service]
	if known != nil && known.order.Offset == order.Offset {
		return
	}
	now := o.process.Clock()
	known = &rollout{
		order:   order,
		began:   now,
		entered: now,
		doubts:  promoter.NewEvidence(),
		reports: map[string]map[string]float64{},
		held:    map[uint64]bool{},
	}
	o.services[order.Service] = known
	o.adopt(known, o.statuses[order.Service])
	o.wake()
}

func (o *rollouts) withdraw(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.services, service)
	o.wake()
}

func (o *rollouts) wake() {
	select {
	case o.active <- struct{}{}:
	default:
	}
}

// takeStatus takes the progress that daemons have agreed on.
func (o *rollouts) takeStatus(change subscriber.Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, item := range change.Records {
		status, err := o.process.Translator.Status(item)
		if err != nil {
			o.logger.Error("progress of a roll-out is not usable", "key", item.Key, "offset", item.Offset, "error", err)
			continue
		}
		o.statuses[status.Service] = status
		if known := o.services[status.Service]; known != nil {
			o.adopt(known, status)
		}
	}
	o.wake()
}

// adopt takes over an agreed state. States only go forward.
func (o *rollouts) adopt(known *rollout, status promoter.Status) {
	state := status.StateOf(known.order)
	if state <= known.state || known.state.Final() {
		return
	}
	now := o.process.Clock()
	o.logger.Info("roll-out goes on", "service", known.order.Service, "target", known.order.Target,
		"from", known.state.String(), "to", state.String(), "runs", known.doubts.Results(), "elapsed", noter.Brief(now-known.began))
	known.state = state
	known.status = status
	known.entered = now
	known.due = 0
	// A daemon that started later takes the order's age from the first one.
	age := min(known.order.Duration, max(0, time.Since(status.FirstSeen)))
	known.began = min(known.began, now-age)
}

// takeResults takes what daemons hold against new versions.
func (o *rollouts) takeResults(change subscriber.Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, item := range change.Records {
		report := &schema.RolloutReport{}
		if err := proto.Unmarshal(item.Value, report); err != nil {
			o.logger.Error("report of a roll-out is not usable", "key", item.Key, "offset", item.Offset, "error", err)
			continue
		}
		known := o.services[report.GetService()]
		if known == nil || known.order.Offset != report.GetOrder() || item.Key == o.key {
			continue
		}
		known.reports[item.Key] = report.GetDoubts()
		for _, digest := range report.GetSessions() {
			known.held[digest] = true
		}
		o.judge(known)
	}
}

// judge looks at the doubts of all daemons.
func (o *rollouts) judge(known *rollout) {
	if known.adverse || known.state.Final() {
		return
	}
	reports := []map[string]float64{known.doubts.ByEndpoint()}
	for _, report := range known.reports {
		reports = append(reports, report)
	}
	if promoter.IsWorse(reports, o.used(known)) {
		known.adverse = true
		o.logger.Warn("new version is worse", "service", known.order.Service, "target", known.order.Target,
			"doubts", reports, "runs", known.doubts.Results(), "elapsed", noter.Brief(o.process.Clock()-known.began), "results_age", noter.Brief(o.age(o.results)))
	}
}

// used returns the number of endpoints that the new version's requests go to.
func (o *rollouts) used(known *rollout) int {
	endpoints := o.tracker.VersionCounts(known.order.Service)[known.order.Target]
	if known.state != promoter.Canary {
		return endpoints
	}
	return tracker.SubsetSize(endpoints, o.subset(known))
}

func (o *rollouts) age(topic *subscriber.Subscriber) time.Duration {
	age, proven := topic.VerifiedAge()
	if !proven {
		return time.Hour
	}
	return age
}

// run follows progress while a roll-out is under way, and drives it.
func (o *rollouts) run(ctx context.Context) error {
	for {
		select {
		case <-o.active:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !o.underWay() {
			continue
		}
		o.follow(ctx)
	}
}

func (o *rollouts) underWay() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, known := range o.services {
		if !known.state.Final() {
			return true
		}
	}
	return false
}

// follow runs until no roll-out is under way.
func (o *rollouts) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, topic := range []*subscriber.Subscriber{o.status, o.results} {
		group.Go(func() { _ = topic.Run(ctx) })
	}
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for o.underWay() && ctx.Err() == nil {
		select {
		case <-ticker.C:
			o.step(ctx)
		case <-ctx.Done():
		}
	}
	cancel()
	group.Wait()
}
