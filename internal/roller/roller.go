// Package roller runs the rollouts of new versions. It collects ratings, shares
// the evidence with other daemons through the log, stops a version at once when
// the evidence says that it is worse, and otherwise proposes the next stage.
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

// Stream is the log stream that carries the evidence of all daemons.
const Stream = "evidence"

// Proposal is an action on a rollout that the evidence calls for.
type Proposal struct {
	Rollout string
	Action  stager.Action
	Reason  string
}

// rolloutState is the state of one rollout on this daemon.
type rolloutState struct {
	comparison *tester.Comparison
	exposure   *stager.Exposure
	// peerEvidence holds the newest evidence of each other daemon.
	peerEvidence map[string]tester.Evidence
	// peerControls holds the newest control ratings of each other daemon.
	peerControls map[string]tester.RatingSums
	// publishedCount is the number of results in the latest published evidence.
	publishedCount uint64
	decision       stager.Decision
}

// Roller runs the rollouts on one daemon. It is safe for concurrent use.
type Roller struct {
	// holder is the id of this daemon in its evidence records.
	holder   string
	newID    func() string
	appender *journaler.Appender
	follower *journaler.Follower
	// stopVersion is called with a version that must get no more work.
	stopVersion func(gossiper.StoppedVersion)

	mu sync.Mutex
	// daemons is the number of live daemons, publishedAt the time at which this
	// daemon last published evidence.
	daemons     int
	publishedAt time.Time
	catalog     *compiler.Catalog
	states      map[string]*rolloutState
	drifts      map[compiler.VersionID]*tester.DriftDetector
}

// New returns a roller for the daemon with the id holder. The user of the roller
// runs its appender and follower and calls Step at intervals. Each time the
// evidence is evaluated and finds a version worse, stopVersion is called without
// the roller's lock held.
func New(holder string, newID func() string, appender *journaler.Appender, log journaler.Log, interval time.Duration, stopVersion func(gossiper.StoppedVersion)) *Roller {
	r := &Roller{
		holder:      holder,
		newID:       newID,
		appender:    appender,
		stopVersion: stopVersion,
		states:      map[string]*rolloutState{},
		drifts:      map[compiler.VersionID]*tester.DriftDetector{},
	}
	r.follower = journaler.NewFollower(log, Stream, interval, r.apply)
	return r
}

// Follower returns the follower of the evidence stream.
func (r *Roller) Follower() *journaler.Follower { return r.follower }

// rolloutKey identifies one run of a rollout. A later run of the same name with
// another version or generation starts without evidence.
func rolloutKey(rollout *compiler.Rollout, generation uint64) string {
	return rollout.Name + "/" + rollout.To.String() + "/" + strconv.FormatUint(generation, 10)
}

// publishIntervalPerDaemon times the number of daemons is the least time between
// two publications of one daemon. The interval grows with the number of daemons
// because every daemon reads all publications.
const publishIntervalPerDaemon = 100 * time.Millisecond

// SetDaemons sets the number of live daemons, which determines how often this
// daemon publishes evidence.
func (r *Roller) SetDaemons(daemons int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = daemons
}

// Configure replaces the rollouts by those of the catalog. It discards the
// evidence of rollouts that are neither running nor paused.
func (r *Roller) Configure(catalog *compiler.Catalog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.catalog = catalog
	active := compiler.Set[string]{}
	for _, rollout := range catalog.Rollouts {
		if !rollout.Running && !rollout.Paused {
			continue
		}
		key := r.currentKey(rollout)
		active.Add(key)
		r.state(key, rollout.Tolerance)
	}
	for key := range r.states {
		if !active.Has(key) {
			delete(r.states, key)
		}
	}
}

// currentKey returns the key of the rollout's run with the new version's current
// generation. The lock must be held and a catalog be configured.
func (r *Roller) currentKey(rollout *compiler.Rollout) string {
	return rolloutKey(rollout, r.catalog.Versions[rollout.To].Generation)
}

// state returns the state of the rollout with the key, creating it if needed.
func (r *Roller) state(key string, tolerance float64) *rolloutState {
	state := r.states[key]
	if state == nil {
		state = &rolloutState{
			comparison:   tester.New(tolerance),
			exposure:     stager.NewExposure(),
			peerEvidence: map[string]tester.Evidence{},
			peerControls: map[string]tester.RatingSums{},
		}
		r.states[key] = state
	}
	return state
}

// CheckExposure reports whether the person was already exposed to the rollout's
// new version on this daemon. The returned function records the exposure.
func (r *Roller) CheckExposure(rollout *compiler.Rollout, account, person string) (exposed bool, record func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state(r.currentKey(rollout), rollout.Tolerance)
	return state.exposure.Contains(account, person), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		state.exposure.Add(account, person)
	}
}

// MayExpose reports whether people may be exposed to the rollout's new version.
func (r *Roller) MayExpose(rollout *compiler.Rollout) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.catalog == nil {
		return false
	}
	return stager.ExposureAllowed(rollout, r.state(r.currentKey(rollout), rollout.Tolerance).pooledEvidence())
}

// RecordPair records the ratings of the new and the old version's responses to
// one request. It stops the new version if the evidence says that it is worse.
func (r *Roller) RecordPair(rolloutName string, newScore, oldScore float64) {
	r.mu.Lock()
	var stops []gossiper.StoppedVersion
	if rollout := r.activeRollout(rolloutName); rollout != nil {
		state := r.state(r.currentKey(rollout), rollout.Tolerance)
		state.comparison.AddPair(newScore, oldScore)
		if stop, worse := r.decide(rollout, state); worse {
			stops = append(stops, stop)
		}
	}
	r.mu.Unlock()
	for _, stop := range stops {
		r.stopVersion(stop)
	}
}

// activeRollout returns the rollout if it is running or paused, or nil.
func (r *Roller) activeRollout(rolloutName string) *compiler.Rollout {
	if r.catalog == nil {
		return nil
	}
	rollout := r.catalog.Rollouts[rolloutName]
	if rollout == nil || (!rollout.Running && !rollout.Paused) {
		return nil
	}
	return rollout
}

// RecordRating records the rating of a response. It ignores a response for which
// a cascade discarded that of an earlier step: the discarded response selected the
// request, so the rating is not representative.
func (r *Roller) RecordRating(rated assessor.Rating) {
	if !rated.Response.DiscardedVersion.IsZero() {
		return
	}
	r.mu.Lock()
	stops := r.recordRating(rated.Response.Version, rated.Score)
	r.mu.Unlock()
	for _, stop := range stops {
		r.stopVersion(stop)
	}
}

// recordRating adds the rating to the rollouts that the version takes part in, and
// to the version's drift detection if it is not the new version of an active
// rollout. It returns the versions to stop.
func (r *Roller) recordRating(version compiler.VersionID, score float64) []gossiper.StoppedVersion {
	if r.catalog == nil || r.catalog.Versions[version] == nil {
		return nil
	}
	var stops []gossiper.StoppedVersion
	inRollout := false
	for _, rollout := range r.catalog.Rollouts {
		if !rollout.Running && !rollout.Paused {
			continue
		}
		state := r.state(r.currentKey(rollout), rollout.Tolerance)
		switch version {
		case rollout.From:
			state.comparison.AddControl(score)
		case rollout.To:
			inRollout = true
			state.comparison.AddTreatment(score)
		default:
			continue
		}
		if stop, worse := r.decide(rollout, state); worse {
			stops = append(stops, stop)
		}
	}
	if !inRollout && r.detectDrift(version, score) {
		stops = append(stops, r.newStop(version, "its ratings fell below its own earlier ones"))
	}
	return stops
}

// decide evaluates the evidence of all daemons. It returns a stop and true if the
// new version is worse, also when the rollout is paused.
func (r *Roller) decide(rollout *compiler.Rollout, state *rolloutState) (gossiper.StoppedVersion, bool) {
	running := *rollout
	running.Running = true
	state.decision = stager.Decide(&running, state.pooledEvidence())
	if state.decision.Action != stager.Stop {
		return gossiper.StoppedVersion{}, false
	}
	return r.newStop(rollout.To, state.decision.Reason), true
}

// pooledEvidence returns the sum of the evidence of all daemons.
func (s *rolloutState) pooledEvidence() tester.Evidence {
	sum := s.comparison.Evidence()
	for _, evidence := range s.peerEvidence {
		sum = sum.Add(evidence)
	}
	return sum
}

// newStop returns a stop of the version's current generation.
func (r *Roller) newStop(version compiler.VersionID, reason string) gossiper.StoppedVersion {
	return gossiper.StoppedVersion{
		Version:    version.String(),
		Generation: r.catalog.Versions[version].Generation,
		Reason:     reason,
		Origin:     r.holder,
	}
}

// detectDrift adds the rating to the version's drift detection and reports whether
// the ratings have fallen below the version's earlier ones. The detection then
// starts over.
func (r *Roller) detectDrift(version compiler.VersionID, score float64) bool {
	drift := r.drifts[version]
	if drift == nil {
		drift = &tester.DriftDetector{}
		r.drifts[version] = drift
	}
	if !drift.Observe(score) {
		return false
	}
	delete(r.drifts, version)
	return true
}

// apply applies the evidence records of other daemons from the log.
func (r *Roller) apply(_ uint64, records []*schema.Record) {
	r.mu.Lock()
	for _, record := range records {
		evidence := record.GetEvidence()
		if evidence == nil || evidence.GetHolder() == r.holder {
			continue
		}
		if state := r.states[evidence.GetRollout()]; state != nil {
			state.applyEvidence(evidence)
		}
	}
	r.mu.Unlock()
}

// applyEvidence replaces the stored evidence of another daemon. Evidence is
// cumulative, so an older record is recognised by its lower counts and ignored.
func (s *rolloutState) applyEvidence(evidence *schema.Evidence) {
	holder := evidence.GetHolder()
	if s.peerEvidence[holder].Count > evidence.GetPairs() || s.peerControls[holder].Count > evidence.GetControl().GetCount() {
		return
	}
	s.peerEvidence[holder] = tester.Evidence{Count: evidence.GetPairs(), WorseBets: evidence.GetWorse(), BetterBets: evidence.GetBetter()}
	control := evidence.GetControl()
	s.peerControls[holder] = tester.RatingSums{Count: control.GetCount(), Sum: control.GetSum(), SumOfSquares: control.GetSquares()}
	sum := tester.RatingSums{}
	for _, mean := range s.peerControls {
		sum = sum.Add(mean)
	}
	s.comparison.SetOtherControl(sum)
}

// Step publishes new evidence of this daemon if it is due, stops the versions that
// are worse, and returns the actions that the evidence of all daemons calls for.
func (r *Roller) Step() []Proposal {
	r.mu.Lock()
	if r.catalog == nil {
		r.mu.Unlock()
		return nil
	}
	var proposals []Proposal
	var stops []gossiper.StoppedVersion
	now := time.Now()
	publishDue := now.Sub(r.publishedAt) >= time.Duration(r.daemons)*publishIntervalPerDaemon
	if publishDue {
		r.publishedAt = now
	}
	for _, rollout := range r.catalog.Rollouts {
		if !rollout.Running && !rollout.Paused {
			continue
		}
		key := r.currentKey(rollout)
		state := r.state(key, rollout.Tolerance)
		if publishDue {
			r.publish(key, state)
		}
		stop, worse := r.decide(rollout, state)
		if worse {
			stops = append(stops, stop)
		}
		if action := state.decision.Action; action != stager.KeepStage && (rollout.Running || action == stager.Stop) {
			proposals = append(proposals, Proposal{Rollout: rollout.Name, Action: action, Reason: state.decision.Reason})
		}
	}
	r.mu.Unlock()
	for _, stop := range stops {
		r.stopVersion(stop)
	}
	return proposals
}

// publish submits this daemon's evidence for the rollout to the log if there are
// new results since the last publication.
func (r *Roller) publish(key string, state *rolloutState) {
	evidence, control := state.comparison.Evidence(), state.comparison.ControlSums()
	total := evidence.Count + uint64(control.Count)
	if total == state.publishedCount {
		return
	}
	state.publishedCount = total
	r.appender.Submit(&schema.Record{Id: r.newID(), Body: &schema.Record_Evidence{Evidence: &schema.Evidence{
		Rollout: key,
		Holder:  r.holder,
		Pairs:   evidence.Count,
		Worse:   evidence.WorseBets,
		Better:  evidence.BetterBets,
		Control: &schema.Control{Count: control.Count, Sum: control.Sum, Squares: control.SumOfSquares},
	}}}, false)
}

// Status is the state of one rollout as shown to operators. Exposed is the number
// of people that this daemon has exposed to the new version.
type Status struct {
	Rollout  *compiler.Rollout
	Evidence tester.Evidence
	Decision stager.Decision
	Exposed  int
}

// Status returns the state of all rollouts of the catalog, also of those that are
// not running.
func (r *Roller) Status() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.catalog == nil {
		return nil
	}
	var statuses []Status
	for _, rollout := range r.catalog.Rollouts {
		status := Status{Rollout: rollout}
		if state := r.states[r.currentKey(rollout)]; state != nil {
			status.Evidence = state.pooledEvidence()
			status.Decision = state.decision
			status.Exposed = state.exposure.Len()
		}
		statuses = append(statuses, status)
	}
	return statuses
}
