// Package caller is a client for quetzalgrade's HTTP API. It tells a complete
// response from a truncated one and reports whether a failed request was
// executed.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Ran says whether a request was executed.
type Ran string

// The values of Ran. RanUnknown is also the value if the error response has no
// readable body.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is an error response.
type Error struct {
	// Kind is one of the kinds of docs/ERRORS.md, or "unreadable" if the body of
	// the response is not an error body.
	Kind    string
	Message string
	Ran     Ran
	// Retry reports whether the same request may be sent again.
	Retry bool
	// RetryAfter is the time to wait before a retry; 0 if the response has none.
	RetryAfter time.Duration
	// Status is the HTTP status code.
	Status int
}

// Error implements error.
func (e *Error) Error() string { return e.Kind + ": " + e.Message }

// ErrTruncated is returned for a response that is incomplete, such as a stream
// without its end marker.
var ErrTruncated = errors.New("the response was truncated")

// Client sends requests to one daemon, or to a load balancer in front of
// several. It is safe for concurrent use.
type Client struct {
	http *http.Client
	base string
	key  string
}

// New returns a client that sends requests with an API key to an address.
func New(client *http.Client, addr netip.AddrPort, key string) *Client {
	return &Client{http: client, base: "http://" + addr.String(), key: key}
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is a chat request.
type Chat struct {
	// Model is "model", "model@version", or empty for any.
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// User names the end user, who sees only one version of a rollout.
	User string `json:"user,omitempty"`
	// Conversation is the token of an earlier response, or the client's own id.
	Conversation string `json:"-"`
	// Deadline bounds the time of the request; 0 means that of the account.
	Deadline time.Duration `json:"-"`
}

// Answer is the response to a chat request.
type Answer struct {
	Text    string
	Version string
	Bill    string
	Cost    string
	// Conversation is the token to send with the next turn.
	Conversation string
	// Why is the reason for the routing decision; empty unless the account's
	// policy sets explain.
	Why string
	// Input and Output are token counts.
	Input  int
	Output int
	// First is the time to the first event, Took that to the end of the response.
	// A response that is not streamed has the same value in both.
	First time.Duration
	Took  time.Duration
}

// completion is one event of a stream, or a whole response.
type completion struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta   *Message `json:"delta"`
		Message *Message `json:"message"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
	Receipt *struct {
		Bill    string `json:"bill"`
		Cost    string `json:"cost"`
		Version string `json:"version"`
	} `json:"receipt"`
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Ran     Ran    `json:"ran"`
	Retry   bool   `json:"retry"`
}

// Chat sends a chat request and reads its response to the end. An error response
// is returned as an *Error. If the response is incomplete, the error is an
// ErrTruncated, and the Answer holds what arrived.
func (c *Client) Chat(ctx context.Context, chat Chat) (*Answer, error) {
	body, err := json.Marshal(chat)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	request, err := c.request(ctx, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	if chat.Conversation != "" {
		request.Header.Set("Quetzal-Conversation", chat.Conversation)
	}
	if chat.Deadline > 0 {
		request.Header.Set("Quetzal-Deadline", chat.Deadline.String())
	}
	start := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer func() { drainAndClose(response.Body) }()
	if response.StatusCode != http.StatusOK {
		return nil, readError(response)
	}
	answer := &Answer{
		Version:      response.Header.Get("Quetzal-Version"),
		Bill:         response.Header.Get("Quetzal-Bill"),
		Conversation: response.Header.Get("Quetzal-Conversation"),
		Why:          response.Header.Get("Quetzal-Why"),
	}
	if chat.Stream {
		err = answer.readStream(response.Body, start)
	} else {
		err = answer.readJSON(response.Body)
	}
	answer.Took = time.Since(start)
	if answer.First == 0 {
		answer.First = answer.Took
	}
	return answer, err
}

const (
	// drainMaxBytes bounds what is read after the end of a response.
	drainMaxBytes = 4 << 10
	drainTimeout  = 100 * time.Millisecond
)

// drainAndClose reads the rest of a response body, so that its connection can be
// reused, and closes it. It reads for at most drainTimeout.
func drainAndClose(body io.ReadCloser) {
	timer := time.AfterFunc(drainTimeout, func() { _ = body.Close() })
	_, _ = io.CopyN(io.Discard, body, drainMaxBytes)
	timer.Stop()
	_ = body.Close()
}

// request builds a request with the API key.
func (c *Client) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// readError reads an error response into an *Error.
func readError(response *http.Response) error {
	failure := &Error{Status: response.StatusCode, Ran: RanUnknown}
	var body completion
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Error == nil {
		failure.Kind = "unreadable"
		failure.Message = response.Status
		return failure
	}
	body.Error.copyTo(failure)
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}

func (d *errorDetail) copyTo(failure *Error) {
	failure.Kind, failure.Message, failure.Ran, failure.Retry = d.Type, d.Message, d.Ran, d.Retry
}

// readJSON reads a response that is one JSON object.
func (a *Answer) readJSON(body io.Reader) error {
	var response completion
	if err := json.NewDecoder(body).Decode(&response); err != nil {
		return errors.Wrap(ErrTruncated, err.Error())
	}
	if len(response.Choices) != 1 || response.Choices[0].Message == nil {
		return ErrTruncated
	}
	a.Text = response.Choices[0].Message.Content
	a.update(response)
	return nil
}

// readStream reads a response of server-sent events up to its end marker.
func (a *Answer) readStream(body io.Reader, start time.Time) error {
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			return nil
		}
		var chunk completion
		if err := json.Unmarshal(data, &chunk); err != nil {
			return errors.Wrap(ErrTruncated, err.Error())
		}
		if chunk.Error != nil {
			failure := &Error{Status: http.StatusOK}
			chunk.Error.copyTo(failure)
			return failure
		}
		if a.First == 0 {
			a.First = time.Since(start)
		}
		for _, choice := range chunk.Choices {
			if choice.Delta != nil {
				text.WriteString(choice.Delta.Content)
			}
		}
		a.update(chunk)
	}
	return ErrTruncated
}

// update sets the usage and the receipt that source has.
func (a *Answer) update(source completion) {
	if source.Usage != nil {
		a.Input, a.Output = source.Usage.Prompt, source.Usage.Completion
	}
	if source.Receipt != nil {
		a.Bill, a.Cost, a.Version = source.Receipt.Bill, source.Receipt.Cost, source.Receipt.Version
	}
}

// Call is a request to a plain service.
type Call struct {
	Service string
	Method  string
	// Path is the path on the service with the query string.
	Path string
	Body []byte
	// Key is the idempotency key; a non-idempotent request should have one.
	Key string
	// Deadline bounds the time of the request; 0 means that of the account.
	Deadline time.Duration
}

// Result is the response of a plain service.
type Result struct {
	// Status is the HTTP status code.
	Status int
	Body   []byte
	Bill   string
	Cost   string
	// Took is the time from sending the request to the end of the response.
	Took time.Duration
}

// Call sends a request to a plain service and reads the whole response. An error
// response of the gateway is returned as an *Error; one of the service is a
// Result with its status. The error for a truncated response is ErrTruncated.
func (c *Client) Call(ctx context.Context, call Call) (*Result, error) {
	request, err := c.request(ctx, call.Method, "/v1/services/"+call.Service+call.Path, call.Body)
	if err != nil {
		return nil, err
	}
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	if call.Deadline > 0 {
		request.Header.Set("Quetzal-Deadline", call.Deadline.String())
	}
	start := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("Quetzal-Ran") != "" {
		return nil, readError(response)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrap(ErrTruncated, err.Error())
	}
	return &Result{
		Status: response.StatusCode,
		Body:   body,
		Bill:   response.Header.Get("Quetzal-Bill"),
		Cost:   response.Header.Get("Quetzal-Cost"),
		Took:   time.Since(start),
	}, nil
}
