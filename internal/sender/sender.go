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
	HeaderLeaving = "X-Leaving"
	// HeaderRan is "no" on a refusal before the request ran.
	HeaderRan = "X-Ran"
	// HeaderStream names a stream that can be resumed.
	HeaderStream = "X-Stream"
)

const errorBodyLimit = 4 << 10

// Sender sends requests to endpoints.
type Sender struct {
	client *http.Client
	// once opens a connection for each request. The transport silently repeats
	// some requests that fail on a reused connection, which a call that may not
	// be repeated must never meet.
	once *http.Client
	// report receives the load that answers carry.
	report func(netip.AddrPort, watcher.LoadReport)
}

// New returns a sender that opens connections through the network.
func New(network connector.Network, report func(netip.AddrPort, watcher.LoadReport)) *Sender {
	single := connector.NewTransport(network)
	single.DisableKeepAlives = true
	return &Sender{
		client: &http.Client{Transport: connector.NewTransport(network), CheckRedirect: noRedirect},
		once:   &http.Client{Transport: single, CheckRedirect: noRedirect},
		report: report,
	}
}

// noRedirect returns a redirect as the answer: to follow it would run the
// request again elsewhere.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (s *Sender) Close() {
	s.client.CloseIdleConnections()
	s.once.CloseIdleConnections()
}

// traced follows whether bytes of a request may have left.
type traced struct {
	wrote atomic.Bool
}

func (t *traced) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// Once a connection is in hand the transport may write at any moment.
		GotConn: func(httptrace.GotConnInfo) { t.wrote.Store(true) },
	})
}

// Failure is a failed attempt.
type Failure struct {
	Err *classifier.Error
	// Wrote reports whether bytes of the request may have left.
	Wrote bool
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the classified error.
func (f *Failure) Unwrap() error { return f.Err }

// fail classifies a failed round trip.
func fail(ctx context.Context, err error, wrote bool) *Failure {
	switch {
	case !wrote && ctx.Err() == nil:
		return &Failure{Err: classifier.Wrap(classifier.NoEndpoint, err, "the endpoint could not be reached")}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failure{Err: classifier.Wrap(classifier.Timeout, err, "the deadline passed"), Wrote: wrote}
	case ctx.Err() != nil:
		return &Failure{Err: classifier.Wrap(classifier.ClientDisconnected, err, "the request was cancelled"), Wrote: wrote}
	default:
		return &Failure{Err: classifier.Wrap(classifier.EndpointFailed, err, "the endpoint broke the connection"), Wrote: wrote}
	}
}

// do sends a request and returns its response, or a failure.
func (s *Sender) do(client *http.Client, request *http.Request, to netip.AddrPort) (*http.Response, *Failure) {
	trace := &traced{}
	request = request.WithContext(trace.context(request.Context()))
	response, err := client.Do(request)
	if err != nil {
		return nil, fail(request.Context(), err, trace.wrote.Load())
	}
	s.readLoad(response.Header, to)
	return response, nil
}

func (s *Sender) readLoad(header http.Header, from netip.AddrPort) {
	load, ok := ParseLoad(header)
	if ok && s.report != nil {
		s.report(from, load)
	}
}

// ParseLoad reads the load that a response carries.
func ParseLoad(header http.Header) (load watcher.LoadReport, ok bool) {
	load.Draining = header.Get(HeaderLeaving) != ""
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

// refusal classifies an answer that is not a success.
func refusal(response *http.Response) *Failure {
	body, _ := io.ReadAll(io.LimitReader(response.Body, errorBodyLimit))
	_ = response.Body.Close()
	text := strings.TrimSpace(string(body))
	if response.Header.Get(HeaderRan) == string(classifier.NotExecuted) {
		return &Failure{Err: classifier.New(classifier.EndpointRefused, "the endpoint refused: %s", text), Wrote: true}
	}
	if response.StatusCode == http.StatusBadRequest {
		return &Failure{Err: classifier.New(classifier.BadRequest, "the endpoint rejected the request: %s", text), Wrote: true}
	}
	return &Failure{Err: classifier.New(classifier.EndpointFailed, "the endpoint answered %d: %s", response.StatusCode, text), Wrote: true}
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int
	Type   string
	Body   []byte
}

// Call is a request to a plain service.
type Call struct {
	Method string
	// Path is the path and query on the service.
	Path string
	Type string
	Body []byte
	// Key is passed on as the idempotency key; empty for none.
	Key        string
	Request    string
	Idempotent bool
}

const maxAnswer = 4 << 20

// Call sends a call to a plain service and reads its whole answer. An answer
// that is cut is a failure, never a short success.
func (s *Sender) Call(ctx context.Context, to netip.AddrPort, call Call) (Answer, *Failure) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+to.String()+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, &Failure{Err: classifier.Wrap(classifier.BadRequest, err, "the path is not valid")}
	}
	request.Header.Set("Content-Type", call.Type)
	request.Header.Set("X-Request-Id", call.Request)
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	client := s.once
	if call.Idempotent {
		client = s.client
	}
	response, failure := s.do(client, request, to)
	if failure != nil {
		return Answer{}, failure
	}
	if response.StatusCode >= http.StatusInternalServerError || response.Header.Get(HeaderRan) != "" {
		return Answer{}, refusal(response)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return Answer{}, fail(ctx, err, true)
	}
	if len(body) > maxAnswer {
		return Answer{}, &Failure{Err: classifier.New(classifier.EndpointFailed, "the answer is larger than %d bytes", maxAnswer), Wrote: true}
	}
	return Answer{Status: response.StatusCode, Type: response.Header.Get("Content-Type"), Body: body}, nil
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
