// Package connector opens and accepts connections: over TCP in a daemon, and
// over an in-memory fabric with injectable faults in tests and measurements.
package connector

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Network opens and accepts connections from one host.
type Network interface {
	// Listen accepts connections on the address; port 0 picks a free one.
	Listen(addr netip.AddrPort) (net.Listener, error)
	// Dial opens a connection to the address.
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

const (
	dialTimeout            = 2 * time.Second
	keepAliveInterval      = 15 * time.Second
	idleConnTimeout        = 90 * time.Second
	maxIdleConnsPerHost    = 64
	maxResponseHeaderBytes = 64 << 10
)

// TCP is the network of the machine.
type TCP struct {
	// Silence is how long a peer may leave bytes unacknowledged, or a probe of an
	// idle connection unanswered, before the connection is given up; 0 for the
	// system's own, much longer time.
	UserTimeout time.Duration
}

// Listen implements Network.
func (TCP) Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}

// Dial implements Network.
func (t TCP) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	if t.UserTimeout > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveProbeInterval, Interval: keepAliveProbeInterval, Count: maxKeepAliveProbes}
		dialer.Control = func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, t.UserTimeout) }
	}
	return dialer.DialContext(ctx, "tcp", addr.String())
}

const (
	// probeInterval and probeCount are those of probes on a connection whose
	// silence is bounded; the interval is the shortest that the system knows.
	keepAliveProbeInterval = time.Second
	maxKeepAliveProbes     = 2
)

// limitSilence bounds the time for which sent bytes may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// Transport returns an HTTP transport that opens connections through network.
func NewTransport(network Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, hostport string) (net.Conn, error) {
			addr, err := netip.ParseAddrPort(hostport)
			if err != nil {
				return nil, errors.Wrapf(err, "address %q is not IP:port", hostport)
			}
			return network.Dial(ctx, addr)
		},
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// Address returns the address that a listener accepts on.
func ListenerAddress(listener net.Listener) netip.AddrPort {
	addr, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}
