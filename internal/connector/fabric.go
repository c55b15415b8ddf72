package connector

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// zonePair is a pair of zones, for traffic in one direction.
type zonePair struct {
	from string
	to   string
}

// Fabric is an in-memory network of hosts in zones. Its connections are pipes,
// so that it works with the virtual time of testing/synctest. As with TCP, a
// write between partitioned zones blocks until the partition is healed or the
// connection is closed. It is safe for concurrent use.
type Fabric struct {
	mu         sync.Mutex
	listeners  map[netip.AddrPort]*pipeListener
	zones      map[netip.Addr]string
	partitions map[zonePair]bool
	paused     map[netip.Addr]bool
	starved    map[netip.AddrPort]timeSpan
	conns      map[*pipeConn]struct{}
	changed    chan struct{}
	delay      func(from, to string) time.Duration
	lastPort   uint16
	traffic    map[netip.Addr]*Traffic
}

// portBase is the port before the first one assigned to a listener on port 0.
const portBase = 20000

// NewFabric returns a network in which each write takes the time that delay
// returns for its two zones. A nil delay means no delay.
func NewFabric(delay func(from, to string) time.Duration) *Fabric {
	return &Fabric{
		listeners:  map[netip.AddrPort]*pipeListener{},
		zones:      map[netip.Addr]string{},
		partitions: map[zonePair]bool{},
		paused:     map[netip.Addr]bool{},
		starved:    map[netip.AddrPort]timeSpan{},
		conns:      map[*pipeConn]struct{}{},
		changed:    make(chan struct{}),
		delay:      delay,
		lastPort:   portBase,
		traffic:    map[netip.Addr]*Traffic{},
	}
}

// Host adds a host to a zone and returns its network.
func (f *Fabric) Host(addr netip.Addr, zone string) Network {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones[addr] = zone
	return &host{fabric: f, addr: addr, zone: zone}
}

// Partition blocks all traffic from one zone to another, in this direction only.
func (f *Fabric) Partition(from, to string) {
	f.update(func() { f.partitions[zonePair{from, to}] = true })
}

// Heal undoes Partition.
func (f *Fabric) Heal(from, to string) { f.update(func() { delete(f.partitions, zonePair{from, to}) }) }

// timeSpan is the time from one moment until another.
type timeSpan struct {
	from time.Time
	to   time.Time
}

// Starve gives the server that listens on an address no processor time in a span of time: it does
// not begin a read from a client, nor get what it has read.
func (f *Fabric) Starve(addr netip.AddrPort, from, to time.Time) {
	f.update(func() { f.starved[addr] = timeSpan{from, to} })
}

// awaitProcessor waits until the server that listens on an address gets processor time.
func (f *Fabric) awaitProcessor(addr netip.AddrPort) {
	f.mu.Lock()
	span, starved := f.starved[addr]
	f.mu.Unlock()
	if now := time.Now(); starved && !now.Before(span.from) {
		time.Sleep(span.to.Sub(now))
	}
}

// Pause blocks all traffic of a host, as if its process were paused.
func (f *Fabric) Pause(addr netip.Addr) { f.update(func() { f.paused[addr] = true }) }

// Resume undoes Pause.
func (f *Fabric) Resume(addr netip.Addr) { f.update(func() { delete(f.paused, addr) }) }

// Kill closes all listeners and connections of a host.
func (f *Fabric) Kill(addr netip.Addr) {
	f.mu.Lock()
	var closers []io.Closer
	for at, listener := range f.listeners {
		if at.Addr() == addr {
			closers = append(closers, listener)
		}
	}
	for conn := range f.conns {
		if conn.local.Addr() == addr || conn.remote.Addr() == addr {
			closers = append(closers, conn)
		}
	}
	f.mu.Unlock()
	for _, closer := range closers {
		_ = closer.Close()
	}
}

func (f *Fabric) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// awaitReachable waits while traffic from one host to another is blocked. It
// returns net.ErrClosed if done is closed first.
func (f *Fabric) awaitReachable(from, to netip.Addr, done <-chan struct{}) error {
	for {
		f.mu.Lock()
		blocked := f.partitions[zonePair{f.zones[from], f.zones[to]}] || f.paused[from] || f.paused[to]
		changed := f.changed
		f.mu.Unlock()
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return net.ErrClosed
		}
	}
}

type host struct {
	fabric *Fabric
	addr   netip.Addr
	zone   string
}

// Listen implements Network.
func (h *host) Listen(addr netip.AddrPort) (net.Listener, error) {
	f := h.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	port := addr.Port()
	if port == 0 {
		f.lastPort++
		port = f.lastPort
	}
	at := netip.AddrPortFrom(h.addr, port)
	if f.listeners[at] != nil {
		return nil, errors.Errorf("listen %s: address in use", at)
	}
	listener := &pipeListener{fabric: f, addr: at, incoming: make(chan net.Conn), closed: make(chan struct{})}
	f.listeners[at] = listener
	return listener, nil
}

// Dial implements Network.
func (h *host) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	f := h.fabric
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := f.awaitReachable(h.addr, addr.Addr(), ctx.Done()); err != nil {
		return nil, errors.Wrapf(context.Cause(ctx), "dial %s", addr)
	}
	if err := f.awaitReachable(addr.Addr(), h.addr, ctx.Done()); err != nil {
		return nil, errors.Wrapf(context.Cause(ctx), "dial %s", addr)
	}
	f.mu.Lock()
	listener := f.listeners[addr]
	f.mu.Unlock()
	if listener == nil {
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "dial %s", addr)
	}
	clientConn, serverConn := f.newConnPair(netip.AddrPortFrom(h.addr, 0), addr)
	select {
	case listener.incoming <- serverConn:
		return clientConn, nil
	case <-listener.closed:
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "dial %s", addr)
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "dial %s", addr)
	}
}

func (f *Fabric) newConnPair(from, to netip.AddrPort) (clientConn, serverConn *pipeConn) {
	a, b := net.Pipe()
	clientConn = &pipeConn{Conn: a, fabric: f, local: from, remote: to, closed: make(chan struct{})}
	serverConn = &pipeConn{Conn: b, fabric: f, local: to, remote: from, closed: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostTraffic(from.Addr()).ConnsDialled++
	f.conns[clientConn] = struct{}{}
	f.conns[serverConn] = struct{}{}
	return clientConn, serverConn
}

type pipeListener struct {
	fabric   *Fabric
	addr     netip.AddrPort
	incoming chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.fabric.mu.Lock()
		defer l.fabric.mu.Unlock()
		delete(l.fabric.listeners, l.addr)
	})
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

type pipeConn struct {
	net.Conn
	fabric *Fabric
	local  netip.AddrPort
	remote netip.AddrPort
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn.
func (c *pipeConn) Read(data []byte) (int, error) {
	c.fabric.awaitProcessor(c.local)
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.fabric.awaitProcessor(c.local)
	}
	return n, err
}

// Write implements net.Conn.
func (c *pipeConn) Write(data []byte) (int, error) {
	if err := c.fabric.awaitReachable(c.local.Addr(), c.remote.Addr(), c.closed); err != nil {
		return 0, err
	}
	if delay := c.fabric.writeDelay(c.local.Addr(), c.remote.Addr()); delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	c.fabric.countBytes(c.local.Addr(), c.remote.Addr(), len(data))
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *pipeConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.fabric.mu.Lock()
		defer c.fabric.mu.Unlock()
		delete(c.fabric.conns, c)
	})
	return c.Conn.Close()
}

// LocalAddr implements net.Conn.
func (c *pipeConn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *pipeConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

func (f *Fabric) writeDelay(from, to netip.Addr) time.Duration {
	if f.delay == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay(f.zones[from], f.zones[to])
}
