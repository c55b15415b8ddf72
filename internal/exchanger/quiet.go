package exchanger

import (
	"net"
	"syscall"
)

// quiet reports whether nothing has arrived on an idle connection. Bytes there
// belong to no request, and an end means that the endpoint has closed it.
func quiet(connection net.Conn) bool {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		// Connections in memory cannot be looked at; the reading side finds out.
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && still
}
