// Package stager makes the decisions of staged rollouts: which people may see the
// new version, and when a rollout advances to its next stage, finishes or stops.
// It performs no I/O and keeps no state of its own.
package stager

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/tester"
)

// Action is a change of a rollout's state.
type Action int

// The actions.
const (
	// KeepStage keeps the rollout at its stage, for lack of evidence.
	KeepStage Action = iota
	// Advance moves the rollout to its next stage.
	Advance
	// Finish ends the rollout with the new version in full use.
	Finish
	// Stop ends the rollout because the new version is worse. It must get no more
	// requests.
	Stop
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"stay", "advance", "finish", "stop"}[a]
}

const (
	// falseStopRisk bounds the probability that a rollout of a good version is ever
	// stopped.
	falseStopRisk = 0.005
	// falseAcceptRisk bounds the probability that a bad version is ever accepted.
	falseAcceptRisk = 0.05
	// minRatings is the number of ratings of the new version that a rollout needs
	// before it advances or finishes, and before it exposes people unless it is
	// configured to do so without evidence.
	minRatings = 30
)

// Decision is an action with its reason.
type Decision struct {
	Action Action
	Reason string
}

// Decide returns the action that the pooled evidence of all daemons supports.
// Without ratings a rollout keeps its stage: it advances only on evidence. The
// required evidence rises from stage to stage, up to that for acceptance of the
// version at the last stage.
func Decide(rollout *compiler.Rollout, evidence tester.Evidence) Decision {
	if !rollout.Running {
		return Decision{Action: KeepStage, Reason: "the rollout is not running"}
	}
	worse, better := evidence.WorseLogWealth(), evidence.BetterLogWealth()
	if worse >= -math.Log(falseStopRisk) {
		return Decision{Stop, fmt.Sprintf("worse than %s by more than %.3f after %d ratings", rollout.From, rollout.Tolerance, evidence.Count)}
	}
	stageFraction := float64(rollout.Stage+1) / float64(len(rollout.Stages))
	requiredEvidence := -math.Log(falseAcceptRisk) * stageFraction
	if evidence.Count < minRatings || better < requiredEvidence {
		return Decision{KeepStage, fmt.Sprintf("evidence %.2f of the required %.2f after %d ratings", better, requiredEvidence, evidence.Count)}
	}
	reason := fmt.Sprintf("not worse than %s after %d ratings", rollout.From, evidence.Count)
	if rollout.Stage == len(rollout.Stages)-1 {
		return Decision{Finish, reason}
	}
	return Decision{Advance, reason}
}

// exposureRisk bounds the probability that people are exposed to a bad version at
// all when its responses to copies of requests are rated first.
const exposureRisk = 0.1

// ExposureAllowed reports whether people may see a rollout's new version. They may
// if the ratings of its responses to copies of requests are good enough, if the
// rollout is configured to expose people without this evidence, or if it is past
// its first stage or done.
func ExposureAllowed(rollout *compiler.Rollout, evidence tester.Evidence) bool {
	if rollout.SkipShadowing || rollout.Done || rollout.Stage > 0 {
		return true
	}
	return evidence.Count >= minRatings && evidence.BetterLogWealth() >= -math.Log(exposureRisk)
}

// Selected reports whether a person is among those who may see the new version. A
// selected person is selected on every daemon and at every later stage with a
// larger share. Until the rollout is done, the share of an account's people that
// are selected is scaled down by 1 - caution, with caution in [0, 1].
func Selected(rollout *compiler.Rollout, account, person string, caution float64) bool {
	share := rollout.Share()
	if !rollout.Done {
		share *= 1 - caution
	}
	hash := xxhash.Sum64String(rollout.Name + "\x00" + account + "\x00" + person)
	return float64(hash)/math.MaxUint64 < share
}

// Exposure is the set of people that one daemon has exposed to the new version of
// one rollout. It stores only their hashes. It is not safe for concurrent use.
type Exposure struct {
	people map[uint64]struct{}
}

// NewExposure returns an empty set.
func NewExposure() *Exposure { return &Exposure{people: map[uint64]struct{}{}} }

// Contains reports whether the person has been exposed before.
func (e *Exposure) Contains(account, person string) bool {
	_, known := e.people[personHash(account, person)]
	return known
}

// Add adds a person to the set.
func (e *Exposure) Add(account, person string) { e.people[personHash(account, person)] = struct{}{} }

// Len returns the number of people exposed.
func (e *Exposure) Len() int { return len(e.people) }

func personHash(account, person string) uint64 {
	return xxhash.Sum64String(account + "\x00" + person)
}
