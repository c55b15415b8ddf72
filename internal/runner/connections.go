package runner

import (
	"context"
	"net"
	"net/http"
	"sync"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

// connections keeps track of the clients' connections, so that a stopping daemon can close those
// without a request. net/http can close them too, but it would still run a request that it has read
// from one of them just before. It is safe for concurrent use.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
	counts connectionCounts
}

// connectionCounts counts connections that a stopping daemon has closed because they had no
// request.
type connectionCounts struct {
	closed uint64
	// unread counts those among them in which bytes waited that nobody had read.
	unread uint64
	// dropped counts the requests that were read from a connection that had been closed.
	dropped uint64
}

func newConnections() *connections { return &connections{states: map[net.Conn]http.ConnState{}} }

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// serveOn makes a server report its connections, and run no request of one that close has closed.
func (c *connections) serveOn(server *http.Server) {
	handler := server.Handler
	server.ConnState = c.setState
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if connection, ok := request.Context().Value(connectionKey{}).(net.Conn); ok && !c.isOpen(connection) {
			c.recordDropped()
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(writer, request)
	})
}

// setState records the state of a connection, as http.Server.ConnState does. It does not bring
// back one that close has closed.
func (c *connections) setState(connection net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch _, known := c.states[connection]; {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(c.states, connection)
	case state == http.StateNew || known:
		c.states[connection] = state
	}
}

// isOpen reports whether close has not closed the connection.
func (c *connections) isOpen(connection net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, open := c.states[connection]
	return open
}

// recordDropped counts a request that is dropped.
func (c *connections) recordDropped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.dropped++
}

// closeCounts returns the counts of closed connections.
func (c *connections) closeCounts() connectionCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// close closes the connections that are idle, and those that have had no request yet if withFresh
// is set. It returns the numbers of connections that are left with a request, and without one.
func (c *connections) close(withFresh bool) (active, fresh int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for connection, state := range c.states {
		switch {
		case state == http.StateActive:
			active++
		case state == http.StateNew && !withFresh:
			fresh++
		default:
			delete(c.states, connection)
			c.counts.closed++
			if connector.Peek(connection) == connector.PendingData {
				c.counts.unread++
			}
			_ = connection.Close()
		}
	}
	return active, fresh
}
