// Package sender sends requests to endpoints and reads their responses. A
// failure says whether bytes of the request may have been sent, so that a
// request that was certainly not executed can be told from one that may have
// been.
package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/watcher"
)

// Headers that endpoints set.
const (
	// HeaderLoad holds the endpoint's load as "running/queued".
	HeaderLoad = "X-Load"
	// HeaderDraining is set by an endpoint that is draining and takes no new
	// work.
	HeaderDraining = "X-Leaving"
	// HeaderExecution is "no" if the endpoint refused the request before
	// executing it.
	HeaderExecution = "X-Ran"
	// HeaderStreamID holds the id with which a stream can be resumed.
	HeaderStreamID = "X-Stream"
)

// maxErrorBodyBytes bounds how much of an error response's body is read.
const maxErrorBodyBytes = 4 << 10

// Sender sends requests to endpoints. It is safe for concurrent use.
type Sender struct {
	// client opens a new connection for each request.
	client *http.Client
	// onLoad receives the load that a response carries.
	onLoad func(netip.AddrPort, watcher.LoadReport)
}

// New returns a sender that opens connections through network. If onLoad is
// not nil, it is called with the load that each response carries.
func New(network connector.Network, onLoad func(netip.AddrPort, watcher.LoadReport)) *Sender {
	return &Sender{
		client: &http.Client{Transport: connector.NewSingleUseTransport(network), CheckRedirect: noRedirect},
		onLoad: onLoad,
	}
}

// noRedirect makes the client return a redirect as the response. Following it
// would execute the request again elsewhere.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// sendTrace records whether bytes of a request may have been sent.
type sendTrace struct {
	bytesSent atomic.Bool
}

// attach returns a context that reports to the trace.
func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// As soon as it has a connection the transport may write at any time.
		GotConn: func(httptrace.GotConnInfo) { t.bytesSent.Store(true) },
	})
}

// Failure is a failed attempt.
type Failure struct {
	Err *classifier.Error
	// BytesSent is set if bytes of the request may have been sent.
	BytesSent bool
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the classified error.
func (f *Failure) Unwrap() error { return f.Err }

// classifyFailure classifies the error of a round trip. bytesSent is set if
// bytes of the request may have been sent.
func classifyFailure(ctx context.Context, err error, bytesSent bool) *Failure {
	switch {
	case !bytesSent && ctx.Err() == nil:
		return &Failure{Err: classifier.Wrap(classifier.NoEndpoint, err, "the endpoint could not be reached")}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failure{Err: classifier.Wrap(classifier.Timeout, err, "the deadline passed"), BytesSent: bytesSent}
	case ctx.Err() != nil:
		return &Failure{Err: classifier.Wrap(classifier.ClientDisconnected, err, "the request was cancelled"), BytesSent: bytesSent}
	default:
		return &Failure{Err: classifier.Wrap(classifier.EndpointFailed, err, "the request to the endpoint failed"), BytesSent: bytesSent}
	}
}

// roundTrip sends a request and returns its response, or a failure.
func (s *Sender) roundTrip(request *http.Request, endpoint netip.AddrPort) (*http.Response, *Failure) {
	trace := &sendTrace{}
	request = request.WithContext(trace.attach(request.Context()))
	response, err := s.client.Do(request)
	if err != nil {
		return nil, classifyFailure(request.Context(), err, trace.bytesSent.Load())
	}
	s.reportLoad(response.Header, endpoint)
	return response, nil
}

// reportLoad passes on the load in the header, if it has one.
func (s *Sender) reportLoad(header http.Header, endpoint netip.AddrPort) {
	load, ok := ParseLoad(header)
	if ok && s.onLoad != nil {
		s.onLoad(endpoint, load)
	}
}

// ParseLoad returns the load in the header of a response. ok is false if the
// header has no valid load and doesn't say that the endpoint is draining.
func ParseLoad(header http.Header) (load watcher.LoadReport, ok bool) {
	load.Draining = header.Get(HeaderDraining) != ""
	running, queued, found := strings.Cut(header.Get(HeaderLoad), "/")
	if !found {
		return load, load.Draining
	}
	var err error
	if load.Running, err = strconv.Atoi(running); err != nil {
		return load, load.Draining
	}
	if load.Queued, err = strconv.Atoi(queued); err != nil {
		return load, load.Draining
	}
	return load, true
}

// responseFailure classifies an error response and closes its body.
func responseFailure(response *http.Response) *Failure {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	_ = response.Body.Close()
	text := strings.TrimSpace(string(body))
	if response.Header.Get(HeaderExecution) == string(classifier.NotExecuted) {
		return &Failure{Err: classifier.New(classifier.EndpointRefused, "the endpoint refused the request: %s", text), BytesSent: true}
	}
	if response.StatusCode == http.StatusBadRequest {
		return &Failure{Err: classifier.New(classifier.BadRequest, "the endpoint rejected the request: %s", text), BytesSent: true}
	}
	return &Failure{Err: classifier.New(classifier.EndpointFailed, "the endpoint responded with status %d: %s", response.StatusCode, text), BytesSent: true}
}

// Response is the whole response of a plain service.
type Response struct {
	// Status is the HTTP status code.
	Status      int
	ContentType string
	Body        []byte
}

// Request is a request to a plain service.
type Request struct {
	Method string
	// Path is the path on the service with the query string.
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is forwarded to the endpoint; empty for none.
	IdempotencyKey string
	RequestID      string
}

// maxResponseBytes bounds the body of a plain service's response.
const maxResponseBytes = 4 << 20

// Send sends a request to a plain service and reads the whole response. A status
// of 500 or above and a refusal are failures. A truncated response is a failure,
// never a success with a short body.
func (s *Sender) Send(ctx context.Context, endpoint netip.AddrPort, request Request) (Response, *Failure) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+endpoint.String()+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return Response{}, &Failure{Err: classifier.Wrap(classifier.BadRequest, err, "invalid request path")}
	}
	httpRequest.Header.Set("Content-Type", request.ContentType)
	httpRequest.Header.Set("X-Request-Id", request.RequestID)
	if request.IdempotencyKey != "" {
		httpRequest.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	response, failure := s.roundTrip(httpRequest, endpoint)
	if failure != nil {
		return Response{}, failure
	}
	if response.StatusCode >= http.StatusInternalServerError || response.Header.Get(HeaderExecution) != "" {
		return Response{}, responseFailure(response)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, classifyFailure(ctx, err, true)
	}
	if len(body) > maxResponseBytes {
		return Response{}, &Failure{Err: classifier.New(classifier.EndpointFailed, "the response body is larger than %d bytes", maxResponseBytes), BytesSent: true}
	}
	return Response{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// Fields are the top-level fields of a chat request. They are kept as received,
// so that fields that this program doesn't interpret reach the engine.
type Fields map[string]json.RawMessage

// With returns a copy in which one field is set to value.
func (f Fields) With(name string, value any) (Fields, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	copied := make(Fields, len(f)+1)
	for key, field := range f {
		copied[key] = field
	}
	copied[name] = data
	return copied, nil
}
