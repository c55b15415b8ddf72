// Package drainer closes the clients' connections of an HTTP server that stops, and loses no
// request that waits in one of them. net/http closes a connection by the last state that it knows,
// and learns of a request only when it has read the whole head.
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnectionWait is how long a connection may stay without a request after the server
	// has stopped to accept connections.
	newConnectionWait = time.Second
	// pollInterval is the time between two checks whether the requests have ended.
	pollInterval = 20 * time.Millisecond
)

// Drainer keeps track of the connections of one server. It is safe for concurrent use.
type Drainer struct {
	mu          sync.Mutex
	connections map[*connection]struct{}
	counts      Counts
}

// Counts counts connections that were to close because they had no request.
type Counts struct {
	// Closed counts those that have been closed, Found those in which a request waited.
	Closed uint64
	Found  uint64
}

// New returns a drainer without connections.
func New() *Drainer { return &Drainer{connections: map[*connection]struct{}{}} }

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// Watch makes a server report the states of its connections. It must be called before the server
// serves a listener of the drainer. The server runs no request of a connection that it has closed.
func (d *Drainer) Watch(server *http.Server) {
	handler := server.Handler
	server.ConnState = func(netConn net.Conn, state http.ConnState) {
		if c, ok := netConn.(*connection); ok {
			c.setState(state)
		}
	}
	server.ConnContext = func(ctx context.Context, netConn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, netConn)
	}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if c, ok := request.Context().Value(connectionKey{}).(*connection); ok && c.isClosed() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(writer, request)
	})
}

// Listen returns a listener whose connections the drainer keeps track of.
func (d *Drainer) Listen(inner net.Listener) net.Listener { return &listener{inner, d} }

type listener struct {
	net.Listener
	drainer *Drainer
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: inner, drainer: l.drainer}
	l.drainer.add(c)
	return c, nil
}

func (d *Drainer) add(c *connection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connections[c] = struct{}{}
}

func (d *Drainer) remove(c *connection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.connections, c)
}

// Counts returns what became of the unused connections.
func (d *Drainer) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

func (d *Drainer) recordClosed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Closed++
}

func (d *Drainer) recordFound() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Found++
}

// Drain closes the connections that are unused or become so, and waits until none is left. One
// that has had no request yet may send one until newConnectionWait after the listener was closed,
// and later while other connections have requests. Drain returns at the given end, or when ctx
// ends, at the latest. It reports whether no request is left.
func (d *Drainer) Drain(ctx context.Context, listenerClosedAt, end time.Time) bool {
	for {
		now := time.Now()
		active, fresh := d.closeUnused(false)
		if active == 0 && (fresh == 0 || now.Sub(listenerClosedAt) > newConnectionWait) {
			active, fresh = d.closeUnused(true)
		}
		if active == 0 && fresh == 0 {
			return true
		}
		if !now.Before(end) || ctx.Err() != nil {
			return active == 0
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// closeUnused asks the connections to close that have had a request and have none now, and those
// that have had none yet if withFresh is set. It returns the numbers of connections that have a
// request or are still closing, and of those that have had no request yet and may stay.
func (d *Drainer) closeUnused(withFresh bool) (active, fresh int) {
	d.mu.Lock()
	open := make([]*connection, 0, len(d.connections))
	for c := range d.connections {
		open = append(open, c)
	}
	d.mu.Unlock()
	for _, c := range open {
		if c.closeIfUnused(withFresh) {
			active++
		} else {
			fresh++
		}
	}
	return active, fresh
}
