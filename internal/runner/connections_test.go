package runner

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// hookedConn calls a function when the server has read some bytes, before it gets them.
type hookedConn struct {
	net.Conn
	afterRead func()
}

func (c *hookedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

// oneListener accepts one connection.
type oneListener struct {
	accepted chan net.Conn
	end      sync.Once
}

func (l *oneListener) Accept() (net.Conn, error) {
	connection, ok := <-l.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return connection, nil
}

func (l *oneListener) Close() error {
	l.end.Do(func() { close(l.accepted) })
	return nil
}

func (l *oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestRequestOfClosedConnectionDoesNotRun guards against a request that is passed on although its
// connection has been closed, so that it is cut without a response: a stopping daemon closes the
// idle connections just when it has read the request and has not begun to serve it.
func TestRequestOfClosedConnectionDoesNotRun(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	rows := map[string]struct {
		// closeAt is the number of the request at which unused connections are closed, and
		// fresh says whether those without a request are too.
		closeAt int
		fresh   bool
		want    int64
	}{
		"never":                         {0, false, 2},
		"second request":                {2, false, 1},
		"first request":                 {1, true, 0},
		"first request, idle ones only": {1, false, 2},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			open := newConnections()
			var served atomic.Int64
			server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })}
			open.serveOn(server)
			setState := server.ConnState
			idle := make(chan struct{}, 2)
			server.ConnState = func(connection net.Conn, state http.ConnState) {
				setState(connection, state)
				if state == http.StateIdle {
					idle <- struct{}{}
				}
			}
			near, far := net.Pipe()
			requests := 0
			hooked := &hookedConn{Conn: far, afterRead: func() {
				if requests++; requests == row.closeAt {
					open.close(row.fresh)
				}
			}}
			listener := &oneListener{accepted: make(chan net.Conn, 1)}
			listener.accepted <- hooked
			done := make(chan error, 1)
			go func() { done <- server.Serve(listener) }()
			reader := bufio.NewReader(near)
			for range 2 {
				if _, err := io.Copy(near, strings.NewReader(request)); err != nil {
					break
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					break
				}
				_ = response.Body.Close()
				// The next request must find the connection idle, not still in use by this one.
				<-idle
			}
			_ = near.Close()
			_ = server.Close()
			if err := <-done; !errors.Is(err, http.ErrServerClosed) {
				t.Errorf("Serve() got error %v, want %v", err, http.ErrServerClosed)
			}
			if got := served.Load(); got != row.want {
				t.Errorf("served requests got %d, want %d", got, row.want)
			}
		})
	}
}
