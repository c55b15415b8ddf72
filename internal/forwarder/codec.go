package forwarder

import (
	"net/http"
	"strconv"
	"time"
)

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	// ID identifies the part. The ID of the last shared part is the prefix key.
	ID uint64
	// Tokens is the length of the part.
	Tokens int
}

// Request holds what the headers of a client's request say.
type Request struct {
	// ID is the id of the request.
	ID string
	// APIKey is the API key. HasAPIKey distinguishes an empty key from a missing
	// one.
	APIKey    string
	HasAPIKey bool
	// Timeout is how long the client waits, or 0 if the request does not say.
	Timeout time.Duration
	// Session is the id of the session, or an empty string if there is none.
	Session string
	// PromptParts are the parts of the prompt in order.
	PromptParts []PromptPart
	// PromptTokens is the number of tokens of the prompt. OutputTokens is that of
	// the response, as far as it is known in advance.
	PromptTokens int
	OutputTokens int
	// LastEventID is the id of the last event that the client has received of a
	// stream that it resumes, or empty if it resumes none.
	LastEventID EventID
	// Model is the model that the client names, or empty if it names none. AnyModel is set if
	// it leaves the choice to the router.
	Model    string
	AnyModel bool
}

// Attempt holds what the router adds to the client's headers when it sends a
// request to an endpoint.
type Attempt struct {
	// Remaining is the time until the deadline, or 0 if there is none.
	Remaining time.Duration
	// Endpoint is the id of the endpoint.
	Endpoint string
	// Account is the name of the client account, or an empty string if there is
	// none.
	Account string
	// Model is the model to run, or an empty string if the client has chosen one.
	Model string
	// Priority is the request's priority at the endpoint, or negative for none. A
	// lower value is served first.
	Priority int
	// LastEventID is the id of the last event that was forwarded of a stream that the
	// router resumes, or empty if it resumes none.
	LastEventID EventID
}

// ResponseInfo holds what the headers of a response say.
type ResponseInfo struct {
	// RequestID is the id of the request that the response belongs to. It is empty
	// if the headers do not say.
	RequestID string
	// Refused is set if the response says that the endpoint did not run the request.
	Refused bool
	// Misdirected is set if the request was refused because another endpoint has the address, or
	// because the endpoint does not serve the requested model.
	Misdirected bool
	// Responder is the id of the endpoint that responded. It is empty if the headers do not say.
	Responder string
	// Signed is set if the response carries the endpoint's signature.
	Signed bool
	// Encoded is set if the body has a content encoding. Its bytes are then not
	// those that the endpoint sent.
	Encoded bool
	// Running and Waiting are the numbers of requests at the endpoint. They are
	// valid only if HasLoad is set.
	Running int
	Waiting int
	HasLoad bool
	// Slowdown is the time that work takes on the endpoint's host at this moment, relative
	// to the usual time. It is 0 if the headers do not say.
	Slowdown float64
	// InvalidLoad is set if a report of the load is not understood.
	InvalidLoad bool
	// Confidence is the model's own confidence in its response, from 0 to 100. It
	// is negative if the headers do not say.
	Confidence int
	// RateLimit is what the headers say of the request rate that the endpoint accepts.
	RateLimit RateLimit
	// ColdRemaining is how much longer the endpoint is cold after its start. It is 0 if the
	// headers do not say.
	ColdRemaining time.Duration
	// Leaving is set if the endpoint is about to stop and wants no more requests.
	Leaving bool
	// Pause is how long the endpoint, which has turned the request away, wants no more
	// requests from this daemon.
	Pause time.Duration
	// InvalidNotice is set if a header that would say one of the two is not understood.
	InvalidNotice bool
}

// RateLimit is the request rate that an endpoint accepts from all daemons together.
type RateLimit struct {
	// Known is set if the response says whether there is a limit.
	Known bool
	// Limited is set if there is a limit. PerSecond is then the number of requests per
	// second.
	Limited   bool
	PerSecond float64
}

// String returns the rate, or an empty string if there is no limit.
func (r RateLimit) String() string {
	if !r.Limited {
		return ""
	}
	return strconv.FormatFloat(r.PerSecond, 'g', 4, 64)
}

// Codec translates between HTTP headers and the forwarder's types.
type Codec interface {
	// ParseRequest parses the headers of a client's request.
	ParseRequest(header http.Header) (Request, error)
	// EndpointHeader returns the request headers for an endpoint.
	EndpointHeader(original http.Header, attempt Attempt) http.Header
	// ParseResponse parses the headers of an endpoint's response.
	ParseResponse(status int, header http.Header) ResponseInfo
	// ClientHeader returns the headers of an endpoint's response as the client
	// receives them.
	ClientHeader(header http.Header) http.Header
	// LocalHeader returns the headers of a response that the router generates
	// itself.
	LocalHeader(id string) http.Header
}
