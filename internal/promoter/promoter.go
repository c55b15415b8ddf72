// Package promoter decides about the rollout of a service's new version: which
// sessions get it, when all of them do, when the old version may stop, and when
// the rollout is rolled back. It does no I/O; views and times are arguments.
package promoter

import (
	"time"
)

// Order is an operator's order to move a service's requests to a version.
type Order struct {
	Service string
	Target  string
	// Duration is the time within which the rollout must end.
	Duration time.Duration
	// Offset is the log offset of the order, which distinguishes orders for the same
	// version. Epoch is the log's epoch of the offset, or 0 if the log does not say.
	Offset int64
	Epoch  uint64
}

// Repeats reports whether the order is another one written again after the log had lost
// it: it asks for the same, in a later epoch of the log.
func (o Order) Repeats(other Order) bool {
	sameContent := o.Service == other.Service && o.Target == other.Target && o.Duration == other.Duration
	return sameContent && other.Epoch != 0 && o.Epoch > other.Epoch
}

// IsSameRecord reports whether both are the same record of the log. Offsets of an epoch are
// given out once.
func (o Order) IsSameRecord(other Order) bool {
	return o.Offset == other.Offset && o.Epoch == other.Epoch
}

// PrecedesRecord reports whether the order's record is an older one than the other's.
func (o Order) PrecedesRecord(other Order) bool {
	if o.Epoch == 0 || other.Epoch == 0 {
		return false
	}
	return o.Epoch < other.Epoch || o.Epoch == other.Epoch && o.Offset < other.Offset
}

// State is the progress of a rollout.
type State int

// The states, in the order in which a rollout goes through them.
const (
	// Waiting rollouts have not been started by any daemon.
	Waiting State = iota
	// Canary rollouts send a share of the sessions to the new version.
	Canary
	// Full rollouts send all sessions there; the old version finishes its requests.
	Full
	// Completed rollouts have stopped the old version.
	Completed
	// RolledBack rollouts have returned all sessions to the old version.
	RolledBack
)

// String returns the state's name in logs.
func (s State) String() string {
	return [...]string{"waiting", "trial", "full", "completed", "rolled back"}[s]
}

// Final reports whether the state is terminal.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// finality orders the states by what a rollout that was in both of them is in. If a daemon that
// does not know that a rollout is completed rolls it back, the old version has stopped already.
func (s State) finality() int {
	return [...]int{Waiting: 0, Canary: 1, Full: 2, RolledBack: 3, Completed: 4}[s]
}

// Supersedes reports whether a rollout that was in both states is in this one.
func (s State) Supersedes(other State) bool { return s.finality() > other.finality() }

// Status is the state of a rollout that all daemons agree on.
type Status struct {
	Service string
	Target  string
	// OrderOffset is the offset of the order, OrderDuration its duration in whole
	// milliseconds, or 0 if it is not known.
	OrderOffset   int64
	OrderDuration time.Duration
	State         State
	// Share is the share of the sessions that get the new version in a canary.
	Share float64
	// FirstSeen is the wall-clock time at which a daemon first saw the order.
	FirstSeen time.Time
	// Reason says why a rollout was rolled back. It is empty in other states.
	Reason string
}

// StateOf returns the state of an order. It is Waiting if the status belongs to
// another order.
func (s Status) StateOf(order Order) State {
	if s.OrderOffset != order.Offset || !s.asksSameAs(order) {
		return Waiting
	}
	return s.State
}

// StateOfLost returns the state of an order that the log has lost. The status may name any place
// in the log: others may have read the order there again.
func (s Status) StateOfLost(order Order) State {
	if !s.asksSameAs(order) {
		return Waiting
	}
	return s.State
}

// asksSameAs reports whether the status is of an order with the same content, wherever in the
// log that order is.
func (s Status) asksSameAs(order Order) bool {
	return s.Target == order.Target && (s.OrderDuration == 0 || s.OrderDuration == order.Duration.Truncate(time.Millisecond))
}

const (
	// maxCanaryShare is the largest share of the sessions that get the new version at
	// first. It stays well under the exposure that operators allow.
	maxCanaryShare = 0.10
	// canaryLoadEndpoints limits the load of a canary to the usual load of this many
	// old endpoints, so a large service gets a smaller share.
	canaryLoadEndpoints = 0.75
	// canaryExposureShare caps the canary at this part of the allowed exposure.
	canaryExposureShare = 0.7
	// fullAt and completeAt are the shares of the order's duration after which a
	// rollout may become full and completed. In between the old version finishes its
	// streams.
	fullAt     = 0.70
	completeAt = 0.90
	// completeMargin is the time before the order's end at which a rollout is
	// completed at the latest.
	completeMargin = 1200 * time.Millisecond
	// minCapacity is the least ratio of new to old endpoints for sending all
	// requests to the new version.
	minCapacity = 0.5
	// settleTime is the least time between the full and the completed state, and
	// writeTime what the write of a state may take.
	settleTime = 1200 * time.Millisecond
	writeTime  = 2 * time.Second
	// pinUntil is the share of the duration until which a session on the old version
	// stays there.
	pinUntil = 0.5
)

// CanaryShare returns the share of the sessions that get the new version in a
// canary. old is the number of endpoints of the old version, bound the allowed
// exposure.
func CanaryShare(old int, bound float64) float64 {
	return min(maxCanaryShare, canaryExposureShare*bound, canaryLoadEndpoints/float64(max(1, old)))
}

const (
	// listAt is the time into a canary at which daemons report which sessions run on
	// the old version, openAt that at which other sessions may run on the new one.
	listAt = 700 * time.Millisecond
	openAt = 1300 * time.Millisecond
)

// ShouldListSessions reports whether a daemon should now report the sessions that
// run on the old version.
func ShouldListSessions(state State, inState time.Duration) bool {
	return state == Canary && inState >= listAt
}

// movableShareFactor multiplies the canary's share once sessions may move. Before
// that, each session that another daemon has served costs a change of version.
const movableShareFactor = 2

// CurrentShare returns the share of the sessions that get the new version during a
// canary. movable is set once sessions may move.
func CurrentShare(share float64, movable bool) float64 {
	if movable {
		return movableShareFactor * share
	}
	return share
}

// AcceptsSessions reports whether sessions may run on the new version.
func AcceptsSessions(state State, inState time.Duration) bool {
	return state >= Full && state != RolledBack || state == Canary && inState >= openAt
}

// CanMoveSessions reports whether sessions on the old version may move to the new
// one. elapsed is the time since the order was first seen.
func CanMoveSessions(order Order, state State, elapsed time.Duration) bool {
	return state >= Full || elapsed >= time.Duration(pinUntil*float64(order.Duration))
}

// View is a daemon's view of a rollout.
type View struct {
	Order Order
	State State
	// Elapsed is the time since the order was first seen.
	Elapsed time.Duration
	// TimeInState is the time since this daemon saw the state.
	TimeInState time.Duration
	// Worse is set when the pooled evidence shows that the new version is worse.
	Worse bool
	// OldEndpoints and NewEndpoints are the numbers of usable endpoints of the old
	// and the new version.
	OldEndpoints int
	NewEndpoints int
	// Balance is the sum of all daemons' results of the new version. Stale is set if
	// results of other daemons may be missing.
	Balance Score
	Stale   bool
}

// Decide returns the state that the rollout should be in, which is the current one
// when nothing should change. A canary becomes full only on evidence that the new
// version is no worse. Without it the rollout is rolled back while the old version
// still serves.
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
		switch {
		case v.Balance.IsWorse():
			return RolledBack
		case v.readyForFull():
			return Full
		case v.undecided():
			return RolledBack
		}
	case Full:
		if v.drained() {
			return Completed
		}
	case Completed, RolledBack:
	}
	return v.State
}

// Reason says in a few words why a rollout in this view is rolled back.
func (v View) Reason() string {
	switch {
	case v.Worse:
		return "results show failures"
	case v.Balance.IsWorse():
		return "results are worse than those of the old version"
	default:
		return "undecided: too little evidence for the new version, or too few endpoints of it"
	}
}

// readyForFull reports whether all requests may go to the new version.
func (v View) readyForFull() bool {
	if v.NewEndpoints == 0 || float64(v.NewEndpoints) < minCapacity*float64(v.OldEndpoints) || v.Elapsed < v.durationShare(fullAt) {
		return false
	}
	return v.Balance.proven() && !v.Stale && !v.undecided()
}

// undecided reports whether it is too late for the full state, because the rollout
// could not be completed in time any more.
func (v View) undecided() bool { return v.TimeForFull() <= 0 }

// TimeForFull returns the time that is left to write the full state.
func (v View) TimeForFull() time.Duration {
	return v.Order.Duration - completeMargin - v.settleTime() - writeTime - v.Elapsed
}

// settleTime returns the least time between the full and the completed state.
func (v View) settleTime() time.Duration {
	return min(v.durationShare(completeAt-fullAt)/2, settleTime)
}

// drained reports whether the old version has had the time to finish its streams
// and may be stopped.
func (v View) drained() bool {
	due := min(v.durationShare(completeAt), v.Order.Duration-completeMargin)
	return v.Elapsed >= due && v.TimeInState >= v.settleTime()
}

func (v View) durationShare(share float64) time.Duration {
	return time.Duration(share * float64(v.Order.Duration))
}
