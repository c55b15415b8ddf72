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
	// prefixLength is the length in bytes of the start of the prompt that is
	// used for prefix-cache affinity.
	prefixLength = 512
)

// Usage is the token counts of an answer.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// Receipt is what a caller is told of its answer.
type Receipt struct {
	Bill    string `json:"bill"`
	Cost    string `json:"cost"`
	Version string `json:"version"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	Receipt *Receipt `json:"receipt,omitempty"`
}

// Choice is the only choice of an answer.
type Choice struct {
	Index   int      `json:"index"`
	Delta   *Message `json:"delta,omitempty"`
	Message *Message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// chatBody is what the gateway reads of a chat request.
type chatBody struct {
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

// part is one part of a message's content.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// text returns the text of a message; parts of other types are passed over.
func (m chatMessage) text() (string, error) {
	if len(m.Content) == 0 || bytes.Equal(m.Content, []byte("null")) {
		return "", nil
	}
	var whole string
	if json.Unmarshal(m.Content, &whole) == nil {
		return whole, nil
	}
	var parts []part
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", errors.New("content is neither a string nor a list of parts")
	}
	var texts []string
	for _, piece := range parts {
		texts = append(texts, piece.Text)
	}
	return strings.Join(texts, "\n"), nil
}

// ParseChat reads the body of a chat request. Errors are of kind BadRequest
// and name the field.
func ParseChat(body []byte) (*router.ChatRequest, error) {
	var parsed chatBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, classifier.Wrap(classifier.BadRequest, err, "the body is not a chat request: %s", describe(err))
	}
	fields := sender.Fields{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, classifier.Wrap(classifier.BadRequest, err, "the body is not a JSON object")
	}
	if err := parsed.check(); err != nil {
		return nil, err
	}
	request := &router.ChatRequest{Model: parsed.Model, Person: parsed.User, Stream: parsed.Stream, Fields: fields}
	if parsed.Model == "auto" {
		request.Model = ""
	}
	if parsed.MaxTokens != nil {
		request.MaxOutput = *parsed.MaxTokens
	}
	return request, parsed.fillPrompt(request)
}

func describe(err error) string {
	if typed, ok := errors.Into[*json.UnmarshalTypeError](err); ok {
		return "field " + typed.Field + " cannot be " + typed.Value
	}
	if syntax, ok := errors.Into[*json.SyntaxError](err); ok {
		return syntax.Error() + " at byte " + strconv.FormatInt(syntax.Offset, 10)
	}
	return err.Error()
}

func (c *chatBody) check() error {
	switch {
	case len(c.Messages) == 0:
		return classifier.New(classifier.BadRequest, "messages is empty")
	case len(c.Messages) > maxMessages:
		return classifier.New(classifier.BadRequest, "messages has more than %d entries", maxMessages)
	case c.MaxTokens != nil && (*c.MaxTokens < 1 || *c.MaxTokens > maxTokens):
		return classifier.New(classifier.BadRequest, "max_tokens is not in 1 to %d", maxTokens)
	case c.N != nil && *c.N != 1:
		return classifier.New(classifier.BadRequest, "n is not 1; send one request for each answer")
	case len(c.User) > maxHeader:
		return classifier.New(classifier.BadRequest, "user is longer than %d bytes", maxHeader)
	}
	return nil
}

func (c *chatBody) fillPrompt(request *router.ChatRequest) error {
	texts := make([]string, len(c.Messages))
	for i, message := range c.Messages {
		text, err := message.text()
		if err != nil {
			return classifier.New(classifier.BadRequest, "messages.%d: %s", i, err)
		}
		texts[i] = text
	}
	request.Prompt = strings.Join(texts, "\n")
	if len(request.Prompt) >= prefixLength {
		request.Prefix = request.Prompt[:prefixLength]
	}
	return nil
}

func (g *Gateway) chat(w http.ResponseWriter, r *http.Request, request call) error {
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
		return g.chatStream(w, r, parsed)
	}
	return g.chatWhole(w, r, parsed)
}

// gathered collects a whole answer.
type gathered struct {
	meta router.Meta
	text strings.Builder
}

// Begin implements router.Sink.
func (s *gathered) Begin(meta router.Meta) error {
	s.meta = meta
	return nil
}

// Text implements router.Sink.
func (s *gathered) Text(text string) error {
	s.text.WriteString(text)
	return nil
}

func (g *Gateway) chatWhole(w http.ResponseWriter, r *http.Request, request *router.ChatRequest) error {
	sink := &gathered{}
	receipt, err := g.router.Chat(r.Context(), request, sink)
	if err != nil {
		return err
	}
	setMeta(w.Header(), request, sink.meta)
	w.Header().Set(HeaderCost, receipt.Cost.String())
	finish := "stop"
	writeJSON(w, http.StatusOK, Chunk{
		ID:      receipt.Bill,
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   receipt.Version.String(),
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: sink.text.String()}, Finish: &finish}},
		Usage:   usageOf(receipt),
		Receipt: receiptOf(receipt),
	})
	return nil
}

func setMeta(header http.Header, request *router.ChatRequest, meta router.Meta) {
	header.Set(HeaderModel, meta.Version.Model)
	header.Set(HeaderVersion, meta.Version.String())
	header.Set(HeaderBill, meta.Bill)
	header.Set(HeaderConversation, meta.Conversation)
	if request.Account.Policy.ExplainRouting {
		header.Set(HeaderWhy, meta.Reason)
	}
}

func usageOf(receipt router.Receipt) *Usage {
	usage := receipt.Usage
	return &Usage{Prompt: usage.Input, Completion: usage.Output, Total: usage.Input + usage.Output}
}

func receiptOf(receipt router.Receipt) *Receipt {
	return &Receipt{Bill: receipt.Bill, Cost: receipt.Cost.String(), Version: receipt.Version.String()}
}

// streamed writes an answer as server-sent events.
type streamed struct {
	w       http.ResponseWriter
	control *http.ResponseController
	request *router.ChatRequest
	begun   bool
	// head and tail surround the JSON text of a piece.
	head   []byte
	buffer []byte
}

// Begin implements router.Sink.
func (s *streamed) Begin(meta router.Meta) error {
	s.begun = true
	setMeta(s.w.Header(), s.request, meta)
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
	id, err := json.Marshal(meta.Bill)
	if err != nil {
		return err
	}
	model, err := json.Marshal(meta.Version.String())
	if err != nil {
		return err
	}
	s.head = append(s.head, `data: {"id":`...)
	s.head = append(s.head, id...)
	s.head = append(s.head, `,"object":"chat.completion.chunk","created":`...)
	s.head = strconv.AppendInt(s.head, time.Now().Unix(), 10)
	s.head = append(s.head, `,"model":`...)
	s.head = append(s.head, model...)
	s.head = append(s.head, `,"choices":[{"index":0,"delta":{"content":`...)
	return nil
}

// tail ends the event that head begins.
const tail = `},"finish_reason":null}]}` + "\n\n"

// Text implements router.Sink. It puts the event together around the encoded
// text, since the rest of the event is the same for the whole stream.
func (s *streamed) Text(text string) error {
	encoded, err := json.Marshal(text)
	if err != nil {
		return err
	}
	s.buffer = append(s.buffer[:0], s.head...)
	s.buffer = append(s.buffer, encoded...)
	s.buffer = append(s.buffer, tail...)
	return s.write(s.buffer)
}

func (s *streamed) event(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.write([]byte("data: " + string(data) + "\n\n"))
}

func (s *streamed) write(data []byte) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.control.Flush()
}

// chatStream streams the answer. An answer that fails after its first byte
// ends with an error event and without the end marker, and the connection is
// broken, so that no client takes it for a complete one.
func (g *Gateway) chatStream(w http.ResponseWriter, r *http.Request, request *router.ChatRequest) error {
	sink := &streamed{w: w, control: http.NewResponseController(w), request: request}
	receipt, err := g.router.Chat(r.Context(), request, sink)
	if err != nil && !sink.begun {
		return err
	}
	if err != nil {
		_, body := g.detail(err)
		body.Error.Bill = receipt.Bill
		_ = sink.event(body)
		panic(http.ErrAbortHandler)
	}
	finish := "stop"
	last := Chunk{
		ID:      receipt.Bill,
		Object:  "chat.completion.chunk",
		Created: time.Now().Unix(),
		Model:   receipt.Version.String(),
		Choices: []Choice{{Delta: &Message{}, Finish: &finish}},
		Usage:   usageOf(receipt),
		Receipt: receiptOf(receipt),
	}
	if err := sink.event(last); err != nil {
		return nil //nolint:nilerr // the caller hung up after its answer was complete and billed
	}
	_ = sink.write([]byte("data: " + sender.DoneMark + "\n\n"))
	return nil
}

// ParseCost reads the cost of a receipt back into money.
func ParseCost(text string) (pricer.Money, error) {
	units, fraction, _ := strings.Cut(text, ".")
	whole, err := strconv.ParseInt(units+fraction, 10, 64)
	if err != nil || len(fraction) != 6 {
		return 0, errors.Errorf("cost %q is not an amount", text)
	}
	return pricer.Money(whole), nil
}
