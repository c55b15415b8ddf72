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

// events cuts a stream of server-sent events into whole ones.
type eventBuffer struct {
	buffer []byte
	// last is the id of the last whole event.
	lastID int64
	// count is the number of whole events.
	count int
}

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// add takes bytes of the stream and returns those that complete events. The
// result is valid until the next call.
func (e *eventBuffer) add(data []byte) []byte {
	e.buffer = append(e.buffer, data...)
	end := bytes.LastIndex(e.buffer, eventEnd)
	if end < 0 {
		return nil
	}
	complete := e.buffer[:end+len(eventEnd)]
	e.scan(complete)
	rest := e.buffer[len(complete):]
	e.buffer = append([]byte(nil), rest...)
	return complete
}

// scan counts the events and notes the last id.
func (e *eventBuffer) scan(complete []byte) {
	for line := range bytes.Lines(complete) {
		if len(line) == 1 {
			e.count++
			continue
		}
		value, found := bytes.CutPrefix(line, eventID)
		if !found {
			continue
		}
		if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			e.lastID = id
		}
	}
}

// stream passes an answer on event by event.
func (c *call) forwardStream(ctx context.Context, choice *tracker.Choice, response *exchanger.Response, info ResponseInfo) (attemptStatus, *bufferedResponse, *classifier.Error) {
	err := checkResponse(response.Status, info)
	if err == nil && c.escalate(choice, info) {
		return statusDiscarded, nil, nil
	}
	events := &eventBuffer{lastID: c.lastEventID}
	startedAt := time.Now()
	buffer := make([]byte, streamBufferBytes)
	for err == nil {
		var n int
		n, err = response.Read(buffer)
		if complete := events.add(buffer[:n]); len(complete) > 0 {
			if writeErr := c.writeEvents(response, complete, events.lastID); writeErr != nil {
				choice.End(tracker.Neutral, 0)
				return statusFailed, nil, classifier.Wrap(classifier.ClientDisconnected, writeErr, "the client stopped reading")
			}
		}
	}
	if errors.Is(err, io.EOF) && len(events.buffer) == 0 && (events.count > 0 || c.resumedAtEnd(response)) {
		pace := decodePace(time.Since(startedAt), events.count)
		choice.End(tracker.Success, pace)
		c.recordResult(choice, Completed, c.ttft, pace)
		c.Counters.Served.Inc()
		c.Counters.WholeResponse.UpdateDuration(c.arrived)
		c.log("stream served", c.endpointFields(choice, "first", noter.Brief(c.ttft), "events", events.count, "confidence", info.Confidence)...)
		return statusDone, nil, nil
	}
	return c.handleBrokenStream(ctx, choice, err, events)
}

// nothingLeft reports whether a stream without events is the end of one whose
// events have all been passed on: it broke behind the last of them.
func (c *call) resumedAtEnd(response *exchanger.Response) bool {
	return c.responseStarted && c.lastEventID > 0 && response.SelfDelimited()
}

// forward passes whole events on.
func (c *call) writeEvents(response *exchanger.Response, complete []byte, lastID int64) error {
	if !c.responseStarted {
		c.responseStarted = true
		c.Counters.FirstEvent.UpdateDuration(c.arrived)
		header := c.writer.Header()
		for name, values := range c.Codec.ClientHeader(response.Header) {
			header[name] = values
		}
		c.writer.WriteHeader(http.StatusOK)
	}
	if _, err := c.writer.Write(complete); err != nil {
		return err
	}
	c.lastEventID = lastID
	return http.NewResponseController(c.writer).Flush()
}

// broken handles a stream that ended early.
func (c *call) handleBrokenStream(ctx context.Context, choice *tracker.Choice, err error, events *eventBuffer) (attemptStatus, *bufferedResponse, *classifier.Error) {
	trackerOutcome := tracker.Failure
	if ctx.Err() != nil {
		trackerOutcome = tracker.Neutral
	} else {
		c.recordResult(choice, Incomplete, 0, 0)
	}
	choice.End(trackerOutcome, 0)
	c.log("stream broken", c.endpointFields(choice, "error", err, "events", events.count, "after", c.lastEventID)...)
	c.Counters.Resumes.Inc()
	return statusFailed, nil, classifier.Wrap(classifier.EndpointFailed, err, "the stream of endpoint %s broke", choice.ID)
}

// pace returns the time per event after the first.
func decodePace(took time.Duration, count int) time.Duration {
	if count < 2 {
		return 0
	}
	return took / time.Duration(count-1)
}
