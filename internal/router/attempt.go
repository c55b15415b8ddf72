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
	hedgeFactor = 3
	minHedge    = 200 * time.Millisecond
	// paceEvents is the number of events after which the pace of an answer is
	// looked at while it is under way.
	paceEvents = 5
)

// delivery passes an answer on to the caller. Without a sink the text is only
// gathered; when it is not live it is passed on once it is complete.
type delivery struct {
	sink  Sink
	meta  Meta
	live  bool
	begun bool
	text  strings.Builder
}

func (d *delivery) add(text string) error {
	d.text.WriteString(text)
	if d.sink == nil || !d.live || text == "" {
		return nil
	}
	if !d.begun {
		d.begun = true
		if err := d.sink.Begin(d.meta); err != nil {
			return err
		}
	}
	return d.sink.Text(text)
}

func (d *delivery) finish() error {
	if d.sink == nil || d.begun {
		return nil
	}
	d.begun = true
	return flush(d.sink, d.meta, d.text.String())
}

func (d *delivery) restart() { d.text.Reset() }

// running is a stream whose first event has come.
type running struct {
	stream   *sender.Stream
	endpoint netip.AddrPort
	began    time.Time
	first    time.Time
	text     string
}

// answer runs a request on one version, with retries and hedges as long as
// nothing has reached the caller.
func (r *Router) answer(ctx context.Context, request *ChatRequest, version *compiler.Version, delivery *delivery) (result, error) {
	r.parts.Budget.RecordRequest()
	fields, err := engineFields(request, version)
	if err != nil {
		return result{}, classifier.Wrap(classifier.BadRequest, err, "the request cannot be passed on")
	}
	work := &work{request: request, version: version, fields: fields}
	for number := 1; ; number++ {
		current, failure := r.open(ctx, work)
		if failure == nil {
			var done result
			done, failure = r.consume(current, version, delivery)
			if failure == nil {
				return done, nil
			}
		}
		if delivery.begun {
			return result{}, interrupted(failure)
		}
		allowed := retrier.Allowed(retrier.FailedAttempt{
			Kind:             failure.Err.Kind,
			Idempotent:       true,
			BytesSent:        failure.Wrote,
			Attempts:         number,
			Remaining:        timeLeft(ctx),
			ExpectedDuration: r.usualFirst(version.ID),
		})
		if !allowed || !r.parts.Budget.TrySpend() {
			return result{}, failure.Err
		}
		r.counts.Retries.Add(1)
		delivery.restart()
	}
}

// work is one request on one version with the endpoints that were tried.
type work struct {
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
	return fields.With("max_tokens", request.limit(version))
}

func interrupted(failure *sender.Failure) error {
	if failure.Err.Kind == classifier.ClientDisconnected || failure.Err.Kind == classifier.Timeout {
		return failure.Err
	}
	return classifier.Wrap(classifier.Interrupted, failure.Err, "the answer was cut after it had begun")
}

// usualFirst returns the expected time to the first token.
func (r *Router) usualFirst(version compiler.VersionID) time.Duration {
	const firstShare = 0.2 // of the time of a whole answer
	return time.Duration(firstShare * r.parts.Views.Estimates().Seconds(version) * float64(time.Second))
}

// opened is the result of one attempt.
type opened struct {
	number  int
	running *running
	failure *sender.Failure
}

// race is a set of attempts of which the first to answer is kept.
type race struct {
	router  *Router
	work    *work
	results chan opened
	cancels []context.CancelFunc
	left    int
}

// maxRace is the number of attempts of one race.
const maxRace = 2

// launch starts an attempt at an endpoint that was not tried yet; it reports
// whether there was one.
func (a *race) launch(ctx context.Context) bool {
	r := a.router
	endpoint, ok := r.pick(r.parts.Watcher.VersionEndpoints(a.work.version.ID), prefixHash(a.work.request.Prefix), a.work.tried)
	if !ok {
		return false
	}
	a.work.tried = append(a.work.tried, endpoint)
	ctx, cancel := context.WithCancel(ctx)
	number := len(a.cancels)
	a.cancels = append(a.cancels, cancel)
	a.left++
	go func() {
		current, failure := r.first(ctx, endpoint, a.work)
		a.results <- opened{number, current, failure}
	}()
	return true
}

// settle cancels the attempts that lost. They are billed to nobody.
func (a *race) settle(winner int) {
	for number, cancel := range a.cancels {
		if number != winner {
			cancel()
		}
	}
	if a.left == 0 {
		return
	}
	go func() {
		for range a.left {
			if lost := <-a.results; lost.running != nil {
				lost.running.stream.Close()
				a.router.parts.Watcher.End(lost.running.endpoint, watcher.Result{Neutral: true})
			}
		}
	}()
}

// open returns a stream whose first event has come. When that takes long it
// hedges: a second attempt at another endpoint.
func (r *Router) open(ctx context.Context, work *work) (*running, *sender.Failure) {
	attempts := &race{router: r, work: work, results: make(chan opened, maxRace)}
	if !attempts.launch(ctx) {
		return nil, &sender.Failure{Err: classifier.New(classifier.NoEndpoint, "no endpoint that serves %s takes work", work.version.ID).WithRetryAfter(time.Second)}
	}
	timer := time.NewTimer(max(minHedge, hedgeFactor*r.usualFirst(work.version.ID)))
	defer timer.Stop()
	for {
		select {
		case got := <-attempts.results:
			attempts.left--
			if got.failure == nil {
				attempts.settle(got.number)
				return got.running, nil
			}
			attempts.cancels[got.number]()
			if attempts.left == 0 {
				return nil, got.failure
			}
		case <-timer.C:
			if r.parts.Options.NoHedge || !r.parts.Budget.TrySpend() {
				continue
			}
			if attempts.launch(ctx) {
				r.counts.Hedges.Add(1)
			}
		}
	}
}

// first opens a stream and waits for its first event with text.
func (r *Router) first(ctx context.Context, endpoint netip.AddrPort, work *work) (*running, *sender.Failure) {
	began := time.Now()
	stream, failure := r.parts.Sender.Open(ctx, endpoint, work.fields)
	if failure != nil {
		r.blame(endpoint, failure.Err.Kind)
		return nil, failure
	}
	text, err := stream.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		stream.Close()
		failure := asFailure(err)
		r.blame(endpoint, failure.Err.Kind)
		return nil, failure
	}
	return &running{stream: stream, endpoint: endpoint, began: began, first: time.Now(), text: text}, nil
}

func asFailure(err error) *sender.Failure {
	if failure, ok := errors.Into[*sender.Failure](err); ok {
		return failure
	}
	return &sender.Failure{Err: classifier.FromError(err), Wrote: true}
}

// consume passes a stream on until its end marker.
func (r *Router) consume(current *running, version *compiler.Version, delivery *delivery) (result, *sender.Failure) {
	defer current.stream.Close()
	paced := false
	text, err := current.text, error(nil)
	for err == nil {
		if sinkErr := delivery.add(text); sinkErr != nil {
			r.blame(current.endpoint, classifier.ClientDisconnected)
			return result{}, &sender.Failure{Err: classifier.Wrap(classifier.ClientDisconnected, sinkErr, "the caller stopped reading"), Wrote: true}
		}
		text, err = nextPiece(current.stream)
		if !paced && current.stream.Events() >= paceEvents {
			paced = true
			r.parts.Watcher.RecordProgress(current.endpoint, time.Since(current.first)/time.Duration(current.stream.Events()-1))
		}
	}
	if !errors.Is(err, io.EOF) {
		failure := asFailure(err)
		r.blame(current.endpoint, failure.Err.Kind)
		return result{}, failure
	}
	usage := current.stream.Usage()
	took := time.Since(current.began)
	r.parts.Watcher.End(current.endpoint, watcher.Result{DecodePace: pace(current, usage)})
	r.parts.Observe(version.ID, usage.Output, took)
	if err := delivery.finish(); err != nil {
		return result{}, &sender.Failure{Err: classifier.Wrap(classifier.ClientDisconnected, err, "the caller stopped reading"), Wrote: true}
	}
	return result{
		version: version.ID,
		usage:   usage,
		cost:    version.Price.Charge(usage.Input, usage.Output),
		text:    delivery.text.String(),
	}, nil
}

// nextPiece returns the text of the next event and of those that have arrived
// behind it: one write to the caller for all of them costs much less than one
// for each.
func nextPiece(stream *sender.Stream) (string, error) {
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
func pace(current *running, usage sender.Usage) time.Duration {
	if usage.Output < 2 {
		return 0
	}
	return time.Since(current.first) / time.Duration(usage.Output-1)
}
