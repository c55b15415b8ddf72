package exchanger

import (
	"io"

	"github.com/go-faster/errors"
)

// ErrHeadTooLarge is the cause of a failure whose response had a head of more than
// maxHeadBytes.
var ErrHeadTooLarge = errors.Errorf("head of the response exceeds %d bytes", maxHeadBytes)

// headLimiter bounds the bytes that are read for the head of a response. The parser
// of net/http has no bound of its own.
type headLimiter struct {
	reader io.Reader
	// active is set while a head is read, remaining is then the number of bytes that
	// may still be read for it.
	active    bool
	remaining int
}

// begin starts a new head. Bytes that are buffered already do not count.
func (l *headLimiter) begin() {
	l.active = true
	l.remaining = maxHeadBytes
}

// end lifts the bound for the body.
func (l *headLimiter) end() { l.active = false }

// Read implements io.Reader. It returns ErrHeadTooLarge if the head is too large.
func (l *headLimiter) Read(data []byte) (int, error) {
	if !l.active {
		return l.reader.Read(data)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.reader.Read(data[:min(len(data), l.remaining)])
	l.remaining -= n
	return n, err
}
