package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

const (
	// maxRefusalBytes bounds the body of a refusal.
	maxRefusalBytes = 64 << 10
	// maxAttempts bounds the attempts of one request, including those that the
	// endpoint refuses.
	maxAttempts = 10
	// streamBufferBytes is the size of the buffer that a stream is read into.
	streamBufferBytes = 4 << 10
)

// attemptStatus decides what the forwarder does after an attempt.
type attemptStatus int

const (
	// statusDone means that the response has been forwarded to the client.
	statusDone attemptStatus = iota
	// statusNotExecuted means that the endpoint has not run the request.
	statusNotExecuted
	// statusFailed means that the endpoint may have run the request but did not
	// return a usable response.
	statusFailed
	// statusAborted means that the request must not be retried because a part of a
	// response that cannot be resumed has been forwarded.
	statusAborted
	// statusDiscarded means that the response was discarded because the request
	// escalates to a larger model.
	statusDiscarded
	// statusNotServed means that endpoints have refused the request because of what it asks for, so
	// that the others would too.
	statusNotServed
	// statusNotPermitted means that the endpoint has not been sent the request because it
	// may not get requests any more. It uses up none of the request's attempts.
	statusNotPermitted
)

// run attempts the request at one endpoint after another until a response has
// been forwarded.
func (c *call) run(ctx context.Context) *classifier.Error {
	budget := c.RetryBudgets.ForService(c.route.Service)
	budget.RecordRequest()
	c.lastEventID = c.LastEventID
	var buffered *bufferedResponse
	last := classifier.New(classifier.NoEndpoint, "no endpoint of service %q accepts requests", c.route.Service)
	for attempts := 0; attempts < maxAttempts; attempts++ {
		// An attempt counts against the retry budget only if an earlier one has
		// reached an endpoint.
		if c.attemptsReached > 0 && !c.retryPaid && !budget.TrySpend() {
			last = classifier.Wrap(last.Kind, last, "the retry budget is exhausted")
			break
		}
		c.retryPaid = false
		if problem := c.checkContent(); problem != nil {
			last = problem
			break
		}
		choice, ok := c.pick()
		if !ok {
			if wait, prevented := c.Tracker.Wait(c.query(c.requiredModel())); prevented {
				_ = last.WithRetryAfter(max(notReadyRetryAfter, wait))
			}
			break
		}
		if problem := c.beginTrial(choice); problem != nil {
			last = problem
			break
		}
		c.adaptSize(choice)
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
		if status == statusNotPermitted {
			attempts--
		}
	}
	if buffered != nil && !c.responseStarted {
		c.writeResponse(buffered)
		return nil
	}
	return last
}

// mayRetry reports whether the request may be sent to another endpoint.
func (c *call) mayRetry(status attemptStatus) bool {
	switch status {
	case statusNotExecuted, statusDiscarded, statusNotPermitted:
		return true
	}
	return status == statusFailed && c.route.Retryable() && c.possibleRuns < c.route.MaxRuns && !c.mayCrash
}

// pick chooses an endpoint for the next attempt. It returns false if there is none.
func (c *call) pick() (*tracker.Choice, bool) {
	c.lastQuery = c.query(c.requiredModel())
	return c.Tracker.Pick(c.lastQuery)
}

// query returns the criteria for choosing an endpoint that runs the model on this
// request.
func (c *call) query(model string) tracker.Query {
	prefixKey, prefixTokens := c.sharedPrefix()
	constraint := c.ControlPlane.SelectVersion(VersionQuery{Service: c.route.Service, Session: c.Session, Request: c.ID, PreviouslyFailed: c.previouslyFailed})
	return tracker.Query{
		Service:       c.route.Service,
		Caller:        c.accountName(),
		OnlyVersion:   constraint.Only,
		ExceptVersion: constraint.Except,
		SubsetShare:   constraint.EndpointShare,
		Model:         model,
		PrefixKey:     prefixKey,
		SharedTokens:  prefixTokens,
		PromptTokens:  c.PromptTokens,
		TargetLatency: c.route.TargetLatency,
		Events:        c.expectedEvents(),
		Tried:         c.tried,
	}
}

// recordResult reports the result of an attempt to the control plane.
func (c *call) recordResult(choice *tracker.Choice, outcome Outcome, ttft, decodePace time.Duration) {
	// A long wait is no reason to move a session off its version: it may be a long queue.
	avoidsVersion := outcome == ServerError || outcome == Incomplete || outcome == Overdue && c.Session == ""
	c.previouslyFailed = c.previouslyFailed || avoidsVersion
	if outcome != Completed && outcome != NotSent && choice.FailsOnOtherVersions() {
		c.Counters.CallerFailures.Inc()
		return
	}
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

// endIncomplete ends an attempt whose response has begun but is not usable. It counts
// against the endpoint unless the request ended first.
func (c *call) endIncomplete(ctx context.Context, choice *tracker.Choice) {
	if ctx.Err() != nil {
		choice.End(tracker.Neutral, 0)
		return
	}
	c.recordResult(choice, Incomplete, 0, 0)
	choice.End(tracker.Failure, 0)
}

// accountName returns the name of the client account, or an empty string if there is none.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// model returns the model to run the request on, or an empty string if the
// client has chosen one.
func (c *call) model() string {
	if !c.AnyModel || len(c.route.Models) == 0 {
		return ""
	}
	return c.route.Models[c.size]
}

// sharedPrefix returns the prefix key of the shared parts of the prompt, and their
// length in tokens.
func (c *call) sharedPrefix() (key uint64, tokens int) {
	shared := c.sharedParts()
	if !c.route.PrefixAffinity || len(shared) == 0 {
		return 0, 0
	}
	for _, part := range shared {
		tokens += part.Tokens
	}
	return shared[len(shared)-1].ID, tokens
}

// tryEndpoint sends the request to one endpoint. A returned response is a
// server error of the endpoint; it is forwarded to the client if no later
// attempt succeeds.
func (c *call) tryEndpoint(ctx context.Context, choice *tracker.Choice) (attemptStatus, *bufferedResponse, *classifier.Error) {
	c.Counters.Attempts.Inc()
	c.rateLimit = RateLimit{}
	c.tried = append(c.tried, choice.ID)
	sentAt := time.Now()
	attemptCtx, watch := c.watchAttempt(ctx, choice)
	defer watch.stop()
	response, failure := c.Exchanger.Do(attemptCtx, choice.Address, c.endpointRequest(choice, watch))
	if failure != nil {
		return c.handleFailure(ctx, choice, watch, failure)
	}
	defer response.Close()
	if !watch.headArrived() {
		return c.handleTakenBack(choice, watch, &exchanger.Failure{Stage: exchanger.Sent, Err: errTakenBack})
	}
	info := c.Codec.ParseResponse(response.Status, response.Header)
	if response.Ambiguous {
		return c.handleAmbiguous(choice, response, info)
	}
	// Another endpoint at the address says nothing of this one.
	if !info.Misdirected || info.Responder == choice.ID {
		c.recordLoad(choice, info)
		c.recordRateLimit(choice, info, sentAt)
		c.recordNotices(choice, info)
	}
	c.attemptsReached++
	if info.Refused {
		return c.handleRefusal(choice, response, info)
	}
	c.possibleRuns++
	c.ttft = time.Since(sentAt)
	choice.ResponseStarted(c.ttft)
	watch.responseStarted(c.ttft)
	if response.Status == http.StatusOK && c.route.Kind == matcher.Stream && c.mayContinue(response) {
		return c.forwardStream(ctx, choice, watch, response, info)
	}
	if c.responseStarted {
		return c.handleNoContinuation(ctx, choice, response)
	}
	return c.forwardWhole(ctx, choice, response, info)
}

// endpointRequest returns the request in the form in which the chosen endpoint gets it.
func (c *call) endpointRequest(choice *tracker.Choice, watch *attemptWatch) *exchanger.Request {
	attempt := Attempt{
		Remaining: c.remaining(),
		Endpoint:  choice.ID,
		Model:     c.model(),
		Priority:  c.enginePriority(),
	}
	if c.responseStarted {
		attempt.LastEventID = c.lastEventID
	}
	attempt.Account = c.accountName()
	return &exchanger.Request{
		ID:     c.ID,
		Method: c.http.Method,
		Target: c.http.RequestURI,
		Host:   c.http.Host,
		Header: c.Codec.EndpointHeader(c.http.Header, attempt),
		Body:   c.body,
		Once:   !c.route.Retryable(),
		// The endpoint may be drained or evacuated while the connection is opened.
		Permitted: choice.Permitted,
		Connected: watch.connected,
	}
}

// recordLoad records the load that the response reports.
func (c *call) recordLoad(choice *tracker.Choice, info ResponseInfo) {
	if info.HasLoad {
		choice.ReportLoad(info.Running, info.Waiting, info.Slowdown)
	}
	if info.InvalidLoad {
		c.Counters.InvalidLoads.Inc()
	}
}

// recordRateLimit records what the response to a request, which was sent at a time, says of
// the endpoint's limit. A refusal may not name it.
func (c *call) recordRateLimit(choice *tracker.Choice, info ResponseInfo, sentAt time.Time) {
	c.rateLimit = info.RateLimit
	isLifted := choice.Limited && info.RateLimit.Known && !info.RateLimit.Limited && !info.Refused
	if info.RateLimit.Limited || isLifted {
		c.ControlPlane.RecordRateLimit(choice.Registration, info.RateLimit, sentAt)
	}
}

// recordNotices records how long the endpoint stays cold and what it asks this daemon for.
func (c *call) recordNotices(choice *tracker.Choice, info ResponseInfo) {
	if info.ColdRemaining > 0 {
		c.ControlPlane.RecordCold(choice.Registration, info.ColdRemaining)
	}
	if info.Leaving {
		choice.ReportLeaving()
	}
	if info.Pause > 0 {
		choice.ReportPause(info.Pause)
	}
	if info.InvalidNotice {
		c.Counters.InvalidNotices.Inc()
	}
}

// handleFailure handles an attempt without a response, for whatever reason.
func (c *call) handleFailure(ctx context.Context, choice *tracker.Choice, watch *attemptWatch, failure *exchanger.Failure) (attemptStatus, *bufferedResponse, *classifier.Error) {
	switch {
	case errors.Is(failure, exchanger.ErrNotPermitted):
		return c.handleNotPermitted(choice)
	case watch.tookBack():
		return c.handleTakenBack(choice, watch, failure)
	default:
		return c.handleNoResponse(ctx, choice, failure)
	}
}

// handleNotPermitted handles an endpoint that may not get requests any more since it was chosen.
// What the attempt took from the retry budget is left to the next one.
func (c *call) handleNotPermitted(choice *tracker.Choice) (attemptStatus, *bufferedResponse, *classifier.Error) {
	choice.End(tracker.Neutral, 0)
	c.tried = c.tried[:len(c.tried)-1]
	c.retryPaid = true
	c.log("endpoint may not get requests any more", c.endpointFields(choice)...)
	return statusNotPermitted, nil, nil
}

// handleNoResponse handles an attempt that failed before a response began.
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
	if failure.Stage == exchanger.Sent && !failure.Unreachable() {
		c.checkCrash(ctx, choice, false)
	}
	c.log("attempt got no response", c.brokenFields(choice, "error", failure.Err, "sent", failure.Stage == exchanger.Sent)...)
	kind := classifier.EndpointFailed
	if status == statusNotExecuted {
		kind = classifier.NoEndpoint
	}
	return status, nil, classifier.Wrap(kind, failure, "no response from endpoint %s", choice.ID)
}

// handleAmbiguous handles a response that may belong to an earlier request on its
// connection. The endpoint may have run this one, and the response is not forwarded. A refusal
// says nothing against the endpoint.
func (c *call) handleAmbiguous(choice *tracker.Choice, response *exchanger.Response, info ResponseInfo) (attemptStatus, *bufferedResponse, *classifier.Error) {
	c.attemptsReached++
	c.possibleRuns++
	outcome := tracker.Failure
	if info.Refused {
		outcome = tracker.Neutral
	}
	choice.End(outcome, 0)
	c.log("response may belong to another request", c.endpointFields(choice, "status", response.Status, "refused", info.Refused)...)
	return statusFailed, nil, classifier.New(classifier.EndpointFailed, "endpoint %s sent a response that may belong to another request", choice.ID)
}

// handleRefusal handles a response that says that the endpoint did not run the
// request.
func (c *call) handleRefusal(choice *tracker.Choice, response *exchanger.Response, info ResponseInfo) (attemptStatus, *bufferedResponse, *classifier.Error) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response, maxRefusalBytes))
	choice.End(tracker.Neutral, 0)
	c.log("endpoint refused the request", c.endpointFields(choice, "status", response.Status, "anonymous", response.Anonymous, "responder", info.Responder, "running", info.Running, "waiting", info.Waiting)...)
	reason := c.misdirection(choice, info)
	if reason == misdirectionAddress {
		choice.ReportMisdirected()
	} else {
		choice.ReportRefusal()
	}
	if problem := c.countNotServed(reason); problem != nil {
		return statusNotServed, nil, problem
	}
	return statusNotExecuted, nil, classifier.New(classifier.EndpointRefused, "endpoint %s refused the request with status %d", choice.ID, response.Status).WithRetryAfter(notReadyRetryAfter)
}

// endpointFields appends the log fields of an attempt at an endpoint to args.
func (c *call) endpointFields(choice *tracker.Choice, args ...any) []any {
	return append(args, "endpoint", choice.ID, "address", choice.Address, "version", choice.Version, "model", c.model(),
		"load", choice.Load, "backlog", noter.FormatDuration(choice.Backlog), "expected", noter.FormatDuration(choice.ExpectedTTFT()), "sends", len(c.tried),
		"parts", formatParts(c.sharedParts()), "limit", c.rateLimit.String(), "slowdown", choice.Slowdown, "gap", noter.FormatDuration(choice.ExpectedGap()))
}

// brokenFields appends the log fields of an attempt that broke at an endpoint to args.
func (c *call) brokenFields(choice *tracker.Choice, args ...any) []any {
	return c.endpointFields(choice, append(args, "digest", formatDigest(c.contentDigest()))...)
}

// formatParts returns the ids of parts as in the request's header, separated by
// commas.
func formatParts(parts []PromptPart) string {
	var text []byte
	for i, part := range parts {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendUint(text, part.ID, 16)
	}
	return string(text)
}

// checkResponse returns an error if the headers show that a response was not
// generated by the endpoint or was altered on the way.
func checkResponse(status int, info ResponseInfo) error {
	if status >= http.StatusOK && status < http.StatusMultipleChoices && !info.Signed {
		return errors.New("successful response has no signature")
	}
	if info.Encoded {
		return errors.New("response has a Content-Encoding that was not requested")
	}
	return nil
}
