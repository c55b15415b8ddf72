package runner

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
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
	doubts  *promoter.Doubts
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
	o.status = subscriber.New("status", r.process.Status, subscriber.Times{Wait: progressWait, Confirm: confirmTime}, r.process.Clock, o.takeStatus, r.logger)
	o.results = subscriber.New("results", r.process.Results, subscriber.Times{Wait: progressWait, Pace: resultsPace, Confirm: confirmTime}, r.process.Clock, o.takeResults, r.logger)
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
		doubts:  promoter.NewDoubts(),
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
	for _, item := range change.Items {
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
	state := status.Of(known.order)
	if state <= known.state || known.state.Final() {
		return
	}
	now := o.process.Clock()
	o.logger.Info("roll-out goes on", "service", known.order.Service, "target", known.order.Target,
		"from", known.state.String(), "to", state.String(), "runs", known.doubts.Runs(), "elapsed", noter.Brief(now-known.began))
	known.state = state
	known.status = status
	known.entered = now
	known.due = 0
	// A daemon that started later takes the order's age from the first one.
	age := min(known.order.Duration, max(0, time.Since(status.Since)))
	known.began = min(known.began, now-age)
}

// takeResults takes what daemons hold against new versions.
func (o *rollouts) takeResults(change subscriber.Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, item := range change.Items {
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
	reports := []map[string]float64{known.doubts.Endpoints()}
	for _, report := range known.reports {
		reports = append(reports, report)
	}
	inUse := o.tracker.Versions(known.order.Service)[known.order.Target]
	if promoter.Adverse(reports, inUse) {
		known.adverse = true
		o.logger.Warn("new version is worse", "service", known.order.Service, "target", known.order.Target,
			"doubts", reports, "runs", known.doubts.Runs(), "elapsed", noter.Brief(o.process.Clock()-known.began), "results_age", noter.Brief(o.age(o.results)))
	}
}

func (o *rollouts) age(topic *subscriber.Subscriber) time.Duration {
	age, proven := topic.Age()
	if !proven {
		return time.Hour
	}
	return age
}

// stale reports whether what is known of roll-outs may lack news.
func (o *rollouts) stale(topic *subscriber.Subscriber) bool {
	return topic.Failing() || o.age(topic) > progressAge
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

// step reports doubts and writes the states that are due.
func (o *rollouts) step(ctx context.Context) {
	for _, write := range o.writes() {
		if err := write(ctx); err != nil {
			o.logger.Info("progress of a roll-out could not be written", "error", err)
		}
	}
}

// writes returns what is to be written now.
func (o *rollouts) writes() []func(context.Context) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.process.Clock()
	var writes []func(context.Context) error
	for _, known := range o.services {
		if known.state.Final() {
			continue
		}
		if report := o.report(known, now); report != nil {
			writes = append(writes, report)
		}
		if progress := o.progress(known, now); progress != nil {
			writes = append(writes, progress)
		}
	}
	return writes
}

// report returns a write of this daemon's doubts if they have grown, and of its
// sessions when they are to be told.
func (o *rollouts) report(known *rollout, now time.Duration) func(context.Context) error {
	list := !known.listed && promoter.Listing(known.state, now-known.entered)
	if list {
		known.listed = true
		known.sessions = o.sessions.Held(known.order, known.status.Share, time.Now())
	}
	doubts := known.doubts.Endpoints()
	interval := int64((now - known.entered) / reportInterval)
	due := interval != known.intervals
	known.intervals = interval
	grown := due && known.doubts.Bad() != known.reported
	if !grown && (!list || len(known.sessions) == 0) {
		return nil
	}
	known.reported = known.doubts.Bad()
	report := &schema.RolloutReport{
		Service:  known.order.Service,
		Order:    known.order.Offset,
		Doubts:   doubts,
		Sessions: known.sessions,
	}
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		data, err := proto.Marshal(report)
		if err != nil {
			return err
		}
		return o.process.Results.Append(ctx, o.key, data)
	}
}

// progress returns a write of the next state if it is due.
func (o *rollouts) progress(known *rollout, now time.Duration) func(context.Context) error {
	versions := o.tracker.Versions(known.order.Service)
	fresh := versions[known.order.Target]
	old := -fresh
	for _, count := range versions {
		old += count
	}
	if _, proven := o.status.Age(); !proven {
		// What others have written is not known yet.
		return nil
	}
	next := promoter.Decide(promoter.View{
		Order:   known.order,
		State:   known.state,
		Elapsed: now - known.began,
		InState: now - known.entered,
		Adverse: known.adverse,
		Old:     old,
		New:     fresh,
		Runs:    known.doubts.Runs(),
	})
	if next == known.state {
		return nil
	}
	if known.due == 0 {
		known.due = now
		if next != promoter.RolledBack {
			known.due += time.Duration(rand.Int64N(int64(writeSpread)))
		}
	}
	if now < known.due {
		return nil
	}
	known.due = 0
	share := known.status.Share
	if known.state == promoter.Waiting {
		share = promoter.TrialShare(old, o.settings.Load().Expose)
	}
	return o.write(known, next, share, now)
}

// write returns a write of a state on condition that nobody wrote before.
func (o *rollouts) write(known *rollout, next promoter.State, share float64, now time.Duration) func(context.Context) error {
	status := promoter.Status{
		Service: known.order.Service,
		Target:  known.order.Target,
		Order:   known.order.Offset,
		State:   next,
		Share:   share,
		Since:   time.Now().Add(known.began - now),
	}
	at := o.status.Next()
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		key, value, err := o.process.Translator.EncodeStatus(status)
		if err != nil {
			return err
		}
		err = o.process.Status.AppendAt(ctx, key, value, at)
		if errors.Is(err, subscriber.ErrMoved) {
			return nil
		}
		if err == nil {
			o.logger.Info("progress of a roll-out written", "service", status.Service, "target", status.Target, "state", status.State.String(), "at", at)
		}
		return err
	}
}

// version returns the version that a request must run on.
func (o *rollouts) version(question forwarder.Question) forwarder.Constraint {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	known := o.services[question.Service]
	if known == nil {
		// A roll-out may begin before the session's next request.
		o.sessions.Began(question.Session, oldVersion, now)
		return forwarder.Constraint{Only: o.usualVersions[question.Service]}
	}
	target := known.order.Target
	if !o.choose(known, question, now) {
		o.sessions.Began(question.Session, oldVersion, now)
		return forwarder.Constraint{Except: target}
	}
	o.sessions.Began(question.Session, target, now)
	if known.state == promoter.Trial {
		return forwarder.Constraint{Only: target, Subset: subsetOfShare * promoter.ShareNow(known.status.Share, o.movable(known))}
	}
	return forwarder.Constraint{Only: target}
}

// registered notes the version of each service that is in use without an order:
// endpoints of a new version may be seen before its order is.
func (o *rollouts) registered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, versions := range o.tracker.AllVersions() {
		if usual := o.usualVersions[service]; versions[usual] == 0 {
			o.usualVersions[service] = mostOf(versions)
		}
	}
}

// mostOf returns the version with the most endpoints.
func mostOf(versions map[string]int) string {
	best := ""
	for version, count := range versions {
		if count > versions[best] || count == versions[best] && version < best {
			best = version
		}
	}
	return best
}

// subsetOfShare times the share of the sessions in a trial is the share of the
// new endpoints that serve them: they are then under half of their usual load.
const subsetOfShare = 2

// movable reports whether sessions may move to the new version.
func (o *rollouts) movable(known *rollout) bool {
	return promoter.Movable(known.order, known.state, o.process.Clock()-known.began)
}

// entered records that a session's request has come.
func (o *rollouts) entered(session string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sessions.Entered(session, time.Now())
}

// left records that a session's request has ended.
func (o *rollouts) left(session string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sessions.Left(session, time.Now())
}

// sweep forgets sessions that have ended.
func (o *rollouts) sweep() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sessions.Sweep(time.Now())
}

// oldVersion stands for any version but the target.
const oldVersion = "old"

// choose reports whether the request goes to the new version.
func (o *rollouts) choose(known *rollout, question forwarder.Question, now time.Time) bool {
	switch {
	case known.state == promoter.Completed:
		return true
	case known.adverse || known.state == promoter.RolledBack || known.state == promoter.Waiting:
		return false
	case known.state == promoter.Full:
		return true
	case question.Failed:
		return false
	}
	clock := o.process.Clock()
	movable := o.movable(known)
	switch o.sessions.Version(question.Session, now) {
	case known.order.Target:
		return true
	case oldVersion:
		if !movable {
			return false
		}
	}
	if !promoter.Open(known.state, clock-known.entered) || o.stale(o.status) || o.stale(o.results) {
		return false
	}
	session := question.Session
	if session == "" {
		session = question.Request
	}
	if !movable && known.held[promoter.Digest(session)] {
		// Another daemon has served it on the old version.
		return false
	}
	return promoter.Chosen(session, known.order, promoter.ShareNow(known.status.Share, movable))
}
