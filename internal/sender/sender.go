// Package sender sends requests to endpoints and reads their answers. It tells
// apart what certainly did not run from what may have.
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
	// HeaderLoad is "running/queued".
	HeaderLoad = "X-Load"
	// HeaderLeaving is set by an endpoint that takes no new work.
	HeaderDraining = "X-Leaving"
	// HeaderRan is "no" on a refusal before the request ran.
	HeaderExecution = "X-Ran"
	// HeaderStream names a stream that can be resumed.
	HeaderStreamID = "X-Stream"
)

const maxErrorBodyBytes = 4 << 10

// Sender sends requests to endpoints.
type Sender struct {
	client *http.Client
	// once opens a connection for each request. The transport silently repeats
	// some requests that fail on a reused connection, which a call that may not
	// be repeated must never meet.
	noReuseClient *http.Client
	// report receives the load that answers carry.
	onLoad func(netip.AddrPort, watcher.Load)
}

// New returns a sender that opens connections through the network.
func New(network connector.Network, onLoad func(netip.AddrPort, watcher.Load)) *Sender {
	noReuse := connector.Transport(network)
	noReuse.DisableKeepAlives = true
	return &Sender{
		client:        &http.Client{Transport: connector.Transport(network), CheckRedirect: noRedirect},
		noReuseClient: &http.Client{Transport: noReuse, CheckRedirect: noRedirect},
		onLoad:        onLoad,
	}
}

// noRedirect returns a redirect as the answer: to follow it would run the
// request again elsewhere.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (s *Sender) Close() {
	s.client.CloseIdleConnections()
	s.noReuseClient.CloseIdleConnections()
}

// traced follows whether bytes of a request may have left.
type sendTrace struct {
	bytesSent atomic.Bool
}

func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// Once a connection is in hand the transport may write at any moment.
		GotConn: func(httptrace.GotConnInfo) { t.bytesSent.Store(true) },
	})
}

// Failure is a failed attempt.
type Failure struct {
	Err *classifier.Error
	// Wrote reports whether bytes of the request may have left.
	BytesSent bool
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the classified error.
func (f *Failure) Unwrap() error { return f.Err }

// fail classifies a failed round trip.
func classifyFailure(ctx context.Context, err error, bytesSent bool) *Failure {
	switch {
	case !bytesSent && ctx.Err() == nil:
		return &Failure{Err: classifier.Wrap(classifier.NoEndpoint, err, "the endpoint could not be reached")}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failure{Err: classifier.Wrap(classifier.Timeout, err, "the deadline passed"), BytesSent: bytesSent}
	case ctx.Err() != nil:
		return &Failure{Err: classifier.Wrap(classifier.ClientDisconnected, err, "the request was cancelled"), BytesSent: bytesSent}
	default:
		return &Failure{Err: classifier.Wrap(classifier.EndpointFailed, err, "the endpoint broke the connection"), BytesSent: bytesSent}
	}
}

// do sends a request and returns its response, or a failure.
func (s *Sender) roundTrip(client *http.Client, request *http.Request, endpoint netip.AddrPort) (*http.Response, *Failure) {
	trace := &sendTrace{}
	request = request.WithContext(trace.attach(request.Context()))
	response, err := client.Do(request)
	if err != nil {
		return nil, classifyFailure(request.Context(), err, trace.bytesSent.Load())
	}
	s.reportLoad(response.Header, endpoint)
	return response, nil
}

func (s *Sender) reportLoad(header http.Header, endpoint netip.AddrPort) {
	load, ok := ParseLoad(header)
	if ok && s.onLoad != nil {
		s.onLoad(endpoint, load)
	}
}

// ParseLoad reads the load that a response carries.
func ParseLoad(header http.Header) (load watcher.Load, ok bool) {
	load.Leaving = header.Get(HeaderDraining) != ""
	running, queued, found := strings.Cut(header.Get(HeaderLoad), "/")
	if !found {
		return load, load.Leaving
	}
	var err error
	if load.Running, err = strconv.Atoi(running); err != nil {
		return load, load.Leaving
	}
	if load.Queued, err = strconv.Atoi(queued); err != nil {
		return load, load.Leaving
	}
	return load, true
}

// refusal classifies an answer that is not a success.
func responseFailure(response *http.Response) *Failure {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	_ = response.Body.Close()
	text := strings.TrimSpace(string(body))
	if response.Header.Get(HeaderExecution) == string(classifier.NotExecuted) {
		return &Failure{Err: classifier.New(classifier.EndpointRefused, "the endpoint refused: %s", text), BytesSent: true}
	}
	if response.StatusCode == http.StatusBadRequest {
		return &Failure{Err: classifier.New(classifier.BadRequest, "the endpoint rejected the request: %s", text), BytesSent: true}
	}
	return &Failure{Err: classifier.New(classifier.EndpointFailed, "the endpoint answered %d: %s", response.StatusCode, text), BytesSent: true}
}

// Answer is the whole answer of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call is a request to a plain service.
type Request struct {
	Method string
	// Path is the path and query on the service.
	Path        string
	ContentType string
	Body        []byte
	// Key is passed on as the idempotency key; empty for none.
	IdempotencyKey string
	RequestID      string
	Idempotent     bool
}

const maxResponseBytes = 4 << 20

// Call sends a call to a plain service and reads its whole answer. An answer
// that is cut is a failure, never a short success.
func (s *Sender) Send(ctx context.Context, endpoint netip.AddrPort, request Request) (Response, *Failure) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+endpoint.String()+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return Response{}, &Failure{Err: classifier.Wrap(classifier.BadRequest, err, "the path is not valid")}
	}
	httpRequest.Header.Set("Content-Type", request.ContentType)
	httpRequest.Header.Set("X-Request-Id", request.RequestID)
	if request.IdempotencyKey != "" {
		httpRequest.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	client := s.noReuseClient
	if request.Idempotent {
		client = s.client
	}
	response, failure := s.roundTrip(client, httpRequest, endpoint)
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
		return Response{}, &Failure{Err: classifier.New(classifier.EndpointFailed, "the answer is larger than %d bytes", maxResponseBytes), BytesSent: true}
	}
	return Response{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// Fields are the top-level fields of a chat request, kept as they came so that
// fields this program does not know reach the engine.
type Fields map[string]json.RawMessage

// With returns a copy with one field replaced.
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
