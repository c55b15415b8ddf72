// Package classifier defines the error kinds. It has the only table that maps a
// kind to the response that a client, a peer or an operator receives.
package classifier

import (
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
)

// Kind is a kind of error. Its value is part of the response.
type Kind string

// All error kinds. There are no others.
const (
	BadRequest             Kind = "bad_request"
	Unauthenticated        Kind = "unauthenticated"
	Forbidden              Kind = "forbidden"
	NotFound               Kind = "not_found"
	BodyTooLarge           Kind = "body_too_large"
	BodyIncomplete         Kind = "body_incomplete"
	UnsupportedContentType Kind = "wrong_content"
	RateLimited            Kind = "rate_limited"
	SpendExceeded          Kind = "spend_exceeded"
	DeadlineUnmet          Kind = "deadline_unmet"
	NoVersion              Kind = "no_version"
	VersionWithdrawn       Kind = "version_withdrawn"
	NoEndpoint             Kind = "no_endpoint"
	ModelNotServed         Kind = "model_not_served"
	PromptQuarantined      Kind = "prompt_quarantined"
	RequestQuarantined     Kind = "request_quarantined"
	MemoryFull             Kind = "memory_full"
	ClaimsUnavailable      Kind = "claims_unavailable"
	BillsFull              Kind = "bills_full"
	KeyReused              Kind = "key_reused"
	InProgress             Kind = "in_progress"
	OutcomeUnknown         Kind = "outcome_unknown"
	OutcomeTooLarge        Kind = "outcome_too_large"
	EndpointRefused        Kind = "endpoint_refused"
	EndpointFailed         Kind = "endpoint_failed"
	Interrupted            Kind = "interrupted"
	Timeout                Kind = "timeout"
	ClientDisconnected     Kind = "caller_gone"
	Stopping               Kind = "stopping"
	NotReady               Kind = "not_ready"
	WrongCluster           Kind = "wrong_cluster"
	LogUnavailable         Kind = "log_unavailable"
	Internal               Kind = "internal"
)

// Execution says whether an endpoint has run a request.
type Execution string

// The values of Execution. NotExecuted is a guarantee: it is used only if no byte
// of the request reached an endpoint, or if the endpoint refused the request
// before running it.
const (
	NotExecuted      Execution = "no"
	Executed         Execution = "yes"
	ExecutionUnknown Execution = "unknown"
)

// statusClientClosedRequest is the non-standard HTTP status, introduced by nginx,
// for a client that closed its connection before the response.
const statusClientClosedRequest = 499

// DeniesRun reports whether an HTTP status tells the client that its request has not run and
// never will, so that the client may send it again whatever it does.
func DeniesRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Response describes the response to a request that ended with an error.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Code is the Connect error code.
	Code connect.Code
	// Execution says whether an endpoint has run the request.
	Execution Execution
	// Retryable is set if the client may send the same request again.
	Retryable bool
	// Help is one line that tells the reader of the error what to do.
	Help string
}

var responses = map[Kind]Response{
	BadRequest:             {http.StatusBadRequest, connect.CodeInvalidArgument, NotExecuted, false, "correct the request"},
	Unauthenticated:        {http.StatusUnauthorized, connect.CodeUnauthenticated, NotExecuted, false, "send a valid key as Authorization: Bearer"},
	Forbidden:              {http.StatusForbidden, connect.CodePermissionDenied, NotExecuted, false, "ask the operator to allow it in the account's template"},
	NotFound:               {http.StatusNotFound, connect.CodeNotFound, NotExecuted, false, "check the path and the name"},
	BodyTooLarge:           {http.StatusRequestEntityTooLarge, connect.CodeInvalidArgument, NotExecuted, false, "send a smaller body"},
	BodyIncomplete:         {http.StatusRequestTimeout, connect.CodeDeadlineExceeded, NotExecuted, true, "send the whole body before the deadline"},
	UnsupportedContentType: {http.StatusUnsupportedMediaType, connect.CodeInvalidArgument, NotExecuted, false, "send Content-Type: application/json"},
	RateLimited:            {http.StatusTooManyRequests, connect.CodeResourceExhausted, NotExecuted, true, "wait for Retry-After, then send again"},
	SpendExceeded:          {http.StatusPaymentRequired, connect.CodeResourceExhausted, NotExecuted, false, "the account has spent its allowance of the day"},
	DeadlineUnmet:          {http.StatusServiceUnavailable, connect.CodeUnavailable, NotExecuted, true, "the deadline cannot be met now; allow more time or send later"},
	NoVersion:              {http.StatusServiceUnavailable, connect.CodeUnavailable, NotExecuted, true, "no allowed version is in service"},
	VersionWithdrawn:       {http.StatusGone, connect.CodeFailedPrecondition, NotExecuted, false, "the conversation's version was withdrawn; start a new conversation"},
	NoEndpoint:             {http.StatusServiceUnavailable, connect.CodeUnavailable, NotExecuted, true, "no endpoint accepted the request"},
	ModelNotServed:         {http.StatusMisdirectedRequest, connect.CodeFailedPrecondition, NotExecuted, false, "name a model of the route, or leave the choice to the router"},
	PromptQuarantined:      {http.StatusServiceUnavailable, connect.CodeUnavailable, NotExecuted, true, "requests with a part of this prompt crash endpoints; wait for Retry-After, then send again"},
	RequestQuarantined:     {http.StatusServiceUnavailable, connect.CodeUnavailable, NotExecuted, true, "this request crashes endpoints; wait for Retry-After, then send again"},
	MemoryFull:             {http.StatusServiceUnavailable, connect.CodeResourceExhausted, NotExecuted, true, "the instance holds too many large requests; wait for Retry-After, then send again"},
	ClaimsUnavailable:      {http.StatusServiceUnavailable, connect.CodeUnavailable, NotExecuted, true, "the claim could not be recorded; send again with the same key"},
	BillsFull:              {http.StatusServiceUnavailable, connect.CodeUnavailable, NotExecuted, true, "unsaved bills have reached their bound; the log is down"},
	KeyReused:              {http.StatusUnprocessableEntity, connect.CodeInvalidArgument, NotExecuted, false, "the idempotency key belongs to another request; use a new key"},
	InProgress:             {http.StatusConflict, connect.CodeAborted, ExecutionUnknown, true, "the first request with this key is still running; ask again with the same key"},
	OutcomeUnknown:         {http.StatusBadGateway, connect.CodeUnknown, ExecutionUnknown, false, "check with the service before booking again"},
	OutcomeTooLarge:        {http.StatusBadGateway, connect.CodeDataLoss, Executed, false, "it ran; the answer was too large to keep"},
	EndpointRefused:        {http.StatusServiceUnavailable, connect.CodeUnavailable, NotExecuted, true, "the endpoint refused the request before running it"},
	EndpointFailed:         {http.StatusBadGateway, connect.CodeUnavailable, ExecutionUnknown, true, "the endpoint failed"},
	Interrupted:            {http.StatusBadGateway, connect.CodeAborted, Executed, true, "the answer was cut; discard what came and send again"},
	Timeout:                {http.StatusGatewayTimeout, connect.CodeDeadlineExceeded, ExecutionUnknown, true, "the deadline passed"},
	ClientDisconnected:     {statusClientClosedRequest, connect.CodeCanceled, ExecutionUnknown, false, "the caller hung up"},
	Stopping:               {http.StatusServiceUnavailable, connect.CodeUnavailable, NotExecuted, true, "this instance is stopping; send again"},
	NotReady:               {http.StatusServiceUnavailable, connect.CodeUnavailable, NotExecuted, true, "this instance has no configuration yet"},
	WrongCluster:           {http.StatusForbidden, connect.CodePermissionDenied, NotExecuted, false, "the message is of another cluster"},
	LogUnavailable:         {http.StatusServiceUnavailable, connect.CodeUnavailable, ExecutionUnknown, true, "the platform's log did not answer"},
	Internal:               {http.StatusInternalServerError, connect.CodeInternal, ExecutionUnknown, false, "report the bill id and the time to the operator"},
}

// Kinds returns a new map of every kind to its response.
func Kinds() map[Kind]Response {
	copied := make(map[Kind]Response, len(responses))
	for kind, response := range responses {
		copied[kind] = response
	}
	return copied
}

// Error is an error with a kind.
type Error struct {
	// Kind selects the response.
	Kind Kind
	// Message says what happened. Clients receive it.
	Message string
	// RetryAfter is the time that the client should wait before it retries, or 0
	// if unspecified.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil. Clients never receive it.
	Cause error
}

// New returns an error of the kind with a formatted message.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the kind with a cause and a formatted message.
func Wrap(kind Kind, cause error, format string, args ...any) *Error {
	wrapped := New(kind, format, args...)
	wrapped.Cause = cause
	return wrapped
}

// WithRetryAfter sets how long the client should wait before it retries. It
// modifies and returns e.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	e.RetryAfter = delay
	return e
}

// Error returns the kind, the message and the cause, if any.
func (e *Error) Error() string {
	if e.Cause == nil {
		return string(e.Kind) + ": " + e.Message
	}
	return string(e.Kind) + ": " + e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response returns the response for the error's kind.
func (e *Error) Response() Response { return responses[e.Kind] }

// ConnectError returns the error as a Connect error, without its cause.
func (e *Error) ConnectError() *connect.Error {
	return connect.NewError(e.Response().Code, errors.New(string(e.Kind)+": "+e.Message))
}

// FromError returns the Error in the chain of err. An error without one is
// wrapped as Internal.
func FromError(err error) *Error {
	if classified, ok := errors.Into[*Error](err); ok {
		return classified
	}
	return Wrap(Internal, err, "unexpected failure")
}

// Is reports whether the chain of err has an Error of the kind.
func Is(err error, kind Kind) bool {
	classified, ok := errors.Into[*Error](err)
	return ok && classified.Kind == kind
}
