// Package gateway serves the HTTP API for clients: it authenticates and
// validates a request, passes it to the router and writes the response.
package gateway

import (
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/router"
)

// Headers of the HTTP API for clients.
const (
	HeaderConversation   = "Quetzal-Conversation"
	HeaderDeadline       = "Quetzal-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderModel          = "Quetzal-Model"
	HeaderVersion        = "Quetzal-Version"
	HeaderCost           = "Quetzal-Cost"
	HeaderBill           = "Quetzal-Bill"
	HeaderReason         = "Quetzal-Why"
	HeaderExecution      = "Quetzal-Ran"
)

const (
	// bodyTimeout bounds the time that a client takes to send a request body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the time that a client takes to receive one event.
	writeTimeout = 30 * time.Second
	// maxIdentifierBytes bounds the identifiers that clients choose.
	maxIdentifierBytes = 1024
)

// Gateway serves the HTTP API for clients. It is safe for concurrent use.
type Gateway struct {
	router  *router.Router
	catalog func() *compiler.Catalog
	// newID returns a unique id for a received request.
	newID              func() string
	maxBodyBytes       int64
	keepAlivesDisabled atomic.Bool
	activeRequests     atomic.Int64
	errorCounts        map[classifier.Kind]*atomic.Uint64
}

// New returns a gateway that accepts request bodies of up to maxBodyBytes.
// catalog returns nil until the instance has read a configuration.
func New(router *router.Router, catalog func() *compiler.Catalog, newID func() string, maxBodyBytes int64) *Gateway {
	g := &Gateway{
		router:       router,
		catalog:      catalog,
		newID:        newID,
		maxBodyBytes: maxBodyBytes,
		errorCounts:  map[classifier.Kind]*atomic.Uint64{},
	}
	for kind := range classifier.Kinds() {
		g.errorCounts[kind] = &atomic.Uint64{}
	}
	return g
}

// DisableKeepAlives makes the gateway close each connection after its response.
// Requests that still arrive are served, so that a planned stop aborts none.
func (g *Gateway) DisableKeepAlives() { g.keepAlivesDisabled.Store(true) }

// ActiveRequests returns the number of requests that are being served.
func (g *Gateway) ActiveRequests() int64 { return g.activeRequests.Load() }

// ErrorCounts returns the number of error responses of each kind.
func (g *Gateway) ErrorCounts() map[classifier.Kind]uint64 {
	counts := map[classifier.Kind]uint64{}
	for kind, count := range g.errorCounts {
		counts[kind] = count.Load()
	}
	return counts
}

// Handler returns the HTTP handler.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", g.authenticated(g.handleChat))
	mux.Handle("GET /v1/models", g.authenticated(g.handleModels))
	mux.Handle("/v1/services/{service}/{path...}", g.authenticated(g.handlePlain))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.writeError(w, classifier.New(classifier.NotFound, "no route for %s %s", r.Method, r.URL.Path))
	})
	return mux
}

// acceptedRequest is an authenticated request whose body was read.
type acceptedRequest struct {
	account *compiler.Account
	id      string
	body    []byte
}

// handler serves an accepted request. It returns an error only if it has not
// started the response.
type handler func(http.ResponseWriter, *http.Request, acceptedRequest) error

// authenticated authenticates the client, reads the body and sets the deadline
// before it calls next.
func (g *Gateway) authenticated(next handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.activeRequests.Add(1)
		defer g.activeRequests.Add(-1)
		request, err := g.acceptRequest(w, r)
		if err != nil {
			g.writeError(w, err)
			return
		}
		timeout, err := requestTimeout(r, request.account.Policy.Deadline)
		if err != nil {
			g.writeError(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		if err := next(w, r.WithContext(ctx), request); err != nil {
			g.writeError(w, err)
		}
	})
}

// acceptRequest authenticates a request and reads its body.
func (g *Gateway) acceptRequest(w http.ResponseWriter, r *http.Request) (acceptedRequest, error) {
	if g.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	catalog := g.catalog()
	if catalog == nil {
		return acceptedRequest{}, classifier.New(classifier.NotReady, "the instance has no configuration yet").WithRetryAfter(time.Second)
	}
	key, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	account := catalog.Authenticate(strings.TrimSpace(key))
	if !isBearer || account == nil {
		return acceptedRequest{}, classifier.New(classifier.Unauthenticated, "the API key is missing or unknown")
	}
	for _, name := range []string{HeaderConversation, HeaderIdempotencyKey} {
		if len(r.Header.Get(name)) > maxIdentifierBytes {
			return acceptedRequest{}, classifier.New(classifier.BadRequest, "%s is longer than %d bytes", name, maxIdentifierBytes)
		}
	}
	body, err := g.readBody(w, r)
	return acceptedRequest{account: account, id: g.newID(), body: body}, err
}

// readBody reads the request body within bodyTimeout and maxBodyBytes.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.maxBodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	if _, tooLarge := errors.Into[*http.MaxBytesError](err); tooLarge {
		return nil, classifier.New(classifier.BodyTooLarge, "the request body is larger than %d bytes", g.maxBodyBytes)
	}
	if err != nil {
		return nil, classifier.Wrap(classifier.BadRequest, err, "the request body is incomplete")
	}
	return body, nil
}

// requestTimeout returns the timeout of a request: the one that the client
// asked for, but at most limit, which is that of its account.
func requestTimeout(r *http.Request, limit time.Duration) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return limit, nil
	}
	requested, err := time.ParseDuration(text)
	if err != nil || requested <= 0 {
		return 0, classifier.New(classifier.BadRequest, `invalid %s header %q: want a positive duration such as "20s"`, HeaderDeadline, text)
	}
	return min(requested, limit), nil
}

func requireJSON(r *http.Request) error {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || mediaType != "application/json" {
		return classifier.New(classifier.UnsupportedContentType, "unsupported Content-Type %q: want application/json", r.Header.Get("Content-Type"))
	}
	return nil
}

// errorBody is the body of an error response. The type and the message are where
// clients' scripts expect them.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type      classifier.Kind      `json:"type"`
	Message   string               `json:"message"`
	Execution classifier.Execution `json:"ran"`
	Retryable bool                 `json:"retry"`
	Help      string               `json:"help"`
	Bill      string               `json:"bill,omitempty"`
}

// countError classifies and counts an error and returns its response body.
func (g *Gateway) countError(err error) (*classifier.Error, errorBody) {
	classified := classifier.FromError(err)
	g.errorCounts[classified.Kind].Add(1)
	response := classified.Response()
	return classified, errorBody{errorDetail{
		Type:      classified.Kind,
		Message:   classified.Message,
		Execution: response.Execution,
		Retryable: response.Retryable,
		Help:      response.Help,
	}}
}

// writeError sends an error response. No byte of a response may have been sent
// before.
func (g *Gateway) writeError(w http.ResponseWriter, err error) {
	classified, body := g.countError(err)
	response := classified.Response()
	if classified.RetryAfter > 0 {
		seconds := int((classified.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set(HeaderExecution, string(response.Execution))
	writeJSON(w, response.Status, body)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, "cannot encode the response", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (g *Gateway) handleModels(w http.ResponseWriter, _ *http.Request, request acceptedRequest) error {
	names := compiler.Set[string]{}
	for id := range request.account.Policy.Versions {
		names.Add(id.Model, id.String())
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for name := range names {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model"})
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, list)
	return nil
}

func (g *Gateway) handlePlain(w http.ResponseWriter, r *http.Request, request acceptedRequest) error {
	query := ""
	if r.URL.RawQuery != "" {
		query = "?" + r.URL.RawQuery
	}
	response, receipt, err := g.router.CallPlain(r.Context(), router.PlainRequest{
		Account:        request.account,
		ID:             request.id,
		Service:        r.PathValue("service"),
		Method:         r.Method,
		Path:           "/" + r.PathValue("path"),
		Query:          query,
		ContentType:    r.Header.Get("Content-Type"),
		Body:           request.body,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	})
	if receipt.BillID != "" {
		w.Header().Set(HeaderBill, receipt.BillID)
	}
	if err != nil {
		return err
	}
	w.Header().Set(HeaderCost, receipt.Cost.String())
	w.Header().Set("Content-Type", response.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
	return nil
}
