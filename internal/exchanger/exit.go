package exchanger

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

const (
	// refusalTimeout bounds the check whether an address refuses connections.
	refusalTimeout = 100 * time.Millisecond
	// exitTime is within which the operating system closes all connections and listeners of a
	// process that has ended. It closes them one by one, in any order.
	exitTime = 30 * time.Millisecond
)

// Refuses reports whether the address refuses a new connection, so that no process
// listens there. It does not if nothing responds.
func (e *Exchanger) Refuses(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	netConn, err := e.network.Dial(ctx, address)
	if err == nil {
		_ = netConn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// hasExited reports whether the process at the address, which has just closed a connection, has
// ended. A new connection that is closed at once may also be one too many for a process that is
// running.
func (e *Exchanger) hasExited(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	netConn, err := e.network.Dial(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	if err == nil {
		defer func() { _ = netConn.Close() }()
		if staysOpen(netConn) {
			return false
		}
	}
	select {
	case <-time.After(exitTime):
	case <-ctx.Done():
		return false
	}
	return e.Refuses(ctx, address)
}

// staysOpen reports whether a new connection is still open after exitTime. A daemon without processor
// time sees the deadline before the end that already waits in the connection.
func staysOpen(connection net.Conn) bool {
	if err := connection.SetReadDeadline(time.Now().Add(exitTime)); err != nil {
		return false
	}
	_, err := connection.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded) && connector.Peek(connection) != connector.PendingEnd
}
