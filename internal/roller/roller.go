// Package roller runs the roll-outs: it gathers the ratings of new versions,
// shares the evidence through the log, stops a version that is worse at once
// and proposes the next stage of one that is not.
package roller

import (
	"strconv"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/assessor"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/journaler"
	"quetzalgrade.example/quetzalgrade/internal/stager"
	"quetzalgrade.example/quetzalgrade/internal/tester"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Stream is the log stream of evidence.
const Stream = "evidence"

// Proposal is a step of a roll-out that the evidence asks for.
type Proposal struct {
	Rollout string
	Action  stager.Action
	Reason  string
}

// trial is this daemon's part of one roll-out.
type trial struct {
	comparison *tester.Comparison
	exposure   *stager.Exposure
	// others is the newest evidence of each other daemon.
	others map[string]tester.Evidence
	// controls is the newest control of each other daemon.
	controls  map[string]tester.Mean
	published uint64
	decision  stager.Decision
}

// Roller holds the evidence of one daemon. It is safe for concurrent use.
type Roller struct {
	holder   string
	newID    func() string
	appender *journaler.Appender
	follower *journaler.Follower
	// stop is called with a version that must get no more work.
	stop func(gossiper.Stop)

	mu sync.Mutex
	// daemons is the number of live daemons, published the time of the latest
	// evidence.
	daemons   int
	published time.Time
	catalog   *compiler.Catalog
	trials    map[string]*trial
	drifts    map[compiler.VersionID]*tester.Drift
}

// New returns a roller. The caller runs its appender and follower and calls
// Step at intervals.
func New(holder string, newID func() string, appender *journaler.Appender, log journaler.Log, interval time.Duration, stop func(gossiper.Stop)) *Roller {
	r := &Roller{
		holder:   holder,
		newID:    newID,
		appender: appender,
		stop:     stop,
		trials:   map[string]*trial{},
		drifts:   map[compiler.VersionID]*tester.Drift{},
	}
	r.follower = journaler.NewFollower(log, Stream, interval, r.apply)
	return r
}

// Follower returns the follower of the evidence stream.
func (r *Roller) Follower() *journaler.Follower { return r.follower }

// key names one run of a roll-out; a later run of the same name with another
// version starts without evidence.
func key(rollout *compiler.Rollout, generation uint64) string {
	return rollout.Name + "/" + rollout.To.String() + "/" + strconv.FormatUint(generation, 10)
}

// publishShare times the number of daemons is the least time between two
// publications of a daemon: every daemon reads all of them.
const publishShare = 100 * time.Millisecond

// SetDaemons sets the number of live daemons.
func (r *Roller) SetDaemons(daemons int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = daemons
}

// Configure takes the roll-outs of a catalog.
func (r *Roller) Configure(catalog *compiler.Catalog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.catalog = catalog
	keep := compiler.Set[string]{}
	for _, rollout := range catalog.Rollouts {
		if !rollout.Running && !rollout.Paused {
			continue
		}
		name := r.keyOf(rollout)
		keep.Add(name)
		r.trial(name, rollout.Tolerance)
	}
	for name := range r.trials {
		if !keep.Has(name) {
			delete(r.trials, name)
		}
	}
}

func (r *Roller) keyOf(rollout *compiler.Rollout) string {
	return key(rollout, r.catalog.Versions[rollout.To].Generation)
}

func (r *Roller) trial(name string, tolerance float64) *trial {
	known := r.trials[name]
	if known == nil {
		known = &trial{
			comparison: tester.New(tolerance),
			exposure:   stager.NewExposure(),
			others:     map[string]tester.Evidence{},
			controls:   map[string]tester.Mean{},
		}
		r.trials[name] = known
	}
	return known
}

// Exposure reports whether a person has seen a roll-out's version here, and
// records that it now does.
func (r *Roller) CheckExposure(rollout *compiler.Rollout, account, person string) (known bool, record func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.trial(r.keyOf(rollout), rollout.Tolerance)
	return current.exposure.Contains(account, person), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		current.exposure.Add(account, person)
	}
}

// Open reports whether people may see a roll-out's new version.
func (r *Roller) MayExpose(rollout *compiler.Rollout) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.catalog == nil {
		return false
	}
	return stager.ExposureAllowed(rollout, r.trial(r.keyOf(rollout), rollout.Tolerance).pooled())
}

// Pair takes the ratings of both versions' answers to one request.
func (r *Roller) RecordPair(name string, fresh, old float64) {
	r.mu.Lock()
	var stops []gossiper.Stop
	if rollout := r.running(name); rollout != nil {
		current := r.trial(r.keyOf(rollout), rollout.Tolerance)
		current.comparison.Pair(fresh, old)
		if stop, worse := r.decide(rollout, current); worse {
			stops = append(stops, stop)
		}
	}
	r.mu.Unlock()
	for _, stop := range stops {
		r.stop(stop)
	}
}

// running returns a roll-out that is under way, or nil.
func (r *Roller) running(name string) *compiler.Rollout {
	if r.catalog == nil {
		return nil
	}
	rollout := r.catalog.Rollouts[name]
	if rollout == nil || (!rollout.Running && !rollout.Paused) {
		return nil
	}
	return rollout
}

// Observe takes a rating of an answer that was not chosen by an earlier one.
func (r *Roller) RecordRating(rated assessor.Rating) {
	if !rated.Response.DiscardedVersion.IsZero() {
		return
	}
	r.mu.Lock()
	stops := r.observe(rated.Response.Version, rated.Score)
	r.mu.Unlock()
	for _, stop := range stops {
		r.stop(stop)
	}
}

func (r *Roller) observe(version compiler.VersionID, score float64) []gossiper.Stop {
	if r.catalog == nil || r.catalog.Versions[version] == nil {
		return nil
	}
	var stops []gossiper.Stop
	onTrial := false
	for _, rollout := range r.catalog.Rollouts {
		if !rollout.Running && !rollout.Paused {
			continue
		}
		current := r.trial(r.keyOf(rollout), rollout.Tolerance)
		switch version {
		case rollout.From:
			current.comparison.Control(score)
		case rollout.To:
			onTrial = true
			current.comparison.Treatment(score)
		default:
			continue
		}
		if stop, worse := r.decide(rollout, current); worse {
			stops = append(stops, stop)
		}
	}
	if !onTrial && r.drifted(version, score) {
		stops = append(stops, r.stopOf(version, "its ratings fell below its own earlier ones"))
	}
	return stops
}

// decide looks at the evidence of all daemons; it reports a stop when the new
// version is worse. A paused roll-out is stopped too.
func (r *Roller) decide(rollout *compiler.Rollout, current *trial) (gossiper.Stop, bool) {
	running := *rollout
	running.Running = true
	current.decision = stager.Decide(&running, current.pooled())
	if current.decision.Action != stager.Stop {
		return gossiper.Stop{}, false
	}
	return r.stopOf(rollout.To, current.decision.Reason), true
}

func (t *trial) pooled() tester.Evidence {
	sum := t.comparison.Evidence()
	for _, evidence := range t.others {
		sum = sum.Add(evidence)
	}
	return sum
}

func (r *Roller) stopOf(version compiler.VersionID, reason string) gossiper.Stop {
	return gossiper.Stop{
		Version:    version.String(),
		Generation: r.catalog.Versions[version].Generation,
		Reason:     reason,
		Origin:     r.holder,
	}
}

func (r *Roller) drifted(version compiler.VersionID, score float64) bool {
	drift := r.drifts[version]
	if drift == nil {
		drift = &tester.Drift{}
		r.drifts[version] = drift
	}
	if !drift.Observe(score) {
		return false
	}
	delete(r.drifts, version)
	return true
}

func (r *Roller) apply(_ uint64, records []*schema.Record) {
	r.mu.Lock()
	for _, record := range records {
		evidence := record.GetEvidence()
		if evidence == nil || evidence.GetHolder() == r.holder {
			continue
		}
		if current := r.trials[evidence.GetRollout()]; current != nil {
			current.take(evidence)
		}
	}
	r.mu.Unlock()
}

// take replaces what is known of another daemon. Evidence is cumulative, so an
// older copy is recognised by its counts.
func (t *trial) take(evidence *schema.Evidence) {
	holder := evidence.GetHolder()
	if t.others[holder].Count > evidence.GetPairs() || t.controls[holder].Count > evidence.GetControl().GetCount() {
		return
	}
	t.others[holder] = tester.Evidence{Count: evidence.GetPairs(), Worse: evidence.GetWorse(), Better: evidence.GetBetter()}
	control := evidence.GetControl()
	t.controls[holder] = tester.Mean{Count: control.GetCount(), Sum: control.GetSum(), Squares: control.GetSquares()}
	sum := tester.Mean{}
	for _, known := range t.controls {
		sum = sum.Add(known)
	}
	t.comparison.SetOthers(sum)
}

// Step publishes new evidence and returns what the evidence of all daemons
// asks for.
func (r *Roller) Step() []Proposal {
	r.mu.Lock()
	if r.catalog == nil {
		r.mu.Unlock()
		return nil
	}
	var proposals []Proposal
	var stops []gossiper.Stop
	now := time.Now()
	due := now.Sub(r.published) >= time.Duration(r.daemons)*publishShare
	if due {
		r.published = now
	}
	for _, rollout := range r.catalog.Rollouts {
		if !rollout.Running && !rollout.Paused {
			continue
		}
		name := r.keyOf(rollout)
		current := r.trial(name, rollout.Tolerance)
		if due {
			r.publish(name, current)
		}
		stop, worse := r.decide(rollout, current)
		if worse {
			stops = append(stops, stop)
		}
		if action := current.decision.Action; action != stager.KeepStage && (rollout.Running || action == stager.Stop) {
			proposals = append(proposals, Proposal{Rollout: rollout.Name, Action: action, Reason: current.decision.Reason})
		}
	}
	r.mu.Unlock()
	for _, stop := range stops {
		r.stop(stop)
	}
	return proposals
}

func (r *Roller) publish(name string, current *trial) {
	evidence, control := current.comparison.Evidence(), current.comparison.Own()
	total := evidence.Count + uint64(control.Count)
	if total == current.published {
		return
	}
	current.published = total
	r.appender.Submit(&schema.Record{Id: r.newID(), Body: &schema.Record_Evidence{Evidence: &schema.Evidence{
		Rollout: name,
		Holder:  r.holder,
		Pairs:   evidence.Count,
		Worse:   evidence.Worse,
		Better:  evidence.Better,
		Control: &schema.Control{Count: control.Count, Sum: control.Sum, Squares: control.Squares},
	}}}, false)
}

// Status is one line of status.
type Status struct {
	Rollout  *compiler.Rollout
	Evidence tester.Evidence
	Decision stager.Decision
	Exposed  int
}

// Status returns the state of the running roll-outs.
func (r *Roller) Status() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.catalog == nil {
		return nil
	}
	var list []Status
	for _, rollout := range r.catalog.Rollouts {
		status := Status{Rollout: rollout}
		if current := r.trials[r.keyOf(rollout)]; current != nil {
			status.Evidence = current.pooled()
			status.Decision = current.decision
			status.Exposed = current.exposure.Len()
		}
		list = append(list, status)
	}
	return list
}
