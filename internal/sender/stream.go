package sender

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
)

// DoneMarker is the data of the event that ends a complete stream.
const DoneMarker = "[DONE]"

const (
	dataPrefix     = "data:"
	readBufferSize = 32 << 10
	maxEventBytes  = 1 << 20
	// drainMaxBytes and drainTimeout bound what is read after the end marker.
	drainMaxBytes = 4 << 10
	drainTimeout  = 100 * time.Millisecond
)

// errTruncated is returned when a stream ends without its end marker.
var errTruncated = errors.New("stream truncated: missing end marker")

// Usage holds the token counts of a response.
type Usage struct {
	Input  int `json:"prompt_tokens"`
	Output int `json:"completion_tokens"`
	// Cached is the number of input tokens that the engine's prefix cache held.
	Cached int `json:"cached_tokens,omitempty"`
}

// chunk is one event of an engine's stream.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// Stream is a response that arrives as a sequence of events. It is not safe
// for concurrent use.
type Stream struct {
	sender     *Sender
	ctx        context.Context //nolint:containedctx // it spans the lifetime of the stream
	cancel     context.CancelFunc
	endpoint   netip.AddrPort
	streamID   string
	body       io.ReadCloser
	reader     *bufio.Reader
	eventCount int
	usage      Usage
	resumed    bool
	complete   bool
}

// OpenStream sends a chat request and returns the response as a stream, which
// the calling code must close.
func (s *Sender) OpenStream(ctx context.Context, endpoint netip.AddrPort, fields Fields) (*Stream, *Failure) {
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, &Failure{Err: classifier.Wrap(classifier.BadRequest, err, "encode the chat request")}
	}
	ctx, cancel := context.WithCancel(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, &Failure{Err: classifier.Wrap(classifier.Internal, err, "build the chat request")}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	response, failure := s.roundTrip(request, endpoint)
	if failure == nil && response.StatusCode != http.StatusOK {
		failure = responseFailure(response)
	}
	if failure != nil {
		cancel()
		return nil, failure
	}
	return &Stream{
		sender:   s,
		ctx:      ctx,
		cancel:   cancel,
		endpoint: endpoint,
		streamID: response.Header.Get(HeaderStreamID),
		body:     response.Body,
		reader:   bufio.NewReaderSize(response.Body, readBufferSize),
	}, nil
}

// Probe asks an engine for a response of maxTokens tokens and returns the mean
// time per token after the first.
func (s *Sender) Probe(ctx context.Context, endpoint netip.AddrPort, version string, maxTokens int) (time.Duration, error) {
	fields := Fields{"messages": json.RawMessage(`[{"role":"user","content":"probe"}]`), "stream": json.RawMessage("true")}
	fields, err := fields.With("model", version)
	if err != nil {
		return 0, err
	}
	if fields, err = fields.With("max_tokens", maxTokens); err != nil {
		return 0, err
	}
	stream, failure := s.OpenStream(ctx, endpoint, fields)
	if failure != nil {
		return 0, failure
	}
	defer stream.Close()
	if _, err := stream.Next(); err != nil {
		return 0, err
	}
	start := time.Now()
	for {
		_, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return time.Since(start) / time.Duration(max(1, maxTokens-1)), nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// Next returns the text of the next event. It returns io.EOF after the end
// marker and a *Failure if the stream is truncated or invalid. Such a stream is
// first resumed, once, if the engine gave it an id.
func (st *Stream) Next() (string, error) {
	for {
		text, err := st.readNext()
		if err == nil || errors.Is(err, io.EOF) {
			return text, err
		}
		if st.resumed || st.streamID == "" || st.ctx.Err() != nil || !st.resume() {
			return "", classifyFailure(st.ctx, err, true)
		}
	}
}

// readNext returns the text of the next event without resuming the stream.
func (st *Stream) readNext() (string, error) {
	if st.complete {
		return "", io.EOF
	}
	data, err := readEvent(st.reader)
	if err != nil {
		return "", err
	}
	if string(data) == DoneMarker {
		st.complete = true
		return "", io.EOF
	}
	var event chunk
	if err := json.Unmarshal(data, &event); err != nil {
		return "", errors.Wrap(err, "decode event")
	}
	st.eventCount++
	if event.Usage != nil {
		st.usage = *event.Usage
	}
	if len(event.Choices) == 0 {
		return "", nil
	}
	return event.Choices[0].Delta.Content, nil
}

// readEvent returns the data of the next server-sent event.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	for {
		line, err := readLine(reader)
		if err != nil {
			return nil, err
		}
		if data, found := bytes.CutPrefix(line, []byte(dataPrefix)); found {
			return bytes.TrimSpace(data), nil
		}
	}
}

// readLine returns the next line. At the end of the input it returns
// errTruncated, because a complete stream has its end marker before that.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return line, nil
		}
		if errors.Is(err, io.EOF) {
			return nil, errTruncated
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(line) > maxEventBytes {
			return nil, errors.Errorf("event is larger than %d bytes", maxEventBytes)
		}
	}
}

// resume requests the remaining events from the same engine. It reports
// whether the engine sends them.
func (st *Stream) resume() bool {
	st.resumed = true
	_ = st.body.Close()
	path := "/v1/streams/" + st.streamID + "?after=" + strconv.Itoa(st.eventCount)
	request, err := http.NewRequestWithContext(st.ctx, http.MethodGet, "http://"+st.endpoint.String()+path, nil)
	if err != nil {
		return false
	}
	response, failure := st.sender.roundTrip(request, st.endpoint)
	if failure != nil {
		return false
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return false
	}
	st.body = response.Body
	st.reader.Reset(response.Body)
	return true
}

// EventBuffered reports whether another complete event is already buffered.
func (st *Stream) EventBuffered() bool {
	if st.complete {
		return false
	}
	buffered, err := st.reader.Peek(st.reader.Buffered())
	return err == nil && bytes.Contains(buffered, []byte("\n\n"))
}

// Usage returns the token counts that the engine last reported.
func (st *Stream) Usage() Usage { return st.usage }

// EventCount returns the number of events read so far, without the end marker.
func (st *Stream) EventCount() int { return st.eventCount }

// Close closes the stream. If the stream is not complete, this closes its
// connection, so that the engine stops generating.
func (st *Stream) Close() {
	if st.complete {
		// An engine may take a connection that closes before the end of the body for a cancellation.
		timer := time.AfterFunc(drainTimeout, st.cancel)
		_, _ = io.CopyN(io.Discard, st.reader, drainMaxBytes)
		timer.Stop()
	}
	st.cancel()
	_ = st.body.Close()
}
