package router

import (
	"context"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/retrier"
	"quetzalgrade.example/quetzalgrade/internal/sender"
	"quetzalgrade.example/quetzalgrade/internal/watcher"
)

const (
	// hedgeFactor times the usual time to the first token is the delay of a
	// hedge.
	hedgeDelayFactor = 3
	minHedgeDelay    = 200 * time.Millisecond
	// paceEvents is the number of events after which the pace of an answer is
	// looked at while it is under way.
	minPaceEvents = 5
)

// delivery passes an answer on to the caller. Without a sink the text is only
// gathered; when it is not live it is passed on once it is complete.
type responseWriter struct {
	sink      Sink
	meta      ResponseMeta
	streaming bool
	started   bool
	text      strings.Builder
}

func (d *responseWriter) write(text string) error {
	d.text.WriteString(text)
	if d.sink == nil || !d.streaming || text == "" {
		return nil
	}
	if !d.started {
		d.started = true
		if err := d.sink.Begin(d.meta); err != nil {
			return err
		}
	}
	return d.sink.Text(text)
}

func (d *responseWriter) finish() error {
	if d.sink == nil || d.started {
		return nil
	}
	d.started = true
	return writeAll(d.sink, d.meta, d.text.String())
}

func (d *responseWriter) reset() { d.text.Reset() }

// running is a stream whose first event has come.
type startedStream struct {
	stream      *sender.Stream
	endpoint    netip.AddrPort
	sentAt      time.Time
	firstTextAt time.Time
	firstText   string
}

// answer runs a request on one version, with retries and hedges as long as
// nothing has reached the caller.
func (r *Router) runVersion(ctx context.Context, request *ChatRequest, version *compiler.Version, writer *responseWriter) (chatResult, error) {
	r.config.RetryBudget.Request()
	fields, err := engineFields(request, version)
	if err != nil {
		return chatResult{}, classifier.Wrap(classifier.BadRequest, err, "the request cannot be passed on")
	}
	run := &versionRun{request: request, version: version, fields: fields}
	for number := 1; ; number++ {
		started, failure := r.openHedged(ctx, run)
		if failure == nil {
			var complete chatResult
			complete, failure = r.forwardStream(started, version, writer)
			if failure == nil {
				return complete, nil
			}
		}
		if writer.started {
			return chatResult{}, interruptedError(failure)
		}
		allowed := retrier.Allowed(retrier.Attempt{
			Kind:       failure.Err.Kind,
			Idempotent: true,
			Wrote:      failure.Wrote,
			Number:     number,
			Left:       timeLeft(ctx),
			Expected:   r.expectedFirstToken(version.ID),
		})
		if !allowed || !r.config.RetryBudget.Spend() {
			return chatResult{}, failure.Err
		}
		r.counters.Retries.Add(1)
		writer.reset()
	}
}

// work is one request on one version with the endpoints that were tried.
type versionRun struct {
	request *ChatRequest
	version *compiler.Version
	fields  sender.Fields
	tried   []netip.AddrPort
}

// engineFields rewrites the fields that the engine must see changed.
func engineFields(request *ChatRequest, version *compiler.Version) (sender.Fields, error) {
	fields, err := request.Fields.With("model", version.ID.String())
	if err != nil {
		return nil, err
	}
	if fields, err = fields.With("stream", true); err != nil {
		return nil, err
	}
	if fields, err = fields.With("priority", request.Account.Policy.Priority); err != nil {
		return nil, err
	}
	return fields.With("max_tokens", request.outputLimit(version))
}

func interruptedError(failure *sender.Failure) error {
	if failure.Err.Kind == classifier.CallerGone || failure.Err.Kind == classifier.Timeout {
		return failure.Err
	}
	return classifier.Wrap(classifier.Interrupted, failure.Err, "the answer was cut after it had begun")
}

// usualFirst returns the expected time to the first token.
func (r *Router) expectedFirstToken(version compiler.VersionID) time.Duration {
	const firstTokenShare = 0.2 // of the time of a whole answer
	return time.Duration(firstTokenShare * r.config.State.Estimates().DurationSeconds(version) * float64(time.Second))
}

// opened is the result of one attempt.
type attemptResult struct {
	number  int
	started *startedStream
	failure *sender.Failure
}

// race is a set of attempts of which the first to answer is kept.
type hedgedAttempts struct {
	router  *Router
	run     *versionRun
	results chan attemptResult
	cancels []context.CancelFunc
	pending int
}

// maxRace is the number of attempts of one race.
const maxHedgedAttempts = 2

// launch starts an attempt at an endpoint that was not tried yet; it reports
// whether there was one.
func (a *hedgedAttempts) launch(ctx context.Context) bool {
	r := a.router
	endpoint, ok := r.pickEndpoint(r.config.Watcher.Pool(a.run.version.ID), prefixKey(a.run.request.Prefix), a.run.tried)
	if !ok {
		return false
	}
	a.run.tried = append(a.run.tried, endpoint)
	ctx, cancel := context.WithCancel(ctx)
	number := len(a.cancels)
	a.cancels = append(a.cancels, cancel)
	a.pending++
	go func() {
		started, failure := r.openStream(ctx, endpoint, a.run)
		a.results <- attemptResult{number, started, failure}
	}()
	return true
}

// settle cancels the attempts that lost. They are billed to nobody.
func (a *hedgedAttempts) cancelOthers(keep int) {
	for number, cancel := range a.cancels {
		if number != keep {
			cancel()
		}
	}
	if a.pending == 0 {
		return
	}
	go func() {
		for range a.pending {
			if discarded := <-a.results; discarded.started != nil {
				discarded.started.stream.Close()
				a.router.config.Watcher.End(discarded.started.endpoint, watcher.Result{Neutral: true})
			}
		}
	}()
}

// open returns a stream whose first event has come. When that takes long it
// hedges: a second attempt at another endpoint.
func (r *Router) openHedged(ctx context.Context, run *versionRun) (*startedStream, *sender.Failure) {
	attempts := &hedgedAttempts{router: r, run: run, results: make(chan attemptResult, maxHedgedAttempts)}
	if !attempts.launch(ctx) {
		return nil, &sender.Failure{Err: classifier.New(classifier.NoEndpoint, "no endpoint that serves %s takes work", run.version.ID).After(time.Second)}
	}
	timer := time.NewTimer(max(minHedgeDelay, hedgeDelayFactor*r.expectedFirstToken(run.version.ID)))
	defer timer.Stop()
	for {
		select {
		case got := <-attempts.results:
			attempts.pending--
			if got.failure == nil {
				attempts.cancelOthers(got.number)
				return got.started, nil
			}
			attempts.cancels[got.number]()
			if attempts.pending == 0 {
				return nil, got.failure
			}
		case <-timer.C:
			if r.config.Options.NoHedge || !r.config.RetryBudget.Spend() {
				continue
			}
			if attempts.launch(ctx) {
				r.counters.Hedges.Add(1)
			}
		}
	}
}

// first opens a stream and waits for its first event with text.
func (r *Router) openStream(ctx context.Context, endpoint netip.AddrPort, run *versionRun) (*startedStream, *sender.Failure) {
	sentAt := time.Now()
	stream, failure := r.config.Sender.Open(ctx, endpoint, run.fields)
	if failure != nil {
		r.recordFailure(endpoint, failure.Err.Kind)
		return nil, failure
	}
	text, err := stream.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		stream.Close()
		failure := asFailure(err)
		r.recordFailure(endpoint, failure.Err.Kind)
		return nil, failure
	}
	return &startedStream{stream: stream, endpoint: endpoint, sentAt: sentAt, firstTextAt: time.Now(), firstText: text}, nil
}

func asFailure(err error) *sender.Failure {
	if failure, ok := errors.Into[*sender.Failure](err); ok {
		return failure
	}
	return &sender.Failure{Err: classifier.Of(err), Wrote: true}
}

// consume passes a stream on until its end marker.
func (r *Router) forwardStream(started *startedStream, version *compiler.Version, writer *responseWriter) (chatResult, *sender.Failure) {
	defer started.stream.Close()
	paceReported := false
	text, err := started.firstText, error(nil)
	for err == nil {
		if sinkErr := writer.write(text); sinkErr != nil {
			r.recordFailure(started.endpoint, classifier.CallerGone)
			return chatResult{}, &sender.Failure{Err: classifier.Wrap(classifier.CallerGone, sinkErr, "the caller stopped reading"), Wrote: true}
		}
		text, err = nextBatch(started.stream)
		if !paceReported && started.stream.Events() >= minPaceEvents {
			paceReported = true
			r.config.Watcher.Progress(started.endpoint, time.Since(started.firstTextAt)/time.Duration(started.stream.Events()-1))
		}
	}
	if !errors.Is(err, io.EOF) {
		failure := asFailure(err)
		r.recordFailure(started.endpoint, failure.Err.Kind)
		return chatResult{}, failure
	}
	usage := started.stream.Usage()
	took := time.Since(started.sentAt)
	r.config.Watcher.End(started.endpoint, watcher.Result{Pace: decodePace(started, usage)})
	r.config.ObserveResponse(version.ID, usage.Output, took)
	if err := writer.finish(); err != nil {
		return chatResult{}, &sender.Failure{Err: classifier.Wrap(classifier.CallerGone, err, "the caller stopped reading"), Wrote: true}
	}
	return chatResult{
		version: version.ID,
		usage:   usage,
		cost:    version.Price.Charge(usage.Input, usage.Output),
		text:    writer.text.String(),
	}, nil
}

// nextPiece returns the text of the next event and of those that have arrived
// behind it: one write to the caller for all of them costs much less than one
// for each.
func nextBatch(stream *sender.Stream) (string, error) {
	text, err := stream.Next()
	for err == nil && stream.Ready() {
		var more string
		if more, err = stream.Next(); err == nil {
			text += more
		}
	}
	if errors.Is(err, io.EOF) && text != "" {
		return text, nil
	}
	return text, err
}

// pace returns the time per output token after the first.
func decodePace(started *startedStream, usage sender.Usage) time.Duration {
	if usage.Output < 2 {
		return 0
	}
	return time.Since(started.firstTextAt) / time.Duration(usage.Output-1)
}
