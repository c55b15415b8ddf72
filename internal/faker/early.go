package faker

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
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

const (
	// blockTime is the time in which a writer fills the buffers of the sockets and waits for room in them.
	blockTime = 20 * time.Millisecond
	// deliveryTimeout bounds the wait until the other host has what was written.
	deliveryTimeout = 5 * time.Second
)

// EarlyResponder is a fake endpoint on loopback that sends raw bytes as the response to a request, before
// it has read the body. A connection carries one request.
type EarlyResponder struct {
	*RawServer
	requests atomic.Int64
}

// ServeEarly starts an endpoint. Respond returns the bytes to send in response to the head of a request.
// The caller must close the endpoint.
func ServeEarly(ending Ending, respond func(request *http.Request) string) (*EarlyResponder, error) {
	r := &EarlyResponder{}
	server, err := ServeRaw(func(connection *net.TCPConn, _ int) {
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			_ = connection.Close()
			return
		}
		r.requests.Add(1)
		if ending == EndAfterRequest {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(connection, respond(request))
		ending.apply(connection, request)
	})
	if err != nil {
		return nil, err
	}
	r.RawServer = server
	return r, nil
}

// apply ends a connection after the response.
func (e Ending) apply(connection *net.TCPConn, request *http.Request) {
	switch e {
	case EndWithReset:
		time.Sleep(blockTime)
		awaitDelivery(connection)
		_ = connection.SetLinger(0)
		_ = connection.Close()
	case EndHalf:
		// RawServer.Close ends the other half.
		_ = connection.CloseWrite()
	case EndHalfAndRead:
		_ = connection.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
		_ = connection.Close()
	case EndAfterRequest:
		_ = connection.Close()
	}
}

// awaitDelivery waits until the other host has acknowledged all that was written. A reset discards what it
// has not, so that a test could not tell how much of a response arrives.
func awaitDelivery(connection *net.TCPConn) {
	socket, err := connection.SyscallConn()
	if err != nil {
		return
	}
	for end := time.Now().Add(deliveryTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		unacknowledged := 0
		_ = socket.Control(func(fd uintptr) {
			if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
				unacknowledged = n
			}
		})
		if unacknowledged == 0 {
			return
		}
	}
}

// Requests returns the number of requests whose head has arrived.
func (r *EarlyResponder) Requests() int { return int(r.requests.Load()) }
