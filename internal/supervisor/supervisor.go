// Package supervisor decides when a request has waited so long at its endpoint that it is sent to
// another one. It does no I/O and reads no clock.
package supervisor

import "time"

const (
	// targetShare is the share of the target by which a wait may exceed what is expected, so that
	// another endpoint still has time to meet the target.
	targetShare = 0.5
	// maxDeviations is the number of usual deviations from the expected wait that count as
	// usual too.
	maxDeviations = 4
	// alternativeFactor is how many times the expected wait elsewhere the time beyond the expected
	// wait must be: the longer a wait is late, the longer it is likely to go on.
	alternativeFactor = 2
	// minRecheck bounds how often a wait whose target is short is decided again.
	minRecheck = 100 * time.Millisecond
)

// Wait describes how a request waits at its endpoint, for the beginning of the response or for
// the next event of a stream.
type Wait struct {
	// Waited is how long the request has waited.
	Waited time.Duration
	// Expected is the wait that the state of the endpoint and the response so far explain.
	// Deviation is the usual deviation from it.
	Expected  time.Duration
	Deviation time.Duration
	// Target is the longest wait that meets the target of the route.
	Target time.Duration
	// Alternative is the wait that is expected at the best other endpoint.
	Alternative time.Duration
	// Left is the time after which a response is of no use to the client. Work is the time
	// that the response usually takes after the wait.
	Left time.Duration
	Work time.Duration
	// OtherRuns is the number of other endpoints that may still run the request.
	OtherRuns int
	// Overloaded is set while most requests of the service are late.
	Overloaded bool
}

// Decision says what to do about a wait.
type Decision struct {
	// Move is set if the request is sent to another endpoint.
	Move bool
	// Recheck is when to decide again if the wait goes on, or 0 for never.
	Recheck time.Duration
}

// Patience returns how long the request waits in any case. It depends on Expected, Deviation and
// Target alone.
func Patience(wait Wait) time.Duration {
	slack := time.Duration(targetShare * float64(wait.Target))
	return wait.Expected + max(slack, wait.Expected, maxDeviations*wait.Deviation)
}

// GapDeviation returns the deviation to assume for the pauses of a stream, so that Patience covers
// a pause of the target event gap beyond what is expected.
func GapDeviation(target time.Duration) time.Duration { return target / maxDeviations }

// Decide decides whether the request is sent to another endpoint now.
func Decide(wait Wait) Decision {
	if patience := Patience(wait); wait.Waited < patience {
		return Decision{Recheck: patience - wait.Waited}
	}
	if wait.OtherRuns <= 0 || wait.Left < wait.Work {
		return Decision{}
	}
	recheck := Decision{Recheck: max(minRecheck, time.Duration(targetShare*float64(wait.Target)))}
	if wait.Overloaded || wait.Left < wait.Alternative+wait.Work {
		return recheck
	}
	if wait.Waited-wait.Expected < alternativeFactor*wait.Alternative {
		return recheck
	}
	return Decision{Move: true}
}

const (
	// minClientPatience, clientTargets and clientGaps say when clients give up a stream: after
	// a pause of the longest of this time and these multiples of the route's targets.
	minClientPatience = 2 * time.Second
	clientTargets     = 4
	clientGaps        = 8
)

// ClientPatience returns the pause after which a client gives up a stream, also before its first
// event, by the route's target latency and target event gap.
func ClientPatience(latency, gap time.Duration) time.Duration {
	return max(minClientPatience, clientTargets*latency, clientGaps*gap)
}
