package exchanger

import (
	"bufio"
	"context"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// dialTimeout bounds the opening of a connection. It is well above the longest
	// round trip between zones, and too short to wait for the retransmission of a
	// lost packet.
	dialTimeout = 300 * time.Millisecond
	// idleTimeoutMargin is subtracted from the idle timeout that an endpoint
	// announces. defaultIdleTimeout applies if it announces none.
	idleTimeoutMargin  = 500 * time.Millisecond
	defaultIdleTimeout = 4 * time.Second
	// maxIdleConnections bounds the idle connections to one endpoint.
	maxIdleConnections = 16
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	limiter      *headLimiter
	reader       *bufio.Reader
	idleDeadline time.Time
	// shared is set once the connection has carried a response to another request than
	// the one in progress, or an earlier request, whose response may come again.
	shared bool
	// carried holds the ids of the requests that the connection has carried.
	carried carriedIDs
}

func newConn(netConn net.Conn) *conn {
	limiter := &headLimiter{reader: netConn}
	return &conn{Conn: netConn, limiter: limiter, reader: bufio.NewReaderSize(limiter, bufferBytes)}
}

// connect returns an idle connection that is still open and has not carried the request's id, or
// a new one. For a request that must not run twice, it returns a new one if a response at the
// address may have no id.
func (e *Exchanger) connect(ctx context.Context, address netip.AddrPort, request *Request) (*conn, error) {
	if request.Once && e.isAnonymous(address) {
		return e.dial(ctx, address)
	}
	for {
		connection := e.takeIdle(address, hashID(request.ID))
		if connection == nil {
			return e.dial(ctx, address)
		}
		if time.Now().Before(connection.idleDeadline) && reusable(connection.Conn) {
			return connection, nil
		}
		_ = connection.Close()
	}
}

// recordAnonymous records that the address has sent a response without an id.
func (e *Exchanger) recordAnonymous(address netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.anonymous[address] = time.Now()
}

// isAnonymous reports whether the address has sent a response without an id.
func (e *Exchanger) isAnonymous(address netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, found := e.anonymous[address]
	return found
}

// takeIdle returns the idle connection that was used last of those that have not carried the id.
// If there is none, it returns nil and closes one that has, whose place the new connection takes: a
// client that repeats an id would otherwise use up what the endpoint accepts.
func (e *Exchanger) takeIdle(address netip.AddrPort, id idHash) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.idle[address]
	for i, connection := range slices.Backward(list) {
		if connection.carried.contains(id) {
			e.counts.PassedOver++
			continue
		}
		e.idle[address] = slices.Delete(list, i, i+1)
		return connection
	}
	if last := len(list) - 1; last >= 0 {
		_ = list[last].Close()
		e.idle[address] = slices.Delete(list, last, last+1)
	}
	return nil
}

func (e *Exchanger) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	netConn, err := e.network.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	e.mu.Lock()
	e.counts.Opened++
	e.mu.Unlock()
	return newConn(netConn), nil
}

func (e *Exchanger) putIdle(address netip.AddrPort, connection *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.idle[address]
	if len(list) >= maxIdleConnections {
		_ = connection.Close()
		return
	}
	e.idle[address] = append(list, connection)
}

// idleTimeout returns how long a connection may be idle according to the
// Keep-Alive header.
func idleTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// anonymousTTL is how long an address is known to send responses without an id. Another
// endpoint may have it after that.
const anonymousTTL = 10 * time.Minute

// Sweep closes connections that have been idle for too long.
func (e *Exchanger) Sweep() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.anonymous, func(_ netip.AddrPort, last time.Time) bool { return now.Sub(last) > anonymousTTL })
	for address, list := range e.idle {
		kept := list[:0]
		for _, connection := range list {
			if now.After(connection.idleDeadline) {
				_ = connection.Close()
				continue
			}
			kept = append(kept, connection)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(e.idle, address)
			continue
		}
		e.idle[address] = kept
	}
}

// Close closes all idle connections.
func (e *Exchanger) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, list := range e.idle {
		for _, connection := range list {
			_ = connection.Close()
		}
	}
	clear(e.idle)
}
