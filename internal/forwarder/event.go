package forwarder

import (
	"bytes"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/exchanger"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 64 << 10
	// maxEventIDBytes bounds an id at which a stream can be resumed. It is sent in a
	// header.
	maxEventIDBytes = 64
	// maxQuotedBytes bounds what an error quotes of a line.
	maxQuotedBytes = 40
)

// EventID is the id of an event as it stands in the stream, or empty if there is none. 0
// is an id like any other.
type EventID string

// number returns the digits of the id without leading zeros. It returns false if the id is
// no whole number, so that it cannot be compared with others.
func (id EventID) number() (digits string, ok bool) {
	if id == "" || len(id) > maxEventIDBytes || strings.Trim(string(id), "0123456789") != "" {
		return "", false
	}
	return strings.TrimLeft(string(id), "0"), true
}

// follows reports whether the id is greater than another one. It returns true if one of the
// two cannot be compared.
func (id EventID) follows(other EventID) bool {
	digits, ok := id.number()
	otherDigits, otherOK := other.number()
	if !ok || !otherOK {
		return true
	}
	if len(digits) != len(otherDigits) {
		return len(digits) > len(otherDigits)
	}
	return digits > otherDigits
}

var (
	idField         = []byte("id:")
	colon           = []byte(":")
	statusLineBegin = []byte("HTTP/1.")
	// standardFields are the names of the fields that the specification of event streams names.
	// Only these may have no value.
	standardFields = []string{"data", "id", "event", "retry"}
)

// eventBuffer splits a stream of server-sent events into complete events and checks that
// their ids increase.
type eventBuffer struct {
	// buffer holds the events that the last call of add returned, which are its first
	// consumed bytes, and the bytes of an event that is not complete yet. lineStart is
	// the start of the line that is not complete yet, searched the end of the bytes that
	// hold no end of it.
	buffer    []byte
	consumed  int
	lineStart int
	searched  int
	// inEvent is set if the event that is not complete yet has a line other than a
	// comment. id is its id so far.
	inEvent bool
	id      EventID
	// corrupt is set once a line was no part of an event.
	corrupt bool
	// hasStatusLine is set if a line of that event holds the status line of a response.
	hasStatusLine bool
	// after is the greatest id so far. The ids of further events must follow it.
	after EventID
	// last is the id of the last complete event. It is empty if that event has no id
	// with which the stream could be resumed after it.
	last EventID
	// count is the number of complete events.
	count int
}

// newEventBuffer returns a buffer for the part of a stream that follows the event with an
// id. The id is empty for a whole stream.
func newEventBuffer(after EventID) *eventBuffer {
	return &eventBuffer{after: after, last: after}
}

// add appends bytes of the stream and returns the events that they complete. The result is
// valid until the next call. The error reports an event that exceeds maxEventBytes, or whose
// id does not follow that of an earlier event; the events before it are returned too.
func (e *eventBuffer) add(data []byte) ([]byte, error) {
	e.buffer = e.buffer[:copy(e.buffer, e.buffer[e.consumed:])]
	e.lineStart -= e.consumed
	e.searched -= e.consumed
	e.consumed = 0
	e.buffer = append(e.buffer, data...)
	for {
		length := bytes.IndexByte(e.buffer[e.searched:], '\n')
		if length < 0 {
			e.searched = len(e.buffer)
			break
		}
		end := e.searched + length + 1
		line := e.buffer[e.lineStart:end]
		e.lineStart, e.searched = end, end
		if err := e.addLine(line); err != nil {
			return e.buffer[:e.consumed], err
		}
	}
	if e.incomplete() > maxEventBytes {
		return e.buffer[:e.consumed], errors.Errorf("event of %d bytes or more, at most %d are allowed", e.incomplete(), maxEventBytes)
	}
	return e.buffer[:e.consumed], nil
}

// incomplete returns the number of bytes of the event that is not complete yet.
func (e *eventBuffer) incomplete() int { return len(e.buffer) - e.consumed }

// hasBegun reports whether there is a part of an event that is not complete yet, which is neither a
// comment nor anything else than an event.
func (e *eventBuffer) hasBegun() bool {
	if e.inEvent || e.corrupt {
		return e.inEvent
	}
	line := bytes.TrimRight(e.buffer[e.lineStart:], "\r")
	name, _, _ := bytes.Cut(line, colon)
	return len(name) > 0 && isFieldName(name)
}

// size returns the number of bytes that the buffer takes.
func (e *eventBuffer) size() int { return cap(e.buffer) }

// addLine adds a complete line. An empty line completes the event; further ones between two
// events belong to neither.
func (e *eventBuffer) addLine(line []byte) error {
	line = bytes.TrimRight(line, "\r\n")
	if len(line) == 0 {
		if err := e.endEvent(); err != nil {
			return err
		}
		e.consumed = e.lineStart
		e.hasStatusLine = false
		return nil
	}
	if err := e.checkLine(line); err != nil {
		e.corrupt = true
		return err
	}
	if line[0] == ':' {
		return nil
	}
	e.inEvent = true
	if value, found := bytes.CutPrefix(line, idField); found {
		e.id = EventID(bytes.TrimSpace(value))
	}
	return nil
}

// checkLine returns an error if the line, which is not empty, belongs to no event: an endpoint that
// fails inside a stream may write a text or a whole response into it. The status line of such a
// response may be the end of a line that it has begun before.
func (e *eventBuffer) checkLine(line []byte) error {
	name, _, hasValue := bytes.Cut(line, colon)
	isKnown := hasValue && len(name) == 0 || slices.Contains(standardFields, string(name))
	if !isKnown && (e.hasStatusLine || !hasValue || !isFieldName(name)) {
		return errors.Errorf("line %.*q is no part of an event", maxQuotedBytes, line)
	}
	if bytes.Contains(line, statusLineBegin) && exchanger.HoldsStatusLine(string(line)) {
		e.hasStatusLine = true
	}
	return nil
}

// isFieldName reports whether a name may be that of a field that is not a standard one.
func isFieldName(name []byte) bool {
	for _, b := range name {
		isASCIIName := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-' || b == '_' || b == '.'
		if !isASCIIName && b < utf8.RuneSelf {
			return false
		}
	}
	return true
}

// endEvent completes the current event, if there is one, and checks its id.
func (e *eventBuffer) endEvent() error {
	if !e.inEvent {
		return nil
	}
	id := e.id
	if !id.follows(e.after) {
		return errors.Errorf("event %s comes after event %s", id, e.after)
	}
	e.inEvent = false
	e.id = ""
	e.last = ""
	if _, ok := id.number(); ok {
		e.after, e.last = id, id
	}
	e.count++
	return nil
}
