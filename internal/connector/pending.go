package connector

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Pending is what a connection has received that nobody has read yet.
type Pending int

// The kinds of Pending.
const (
	// PendingUnknown means that the connection is not a socket, so that it cannot be inspected.
	PendingUnknown Pending = iota
	// PendingNothing means that the peer has sent nothing more and has not closed.
	PendingNothing
	// PendingData means that there are bytes.
	PendingData
	// PendingEnd means that the connection is closed at either end, or has failed.
	PendingEnd
)

// Peek returns what waits in a connection, without reading it. It may be called while another
// goroutine reads from the connection.
func Peek(connection net.Conn) Pending {
	pending := PendingEnd
	if !useSocket(connection, func(fd int) { pending = peek(fd) }) {
		return PendingUnknown
	}
	return pending
}

// useSocket calls a function with the descriptor of a connection or a listener. It returns false if
// that is not a socket, and does not call the function if it is closed.
func useSocket(of any, use func(fd int)) (isSocket bool) {
	socket, ok := of.(syscall.Conn)
	if !ok {
		return false
	}
	if raw, err := socket.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { use(int(fd)) })
	}
	return true
}

func peek(fd int) Pending {
	var buffer [1]byte
	switch n := receive(fd, buffer[:], syscall.MSG_PEEK); {
	case n > 0:
		return PendingData
	case n == noData:
		return PendingNothing
	default:
		return PendingEnd
	}
}

// pendingWait is how long ReadPending waits for data in a connection that is not a socket.
const pendingWait = time.Millisecond

// ReadPending reads what waits in a connection, without waiting for more. It returns the number of
// bytes, which is 0 if there are none or the connection has ended. A read deadline that is over
// does not keep it from reading.
func ReadPending(connection net.Conn, data []byte) int {
	n := 0
	if !useSocket(connection, func(fd int) { n = receive(fd, data, 0) }) {
		_ = connection.SetReadDeadline(time.Now().Add(pendingWait))
		n, _ = connection.Read(data)
	}
	return max(0, n)
}

// receive reads from a socket without waiting. It returns the number of bytes, 0 at the end of the
// stream, noData if nothing waits, and failed if the connection has failed.
func receive(fd int, data []byte, flags int) int {
	for {
		n, _, err := syscall.Recvfrom(fd, data, syscall.MSG_DONTWAIT|flags)
		switch err {
		case nil:
			return n
		case syscall.EINTR:
		case syscall.EAGAIN:
			return noData
		default:
			return failed
		}
	}
}

const (
	noData = -1
	failed = -2
)

// HasWaiting reports whether a connection waits to be accepted by a listener. It does not if the
// listener is not a socket.
func HasWaiting(listener net.Listener) bool {
	return poll(listener, unix.POLLIN)&unix.POLLIN != 0
}

// isHungUp reports whether both halves of a connection have ended, so that no call on it blocks. It
// does not if the connection is not a socket.
func isHungUp(connection net.Conn) bool {
	return poll(connection, 0)&(unix.POLLHUP|unix.POLLNVAL) != 0
}

// poll returns which of the events are pending at a connection or a listener, and the conditions that
// the operating system reports unasked. It returns POLLNVAL for a closed one, and 0 for what is not a
// socket.
func poll(of any, events int16) int16 {
	pending := int16(unix.POLLNVAL)
	isSocket := useSocket(of, func(fd int) {
		pending = 0
		polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(polled, 0); err == nil && n > 0 {
			pending = polled[0].Revents
		}
	})
	if !isSocket {
		return 0
	}
	return pending
}
