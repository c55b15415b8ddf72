package exchanger

import (
	"bytes"
	"time"

	"github.com/go-faster/errors"
)

const (
	// statusLineBegin is how each response begins, statusLineBytes the length of the part that tells a
	// response from other text, such as "HTTP/1.1 500".
	statusLineBegin = "HTTP/1."
	statusLineBytes = len("HTTP/1.1 500")
	// maxSuspectBytes bounds what is kept of a body from a status line on.
	maxSuspectBytes = 4 << 10
	// leftoverWait is how long more bytes are awaited after a body in which another response may have
	// begun. The rest of a response comes with its beginning.
	leftoverWait = 20 * time.Millisecond
)

// errSpliced is the error of a body that ends with the beginning of another response.
var errSpliced = errors.New("another response begins inside the body of the response")

// spliceScanner looks for another response that begins inside a body: the endpoint stopped there, and the
// announced length is made up by what it sent next. A body may also say as much itself, so that a status
// line alone proves nothing.
type spliceScanner struct {
	// suspect is the body from a status line on, if found is set.
	suspect []byte
	found   bool
	// tail is the last part of the body, in which a status line may begin.
	tail []byte
}

// add adds a part of the body.
func (s *spliceScanner) add(part []byte) {
	if s.found && len(s.suspect) < maxSuspectBytes {
		s.keep(part)
	} else {
		s.find(part)
	}
	const kept = statusLineBytes - 1
	if len(part) >= kept {
		s.tail = append(s.tail[:0], part[len(part)-kept:]...)
		return
	}
	s.tail = append(s.tail, part...)
	s.tail = s.tail[max(0, len(s.tail)-kept):]
}

// find looks for a status line in a part, and where it joins the one before.
func (s *spliceScanner) find(part []byte) {
	joint := append(append([]byte(nil), s.tail...), part[:min(len(part), statusLineBytes-1)]...)
	if at := indexStatusLine(joint); at >= 0 && at < len(s.tail) {
		s.found, s.suspect = true, append(s.suspect[:0], s.tail[at:]...)
		s.keep(part)
		return
	}
	if at := indexStatusLine(part); at >= 0 {
		s.found, s.suspect = true, s.suspect[:0]
		s.keep(part[at:])
	}
}

// keep adds a part to the suspect, as far as there is room.
func (s *spliceScanner) keep(part []byte) {
	s.suspect = append(s.suspect, part[:min(len(part), maxSuspectBytes-len(s.suspect))]...)
}

// indexStatusLine returns the index of the first status line in the text, or -1.
func indexStatusLine(text []byte) int {
	for from := 0; ; {
		at := bytes.Index(text[from:], []byte(statusLineBegin))
		if at < 0 {
			return -1
		}
		from += at
		if HoldsStatusLine(string(text[from:min(len(text), from+statusLineBytes)])) {
			return from
		}
		from += len(statusLineBegin)
	}
}

// isSuspicious reports whether another response may have begun in the body: it holds a status line, or ends
// with the beginning of one.
func (s *spliceScanner) isSuspicious() bool {
	if s.found {
		return true
	}
	for length := 1; length <= len(s.tail); length++ {
		if bytes.HasPrefix(s.tail[len(s.tail)-length:], []byte(statusLineBegin[:min(length, len(statusLineBegin))])) {
			return true
		}
	}
	return false
}

// isSpliced reports whether another response begins in the body of a response to the request with an id,
// given the bytes that came after it. It does if there are some, or if a line of a head names the id.
func (s *spliceScanner) isSpliced(id string, leftover []byte) bool {
	if s.found {
		return len(leftover) > 0 || id != "" && bytes.Contains(s.suspect, []byte(": "+id+"\r\n"))
	}
	if len(leftover) == 0 {
		return false
	}
	// A status line that is all in the leftover is that of a response after a complete one.
	joint := append(append([]byte(nil), s.tail...), leftover[:min(len(leftover), statusLineBytes)]...)
	at := indexStatusLine(joint)
	return at >= 0 && at < len(s.tail)
}

// isSpliced reports whether another response begins in the body, which has been read to its end.
func (r *Response) isSpliced() bool {
	if r.scanner.isSpliced(r.id, r.leftover()) {
		return true
	}
	if !r.scanner.isSuspicious() || r.conn.reader.Buffered() >= statusLineBytes {
		return false
	}
	if r.conn.SetReadDeadline(time.Now().Add(leftoverWait)) != nil {
		return false
	}
	_, _ = r.conn.reader.Peek(statusLineBytes)
	if r.conn.SetReadDeadline(time.Time{}) != nil {
		// The connection is closed, and is not used again.
		r.complete = false
	}
	return r.scanner.isSpliced(r.id, r.leftover())
}

// leftover returns the bytes that have come after the body.
func (r *Response) leftover() []byte {
	leftover, err := r.conn.reader.Peek(r.conn.reader.Buffered())
	if err != nil {
		return nil
	}
	return leftover
}
