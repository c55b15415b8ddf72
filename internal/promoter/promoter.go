// Package promoter moves a service's requests to a new version: who gets it,
// when all do, when the old one may stop, and when the move is undone. It is
// pure: views and times are arguments.
package promoter

import (
	"time"
)

// Order asks for a service's requests to be moved to a version.
type Order struct {
	Service  string
	Target   string
	Duration time.Duration
	// Offset tells apart orders for the same version.
	Offset int64
}

// State is how far a roll-out has come.
type State int

// The states.
const (
	// Waiting roll-outs have not been begun by any daemon.
	Waiting State = iota
	// Canary roll-outs give the new version to a share of the sessions.
	Canary
	// Full roll-outs give it to all; the old version ends what it runs.
	Full
	// Completed roll-outs have stopped the old version.
	Completed
	// RolledBack roll-outs are undone.
	RolledBack
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"waiting", "trial", "full", "completed", "rolled back"}[s]
}

// Final reports whether the state never changes.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Status is what all daemons agree on.
type Status struct {
	Service string
	Target  string
	// OrderOffset is the offset of the order.
	OrderOffset int64
	State       State
	// Share is the share of the sessions that get the new version in a trial.
	Share float64
	// FirstSeen is the time of day at which the order was first seen.
	FirstSeen time.Time
}

// StateOf returns the state of an order; a status of another order does not count.
func (s Status) StateOf(order Order) State {
	if s.OrderOffset != order.Offset || s.Target != order.Target {
		return Waiting
	}
	return s.State
}

const (
	// trialShare is the largest share of the sessions that get the new version at
	// first. It stays well under the exposure that operators allow.
	trialShare = 0.10
	// trialEndpoints times the trial's share is the number of endpoints whose
	// usual load a trial sees: a large service needs a smaller share.
	trialEndpoints = 0.75
	// trialOfBound caps it at a share of the allowed exposure.
	trialOfBound = 0.7
	// fullAt and completeAt are shares of the order's duration. Between them the
	// old version ends its streams.
	fullAt     = 0.70
	completeAt = 0.90
	// completeMargin is the time before the order's end at which it is completed
	// at the latest.
	completeMargin = 1200 * time.Millisecond
	// minCapacity is the share of the old endpoints that the new version must
	// have before all requests go there.
	minCapacity = 0.5
	// minRuns is the number of this daemon's runs on the new version before it
	// gives it to all.
	minRuns = 5
	// patience is the share of the duration after which fewer runs do.
	patience = 0.8
	// pinUntil is the share of the duration until which a session that runs on
	// the old version stays there.
	pinUntil = 0.5
)

// CanaryShare returns the share of the sessions that get the new version in a
// trial, when the old one has a number of endpoints and operators allow a share.
func CanaryShare(old int, bound float64) float64 {
	return min(trialShare, trialOfBound*bound, trialEndpoints/float64(max(1, old)))
}

const (
	// listAt is the time in a trial at which daemons tell each other which
	// sessions run on the old version, openAt that at which others may run on the
	// new one.
	listAt = 700 * time.Millisecond
	openAt = 1300 * time.Millisecond
)

// ShouldListSessions reports whether the sessions that run on the old version are to be
// told now.
func ShouldListSessions(state State, inState time.Duration) bool {
	return state == Canary && inState >= listAt
}

// laterFactor times the trial's share get the new version once sessions may
// move: until then each session that another daemon has served costs a change of
// version.
const laterFactor = 2

// CurrentShare returns the share of the sessions that get the new version at a time
// of the trial.
func CurrentShare(share float64, movable bool) float64 {
	if movable {
		return laterFactor * share
	}
	return share
}

// AcceptsSessions reports whether sessions may run on the new version.
func AcceptsSessions(state State, inState time.Duration) bool {
	return state >= Full && state != RolledBack || state == Canary && inState >= openAt
}

// CanMoveSessions reports whether a session that runs on the old version may move.
func CanMoveSessions(order Order, state State, elapsed time.Duration) bool {
	return state >= Full || elapsed >= time.Duration(pinUntil*float64(order.Duration))
}

// View is what a daemon knows of a roll-out.
type View struct {
	Order Order
	State State
	// Elapsed is the time since the order was first seen.
	Elapsed time.Duration
	// TimeInState is the time since this daemon saw the state.
	TimeInState time.Duration
	// Worse is set when the pooled results show that the version is worse.
	Worse bool
	// OldEndpoints and New are the numbers of usable endpoints of both.
	OldEndpoints int
	NewEndpoints int
	// Results is the number of this daemon's runs on the new version.
	Results int
}

// Decide returns the state that the roll-out should go to; it is the present
// one when nothing should change.
func Decide(v View) State {
	if v.State.Final() {
		return v.State
	}
	if v.Worse {
		return RolledBack
	}
	switch v.State {
	case Waiting:
		return Canary
	case Canary:
		if v.ripe() {
			return Full
		}
	case Full:
		if v.drained() {
			return Completed
		}
	case Completed, RolledBack:
	}
	return v.State
}

// ripe reports whether all requests may go to the new version.
func (v View) ripe() bool {
	if v.NewEndpoints == 0 || float64(v.NewEndpoints) < minCapacity*float64(v.OldEndpoints) || v.Elapsed < v.part(fullAt) {
		return false
	}
	return v.Results >= minRuns || v.Elapsed >= v.part(patience)
}

// drained reports whether the old version may be stopped.
func (v View) drained() bool {
	due := min(v.part(completeAt), v.Order.Duration-completeMargin)
	settled := v.TimeInState >= min(v.part(completeAt-fullAt)/2, completeMargin)
	return v.Elapsed >= due && settled
}

func (v View) part(share float64) time.Duration {
	return time.Duration(share * float64(v.Order.Duration))
}
