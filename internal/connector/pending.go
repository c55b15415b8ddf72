package connector

import (
	"net"
	"syscall"
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
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return PendingUnknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return PendingEnd
	}
	pending := PendingEnd
	_ = raw.Control(func(fd uintptr) { pending = peek(int(fd)) })
	return pending
}

func peek(fd int) Pending {
	var buffer [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return PendingNothing
		case err == nil && n > 0:
			return PendingData
		default:
			return PendingEnd
		}
	}
}
