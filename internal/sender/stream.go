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

// DoneMark is the data of the event that ends a complete stream.
const DoneMarker = "[DONE]"

const (
	dataPrefix     = "data:"
	readBufferSize = 32 << 10
	maxEventBytes  = 1 << 20
	// drainLimit and drainTime bound what is read behind the end marker.
	drainMaxBytes = 4 << 10
	drainTimeout  = 100 * time.Millisecond
)

// errCut is returned when a stream ends without its end marker.
var errTruncated = errors.New("the stream ended without its end marker")

// Usage is the number of tokens of an answer.
type Usage struct {
	Input  int `json:"prompt_tokens"`
	Output int `json:"completion_tokens"`
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

// Stream is an answer that arrives token by token. It is not safe for
// concurrent use.
type Stream struct {
	sender     *Sender
	ctx        context.Context //nolint:containedctx // the stream's own lifetime
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

// Open sends a chat request and returns its stream. The caller must close it.
func (s *Sender) OpenStream(ctx context.Context, endpoint netip.AddrPort, fields Fields) (*Stream, *Failure) {
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, &Failure{Err: classifier.Wrap(classifier.BadRequest, err, "the request cannot be encoded")}
	}
	ctx, cancel := context.WithCancel(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, &Failure{Err: classifier.Wrap(classifier.Internal, err, "build the request")}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	response, failure := s.roundTrip(s.client, request, endpoint)
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

// Probe asks an engine for a few tokens and returns the time per token.
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
// marker and a *Failure when the stream is cut. A cut stream is resumed once
// where the engine offers it.
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

// readLine returns the next line. The end of the input is errCut, since a
// complete stream ends with its marker before that.
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

// resume opens the rest of the stream at the same engine.
func (st *Stream) resume() bool {
	st.resumed = true
	_ = st.body.Close()
	path := "/v1/streams/" + st.streamID + "?after=" + strconv.Itoa(st.eventCount)
	request, err := http.NewRequestWithContext(st.ctx, http.MethodGet, "http://"+st.endpoint.String()+path, nil)
	if err != nil {
		return false
	}
	response, failure := st.sender.roundTrip(st.sender.client, request, st.endpoint)
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

// Ready reports whether another whole event has arrived already.
func (st *Stream) EventBuffered() bool {
	if st.complete {
		return false
	}
	buffered, err := st.reader.Peek(st.reader.Buffered())
	return err == nil && bytes.Contains(buffered, []byte("\n\n"))
}

// Usage returns the token counts that the engine gave.
func (st *Stream) Usage() Usage { return st.usage }

// Events returns the number of events so far.
func (st *Stream) EventCount() int { return st.eventCount }

// Close ends the stream; the engine stops generating when it is not complete.
func (st *Stream) Close() {
	if st.complete {
		// Read to its end, the stream leaves a connection that can be used again.
		timer := time.AfterFunc(drainTimeout, st.cancel)
		_, _ = io.CopyN(io.Discard, st.reader, drainMaxBytes)
		timer.Stop()
	}
	st.cancel()
	_ = st.body.Close()
}
