// Package connector opens and accepts connections: over TCP in a daemon, and
// over an in-memory network with fault injection in tests and measurements.
package connector

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network opens and accepts the connections of one host.
type Network interface {
	// Listen listens on the address; for port 0 it chooses a free port.
	Listen(addr netip.AddrPort) (net.Listener, error)
	// Dial opens a connection to the address. It times out after dialTimeout.
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

const (
	dialTimeout       = 2 * time.Second
	keepAliveInterval = 15 * time.Second
)

// TCP is the Network of the operating system.
type TCP struct {
	// UserTimeout is how long a peer may leave sent bytes, or a keep-alive probe
	// of an idle connection, unacknowledged before the connection is closed. It
	// applies to dialled connections. If it is 0, the much longer default of the
	// operating system applies.
	UserTimeout time.Duration
}

// Listen implements Network.
func (TCP) Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}

// Dial implements Network. The connection ends with io.EOF only if the peer has closed it.
func (t TCP) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	if t.UserTimeout > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveProbeInterval, Interval: keepAliveProbeInterval, Count: maxKeepAliveProbes}
		dialer.Control = func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, t.UserTimeout) }
	}
	connection, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return newTCPConn(connection), nil
}

const (
	// keepAliveProbeInterval and maxKeepAliveProbes apply to connections with a
	// user timeout. One second is the shortest interval that the operating system
	// supports.
	keepAliveProbeInterval = time.Second
	maxKeepAliveProbes     = 2
)

// setUserTimeout sets TCP_USER_TIMEOUT, the maximum time for which sent bytes may
// stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// ListenerAddress returns the address of a listener, or the zero address if it is
// not of the form IP:port.
func ListenerAddress(listener net.Listener) netip.AddrPort {
	addr, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}
