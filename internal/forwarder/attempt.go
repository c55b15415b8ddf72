package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/sizer"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

const (
	// maxAnswer bounds an answer that is held as a whole.
	maxResponseBytes = 8 << 20
	// maxSends bounds how often one request is offered, refusals included.
	maxAttempts = 10
	// pieceBytes is the size of the buffer that a stream is read into.
	streamBufferBytes = 4 << 10
)

// verdict says what to do after an attempt.
type attemptStatus int

const (
	// done: the answer has been passed on.
	statusDone attemptStatus = iota
	// unrun: the endpoint has not run the request.
	statusNotExecuted
	// failed: the endpoint may have run it, and nothing usable came.
	statusFailed
	// dropped: the answer is left for one of a larger model.
	statusDiscarded
)

// run offers the request to endpoints until one has answered.
func (c *call) run(ctx context.Context) *classifier.Error {
	budget := c.RetryBudgets.ForService(c.route.Service)
	budget.RecordRequest()
	c.lastEventID = c.LastEventID
	c.size = sizer.FirstSize(c.costs())
	var buffered *bufferedResponse
	last := classifier.New(classifier.NoEndpoint, "no endpoint of service %q takes work", c.route.Service)
	for attempts := 0; attempts < maxAttempts; attempts++ {
		// Only what has reached an endpoint makes the next one a repeat.
		if c.attemptsReached > 0 && !c.retryPaid && !budget.TrySpend() {
			last = classifier.Wrap(last.Kind, last, "no more repeats are allowed now")
			break
		}
		c.retryPaid = false
		choice, ok := c.pick()
		if !ok {
			break
		}
		if attempts > 0 {
			c.Counters.Retries.Inc()
		}
		status, got, err := c.tryEndpoint(ctx, choice)
		if status == statusDone {
			return nil
		}
		if got != nil {
			buffered = got
		}
		if err != nil {
			last = err
		}
		if ctx.Err() != nil || !c.mayRetry(status) {
			break
		}
	}
	if buffered != nil && !c.responseStarted {
		c.writeResponse(buffered)
		return nil
	}
	return last
}

// mayRepeat reports whether another endpoint may get the request.
func (c *call) mayRetry(status attemptStatus) bool {
	if status == statusNotExecuted || status == statusDiscarded {
		return true
	}
	return c.route.Retryable() && c.possibleRuns < c.route.MaxRuns
}

func (c *call) pick() (*tracker.Choice, bool) {
	return c.Tracker.Pick(c.query(c.model()))
}

// query returns what the choice of an endpoint for a model depends on.
func (c *call) query(model string) tracker.Query {
	prefixKey, prefixTokens := c.sharedPrefix()
	constraint := c.ControlPlane.SelectVersion(VersionQuery{Service: c.route.Service, Session: c.Session, Request: c.ID, PreviouslyFailed: c.previouslyFailed})
	return tracker.Query{
		Service:       c.route.Service,
		OnlyVersion:   constraint.Only,
		ExceptVersion: constraint.Except,
		SubsetShare:   constraint.EndpointShare,
		Model:         model,
		PrefixKey:     prefixKey,
		SharedTokens:  prefixTokens,
		PromptTokens:  c.PromptTokens,
		Tried:         c.tried,
	}
}

// ran records a result of the endpoint's version.
func (c *call) recordResult(choice *tracker.Choice, outcome Outcome, ttft, decodePace time.Duration) {
	c.previouslyFailed = c.previouslyFailed || outcome == ServerError || outcome == Incomplete
	c.ControlPlane.RecordResult(Result{
		Service:      c.route.Service,
		Version:      choice.Version,
		Endpoint:     choice.ID,
		Route:        c.route.Name,
		Model:        c.model(),
		Outcome:      outcome,
		ExpectedTTFT: choice.ExpectedTTFT(),
		TTFT:         ttft,
		DecodePace:   decodePace,
	})
}

// model returns the size of model to run the request on; empty to leave the
// client's choice.
func (c *call) model() string {
	if !c.AnyModel || len(c.route.Models) == 0 {
		return ""
	}
	return c.route.Models[c.size]
}

// subject returns what identifies the parts of the prompt that the request
// shares with others, and their length in tokens.
func (c *call) sharedPrefix() (key uint64, tokens int) {
	if !c.route.PrefixAffinity || len(c.PromptParts) < 2 {
		return 0, 0
	}
	shared := c.PromptParts[:len(c.PromptParts)-1]
	for _, part := range shared {
		tokens += part.Tokens
	}
	return shared[len(shared)-1].ID, tokens
}

// answer is an answer that is held as a whole.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// try offers the request to one endpoint. An answer that is returned is the
// endpoint's failure, to be passed on if nothing better comes.
func (c *call) tryEndpoint(ctx context.Context, choice *tracker.Choice) (attemptStatus, *bufferedResponse, *classifier.Error) {
	c.Counters.Attempts.Inc()
	c.tried = append(c.tried, choice.ID)
	sentAt := time.Now()
	attempt := Attempt{
		Remaining:   c.remaining(),
		Endpoint:    choice.ID,
		Model:       c.model(),
		Priority:    c.enginePriority(),
		LastEventID: c.lastEventID,
	}
	if c.account != nil {
		attempt.Account = c.account.Name
	}
	response, failure := c.Exchanger.Do(ctx, choice.Address, &exchanger.Request{
		Method: c.http.Method,
		Target: c.http.RequestURI,
		Host:   c.http.Host,
		Header: c.Codec.EndpointHeader(c.http.Header, attempt),
		Body:   c.body,
	})
	if failure != nil {
		return c.handleNoResponse(ctx, choice, failure)
	}
	defer response.Close()
	info := c.Codec.ParseResponse(response.Status, response.Header)
	if info.HasLoad {
		choice.ReportLoad(info.Running, info.Waiting)
	}
	c.attemptsReached++
	if info.Refused {
		return c.handleRefusal(choice, response, info)
	}
	c.possibleRuns++
	c.ttft = time.Since(sentAt)
	choice.ResponseStarted(c.ttft)
	if response.Status == http.StatusOK && c.route.Kind == matcher.Stream {
		return c.forwardStream(ctx, choice, response, info)
	}
	return c.forwardWhole(ctx, choice, response, info)
}

// unanswered handles an attempt without an answer.
func (c *call) handleNoResponse(ctx context.Context, choice *tracker.Choice, failure *exchanger.Failure) (attemptStatus, *bufferedResponse, *classifier.Error) {
	status, outcome, trackerOutcome := statusFailed, Incomplete, tracker.Failure
	if failure.Stage == exchanger.Unsent {
		status, outcome, trackerOutcome = statusNotExecuted, NotSent, tracker.ConnectFailed
	} else {
		c.attemptsReached++
		c.possibleRuns++
	}
	if failure.Unreachable() {
		trackerOutcome = tracker.Unreachable
	}
	if ctx.Err() != nil {
		trackerOutcome = tracker.Neutral
	} else {
		c.recordResult(choice, outcome, 0, 0)
	}
	choice.End(trackerOutcome, 0)
	c.log("attempt without answer", c.endpointFields(choice, "error", failure.Err, "sent", failure.Stage == exchanger.Sent)...)
	kind := classifier.EndpointFailed
	if status == statusNotExecuted {
		kind = classifier.NoEndpoint
	}
	return status, nil, classifier.Wrap(kind, failure, "no answer of endpoint %s", choice.ID)
}

// refused handles an endpoint that did not run the request.
func (c *call) handleRefusal(choice *tracker.Choice, response *exchanger.Response, info ResponseInfo) (attemptStatus, *bufferedResponse, *classifier.Error) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response, maxResponseBytes))
	choice.End(tracker.Neutral, 0)
	if info.Misdirected {
		choice.ReportMisdirected()
	}
	c.log("endpoint refused", c.endpointFields(choice, "status", response.Status, "running", info.Running, "waiting", info.Waiting)...)
	return statusNotExecuted, nil, classifier.New(classifier.EndpointRefused, "endpoint %s refused with status %d", choice.ID, response.Status).WithRetryAfter(notReadyRetryAfter)
}

// about returns the fields of an attempt for a log line.
func (c *call) endpointFields(choice *tracker.Choice, args ...any) []any {
	return append(args, "endpoint", choice.ID, "address", choice.Address, "version", choice.Version, "model", c.model(),
		"load", choice.Load, "backlog", noter.Brief(choice.Backlog), "expected", noter.Brief(choice.ExpectedTTFT()), "sends", len(c.tried))
}

// whole reads an answer to its end and passes it on.
func (c *call) forwardWhole(ctx context.Context, choice *tracker.Choice, response *exchanger.Response, info ResponseInfo) (attemptStatus, *bufferedResponse, *classifier.Error) {
	body, err := io.ReadAll(io.LimitReader(response, maxResponseBytes))
	took := c.ttft
	if err == nil {
		err = checkResponse(response.Status, info)
	}
	if err != nil {
		trackerOutcome := tracker.Failure
		if ctx.Err() != nil {
			trackerOutcome = tracker.Neutral
		}
		if trackerOutcome == tracker.Failure {
			c.recordResult(choice, Incomplete, 0, 0)
		}
		choice.End(trackerOutcome, 0)
		c.log("answer is spoilt", c.endpointFields(choice, "error", err, "status", response.Status)...)
		return statusFailed, nil, classifier.Wrap(classifier.EndpointFailed, err, "the answer of endpoint %s is spoilt", choice.ID)
	}
	got := &bufferedResponse{status: response.Status, header: c.Codec.ClientHeader(response.Header), body: body}
	outcome := Completed
	if response.Status >= http.StatusInternalServerError {
		outcome = ServerError
	}
	c.recordResult(choice, outcome, took, 0)
	if outcome == ServerError {
		choice.End(tracker.Failure, 0)
		c.log("endpoint failed", c.endpointFields(choice, "status", response.Status)...)
		return statusFailed, got, classifier.New(classifier.EndpointFailed, "endpoint %s failed with status %d", choice.ID, response.Status)
	}
	choice.End(tracker.Success, 0)
	response.Close()
	c.writeResponse(got)
	c.log("request served", c.endpointFields(choice, "status", response.Status, "took", noter.Brief(took))...)
	return statusDone, nil, nil
}

// sound reports why an answer cannot be the endpoint's own.
func checkResponse(status int, info ResponseInfo) error {
	if status >= http.StatusOK && status < http.StatusMultipleChoices && !info.Signed {
		return errors.New("a success without a signature")
	}
	if info.Encoded {
		return errors.New("an encoded body that nobody asked for")
	}
	return nil
}

// pass writes an answer to the client.
func (c *call) writeResponse(response *bufferedResponse) {
	c.responseStarted = true
	c.Counters.Served.Inc()
	c.Counters.WholeResponse.UpdateDuration(c.arrived)
	header := c.writer.Header()
	for name, values := range response.header {
		header[name] = values
	}
	c.writer.WriteHeader(response.status)
	_, _ = c.writer.Write(response.body)
}
