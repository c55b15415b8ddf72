package connector

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// tcpConn is a connection on which a read does not return io.EOF after the connection was reset or has
// timed out. The operating system reports that once, to the call that comes first: if that is a write, a
// read ends as if the peer had closed the connection.
type tcpConn struct {
	net.Conn
	// writing is held by the write in progress. It guards fault, which is the first error with which the
	// operating system ended the connection during a write.
	writing sync.Mutex
	fault   error
}

func newTCPConn(connection net.Conn) *tcpConn { return &tcpConn{Conn: connection} }

// SyscallConn implements syscall.Conn. It returns an error if the connection is not a socket.
func (c *tcpConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("%T is not a socket", c.Conn)
	}
	return socket.SyscallConn()
}

// Write implements net.Conn.
func (c *tcpConn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if c.fault == nil && isFault(err) {
		c.fault = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has closed its half of the connection.
func (c *tcpConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		if fault := c.writeFault(); fault != nil {
			err = fault
		}
	}
	return n, err
}

// writeFault returns the error with which the operating system ended the connection during a write, or
// nil. It does not wait for a write that goes on because the peer has closed only its half.
func (c *tcpConn) writeFault() error {
	if !c.writing.TryLock() {
		if !isHungUp(c.Conn) {
			return nil
		}
		// Nothing blocks a write any more.
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.fault
}

// isFault reports whether a write's error ended the connection other than by a close of the peer. After
// a close, in which the peer's half has ended in order, a write fails with EPIPE.
func isFault(err error) bool {
	errno, ok := errors.Into[syscall.Errno](err)
	return ok && errno != syscall.EPIPE
}
