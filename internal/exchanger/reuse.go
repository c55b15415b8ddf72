package exchanger

import (
	"net"
	"syscall"
)

// reusable reports whether an idle connection is open and has no unread data.
// Unread data belongs to no request, and the end of the stream means that the
// endpoint has closed the connection.
func reusable(connection net.Conn) bool {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		// An in-memory connection cannot be inspected. If it is closed, the read of
		// the response fails.
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
