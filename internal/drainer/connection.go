package drainer

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

// connection is a connection of a client. Its reader closes it, because only the reader knows
// that no request waits.
type connection struct {
	net.Conn
	drainer *Drainer

	mu sync.Mutex
	// state is the last one that the server has reported.
	state http.ConnState
	// receiving is set if bytes have been read since the connection became unused.
	receiving bool
	// closing is set if the connection is to close as soon as it is unused.
	closing bool
	closed  bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
}

// setState records the state that the server reports.
func (c *connection) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	c.receiving = false
}

// unused reports whether the connection has no request, and nothing of one has been read.
// c.mu is held.
func (c *connection) unused() bool {
	return !c.receiving && (c.state == http.StateNew || c.state == http.StateIdle)
}

// isUnused is unused for callers that do not hold c.mu.
func (c *connection) isUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unused()
}

// askToClose makes the reader close the connection if it is unused; one that has had no request yet
// stays unless withFresh is set. The connection is busy if it has a request or is closing.
func (c *connection) askToClose(withFresh bool) (busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unused() {
		return true
	}
	if c.state == http.StateNew && !withFresh {
		return false
	}
	if !c.closing {
		c.closing = true
		// Ends the wait of the reader. One that begins to read later sees closing.
		_ = c.Conn.SetReadDeadline(time.Unix(0, 1))
	}
	return true
}

// mustClose reports whether the reader closes the connection unless bytes wait in it.
func (c *connection) mustClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && c.unused()
}

// isClosed reports whether the server has closed the connection.
func (c *connection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// isLeft reports whether the client has closed the connection, and counts it.
func (c *connection) isLeft() bool {
	if connector.Peek(c.Conn) != connector.PendingEnd {
		return false
	}
	c.drainer.record(func(counts *Counts) { counts.Gone++ })
	return true
}

// Read implements net.Conn. The end of the wait for a request says that none has come in time, so
// a reader that got no processor time must look once more.
func (c *connection) Read(data []byte) (int, error) {
	n, err := 0, os.ErrDeadlineExceeded
	if !c.mustClose() {
		n, err = c.Conn.Read(data)
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isUnused() {
		n, err = c.readPending(data)
	}
	if n > 0 {
		c.recordRead()
	}
	return n, err
}

// readPending reads what waits in the connection. If that is nothing, it returns io.EOF if the
// connection is to close, and os.ErrDeadlineExceeded otherwise.
func (c *connection) readPending(data []byte) (int, error) {
	if n := connector.ReadPending(c.Conn, data); n > 0 {
		return n, nil
	}
	if !c.mustClose() {
		return 0, os.ErrDeadlineExceeded
	}
	c.drainer.record(func(counts *Counts) { counts.Closed++ })
	return 0, io.EOF
}

// recordRead records that bytes have been read, which keeps the connection open.
func (c *connection) recordRead() {
	c.mu.Lock()
	found := c.closing && c.unused()
	if found {
		// The rest of the request has the time that the server gave it.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	c.receiving = true
	c.mu.Unlock()
	if found {
		c.drainer.record(func(counts *Counts) { counts.Found++ })
	}
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite closes the connection for writing if it can, which net/http does before it closes a
// connection on which the client may still be sending.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.drainer.remove(c)
	return c.Conn.Close()
}
