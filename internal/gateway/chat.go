package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/pricer"
	"quetzalgrade.example/quetzalgrade/internal/router"
	"quetzalgrade.example/quetzalgrade/internal/sender"
)

const (
	maxMessages = 1000
	maxTokens   = 1 << 20
	// prefixBytes is the length of the start of the prompt that prefix affinity
	// uses.
	prefixBytes = 512
)

// Usage holds the token counts of a response.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// Receipt tells a client the bill, the cost and the version of its response.
type Receipt struct {
	Bill    string `json:"bill"`
	Cost    string `json:"cost"`
	Version string `json:"version"`
}

// Chunk is one event of a streamed response, or a whole response.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	Receipt *Receipt `json:"receipt,omitempty"`
}

// Choice is the only choice of a response. A streamed response sets Delta, a
// whole one Message.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// chatRequestBody holds the fields of a chat request that the gateway reads.
type chatRequestBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens *int          `json:"max_tokens"`
	N         *int          `json:"n"`
	User      string        `json:"user"`
}

type chatMessage struct {
	Role string `json:"role"`
	// Content is a string or a list of parts.
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message's content.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// text returns the text of a message. Parts without text add an empty line.
func (m chatMessage) text() (string, error) {
	if len(m.Content) == 0 || bytes.Equal(m.Content, []byte("null")) {
		return "", nil
	}
	var content string
	if json.Unmarshal(m.Content, &content) == nil {
		return content, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", errors.New("content must be a string or a list of parts")
	}
	var texts []string
	for _, item := range parts {
		texts = append(texts, item.Text)
	}
	return strings.Join(texts, "\n"), nil
}

// ParseChat parses the body of a chat request. Its errors have the kind
// classifier.BadRequest and name the invalid field where there is one.
func ParseChat(body []byte) (*router.ChatRequest, error) {
	var parsed chatRequestBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, classifier.Wrap(classifier.BadRequest, err, "invalid chat request: %s", describeJSONError(err))
	}
	fields := sender.Fields{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, classifier.Wrap(classifier.BadRequest, err, "the body must be a JSON object")
	}
	if err := parsed.validate(); err != nil {
		return nil, err
	}
	request := &router.ChatRequest{Model: parsed.Model, EndUser: parsed.User, Stream: parsed.Stream, Fields: fields}
	if parsed.Model == "auto" {
		request.Model = ""
	}
	if parsed.MaxTokens != nil {
		request.MaxOutput = *parsed.MaxTokens
	}
	return request, parsed.setPrompt(request)
}

// describeJSONError returns the message for a JSON error, with the field or the
// offset of the error where it is known.
func describeJSONError(err error) string {
	if typed, ok := errors.Into[*json.UnmarshalTypeError](err); ok {
		return "field " + typed.Field + " must not be a JSON " + typed.Value
	}
	if syntax, ok := errors.Into[*json.SyntaxError](err); ok {
		return syntax.Error() + " at byte " + strconv.FormatInt(syntax.Offset, 10)
	}
	return err.Error()
}

func (c *chatRequestBody) validate() error {
	switch {
	case len(c.Messages) == 0:
		return classifier.New(classifier.BadRequest, "messages must not be empty")
	case len(c.Messages) > maxMessages:
		return classifier.New(classifier.BadRequest, "messages has more than %d entries", maxMessages)
	case c.MaxTokens != nil && (*c.MaxTokens < 1 || *c.MaxTokens > maxTokens):
		return classifier.New(classifier.BadRequest, "max_tokens must be between 1 and %d", maxTokens)
	case c.N != nil && *c.N != 1:
		return classifier.New(classifier.BadRequest, "n must be 1; send one request for each response")
	case len(c.User) > maxIdentifierBytes:
		return classifier.New(classifier.BadRequest, "user is longer than %d bytes", maxIdentifierBytes)
	}
	return nil
}

// setPrompt sets the prompt of the request to the text of all messages. A prompt
// shorter than prefixBytes has no prefix.
func (c *chatRequestBody) setPrompt(request *router.ChatRequest) error {
	texts := make([]string, len(c.Messages))
	for i, message := range c.Messages {
		text, err := message.text()
		if err != nil {
			return classifier.New(classifier.BadRequest, "messages.%d: %s", i, err)
		}
		texts[i] = text
	}
	request.Prompt = strings.Join(texts, "\n")
	if len(request.Prompt) >= prefixBytes {
		request.Prefix = request.Prompt[:prefixBytes]
	}
	return nil
}

func (g *Gateway) handleChat(w http.ResponseWriter, r *http.Request, request acceptedRequest) error {
	if err := requireJSON(r); err != nil {
		return err
	}
	parsed, err := ParseChat(request.body)
	if err != nil {
		return err
	}
	parsed.Account = request.account
	parsed.ID = request.id
	parsed.Conversation = r.Header.Get(HeaderConversation)
	if parsed.Stream {
		return g.serveStream(w, r, parsed)
	}
	return g.serveBuffered(w, r, parsed)
}

// bufferedSink collects a whole response.
type bufferedSink struct {
	meta router.ResponseMeta
	text strings.Builder
}

// Begin implements router.Sink.
func (s *bufferedSink) Begin(meta router.ResponseMeta) error {
	s.meta = meta
	return nil
}

// Text implements router.Sink.
func (s *bufferedSink) Text(text string) error {
	s.text.WriteString(text)
	return nil
}

// serveBuffered sends the response as one JSON object when it is complete.
func (g *Gateway) serveBuffered(w http.ResponseWriter, r *http.Request, request *router.ChatRequest) error {
	sink := &bufferedSink{}
	receipt, err := g.router.Chat(r.Context(), request, sink)
	if err != nil {
		return err
	}
	setMetadataHeaders(w.Header(), request, sink.meta)
	w.Header().Set(HeaderCost, receipt.Cost.String())
	finishReason := "stop"
	writeJSON(w, http.StatusOK, Chunk{
		ID:      receipt.BillID,
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   receipt.Version.String(),
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: sink.text.String()}, FinishReason: &finishReason}},
		Usage:   toUsage(receipt),
		Receipt: toReceipt(receipt),
	})
	return nil
}

func setMetadataHeaders(header http.Header, request *router.ChatRequest, meta router.ResponseMeta) {
	header.Set(HeaderModel, meta.Version.Model)
	header.Set(HeaderVersion, meta.Version.String())
	header.Set(HeaderBill, meta.BillID)
	header.Set(HeaderConversation, meta.Conversation)
	if request.Account.Policy.ExplainRouting {
		header.Set(HeaderReason, meta.Reason)
	}
}

func toUsage(receipt router.Receipt) *Usage {
	usage := receipt.Usage
	return &Usage{Prompt: usage.Input, Completion: usage.Output, Total: usage.Input + usage.Output}
}

func toReceipt(receipt router.Receipt) *Receipt {
	return &Receipt{Bill: receipt.BillID, Cost: receipt.Cost.String(), Version: receipt.Version.String()}
}

// streamSink writes a response as server-sent events.
type streamSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	request    *router.ChatRequest
	started    bool
	// eventPrefix is the start of each event, up to its JSON-encoded text;
	// eventSuffix is the rest.
	eventPrefix []byte
	buffer      []byte
}

// Begin implements router.Sink.
func (s *streamSink) Begin(meta router.ResponseMeta) error {
	s.started = true
	setMetadataHeaders(s.w.Header(), s.request, meta)
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
	id, err := json.Marshal(meta.BillID)
	if err != nil {
		return err
	}
	model, err := json.Marshal(meta.Version.String())
	if err != nil {
		return err
	}
	s.eventPrefix = append(s.eventPrefix, `data: {"id":`...)
	s.eventPrefix = append(s.eventPrefix, id...)
	s.eventPrefix = append(s.eventPrefix, `,"object":"chat.completion.chunk","created":`...)
	s.eventPrefix = strconv.AppendInt(s.eventPrefix, time.Now().Unix(), 10)
	s.eventPrefix = append(s.eventPrefix, `,"model":`...)
	s.eventPrefix = append(s.eventPrefix, model...)
	s.eventPrefix = append(s.eventPrefix, `,"choices":[{"index":0,"delta":{"content":`...)
	return nil
}

// eventSuffix is the end of an event, after its JSON-encoded text.
const eventSuffix = `},"finish_reason":null}]}` + "\n\n"

// Text implements router.Sink. It only encodes the text, because the rest of
// the event is the same for the whole stream.
func (s *streamSink) Text(text string) error {
	encoded, err := json.Marshal(text)
	if err != nil {
		return err
	}
	s.buffer = append(s.buffer[:0], s.eventPrefix...)
	s.buffer = append(s.buffer, encoded...)
	s.buffer = append(s.buffer, eventSuffix...)
	return s.write(s.buffer)
}

func (s *streamSink) writeEvent(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.write([]byte("data: " + string(data) + "\n\n"))
}

func (s *streamSink) write(data []byte) error {
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.controller.Flush()
}

// serveStream streams the response. A response that fails after its first byte
// ends with an error event and no end marker, and its connection is aborted, so
// that no client takes it for a complete one.
func (g *Gateway) serveStream(w http.ResponseWriter, r *http.Request, request *router.ChatRequest) error {
	sink := &streamSink{w: w, controller: http.NewResponseController(w), request: request}
	receipt, err := g.router.Chat(r.Context(), request, sink)
	if err != nil && !sink.started {
		return err
	}
	if err != nil {
		_, body := g.countError(err)
		body.Error.Bill = receipt.BillID
		_ = sink.writeEvent(body)
		panic(http.ErrAbortHandler)
	}
	finishReason := "stop"
	finalChunk := Chunk{
		ID:      receipt.BillID,
		Object:  "chat.completion.chunk",
		Created: time.Now().Unix(),
		Model:   receipt.Version.String(),
		Choices: []Choice{{Delta: &Message{}, FinishReason: &finishReason}},
		Usage:   toUsage(receipt),
		Receipt: toReceipt(receipt),
	}
	if err := sink.writeEvent(finalChunk); err != nil {
		return nil //nolint:nilerr // the client disconnected after its response was complete and billed
	}
	_ = sink.write([]byte("data: " + sender.DoneMarker + "\n\n"))
	return nil
}

// ParseCost parses the cost of a receipt, which has six decimal places.
func ParseCost(text string) (pricer.Money, error) {
	units, fraction, _ := strings.Cut(text, ".")
	micros, err := strconv.ParseUint(units+fraction, 10, 63)
	if err != nil || units == "" || len(fraction) != 6 {
		return 0, errors.Errorf("invalid cost %q: want an amount with six decimal places", text)
	}
	return pricer.Money(micros), nil
}
