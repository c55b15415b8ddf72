// Package drainer closes the clients' connections of an HTTP server that stops, and loses no
// request that waits in one of them. net/http closes a connection by the last state that it knows,
// and learns of a request only when it has read the whole head.
package drainer

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// newConnectionWait is how long a connection may stay without a request after the drain has
	// begun.
	newConnectionWait = time.Second
	// pollInterval is the time between two checks whether the requests have ended.
	pollInterval = 20 * time.Millisecond
)

// Drainer keeps track of the connections of one server. It is safe for concurrent use.
type Drainer struct {
	mu          sync.Mutex
	listeners   map[*listener]struct{}
	connections map[*connection]struct{}
	counts      Counts
	// drainedSince is when Drain was first called, or the zero time.
	drainedSince time.Time
}

// Counts counts what became of connections.
type Counts struct {
	// Closed counts those that were closed because they had no request, Found those that were to
	// close and in which a request waited.
	Closed uint64
	Found  uint64
	// Gone counts the requests whose client had closed the connection before they were served.
	Gone uint64
}

// New returns a drainer without listeners and connections.
func New() *Drainer {
	return &Drainer{listeners: map[*listener]struct{}{}, connections: map[*connection]struct{}{}}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// Watch makes a server report the states of its connections. It must be called before the server
// serves a listener of the drainer. The server runs no request of a connection that it, or the client,
// has closed: net/http learns that a client is gone by a read that begins with the handler, which a
// server without processor time makes after the request has been passed on.
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
		if c, ok := request.Context().Value(connectionKey{}).(*connection); ok && (c.isClosed() || c.isLeft()) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(writer, request)
	})
}

func (d *Drainer) remove(c *connection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.connections, c)
}

// Counts returns the counts.
func (d *Drainer) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

// record changes the counts.
func (d *Drainer) record(change func(*Counts)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.counts)
}

// Drain closes the listeners once they have accepted what waits there, and the connections that are
// unused or become so, and waits until none is left. A connection that has had no request yet may
// send one until newConnectionWait after the first call, and later while other connections have
// requests. Drain returns at the given end, or when ctx ends, at the latest. It reports whether no
// request is left.
func (d *Drainer) Drain(ctx context.Context, end time.Time) bool {
	began := d.begin()
	for {
		now := time.Now()
		busy, fresh := d.closeUnused(false)
		if busy == 0 && (fresh == 0 || now.Sub(began) > newConnectionWait) {
			busy, fresh = d.closeUnused(true)
		}
		if busy == 0 && fresh == 0 {
			return true
		}
		if !now.Before(end) || ctx.Err() != nil {
			return busy == 0
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// begin returns when Drain was first called.
func (d *Drainer) begin() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drainedSince.IsZero() {
		d.drainedSince = time.Now()
	}
	return d.drainedSince
}

// closeUnused asks the listeners to close, and the connections that have had a request and have none
// now; those that have had none yet too if withFresh is set. It returns the number of connections
// that have a request and of connections and listeners that are still closing, and the number of
// connections that have had no request yet and may stay.
func (d *Drainer) closeUnused(withFresh bool) (busy, fresh int) {
	d.mu.Lock()
	listeners := slices.Collect(maps.Keys(d.listeners))
	connections := slices.Collect(maps.Keys(d.connections))
	d.mu.Unlock()
	for _, l := range listeners {
		l.askToClose()
	}
	for _, c := range connections {
		if c.askToClose(withFresh) {
			busy++
		} else {
			fresh++
		}
	}
	return busy + len(listeners), fresh
}
