package forwarder

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// forwardStream forwards a response event by event, unless the request escalates
// to a larger model.
func (c *call) forwardStream(ctx context.Context, choice *tracker.Choice, watch *attemptWatch, response *exchanger.Response, info ResponseInfo) (attemptStatus, *bufferedResponse, *classifier.Error) {
	err := checkResponse(response.Status, info)
	if err == nil && c.escalate(choice, info) {
		return statusDiscarded, nil, nil
	}
	events := newEventBuffer(c.lastEventID)
	startedAt := time.Now()
	ahead, client := c.readAhead(ctx, choice, response)
	defer ahead.stop()
	buffer := make([]byte, streamBufferBytes)
	recorded := false
	for err == nil {
		var n int
		n, err = ahead.Read(buffer)
		complete, eventErr := events.add(buffer[:n])
		if !recorded && events.count > maxCrashEvents {
			recorded = true
			c.recordServed(startedAt)
		}
		if eventErr == nil && !c.memory.Grow(c.held()-streamBufferBytes+int64(events.size())) {
			eventErr = errNoMemory
		}
		if eventErr != nil {
			err = eventErr
		}
		watch.eventsArrived(events.count, events.last != "")
		if len(complete) > 0 {
			if writeErr := c.writeEvents(client, response, complete, events.last); writeErr != nil {
				choice.End(tracker.Neutral, 0)
				return statusAborted, nil, classifier.Wrap(classifier.ClientDisconnected, writeErr, "failed to write to the client")
			}
		}
		watch.eventsForwarded()
	}
	if errors.Is(err, io.EOF) && events.incomplete() == 0 && (events.count > 0 || c.resumedAtEnd(response)) {
		if !recorded && events.count > 0 {
			c.recordServed(startedAt)
		}
		watch.complete(ahead.endedAt)
		c.completeStream(choice, info, ahead.endedAt.Sub(startedAt), events.count)
		return statusDone, nil, nil
	}
	c.hasBegunEvent = events.hasBegun() || c.hasBegunEvent && events.count == 0
	if watch.tookBack() {
		return c.handleSilentStream(choice, watch, err, events)
	}
	return c.handleBrokenStream(ctx, choice, err, events)
}

// completeStream records a complete stream, which took a time from its beginning.
func (c *call) completeStream(choice *tracker.Choice, info ResponseInfo, took time.Duration, events int) {
	pace := decodePace(took, events)
	choice.End(tracker.Success, pace)
	c.recordResult(choice, Completed, c.ttft, pace)
	c.countServed()
	c.log("stream served", c.endpointFields(choice, "first", noter.FormatDuration(c.ttft), "events", events, "pace", noter.FormatDuration(pace), "confidence", info.Confidence)...)
}

// mayContinue reports whether a response to a request for a stream may be the stream, or the rest of
// the one that has been forwarded in part. A response that is neither a stream of events nor of the
// media type of the first one is no rest, but for example the text of a failure.
func (c *call) mayContinue(response *exchanger.Response) bool {
	name := mediaType(response.Header)
	return !c.responseStarted || name == eventStream || name == c.mediaType
}

// eventStream is the media type of a stream of events.
const eventStream = "text/event-stream"

// mediaType returns the media type of a response without its parameters, or an empty string if the
// headers do not say.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// resumedAtEnd reports whether a stream without events is the valid end of a
// resumed stream: the earlier attempt broke after its last event had been
// forwarded. It is not if an attempt has begun a further event.
func (c *call) resumedAtEnd(response *exchanger.Response) bool {
	return c.responseStarted && c.lastEventID != "" && !c.hasBegunEvent && response.SelfDelimited()
}

// writeEvents writes complete events to the client, preceded by the response
// header if it has not been written yet.
func (c *call) writeEvents(client *clientWriter, response *exchanger.Response, complete []byte, last EventID) error {
	if !c.responseStarted {
		c.Counters.FirstEvent.UpdateDuration(c.arrived)
		c.mediaType = mediaType(response.Header)
		c.startResponse(http.StatusOK, c.Codec.ClientHeader(response.Header))
	}
	if _, err := client.Write(complete); err != nil {
		return err
	}
	c.lastEventID = last
	c.forwardedAt = time.Now()
	return client.Flush()
}

// handleBrokenStream handles a stream that was truncated, aborted or corrupt. It cannot go
// on at another endpoint if the last event that was forwarded has no id.
func (c *call) handleBrokenStream(ctx context.Context, choice *tracker.Choice, err error, events *eventBuffer) (attemptStatus, *bufferedResponse, *classifier.Error) {
	if errors.Is(err, errNoMemory) {
		choice.End(tracker.Neutral, 0)
	} else {
		c.endIncomplete(ctx, choice)
	}
	if events.count <= maxCrashEvents {
		c.checkCrash(ctx, choice, true)
	}
	c.log("endpoint's stream is truncated, aborted or corrupt", c.brokenFields(choice, "error", err, "events", events.count, "after", c.lastEventID)...)
	c.Counters.Resumes.Inc()
	return brokenStatus(events), nil, classifier.Wrap(classifier.EndpointFailed, err, "the stream of endpoint %s is truncated, aborted or corrupt", choice.ID)
}

// brokenStatus returns the status of an attempt whose stream ended early.
func brokenStatus(events *eventBuffer) attemptStatus {
	if events.count > 0 && events.last == "" {
		return statusAborted
	}
	return statusFailed
}

// handleNoContinuation handles a response that is not the rest of a stream whose first
// events have been forwarded. None of it may be forwarded, whatever its status: the client
// would take it for a part of the stream, and the stream for complete.
func (c *call) handleNoContinuation(ctx context.Context, choice *tracker.Choice, response *exchanger.Response) (attemptStatus, *bufferedResponse, *classifier.Error) {
	c.endIncomplete(ctx, choice)
	c.log("endpoint did not resume the stream", c.endpointFields(choice, "status", response.Status, "type", mediaType(response.Header), "after", c.lastEventID)...)
	return statusFailed, nil, classifier.New(classifier.EndpointFailed, "endpoint %s responded with status %d in place of the rest of the stream", choice.ID, response.Status)
}

// decodePace returns the time per event after the first, or 0 if it is unknown.
func decodePace(elapsed time.Duration, count int) time.Duration {
	if count < 2 {
		return 0
	}
	return elapsed / time.Duration(count-1)
}
