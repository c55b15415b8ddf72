package faker

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

// Ending is how an EarlyResponder ends a connection after its response.
type Ending int

// Values of Ending.
const (
	// EndWithReset resets the connection while the request is being written.
	EndWithReset Ending = iota
	// EndHalf closes the endpoint's half of the connection, and reads no more.
	EndHalf
	// EndHalfAndRead closes the endpoint's half of the connection, and reads the rest of the request.
	EndHalfAndRead
	// EndAfterRequest reads the whole request before the response, and closes the connection.
	EndAfterRequest
)

// blockTime is the time in which a writer fills the buffers of the sockets and waits for room in them.
const blockTime = 20 * time.Millisecond

// EarlyResponder is a fake endpoint on loopback that sends raw bytes as the response to a request, before
// it has read the body. Connections carry one request.
type EarlyResponder struct {
	Addr     netip.AddrPort
	listener net.Listener
	respond  func(request *http.Request) string
	ending   Ending

	mu          sync.Mutex
	connections []net.Conn
	requests    int
}

// ServeEarly starts an endpoint. Respond returns the bytes to send in response to the head of a request.
// The caller must close the endpoint.
func ServeEarly(ending Ending, respond func(request *http.Request) string) (*EarlyResponder, error) {
	listener, err := connector.TCP{}.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &EarlyResponder{Addr: connector.ListenerAddress(listener), listener: listener, respond: respond, ending: ending}
	go r.serve()
	return r, nil
}

// serve accepts connections until the listener is closed.
func (r *EarlyResponder) serve() {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.connections = append(r.connections, connection)
		r.mu.Unlock()
		go r.handle(connection)
	}
}

// handle responds to the request on a connection.
func (r *EarlyResponder) handle(connection net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		_ = connection.Close()
		return
	}
	r.mu.Lock()
	r.requests++
	r.mu.Unlock()
	if r.ending == EndAfterRequest {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(connection, r.respond(request))
	r.end(connection.(*net.TCPConn), request)
}

// end ends a connection after the response.
func (r *EarlyResponder) end(connection *net.TCPConn, request *http.Request) {
	switch r.ending {
	case EndWithReset:
		time.Sleep(blockTime)
		_ = connection.SetLinger(0)
		_ = connection.Close()
	case EndHalf:
		// Close ends the other half.
		_ = connection.CloseWrite()
	case EndHalfAndRead:
		_ = connection.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
		_ = connection.Close()
	case EndAfterRequest:
		_ = connection.Close()
	}
}

// Requests returns the number of requests whose head has arrived.
func (r *EarlyResponder) Requests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests
}

// Close closes the listener and all connections.
func (r *EarlyResponder) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, connection := range r.connections {
		_ = connection.Close()
	}
}
