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
	// A hedge is sent after hedgeDelayFactor times the expected time to first
	// token, but not before minHedgeDelay.
	hedgeDelayFactor = 3
	minHedgeDelay    = 200 * time.Millisecond
	// minPaceEvents is the number of events after which the decode pace of a
	// response is reported to the watcher while the response is still streaming.
	minPaceEvents = 5
)

// responseWriter forwards a response to the client. Without a sink it only
// collects the text. Unless streaming is set, it forwards the text when the
// response is complete.
type responseWriter struct {
	sink      Sink
	meta      ResponseMeta
	streaming bool
	started   bool
	text      strings.Builder
}

func (w *responseWriter) write(text string) error {
	w.text.WriteString(text)
	if w.sink == nil || !w.streaming || text == "" {
		return nil
	}
	if !w.started {
		w.started = true
		if err := w.sink.Begin(w.meta); err != nil {
			return err
		}
	}
	return w.sink.Text(text)
}

func (w *responseWriter) finish() error {
	if w.sink == nil || w.started {
		return nil
	}
	w.started = true
	return writeAll(w.sink, w.meta, w.text.String())
}

func (w *responseWriter) reset() { w.text.Reset() }

// startedStream is a stream whose first event has arrived.
type startedStream struct {
	stream      *sender.Stream
	endpoint    netip.AddrPort
	sentAt      time.Time
	firstTextAt time.Time
	firstText   string
}

// runVersion runs a request on one version. It retries and hedges as long as no
// part of the response has been sent to the client.
func (r *Router) runVersion(ctx context.Context, request *ChatRequest, version *compiler.Version, writer *responseWriter) (chatResult, error) {
	r.config.RetryBudget.RecordRequest()
	fields, err := engineFields(request, version)
	if err != nil {
		return chatResult{}, classifier.Wrap(classifier.BadRequest, err, "request cannot be encoded for the endpoint")
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
		allowed := retrier.Allowed(retrier.FailedAttempt{
			Kind:             failure.Err.Kind,
			Idempotent:       true,
			BytesSent:        failure.BytesSent,
			Attempts:         number,
			Remaining:        timeLeft(ctx),
			ExpectedDuration: r.expectedFirstToken(version.ID),
		})
		if !allowed || !r.config.RetryBudget.TrySpend() {
			return chatResult{}, failure.Err
		}
		r.counters.Retries.Add(1)
		writer.reset()
	}
}

// versionRun is the run of one request on one version, with the endpoints that
// its attempts have already used.
type versionRun struct {
	request *ChatRequest
	version *compiler.Version
	fields  sender.Fields
	tried   []netip.AddrPort
}

// engineFields returns the request's fields with those replaced that the router
// sets for the inference engine: model, stream, priority and max_tokens.
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
	if failure.Err.Kind == classifier.ClientDisconnected || failure.Err.Kind == classifier.Timeout {
		return failure.Err
	}
	return classifier.Wrap(classifier.Interrupted, failure.Err, "response was truncated after it had started")
}

// expectedFirstToken returns the expected time to first token of a version.
func (r *Router) expectedFirstToken(version compiler.VersionID) time.Duration {
	const firstTokenShare = 0.2 // of the expected duration of a complete response
	return time.Duration(firstTokenShare * r.config.State.Estimates().DurationSeconds(version) * float64(time.Second))
}

// attemptResult is the result of one attempt: a started stream or a failure.
type attemptResult struct {
	number  int
	started *startedStream
	failure *sender.Failure
}

// hedgedAttempts is a set of concurrent attempts at one request. The first
// attempt that responds is kept.
type hedgedAttempts struct {
	router  *Router
	run     *versionRun
	results chan attemptResult
	cancels []context.CancelFunc
	pending int
}

// maxHedgedAttempts is the maximum number of concurrent attempts: the first one
// and its hedge.
const maxHedgedAttempts = 2

// launch starts an attempt at an endpoint that was not tried yet. It returns
// false if there is no such endpoint.
func (a *hedgedAttempts) launch(ctx context.Context) bool {
	r := a.router
	endpoint, ok := r.pickEndpoint(r.config.Watcher.VersionEndpoints(a.run.version.ID), prefixKey(a.run.request.Prefix), a.run.tried)
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

// cancelOthers cancels all attempts except keep. Cancelled attempts are not
// billed.
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

// openHedged returns a stream whose first event has arrived. If the first event
// takes longer than the hedge delay, it hedges with a second attempt at another
// endpoint.
func (r *Router) openHedged(ctx context.Context, run *versionRun) (*startedStream, *sender.Failure) {
	attempts := &hedgedAttempts{router: r, run: run, results: make(chan attemptResult, maxHedgedAttempts)}
	if !attempts.launch(ctx) {
		return nil, &sender.Failure{Err: classifier.New(classifier.NoEndpoint, "no endpoint that serves %s accepts requests", run.version.ID).WithRetryAfter(time.Second)}
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
			if r.config.Options.NoHedge || !r.config.RetryBudget.TrySpend() {
				continue
			}
			if attempts.launch(ctx) {
				r.counters.Hedges.Add(1)
			}
		}
	}
}

// openStream opens a stream and waits for its first event with text.
func (r *Router) openStream(ctx context.Context, endpoint netip.AddrPort, run *versionRun) (*startedStream, *sender.Failure) {
	sentAt := time.Now()
	stream, failure := r.config.Sender.OpenStream(ctx, endpoint, run.fields)
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
	return &sender.Failure{Err: classifier.FromError(err), BytesSent: true}
}

// forwardStream writes the text of a stream until its end marker, and records
// the attempt's result, duration and token counts.
func (r *Router) forwardStream(started *startedStream, version *compiler.Version, writer *responseWriter) (chatResult, *sender.Failure) {
	defer started.stream.Close()
	paceReported := false
	text, err := started.firstText, error(nil)
	for err == nil {
		if sinkErr := writer.write(text); sinkErr != nil {
			r.recordFailure(started.endpoint, classifier.ClientDisconnected)
			return chatResult{}, &sender.Failure{Err: classifier.Wrap(classifier.ClientDisconnected, sinkErr, "the client stopped reading"), BytesSent: true}
		}
		text, err = nextBatch(started.stream)
		if !paceReported && started.stream.EventCount() >= minPaceEvents {
			paceReported = true
			r.config.Watcher.RecordProgress(started.endpoint, time.Since(started.firstTextAt)/time.Duration(started.stream.EventCount()-1))
		}
	}
	if !errors.Is(err, io.EOF) {
		failure := asFailure(err)
		r.recordFailure(started.endpoint, failure.Err.Kind)
		return chatResult{}, failure
	}
	usage := started.stream.Usage()
	duration := time.Since(started.sentAt)
	r.config.Watcher.End(started.endpoint, watcher.Result{DecodePace: decodePace(started, usage)})
	r.config.ObserveResponse(version.ID, usage.Output, duration)
	if err := writer.finish(); err != nil {
		return chatResult{}, &sender.Failure{Err: classifier.Wrap(classifier.ClientDisconnected, err, "the client stopped reading"), BytesSent: true}
	}
	return chatResult{
		version: version.ID,
		usage:   usage,
		cost:    version.Price.Charge(usage.Input, usage.Output),
		text:    writer.text.String(),
	}, nil
}

// nextBatch returns the text of the next event and of all events that are
// already buffered behind it. One write to the client for the batch costs much
// less than one write for each event.
func nextBatch(stream *sender.Stream) (string, error) {
	text, err := stream.Next()
	for err == nil && stream.EventBuffered() {
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

// decodePace returns the time per output token after the first, or 0 if there
// are fewer than 2 output tokens.
func decodePace(started *startedStream, usage sender.Usage) time.Duration {
	if usage.Output < 2 {
		return 0
	}
	return time.Since(started.firstTextAt) / time.Duration(usage.Output-1)
}
