package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalgrade.example/quetzalgrade/internal/sender"
)

// generation is one stream. It continues for resumeTimeout after its last reader
// has disconnected, so that it can be resumed.
type generation struct {
	mu      sync.Mutex
	events  []string
	done    bool
	changed chan struct{}
	readers int
	cancel  context.CancelFunc
}

func (e *Engine) generate(ctx context.Context, request chatRequest, stream *generation, execution *Execution) {
	defer func() {
		stream.finish()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.releaseSlot()
	}()
	prompt := request.prompt()
	input := len(prompt)/4 + 1
	cached := e.lookUpPrefix(prompt)
	if !e.simulateWork(ctx, time.Duration(input-cached)*e.speed.PrefillPerToken) {
		return
	}
	count, responsePrompt := responseLength(prompt, request.MaxTokens), prompt
	e.mu.Lock()
	if e.faults.EndAfterTokens > 0 {
		count = min(count, e.faults.EndAfterTokens)
	}
	if e.faults.SwapResponses {
		responsePrompt = "another " + prompt
	}
	e.mu.Unlock()
	for i := range count {
		if !e.simulateWork(ctx, e.speed.DecodePace) {
			return
		}
		stream.add(contentEvent(token(request.Model, responsePrompt, i)))
	}
	stream.add(usageEvent(sender.Usage{Input: input, Output: count, Cached: cached}))
	e.mu.Lock()
	endMarker := !e.faults.OmitEndMarker
	execution.Complete = endMarker
	e.mu.Unlock()
	if endMarker {
		stream.add(sender.DoneMarker)
	}
}

// The length of a response, in tokens, is derived from the prompt's hash. It is
// at least minResponseTokens and less than minResponseTokens plus
// responseTokenRange, unless the request sets a lower limit.
const (
	minResponseTokens  = 8
	responseTokenRange = 60
)

func responseLength(prompt string, limit int) int {
	count := minResponseTokens + int(hashToUnitInterval(prompt)*responseTokenRange)
	if limit > 0 {
		count = min(count, limit)
	}
	return count
}

// token returns one token of the response to a prompt. It contains the version
// and a hash of the prompt, so that a test can detect a swapped response.
func token(version, prompt string, index int) string {
	return fmt.Sprintf("%s:%04x:%d ", version, xxhash.Sum64String(prompt)&0xffff, index)
}

// ExpectedResponse returns the complete response that every engine without
// faults generates for a prompt.
func ExpectedResponse(version, prompt string, limit int) string {
	var text strings.Builder
	for i := range responseLength(prompt, limit) {
		text.WriteString(token(version, prompt, i))
	}
	return text.String()
}

func contentEvent(text string) string {
	data, _ := json.Marshal(text)
	return `{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":` + string(data) + `}}]}`
}

func usageEvent(usage sender.Usage) string {
	data, _ := json.Marshal(usage)
	return `{"object":"chat.completion.chunk","choices":[],"usage":` + string(data) + `}`
}

func (g *generation) add(event string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, event)
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = true
	close(g.changed)
	g.changed = make(chan struct{})
}

// eventsFrom returns the events from a position on, whether the generation is
// done, and a channel that is closed when either changes.
func (g *generation) eventsFrom(position int) ([]string, bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if position > len(g.events) {
		return nil, g.done, g.changed
	}
	return g.events[position:], g.done, g.changed
}

func (g *generation) addReaders(delta int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers += delta
	return g.readers
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	stream := e.streams[r.PathValue("id")]
	refused := e.faults.RefuseResume
	e.mu.Unlock()
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if stream == nil || refused || err != nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(sender.HeaderStreamID, r.PathValue("id"))
	e.streamEvents(w, r, r.PathValue("id"), stream, after)
}

// streamEvents sends the events of a stream to a reader, from a position on.
func (e *Engine) streamEvents(w http.ResponseWriter, r *http.Request, id string, stream *generation, position int) {
	stream.addReaders(1)
	defer e.detachReader(id, stream)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	for {
		events, done, changed := stream.eventsFrom(position)
		for _, event := range events {
			if e.shouldTruncate(position) {
				panic(http.ErrAbortHandler)
			}
			if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil {
				return
			}
			position++
		}
		flusher.Flush()
		if done {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// shouldTruncate reports whether to abort the stream at the position.
func (e *Engine) shouldTruncate(position int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.TruncateAfterTokens == 0 || position != e.faults.TruncateAfterTokens {
		return false
	}
	e.truncations++
	return e.faults.MaxTruncations == 0 || e.truncations <= e.faults.MaxTruncations
}

// detachReader removes a reader and ends the stream if it still has no reader
// after resumeTimeout.
func (e *Engine) detachReader(id string, stream *generation) {
	if stream.addReaders(-1) > 0 {
		return
	}
	time.AfterFunc(resumeTimeout, func() {
		if stream.addReaders(0) > 0 {
			return
		}
		stream.cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, id)
	})
}
