// Package stager decides about roll-outs: who sees the new version, and when
// the roll-out goes on or stops. It is pure.
package stager

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/tester"
)

// Action is what should happen to a roll-out.
type Action int

// The actions.
const (
	// Stay: there is not enough evidence for a change.
	Stay Action = iota
	// Advance: go to the next stage.
	Advance
	// Finish: the new version has taken over.
	Finish
	// Stop: the new version is worse and must get no work.
	Stop
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"stay", "advance", "finish", "stop"}[a]
}

const (
	// stopRisk is the probability that a good roll-out is ever stopped.
	stopRisk = 0.005
	// acceptRisk is the probability that a bad version is ever accepted.
	acceptRisk = 0.05
	// minRatings is the number of ratings of the new version before any advance.
	minRatings = 30
)

// Decision is an action with its reason.
type Decision struct {
	Action Action
	Reason string
}

// Decide returns what the evidence of all daemons asks for. It goes on only
// with evidence: without ratings a roll-out stays where it is. The evidence
// that a stage asks for rises to that of acceptance at the last stage.
func Decide(rollout *compiler.Rollout, evidence tester.Evidence) Decision {
	if !rollout.Running {
		return Decision{Action: Stay, Reason: "not running"}
	}
	worse, better := evidence.WorseLogWealth(), evidence.BetterLogWealth()
	if worse >= -math.Log(stopRisk) {
		return Decision{Stop, fmt.Sprintf("worse than %s by more than %.3f after %d ratings", rollout.From, rollout.Tolerance, evidence.Count)}
	}
	part := float64(rollout.Stage+1) / float64(len(rollout.Stages))
	needed := -math.Log(acceptRisk) * part
	if evidence.Count < minRatings || better < needed {
		return Decision{Stay, fmt.Sprintf("evidence %.2f of %.2f after %d ratings", better, needed, evidence.Count)}
	}
	reason := fmt.Sprintf("not worse than %s after %d ratings", rollout.From, evidence.Count)
	if rollout.Stage == len(rollout.Stages)-1 {
		return Decision{Finish, reason}
	}
	return Decision{Advance, reason}
}

// gateRisk is the probability that people see a bad version at all when its
// answers to copies of requests come first.
const gateRisk = 0.1

// Open reports whether people may see a roll-out's new version: its answers to
// copies of requests have done well, or the roll-out does not ask for that.
func Open(rollout *compiler.Rollout, evidence tester.Evidence) bool {
	if rollout.Direct || rollout.Done || rollout.Stage > 0 {
		return true
	}
	return evidence.Count >= minRatings && evidence.BetterLogWealth() >= -math.Log(gateRisk)
}

// Selected reports whether a person is among those who may see the new
// version. The same person is chosen on every daemon and in every later stage;
// a cautious account's people are chosen less often until the roll-out ends.
func Selected(rollout *compiler.Rollout, account, person string, caution float64) bool {
	share := rollout.Share()
	if !rollout.Done {
		share *= 1 - caution
	}
	hash := xxhash.Sum64String(rollout.Name + "\x00" + account + "\x00" + person)
	return float64(hash)/math.MaxUint64 < share
}

// Exposure counts the people that one daemon has exposed in one roll-out.
// It is not safe for concurrent use.
type Exposure struct {
	people map[uint64]struct{}
}

// NewExposure returns an empty count.
func NewExposure() *Exposure { return &Exposure{people: map[uint64]struct{}{}} }

// Known reports whether the person has been exposed before.
func (e *Exposure) Known(account, person string) bool {
	_, known := e.people[personHash(account, person)]
	return known
}

// Add records a person.
func (e *Exposure) Add(account, person string) { e.people[personHash(account, person)] = struct{}{} }

// Len returns the number of people.
func (e *Exposure) Len() int { return len(e.people) }

func personHash(account, person string) uint64 {
	return xxhash.Sum64String(account + "\x00" + person)
}
