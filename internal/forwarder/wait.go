package forwarder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/supervisor"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// errTakenBack is the cause with which the context of an attempt ends when the request is taken
// back from its endpoint.
var errTakenBack = errors.New("the request is taken back from its endpoint")

// waitRecords holds what decisions about waits depend on. It is safe for concurrent use.
type waitRecords struct {
	mu sync.Mutex
	// timings holds the timing of the requests of a route that run on a model, loads the
	// load of a service.
	timings map[timingKey]*supervisor.Timing
	loads   map[string]*supervisor.Load
}

// timingKey identifies the requests that share a timing.
type timingKey struct{ route, model string }

func newWaitRecords() *waitRecords {
	return &waitRecords{timings: map[timingKey]*supervisor.Timing{}, loads: map[string]*supervisor.Load{}}
}

// find returns the timing and the load for requests of the route that run on the model.
func (r *waitRecords) find(route *matcher.Route, model string) (*supervisor.Timing, *supervisor.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := timingKey{route.Name, model}
	if r.timings[key] == nil {
		r.timings[key] = supervisor.NewTiming(route.TargetLatency)
	}
	if r.loads[route.Service] == nil {
		r.loads[route.Service] = supervisor.NewLoad()
	}
	return r.timings[key], r.loads[route.Service]
}

// attemptWatch takes an attempt back when the request has waited too long at the endpoint. Nil is a
// watch that never does. Its timer decides in another goroutine than that of the attempt.
type attemptWatch struct {
	call   *call
	query  tracker.Query
	load   *supervisor.Load
	timing *supervisor.Timing
	// resumed is set if an earlier attempt has forwarded events.
	resumed bool
	// explainedGap is the longest pause between two events that the endpoint's state explains,
	// or 0 if it is not known.
	explainedGap time.Duration

	mu sync.Mutex
	// timer is nil until there is a connection.
	timer *time.Timer
	end   context.CancelCauseFunc
	// wait holds what the decision depends on. updateWait sets what changes during the wait.
	wait supervisor.Wait
	// waitingSince is when the wait began. forwardedAt is when the client got the last event.
	waitingSince time.Time
	forwardedAt  time.Time
	// startedAt is when the response began, events the number of its events so far.
	startedAt time.Time
	events    int
	// paused is set while events are forwarded, so that a slow client is not taken for a silent
	// endpoint.
	paused bool
	// late is set once the wait has counted as late, takeBack when the attempt is ended, stopped
	// when it is no longer watched.
	late     bool
	takeBack bool
	stopped  bool
}

// watchAttempt returns the context of an attempt, and a watch that ends it. The watch is nil if the
// request must not run again, or if its route has no target.
func (c *call) watchAttempt(ctx context.Context, choice *tracker.Choice) (context.Context, *attemptWatch) {
	if c.route.TargetLatency <= 0 || !c.route.Retryable() {
		return ctx, nil
	}
	timing, load := c.waits.find(c.route, c.model())
	query := c.lastQuery
	query.Model = c.requiredModel()
	query.Tried = slices.Clone(c.tried)
	mean, deviation := timing.Start()
	w := &attemptWatch{call: c, query: query, load: load, timing: timing, resumed: c.responseStarted, forwardedAt: c.forwardedAt, explainedGap: choice.ExpectedGap(),
		wait: supervisor.Wait{
			Expected:  max(mean, choice.ExpectedTTFT()),
			Deviation: deviation,
			Target:    c.route.TargetLatency,
			Work:      timing.Rest(),
			OtherRuns: c.route.MaxRuns - c.possibleRuns - 1,
		}}
	ctx, w.end = context.WithCancelCause(ctx)
	return ctx, w
}

// connected begins the wait. The time to open a connection has a bound of its own, after which the
// host is known to be unreachable.
func (w *attemptWatch) connected() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitingSince = time.Now()
	w.timer = time.AfterFunc(supervisor.Patience(w.wait), w.check)
}

// check takes the attempt back if that is better than to wait on.
func (w *attemptWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.stopped || w.takeBack || w.call.http.Context().Err() != nil {
		return
	}
	if w.paused {
		w.timer.Reset(w.wait.Target)
		return
	}
	w.wait.Waited = now.Sub(w.waitingSince)
	if patience := supervisor.Patience(w.wait); w.wait.Waited < patience {
		w.timer.Reset(patience - w.wait.Waited)
		return
	}
	if !w.late {
		w.late = true
		w.load.RecordLate(now)
	}
	w.updateWait(now)
	decision := supervisor.Decide(w.wait)
	switch {
	case decision.Move && w.spend():
		w.takeBack = true
		w.end(errTakenBack)
	case decision.Move:
		w.timer.Reset(w.wait.Target)
	case decision.Recheck > 0:
		w.timer.Reset(decision.Recheck)
	}
}

// updateWait updates what changes during the wait. The alternative is at least the queue delay of
// recent responses: if all of them were late, another endpoint is hardly sooner.
func (w *attemptWatch) updateWait(now time.Time) {
	ttft, queueDelay := w.call.Tracker.EstimateTTFT(w.query)
	w.wait.Alternative = max(ttft, queueDelay)
	w.wait.Overloaded = w.load.Overloaded(now)
	w.wait.Left = w.call.deadline.Sub(now)
	route := w.call.route
	if route.Kind == matcher.Stream {
		patience := supervisor.ClientPatience(route.TargetLatency, route.TargetEventGap)
		w.wait.Left = min(w.wait.Left, w.forwardedAt.Add(patience).Sub(now)+w.wait.Work)
	}
}

// spend takes the further attempt from the bounds on them and reports whether they allow it.
func (w *attemptWatch) spend() bool {
	if !w.load.TrySpend() {
		return false
	}
	if !w.call.RetryBudgets.ForService(w.call.route.Service).TrySpendAbove(retryReserve) {
		w.load.Refund()
		return false
	}
	return true
}

// headArrived pauses the wait, because the head of a response has arrived. It reports false if the
// request has been taken back meanwhile, so that the connection is closed.
func (w *attemptWatch) headArrived() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = true
	return !w.takeBack
}

// responseStarted records that the response has begun. A stream is then watched for its events.
func (w *attemptWatch) responseStarted(ttft time.Duration) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timing.RecordStart(ttft)
	now := time.Now()
	if !w.late {
		w.load.RecordOnTime(now)
	}
	w.startedAt, w.waitingSince = now, now
	w.paused = false
	gap := w.call.route.TargetEventGap
	if gap <= 0 || w.call.route.Kind != matcher.Stream {
		w.stopped = true
		w.timer.Stop()
		return
	}
	w.wait.Target = gap
	w.wait.Expected, w.wait.Deviation = w.explainedGap, supervisor.GapDeviation(gap)
	w.timer.Reset(supervisor.Patience(w.wait))
}

// eventsArrived records that events have arrived; count is the number of all events so far. The wait
// is paused until they are forwarded. A stream that is not resumable after them is no longer watched.
func (w *attemptWatch) eventsArrived(count int, resumable bool) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if count == w.events {
		return
	}
	now := time.Now()
	if w.events > 0 {
		w.wait.Expected = max(w.wait.Expected, now.Sub(w.waitingSince))
	}
	w.events = count
	w.paused = true
	if !resumable {
		w.stopped = true
	}
}

// eventsForwarded records that the events that have arrived are forwarded.
func (w *attemptWatch) eventsForwarded() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.paused {
		return
	}
	now := time.Now()
	w.paused = false
	w.waitingSince, w.forwardedAt = now, now
	w.wait.Work = max(0, w.timing.Rest()-now.Sub(w.startedAt))
}

// complete records that a complete response ended at the time.
func (w *attemptWatch) complete(endedAt time.Time) {
	if w == nil || w.resumed {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timing.RecordRest(endedAt.Sub(w.startedAt))
}

// tookBack reports whether the attempt was ended because the request waited too long.
func (w *attemptWatch) tookBack() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.takeBack
}

// stop ends the watch.
func (w *attemptWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	w.end(nil)
}

// fields returns the log fields of the wait.
func (w *attemptWatch) fields() []any {
	return []any{"waited", noter.FormatDuration(w.wait.Waited), "usual", noter.FormatDuration(w.wait.Expected), "alternative", noter.FormatDuration(w.wait.Alternative), "left", noter.FormatDuration(w.wait.Left)}
}

// handleTakenBack handles an attempt whose response had not begun when the request was taken back.
// The connection is closed, so that the endpoint drops the request.
func (c *call) handleTakenBack(choice *tracker.Choice, w *attemptWatch, failure *exchanger.Failure) (attemptStatus, *bufferedResponse, *classifier.Error) {
	c.attemptsReached++
	c.possibleRuns++
	w.timing.RecordStart(w.wait.Waited)
	c.recordResult(choice, Overdue, w.wait.Waited, 0)
	choice.TakeBack()
	c.retryPaid = true
	c.Counters.TakenBack.Inc()
	c.log("request taken back from its endpoint", c.endpointFields(choice, w.fields()...)...)
	return statusFailed, nil, classifier.Wrap(classifier.EndpointFailed, failure, "endpoint %s did not respond in time", choice.ID)
}

// handleSilentStream handles a stream that was ended because no further event came.
func (c *call) handleSilentStream(choice *tracker.Choice, w *attemptWatch, err error, events *eventBuffer) (attemptStatus, *bufferedResponse, *classifier.Error) {
	choice.TakeBack()
	c.retryPaid = true
	c.Counters.SilentStreams.Inc()
	c.log("stream is silent; resuming it elsewhere", c.endpointFields(choice, append(w.fields(), "events", events.count, "after", c.lastEventID)...)...)
	return brokenStatus(events), nil, classifier.Wrap(classifier.EndpointFailed, err, "endpoint %s sent no further event in time", choice.ID)
}
