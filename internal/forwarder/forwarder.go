// Package forwarder takes a request through its decisions to an endpoint and
// passes the answer back unchanged, as a whole or event by event.
package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/sizer"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// Part is a part of a prompt that requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is what the headers of a request say.
type Request struct {
	ID string
	// Key is the API key; HasKey tells an empty one from none.
	APIKey    string
	HasAPIKey bool
	// Wait is how long the client waits; 0 when it does not say.
	Timeout time.Duration
	Session string
	// PromptParts are the parts of the prompt in order.
	PromptParts []PromptPart
	// Prompt and Output are the tokens of the prompt and, as far as known, of
	// the answer.
	PromptTokens int
	OutputTokens int
	// After is the last event that the client has of a stream that it resumes.
	LastEventID int64
	// ModelFree requests leave the choice of the model to the router.
	AnyModel bool
}

// Attempt is what an endpoint is told beyond the client's own headers.
type Attempt struct {
	// Left is the time until the deadline; 0 for none.
	Remaining time.Duration
	Endpoint  string
	Account   string
	Model     string
	// Priority is the rank at the endpoint; negative for none.
	Priority int
	// After is the last event of a stream that is resumed.
	LastEventID int64
}

// Notes is what the headers of an answer say.
type ResponseInfo struct {
	// ID is the request that the answer belongs to; empty when unsaid.
	RequestID string
	// Refused answers say that the request did not run.
	Refused bool
	// Elsewhere is set when another endpoint has the address.
	Misdirected bool
	// Signed answers carry the endpoint's signature.
	Signed bool
	// Encoded bodies are not the endpoint's bytes.
	Encoded bool
	// Running and Waiting are the endpoint's load if HasLoad is set.
	Running int
	Waiting int
	HasLoad bool
	// Confidence is the model's own opinion of its answer from 0 to 100;
	// negative when unsaid.
	Confidence int
}

// Codec translates headers.
type Codec interface {
	// Parse reads a client's headers.
	ParseRequest(header http.Header) (Request, error)
	// Encode returns the headers for an endpoint.
	EndpointHeader(original http.Header, attempt Attempt) http.Header
	// Notes reads the headers of an answer.
	ParseResponse(status int, header http.Header) ResponseInfo
	// Reply returns the headers of an answer for the client.
	ClientHeader(header http.Header) http.Header
	// Owned returns the headers of an answer of the router's own.
	LocalHeader(id string) http.Header
}

// View is what the daemon believes when a request arrives.
type View struct {
	// Table is nil before the first declaration.
	Table *matcher.Table
	// Age is how old the proof is that the declaration is the newest.
	Age time.Duration
	// Fresh views are recent enough to run requests with a key and to say that
	// a route or a key does not exist.
	Fresh bool
	// Stopping daemons ask clients to leave.
	Draining bool
}

// Believer tells what the daemon believes.
type ControlPlane interface {
	View() View
	// Version returns the version that a request must run on.
	SelectVersion(query VersionQuery) VersionConstraint
	// Ran records a result of a version.
	RecordResult(result Result)
	// Entered records that a session's request has come, Left that it has ended.
	RequestStarted(session string)
	RequestEnded(session string)
}

// Question is what the version of a request depends on.
type VersionQuery struct {
	Service string
	// Session is what the request belongs to; empty for none.
	Session string
	Request string
	// Failed is set when the request has failed on the version of a roll-out.
	PreviouslyFailed bool
}

// Constraint restricts the endpoints of a request to versions.
type VersionConstraint struct {
	// Only and Except are versions; empty for no constraint.
	Only   string
	Except string
	// Subset is the share of the fitting endpoints that are used; 0 for all. A
	// new version is seen under its usual load when its few requests go to few
	// endpoints.
	EndpointShare float64
}

// Ending is how an attempt ended.
type Outcome int

// The endings.
const (
	// Answered attempts got a whole answer.
	Completed Outcome = iota
	// Failed attempts got an answer that says so.
	ServerError
	// Broken attempts got no whole answer.
	Incomplete
	// Unreached attempts did not get to the endpoint.
	NotSent
)

// Result is how a request ran on a version.
type Result struct {
	Service  string
	Version  string
	Endpoint string
	Route    string
	Model    string
	Outcome  Outcome
	// Expected is the time to the head of the answer that the endpoint's backlog
	// and the prompt explained.
	ExpectedTTFT time.Duration
	// First is the time to the head of the answer, Pace the time per event after
	// it; 0 when unknown.
	TTFT       time.Duration
	DecodePace time.Duration
}

// Parts are what a forwarder works with.
type Dependencies struct {
	Codec        Codec
	ControlPlane ControlPlane
	Tracker      *tracker.Tracker
	Exchanger    *exchanger.Exchanger
	RetryBudgets *RetryBudgets
	Logger       hclog.Logger
	Counters     *Counters
}

// Forwarder handles the requests of clients.
type Forwarder struct {
	Dependencies
}

// New returns a forwarder.
func New(dependencies Dependencies) *Forwarder { return &Forwarder{dependencies} }

// call is one request under way.
type call struct {
	*Forwarder
	Request
	writer  http.ResponseWriter
	http    *http.Request
	view    View
	route   *matcher.Route
	account *matcher.Account
	body    []byte
	arrived time.Time
	// deadline is when the final answer is due.
	deadline time.Time
	// tried are the endpoints that have got the request.
	tried []string
	// reached counts the endpoints that it has reached.
	attemptsReached int
	// runs counts the endpoints that may have run it.
	possibleRuns int
	// size is the index of the model that the request runs on, looks are the
	// confidences of those that it has run on.
	size  int
	steps []sizer.Step
	// paid is set when the next repeat has been taken from the budget.
	retryPaid bool
	// suspect is set when the request has failed on the version of a roll-out.
	previouslyFailed bool
	// headed is the time from the latest attempt to the head of its answer.
	ttft time.Duration
	// begun is set when part of the answer has been passed on.
	responseStarted bool
	// after is the last event that was passed on.
	lastEventID int64
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	c := &call{Forwarder: f, writer: writer, http: request, view: f.ControlPlane.View(), arrived: time.Now()}
	f.Counters.Requests.Inc()
	if c.view.Draining || len(request.TransferEncoding) > 0 {
		// A body in chunks may hide what a length would have shown: nothing after
		// it on the connection is taken for a request.
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
	if err := c.run(ctx); err != nil {
		c.fail(ctx, err)
	}
}

// admit finds the route and the account and reads the body.
func (c *call) admit() *classifier.Error {
	var err error
	if c.Request, err = c.Codec.ParseRequest(c.http.Header); err != nil {
		return classifier.Wrap(classifier.BadRequest, err, "the headers cannot be read")
	}
	if c.view.Table == nil {
		return classifier.New(classifier.NotReady, "no declaration is known yet").WithRetryAfter(notReadyRetryAfter)
	}
	if c.route = c.view.Table.Route(c.http.Host, c.http.URL.Path); c.route == nil {
		return c.ifFresh(classifier.New(classifier.NotFound, "no route matches"))
	}
	if problem := c.authenticate(); problem != nil {
		return problem
	}
	c.deadline = c.arrived.Add(c.timeout())
	return c.readBody()
}

// notReadyPause is how long a client waits for a daemon that lacks a view.
const notReadyRetryAfter = 300 * time.Millisecond

// ifFresh returns the error if the view is fresh: an old one may lack what the
// request needs.
func (c *call) ifFresh(problem *classifier.Error) *classifier.Error {
	if c.view.Fresh {
		return problem
	}
	return classifier.New(classifier.NotReady, "the declaration may be out of date").WithRetryAfter(notReadyRetryAfter)
}

func (c *call) authenticate() *classifier.Error {
	if c.HasAPIKey {
		c.account = c.view.Table.Account(c.APIKey)
	}
	if c.route.AllowAnonymous || !c.view.Table.RequiresAPIKey {
		return nil
	}
	if c.account == nil {
		return c.ifFresh(classifier.New(classifier.Unauthenticated, "the key is not known"))
	}
	if !c.view.Fresh {
		return classifier.New(classifier.NotReady, "the key may have been withdrawn").WithRetryAfter(notReadyRetryAfter)
	}
	return nil
}

// defaultWait applies where neither the client nor the route bounds the wait.
const defaultTimeout = 30 * time.Second

// patience is how long the request may take.
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

// defaultBody bounds a body where the declaration does not.
const defaultMaxBodyBytes = 4 << 20

func (c *call) readBody() *classifier.Error {
	limit := c.view.Table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.http.ContentLength > limit {
		return classifier.New(classifier.BodyTooLarge, "the body has %d bytes, at most %d are allowed", c.http.ContentLength, limit)
	}
	if c.http.Body == nil || c.http.Body == http.NoBody {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(c.http.Body, limit+1))
	if err != nil {
		return classifier.Wrap(classifier.ClientDisconnected, err, "the body cannot be read")
	}
	if int64(len(body)) > limit {
		return classifier.New(classifier.BodyTooLarge, "the body has more than %d bytes", limit)
	}
	c.body = body
	return nil
}

// left is the time until the deadline.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// gone reports whether the client has left.
func (c *call) clientGone() bool { return c.http.Context().Err() != nil }

// fail ends a request that got no whole answer.
func (c *call) fail(ctx context.Context, problem *classifier.Error) {
	if c.clientGone() {
		problem = classifier.Wrap(classifier.ClientDisconnected, problem, "the client left")
	} else if errors.Is(ctx.Err(), context.DeadlineExceeded) && problem.Kind != classifier.NoEndpoint {
		problem = classifier.Wrap(classifier.Timeout, problem, "the deadline passed")
	}
	if c.responseStarted {
		c.log("stream cut", "error", problem.Error(), "after", c.lastEventID, "kind", problem.Kind)
		c.Counters.countByKind("cut", problem.Kind)
		// The connection is closed, so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	}
	c.reject(problem)
}
