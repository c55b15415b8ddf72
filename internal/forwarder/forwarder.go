// Package forwarder serves the requests of clients. It authenticates the client,
// sends the request to an endpoint, retries failed attempts and forwards the
// response body unchanged, as a whole or event by event.
package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/reserver"
	"quetzalgrade.example/quetzalgrade/internal/sizer"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// View is the daemon's view of the declaration when a request arrives.
type View struct {
	// Table is nil until the daemon has read the first declaration.
	Table *matcher.Table
	// Age is the time since the declaration was last proven to be current.
	Age time.Duration
	// Fresh is set if the view is recent enough to run requests that need an API
	// key and to decide that a route or an API key does not exist.
	Fresh bool
	// Draining is set if the daemon is stopping and asks clients to close their
	// connections. Requests that are still running at RequestsEndAt are ended. Ending
	// is set once so much of the stop is over that requests are refused that may last longer,
	// those too that may be repeated.
	Draining      bool
	Ending        bool
	RequestsEndAt time.Time
}

// ErrStopping is the cause with which the context of a request ends if the daemon stops while
// the request is running.
var ErrStopping = errors.New("the daemon stops")

// ControlPlane provides the declaration, selects the version for each request and
// collects the results that decide about rollouts.
type ControlPlane interface {
	// View returns the current view.
	View() View
	// SelectVersion returns the versions that a request may run on.
	SelectVersion(query VersionQuery) VersionConstraint
	// RecordResult records the result of an attempt as evidence about its version.
	RecordResult(result Result)
	// CheckContent returns whether a request with the content may be sent to an endpoint.
	CheckContent(content Content) ContentVerdict
	// BeginTrial records that a request, which may be sent as a trial, is sent now. It returns
	// false if it must not be.
	BeginTrial(content Content) bool
	// ContentServed records that an endpoint wrote more than the beginning of a response to
	// a request with the content. The response began at the time. If it failed, it shows no
	// more than that the endpoint did not crash.
	ContentServed(content Content, began time.Time, failed bool)
	// EndpointCrashed records that an endpoint crashed while it had a request with the
	// content, and had written no more than the beginning of the response. Begun says
	// whether it had begun to respond. The result is whether the request may be sent to
	// another endpoint.
	EndpointCrashed(endpoint tracker.Registration, content Content, begun bool) (repeatable bool)
	// RecordRateLimit records what the response to a request, which was sent at a time,
	// says of the endpoint's limit.
	RecordRateLimit(endpoint tracker.Registration, limit RateLimit, sentAt time.Time)
	// RecordCold records how much longer the endpoint is cold according to a response.
	RecordCold(endpoint tracker.Registration, remaining time.Duration)
	// RequestStarted records that a request of the session has arrived,
	// RequestEnded that it has ended.
	RequestStarted(session string)
	RequestEnded(session string)
}

// Content is what a request may crash endpoints with.
type Content struct {
	// Parts are the parts of the prompt that the request may share with others.
	Parts []PromptPart
	// Digest returns a digest of the request as a whole, which it computes if need be.
	Digest func() uint64
}

// ContentVerdict says whether a request may be sent to an endpoint.
type ContentVerdict struct {
	// Blocked is set if it must not be, Whole if that is because of the request as a whole and
	// not of a part of the prompt. RetryAfter is when the client may try again.
	Blocked    bool
	Whole      bool
	RetryAfter time.Duration
	// Suspected is set if the request was at a crashed endpoint. Trial is set if it may be sent
	// only to see whether it still crashes endpoints.
	Suspected bool
	Trial     bool
}

// VersionQuery holds what the version of a request depends on.
type VersionQuery struct {
	Service string
	// Session is the session of the request, or an empty string if it has none.
	Session string
	// Request is the id of the request.
	Request string
	// PreviouslyFailed is set if an earlier attempt of the request got a server
	// error or no complete response or, without a session, none in time. The request then
	// avoids a version that is still being rolled out.
	PreviouslyFailed bool
}

// VersionConstraint restricts a request to endpoints of certain versions.
type VersionConstraint struct {
	// Only is the only version that is allowed, Except a version that is not
	// allowed. Each is empty if there is no such constraint.
	Only   string
	Except string
	// EndpointShare is the share of the matching endpoints that are used, or 0 for
	// all. The few requests of a canary go to few endpoints, so that the results
	// show the new version under its usual load.
	EndpointShare float64
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Completed means that the attempt got a complete response without a server
	// error.
	Completed Outcome = iota
	// ServerError means that the attempt got a complete response with a server
	// error.
	ServerError
	// Incomplete means that the request was sent but no complete and valid
	// response was received.
	Incomplete
	// Overdue means that the response had not begun when the request was taken back, which was
	// after the time to first token of the result.
	Overdue
	// NotSent means that the request was not sent to the endpoint.
	NotSent
)

// Result is the result of an attempt on a version.
type Result struct {
	Service  string
	Version  string
	Endpoint string
	Route    string
	Model    string
	Outcome  Outcome
	// ExpectedTTFT is the time to first token that was predicted from the
	// endpoint's backlog and the prompt.
	ExpectedTTFT time.Duration
	// TTFT is the time to first token, which is measured up to the response header.
	// DecodePace is the time per event after that. They are 0 if unknown.
	TTFT       time.Duration
	DecodePace time.Duration
}

// Dependencies are the components that a forwarder uses.
type Dependencies struct {
	Codec        Codec
	ControlPlane ControlPlane
	Tracker      *tracker.Tracker
	Exchanger    *exchanger.Exchanger
	RetryBudgets *RetryBudgets
	// Bodies is the memory that all requests in progress and their responses may take.
	Bodies   *reserver.Budget
	Logger   hclog.Logger
	Counters *Counters
}

// Forwarder is an http.Handler that serves the requests of clients.
type Forwarder struct {
	Dependencies
	admission *admission
	waits     *waitRecords
}

// New returns a forwarder.
func New(dependencies Dependencies) *Forwarder {
	stopping := func() bool { return dependencies.ControlPlane.View().Draining }
	f := &Forwarder{Dependencies: dependencies, waits: newWaitRecords(), admission: newAdmission(dependencies.Tracker, stopping, dependencies.Logger)}
	dependencies.Counters.registerAdmission(f.admission)
	return f
}

// call is the state of a request while it is served.
type call struct {
	*Forwarder
	Request
	writer  http.ResponseWriter
	http    *http.Request
	view    View
	route   *matcher.Route
	account *matcher.Account
	body    []byte
	// digest is the result of contentDigest, or 0 before its first call.
	digest uint64
	// memory is what the request and its response hold of that memory, but for what is read
	// on for a slow client.
	memory  *reserver.Reservation
	arrived time.Time
	// deadline is when the response must be complete.
	deadline time.Time
	// forwardedAt is when the client got the last event, or the arrival of the request.
	forwardedAt time.Time
	// tried holds the ids of the endpoints that must not be chosen again, because
	// they have already been sent the request.
	tried []string
	// lastQuery is what the endpoint of the latest attempt was chosen by.
	lastQuery tracker.Query
	// attemptsReached counts the attempts that reached an endpoint.
	attemptsReached int
	// possibleRuns counts the attempts in which an endpoint may have run the
	// request.
	possibleRuns int
	// size is the index of the model that the request runs on. steps are the
	// cascade steps so far, with their confidence.
	size  int
	steps []sizer.Step
	// notServed counts the endpoints that have refused the request because of what it asks for.
	notServed int
	// retryPaid is set if the next attempt has already been taken from the retry
	// budget.
	retryPaid bool
	// previouslyFailed is set if an attempt of the request got a server error or no
	// complete response or, without a session, none in time.
	previouslyFailed bool
	// ttft is the time to first token of the latest attempt, which is measured up to
	// the response header.
	ttft time.Duration
	// rateLimit is what the latest response said of the endpoint's limit.
	rateLimit RateLimit
	// suspected is set if the request was at a crashed endpoint, here or at another daemon.
	suspected bool
	// onTrial is set if the next attempt is a trial, to see whether the request still crashes
	// endpoints.
	onTrial bool
	// mayCrash is set if the request may have crashed an endpoint, so that it must not be
	// sent to another one.
	mayCrash bool
	// responseStarted is set if part of the response has been forwarded.
	responseStarted bool
	// mediaType is that of the stream of which events have been forwarded.
	mediaType string
	// lastEventID is the id of the last event that the client has, or empty if there is
	// no such event or it has no id with which the stream could be resumed.
	lastEventID EventID
	// hasBegunEvent is set if an endpoint has sent a part of an event after that one.
	hasBegunEvent bool
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	c := &call{Forwarder: f, writer: writer, http: request, view: f.ControlPlane.View(), memory: f.Bodies.NewReservation(), arrived: time.Now()}
	c.forwardedAt = c.arrived
	defer c.memory.Release()
	f.Counters.Requests.Inc()
	if c.view.Draining || len(request.TransferEncoding) > 0 {
		// A chunked body may hide a smuggled request that a Content-Length would
		// have revealed. Closing the connection ensures that nothing after the body
		// is parsed as a request.
		writer.Header().Set("Connection", "close")
	}
	if err := c.admit(); err != nil {
		c.reject(err)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), c.deadline)
	defer cancel()
	f.ControlPlane.RequestStarted(c.Session)
	defer f.ControlPlane.RequestEnded(c.Session)
	if err := c.runAdmitted(ctx); err != nil {
		c.fail(ctx, err)
	}
}

// admit finds the route and the client account of the request and reads its
// body.
func (c *call) admit() *classifier.Error {
	var err error
	if c.Request, err = c.Codec.ParseRequest(c.http.Header); err != nil {
		return classifier.Wrap(classifier.BadRequest, err, "invalid request headers")
	}
	if c.view.Table == nil {
		return classifier.New(classifier.NotReady, "the instance has not read a declaration yet").WithRetryAfter(notReadyRetryAfter)
	}
	if c.route = c.view.Table.Route(c.http.Host, c.http.URL.Path); c.route == nil {
		return c.ifFresh(classifier.New(classifier.NotFound, "no route matches the host and path"))
	}
	if problem := c.authenticate(); problem != nil {
		return problem
	}
	if problem := c.checkModel(); problem != nil {
		return problem
	}
	c.deadline = c.arrived.Add(c.timeout())
	if problem := c.checkStop(); problem != nil {
		return problem
	}
	return c.readBody()
}

// checkStop rejects a request that a stopping daemon may not be able to end. In the first part of the
// stop, one that may be repeated is accepted, because most end long before their deadlines.
func (c *call) checkStop() *classifier.Error {
	endsInTime := !c.deadline.After(c.view.RequestsEndAt)
	if !c.view.Draining || endsInTime || c.route.Retryable() && !c.view.Ending {
		return nil
	}
	return classifier.New(classifier.Stopping, "the instance stops before the request must end").WithRetryAfter(notReadyRetryAfter)
}

// notReadyRetryAfter is how long a client waits before it retries a request that
// a daemon cannot serve for lack of a fresh view.
const notReadyRetryAfter = 300 * time.Millisecond

// ifFresh returns the error if the view is fresh. A stale view may lack what the
// request needs, so the error is then NotReady.
func (c *call) ifFresh(problem *classifier.Error) *classifier.Error {
	if c.view.Fresh {
		return problem
	}
	return classifier.New(classifier.NotReady, "the declaration may be stale").WithRetryAfter(notReadyRetryAfter)
}

// authenticate finds the client account of the API key and rejects a request that
// needs a valid key but has none. If the view is stale, it rejects a valid key too,
// because the key may have been revoked since.
func (c *call) authenticate() *classifier.Error {
	if c.HasAPIKey {
		c.account = c.view.Table.Account(c.APIKey)
	}
	if c.route.AllowAnonymous || !c.view.Table.RequiresAPIKey {
		return nil
	}
	if c.account == nil {
		return c.ifFresh(classifier.New(classifier.Unauthenticated, "the API key is missing or unknown"))
	}
	if !c.view.Fresh {
		return classifier.New(classifier.NotReady, "the API key may have been revoked").WithRetryAfter(notReadyRetryAfter)
	}
	return nil
}

// defaultTimeout applies if the route sets no timeout.
const defaultTimeout = 30 * time.Second

// timeout returns how long the request may take: the timeout of the route, or
// that of the client if it is shorter.
func (c *call) timeout() time.Duration {
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.Timeout > 0 {
		timeout = min(timeout, c.Timeout)
	}
	return timeout
}

// remaining returns the time until the deadline.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// clientGone reports whether the client has disconnected.
func (c *call) clientGone() bool { return c.http.Context().Err() != nil && !c.stopped() }

// stopped reports whether the request has been ended because the daemon stops.
func (c *call) stopped() bool { return errors.Is(context.Cause(c.http.Context()), ErrStopping) }

// fail ends a request for which no complete response was forwarded. It aborts the
// connection if the response has started.
func (c *call) fail(ctx context.Context, problem *classifier.Error) {
	switch {
	case c.clientGone():
		problem = classifier.Wrap(classifier.ClientDisconnected, problem, "the client disconnected")
	case c.stopped():
		problem = classifier.Wrap(classifier.Stopping, problem, "the instance stops").WithRetryAfter(notReadyRetryAfter)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && problem.Kind != classifier.NoEndpoint && problem.Kind != classifier.DeadlineUnmet:
		problem = classifier.Wrap(classifier.Timeout, problem, "the deadline passed")
	}
	if c.responseStarted {
		c.log("stream to the client aborted", "error", problem.Error(), "after", c.lastEventID, "kind", problem.Kind)
		c.Counters.countByKind("cut", problem.Kind)
		// The panic makes net/http close the connection, so that the client does not
		// take the response for complete.
		panic(http.ErrAbortHandler)
	}
	c.reject(problem)
}
