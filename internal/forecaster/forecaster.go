// Package forecaster predicts how long a request takes at an inference engine, from the
// requests that the engine has and the speed of its host. It does no I/O and keeps no state.
package forecaster

import "time"

// Engine is the state of an inference engine, as far as it is known.
type Engine struct {
	// Load is the number of requests that the engine runs and queues.
	Load int
	// Slowdown is the time that work takes on the engine's host relative to the usual time.
	Slowdown float64
	// Backlog is a lower bound of the time until the engine begins with another request.
	Backlog time.Duration
	// PerRequest is the time by which each request that the engine has delays another one,
	// on a usual host.
	PerRequest time.Duration
}

// Work is what a request asks of an engine, in time on a usual host without other requests.
type Work struct {
	// Prefill is the time for the part of the prompt that is not cached.
	Prefill time.Duration
	// Events is the number of events of the response, PerEvent the time between two of them.
	Events   int
	PerEvent time.Duration
}

// wait returns the time until the engine begins with another request.
func (e Engine) wait() time.Duration {
	return max(e.Backlog, e.slowed(time.Duration(e.Load)*e.PerRequest))
}

// slowed returns the time that work takes on the engine's host.
func (e Engine) slowed(work time.Duration) time.Duration {
	return time.Duration(float64(work) * e.Slowdown)
}

// First returns the expected time to the first event of the response.
func (e Engine) First(work Work) time.Duration {
	return e.wait() + e.slowed(work.Prefill)
}

// Gap returns the expected time between two events of the response. The engine makes the
// tokens of all its requests in turn, between pieces of new prompts.
func (e Engine) Gap(work Work) time.Duration {
	return e.slowed(work.PerEvent * time.Duration(1+e.Load))
}

// End returns the expected time to the end of the response.
func (e Engine) End(work Work) time.Duration {
	return e.First(work) + time.Duration(max(0, work.Events-1))*e.Gap(work)
}
