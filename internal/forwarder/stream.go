package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 64 << 10

// eventBuffer splits a stream of server-sent events into complete events.
type eventBuffer struct {
	// buffer holds the events that the last call of add returned, which are its
	// first consumed bytes, and the bytes of an event that is not complete yet.
	buffer   []byte
	consumed int
	// lastID is the id of the last complete event.
	lastID int64
	// count is the number of complete events.
	count int
}

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// add appends bytes of the stream and returns the events that they complete. The
// result is valid until the next call. The error reports an event that exceeds
// maxEventBytes; the events before it are returned too.
func (e *eventBuffer) add(data []byte) ([]byte, error) {
	e.buffer = e.buffer[:copy(e.buffer, e.buffer[e.consumed:])]
	e.consumed = 0
	// The end of an event may begin with the last byte of earlier data.
	searchFrom := max(0, len(e.buffer)-1)
	e.buffer = append(e.buffer, data...)
	if end := bytes.LastIndex(e.buffer[searchFrom:], eventEnd); end >= 0 {
		e.consumed = searchFrom + end + len(eventEnd)
	}
	// A further empty line between two events belongs to neither.
	for e.consumed < len(e.buffer) && e.buffer[e.consumed] == '\n' {
		e.consumed++
	}
	e.scan(e.buffer[:e.consumed])
	if e.incomplete() > maxEventBytes {
		return e.buffer[:e.consumed], errors.Errorf("event of %d bytes or more, at most %d are allowed", e.incomplete(), maxEventBytes)
	}
	return e.buffer[:e.consumed], nil
}

// incomplete returns the number of bytes of the event that is not complete yet.
func (e *eventBuffer) incomplete() int { return len(e.buffer) - e.consumed }

// scan counts the events and stores the last id.
func (e *eventBuffer) scan(complete []byte) {
	inEvent := false
	for line := range bytes.Lines(complete) {
		if len(line) == 1 {
			if inEvent {
				e.count++
			}
			inEvent = false
			continue
		}
		inEvent = true
		value, found := bytes.CutPrefix(line, eventID)
		if !found {
			continue
		}
		if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			e.lastID = id
		}
	}
}

// forwardStream forwards a response event by event, unless the request escalates
// to a larger model.
func (c *call) forwardStream(ctx context.Context, choice *tracker.Choice, response *exchanger.Response, info ResponseInfo) (attemptStatus, *bufferedResponse, *classifier.Error) {
	err := checkResponse(response.Status, info)
	if err == nil && c.escalate(choice, info) {
		return statusDiscarded, nil, nil
	}
	events := &eventBuffer{lastID: c.lastEventID}
	startedAt := time.Now()
	buffer := make([]byte, streamBufferBytes)
	recorded := false
	for err == nil {
		var n int
		n, err = response.Read(buffer)
		complete, eventErr := events.add(buffer[:n])
		if !recorded && events.count > maxCrashEvents {
			recorded = true
			c.recordServed(startedAt)
		}
		if eventErr != nil {
			err = eventErr
		}
		if len(complete) > 0 {
			if writeErr := c.writeEvents(response, complete, events.lastID); writeErr != nil {
				choice.End(tracker.Neutral, 0)
				return statusFailed, nil, classifier.Wrap(classifier.ClientDisconnected, writeErr, "failed to write to the client")
			}
		}
	}
	if errors.Is(err, io.EOF) && events.incomplete() == 0 && (events.count > 0 || c.resumedAtEnd(response)) {
		if !recorded && events.count > 0 {
			c.recordServed(startedAt)
		}
		pace := decodePace(time.Since(startedAt), events.count)
		choice.End(tracker.Success, pace)
		c.recordResult(choice, Completed, c.ttft, pace)
		c.countServed()
		c.log("stream served", c.endpointFields(choice, "first", noter.FormatDuration(c.ttft), "events", events.count, "pace", noter.FormatDuration(pace), "confidence", info.Confidence)...)
		return statusDone, nil, nil
	}
	return c.handleBrokenStream(ctx, choice, err, events)
}

// resumedAtEnd reports whether a stream without events is the valid end of a
// resumed stream: the earlier attempt broke after its last event had been
// forwarded.
func (c *call) resumedAtEnd(response *exchanger.Response) bool {
	return c.responseStarted && c.lastEventID > 0 && response.SelfDelimited()
}

// writeEvents writes complete events to the client, preceded by the response
// header if it has not been written yet.
func (c *call) writeEvents(response *exchanger.Response, complete []byte, lastID int64) error {
	if !c.responseStarted {
		c.Counters.FirstEvent.UpdateDuration(c.arrived)
		c.startResponse(http.StatusOK, c.Codec.ClientHeader(response.Header))
	}
	if _, err := c.writer.Write(complete); err != nil {
		return err
	}
	c.lastEventID = lastID
	return http.NewResponseController(c.writer).Flush()
}

// handleBrokenStream handles a stream that was truncated, aborted or corrupt.
func (c *call) handleBrokenStream(ctx context.Context, choice *tracker.Choice, err error, events *eventBuffer) (attemptStatus, *bufferedResponse, *classifier.Error) {
	c.endIncomplete(ctx, choice)
	if events.count <= maxCrashEvents {
		c.checkCrash(ctx, choice, true)
	}
	c.log("endpoint's stream is truncated, aborted or corrupt", c.endpointFields(choice, "error", err, "events", events.count, "after", c.lastEventID)...)
	c.Counters.Resumes.Inc()
	return statusFailed, nil, classifier.Wrap(classifier.EndpointFailed, err, "the stream of endpoint %s is truncated, aborted or corrupt", choice.ID)
}

// handleNoContinuation handles a response that is not the rest of a stream whose first
// events have been forwarded. None of it may be forwarded, whatever its status: the client
// would take it for a part of the stream, and the stream for complete.
func (c *call) handleNoContinuation(ctx context.Context, choice *tracker.Choice, response *exchanger.Response) (attemptStatus, *bufferedResponse, *classifier.Error) {
	c.endIncomplete(ctx, choice)
	c.log("endpoint did not resume the stream", c.endpointFields(choice, "status", response.Status, "after", c.lastEventID)...)
	return statusFailed, nil, classifier.New(classifier.EndpointFailed, "endpoint %s responded with status %d in place of the rest of the stream", choice.ID, response.Status)
}

// decodePace returns the time per event after the first, or 0 if it is unknown.
func decodePace(elapsed time.Duration, count int) time.Duration {
	if count < 2 {
		return 0
	}
	return elapsed / time.Duration(count-1)
}
