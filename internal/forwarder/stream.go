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
type events struct {
	buffer []byte
	// last is the id of the last whole event.
	last int64
	// count is the number of whole events.
	count int
}

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// add takes bytes of the stream and returns those that complete events. The
// result is valid until the next call.
func (e *events) add(data []byte) []byte {
	e.buffer = append(e.buffer, data...)
	end := bytes.LastIndex(e.buffer, eventEnd)
	if end < 0 {
		return nil
	}
	whole := e.buffer[:end+len(eventEnd)]
	e.scan(whole)
	rest := e.buffer[len(whole):]
	e.buffer = append([]byte(nil), rest...)
	return whole
}

// scan counts the events and notes the last id.
func (e *events) scan(whole []byte) {
	for line := range bytes.Lines(whole) {
		if len(line) == 1 {
			e.count++
			continue
		}
		value, found := bytes.CutPrefix(line, eventID)
		if !found {
			continue
		}
		if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			e.last = id
		}
	}
}

// stream passes an answer on event by event.
func (c *call) stream(ctx context.Context, choice *tracker.Choice, reply *exchanger.Response, notes Notes) (verdict, *answer, *classifier.Error) {
	err := sound(reply.Status, notes)
	if err == nil && c.outgrown(choice, notes) {
		return dropped, nil, nil
	}
	cut := &events{last: c.after}
	began := time.Now()
	buffer := make([]byte, pieceBytes)
	for err == nil {
		var n int
		n, err = reply.Read(buffer)
		if whole := cut.add(buffer[:n]); len(whole) > 0 {
			if writeErr := c.forward(reply, whole, cut.last); writeErr != nil {
				choice.End(tracker.Neutral, 0)
				return failed, nil, classifier.Wrap(classifier.CallerGone, writeErr, "the client stopped reading")
			}
		}
	}
	if errors.Is(err, io.EOF) && len(cut.buffer) == 0 && (cut.count > 0 || c.nothingLeft(reply)) {
		pace := pace(time.Since(began), cut.count)
		choice.End(tracker.Success, pace)
		c.ran(choice, Answered, c.headed, pace)
		c.Counters.Served.Inc()
		c.Counters.Whole.UpdateDuration(c.arrived)
		c.log("stream served", c.about(choice, "first", noter.FormatDuration(c.headed), "events", cut.count, "confidence", notes.Confidence)...)
		return done, nil, nil
	}
	return c.broken(ctx, choice, err, cut)
}

// nothingLeft reports whether a stream without events is the end of one whose
// events have all been passed on: it broke behind the last of them.
func (c *call) nothingLeft(reply *exchanger.Response) bool {
	return c.begun && c.after > 0 && reply.SelfDelimited()
}

// forward passes whole events on.
func (c *call) forward(reply *exchanger.Response, whole []byte, last int64) error {
	if !c.begun {
		c.begun = true
		c.Counters.First.UpdateDuration(c.arrived)
		header := c.writer.Header()
		for name, values := range c.Codec.Reply(reply.Header) {
			header[name] = values
		}
		c.writer.WriteHeader(http.StatusOK)
	}
	if _, err := c.writer.Write(whole); err != nil {
		return err
	}
	c.after = last
	return http.NewResponseController(c.writer).Flush()
}

// broken handles a stream that ended early.
func (c *call) broken(ctx context.Context, choice *tracker.Choice, err error, cut *events) (verdict, *answer, *classifier.Error) {
	blame := tracker.Failure
	if ctx.Err() != nil {
		blame = tracker.Neutral
	} else {
		c.ran(choice, Broken, 0, 0)
	}
	choice.End(blame, 0)
	c.log("stream broken", c.about(choice, "error", err, "events", cut.count, "after", c.after)...)
	c.Counters.Resumes.Inc()
	return failed, nil, classifier.Wrap(classifier.EndpointFailed, err, "the stream of endpoint %s broke", choice.ID)
}

// pace returns the time per event after the first.
func pace(took time.Duration, count int) time.Duration {
	if count < 2 {
		return 0
	}
	return took / time.Duration(count-1)
}
