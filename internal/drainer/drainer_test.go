package drainer_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/drainer"
)

// maxWait bounds the waits of a test.
const maxWait = 10 * time.Second

const (
	// newConnectionWait is how long a drain leaves connections that have had no request, and
	// askingTime within which it has then asked them to close.
	newConnectionWait = time.Second
	askingTime        = 100 * time.Millisecond
)

const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"

// hookedConn calls functions around the server's reads.
type hookedConn struct {
	net.Conn
	// beforeRead is called before each read, afterRead with the number of the read that has
	// got some bytes, before the server has them.
	beforeRead func()
	afterRead  func(read int)
	reads      atomic.Int64
}

func (c *hookedConn) Read(data []byte) (int, error) {
	c.beforeRead()
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.afterRead(int(c.reads.Add(1)))
	}
	return n, err
}

// hookedSocket is a hookedConn that can be inspected as a socket.
type hookedSocket struct {
	hookedConn
	syscall.Conn
}

// hookedListener makes hooked connections.
type hookedListener struct {
	*net.TCPListener
	beforeRead func()
	afterRead  func(read int)
	// afterAccept is called before the server has an accepted connection.
	afterAccept func()
	// plain is set if the connections are not hooked.
	plain bool
}

func (l *hookedListener) Accept() (net.Conn, error) {
	connection, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	l.afterAccept()
	if l.plain {
		return connection, nil
	}
	return &hookedSocket{hookedConn{Conn: connection, beforeRead: l.beforeRead, afterRead: l.afterRead}, connection.(syscall.Conn)}, nil
}

// testServer is a server with a drainer on a socket.
type testServer struct {
	t        *testing.T
	drainer  *drainer.Drainer
	server   *http.Server
	listener *hookedListener
	served   atomic.Int64
	// idled counts how often a connection became idle, and idle gets a value each time.
	idled atomic.Int64
	idle  chan struct{}
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen() got error %v, want nil", err)
	}
	s := &testServer{t: t, drainer: drainer.New(), idle: make(chan struct{}, 9),
		listener: &hookedListener{TCPListener: inner.(*net.TCPListener), beforeRead: func() {}, afterRead: func(int) {}, afterAccept: func() {}}}
	s.server = &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.served.Add(1)
	})}
	s.drainer.Watch(s.server)
	setState := s.server.ConnState
	s.server.ConnState = func(connection net.Conn, state http.ConnState) {
		setState(connection, state)
		if state == http.StateIdle {
			s.idled.Add(1)
			s.idle <- struct{}{}
		}
	}
	return s
}

// start serves until the test ends and returns a client's connection.
func (s *testServer) start() net.Conn {
	s.t.Helper()
	done := make(chan error, 1)
	go func() { done <- s.server.Serve(s.drainer.Listen(s.listener)) }()
	client, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatalf("Dial() got error %v, want nil", err)
	}
	if err := client.SetDeadline(time.Now().Add(maxWait)); err != nil {
		s.t.Fatalf("SetDeadline() got error %v, want nil", err)
	}
	s.t.Cleanup(func() {
		_ = client.Close()
		_ = s.server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.t.Errorf("Serve() got error %v, want %v", err, http.ErrServerClosed)
		}
	})
	return client
}

// drain drains for a time in which everything that can be closed is.
func (s *testServer) drain() bool {
	return s.drainer.Drain(s.t.Context(), time.Now().Add(maxWait))
}

// exchange sends a request and reads its response.
func exchange(client io.Writer, reader *bufio.Reader) error {
	return finishExchange(client, reader, request)
}

// finishExchange sends the rest of a request and reads its response.
func finishExchange(client io.Writer, reader *bufio.Reader, rest string) error {
	if _, err := io.WriteString(client, rest); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// TestRequestThatWaitsInSocketIsServed guards against a request that is lost because it waits,
// unread, in a connection that counts as unused when a server drains.
func TestRequestThatWaitsInSocketIsServed(t *testing.T) {
	rows := map[string]struct {
		// earlier is the number of requests before, asked how long after the drain began the
		// connection is asked to close.
		earlier int64
		asked   time.Duration
	}{"kept connection": {1, 0}, "new connection": {0, newConnectionWait}}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			held := make(chan struct{})
			waiting := make(chan struct{}, 9)
			s.listener.beforeRead = func() {
				if s.idled.Load() == row.earlier {
					waiting <- struct{}{}
					<-held
				}
			}
			client := s.start()
			reader := bufio.NewReader(client)
			if row.earlier > 0 {
				if err := exchange(client, reader); err != nil {
					t.Fatalf("first exchange got error %v, want nil", err)
				}
				<-s.idle
			}
			if _, err := io.WriteString(client, request); err != nil {
				t.Fatalf("write got error %v, want nil", err)
			}
			<-waiting
			time.AfterFunc(row.asked+askingTime, func() { close(held) })
			drained := make(chan bool, 1)
			go func() { drained <- s.drain() }()
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("response got error %v, want one", err)
			}
			_ = response.Body.Close()
			if !<-drained {
				t.Error("Drain() got false, want true")
			}
			if got := s.served.Load(); got != row.earlier+1 {
				t.Errorf("served requests got %d, want %d", got, row.earlier+1)
			}
			if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("read after Drain() got error %v, want %v", err, io.EOF)
			}
			if got := s.drainer.Counts().Found; got != 1 {
				t.Errorf("found requests got %d, want 1", got)
			}
		})
	}
}

// TestRequestThatHasBeenReadIsServed guards against a request that is dropped, or passed on and cut
// without a response: the server drains just when it has read the request and has not begun to
// serve it.
func TestRequestThatHasBeenReadIsServed(t *testing.T) {
	rows := map[string]struct {
		drainAt int
		asked   time.Duration
	}{"first request": {1, newConnectionWait}, "second request": {2, 0}}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			drainAt := row.drainAt
			s := newTestServer(t)
			drained := make(chan bool, 1)
			s.listener.afterRead = func(read int) {
				if read == drainAt {
					go func() { drained <- s.drain() }()
					time.Sleep(row.asked + askingTime)
				}
			}
			client := s.start()
			reader := bufio.NewReader(client)
			for i := range drainAt {
				if err := exchange(client, reader); err != nil {
					t.Fatalf("exchange %d got error %v, want nil", i+1, err)
				}
				<-s.idle
			}
			if !<-drained {
				t.Error("Drain() got false, want true")
			}
			if got := s.served.Load(); got != int64(drainAt) {
				t.Errorf("served requests got %d, want %d", got, drainAt)
			}
			if got := s.drainer.Counts().Found; got != 1 {
				t.Errorf("found requests got %d, want 1", got)
			}
		})
	}
}

// TestRequestOfClosedConnectionDoesNotRun guards against a request that is passed on although its
// connection has been closed, so that it is cut without a response.
func TestRequestOfClosedConnectionDoesNotRun(t *testing.T) {
	s := newTestServer(t)
	setState := s.server.ConnState
	requests := 0
	s.server.ConnState = func(connection net.Conn, state http.ConnState) {
		setState(connection, state)
		if state != http.StateActive {
			return
		}
		if requests++; requests == 2 {
			_ = connection.Close()
		}
	}
	client := s.start()
	reader := bufio.NewReader(client)
	if err := exchange(client, reader); err != nil {
		t.Fatalf("first exchange got error %v, want nil", err)
	}
	<-s.idle
	if err := exchange(client, reader); err == nil {
		t.Error("exchange on a closed connection got a response, want an error")
	}
	if got := s.served.Load(); got != 1 {
		t.Errorf("served requests got %d, want 1", got)
	}
}

// TestHeadInPieces guards against a request that is lost because only a part of its head has come
// when the connection is asked to close.
func TestHeadInPieces(t *testing.T) {
	const firstPiece = 20
	rows := map[string]struct {
		earlier int
		asked   time.Duration
		// during is set if the drain begins before the server has what it has read.
		during bool
	}{
		"kept connection, after the first piece": {1, 0, false},
		"kept connection, during its read":       {1, 0, true},
		"new connection, after the first piece":  {0, newConnectionWait, false},
		"new connection, during its read":        {0, newConnectionWait, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			drained := make(chan bool, 1)
			pieceRead := make(chan struct{})
			s.listener.afterRead = func(read int) {
				if read != row.earlier+1 {
					return
				}
				if row.during {
					go func() { drained <- s.drain() }()
					time.Sleep(row.asked + askingTime)
				}
				close(pieceRead)
			}
			client := s.start()
			reader := bufio.NewReader(client)
			if row.earlier > 0 {
				if err := exchange(client, reader); err != nil {
					t.Fatalf("first exchange got error %v, want nil", err)
				}
				<-s.idle
			}
			if _, err := io.WriteString(client, request[:firstPiece]); err != nil {
				t.Fatalf("write got error %v, want nil", err)
			}
			<-pieceRead
			if !row.during {
				time.Sleep(askingTime)
				go func() { drained <- s.drain() }()
			}
			time.Sleep(row.asked + askingTime)
			if err := finishExchange(client, reader, request[firstPiece:]); err != nil {
				t.Errorf("exchange got error %v, want nil", err)
			}
			if !<-drained {
				t.Error("Drain() got false, want true")
			}
		})
	}
}

// TestHeadTimeoutDuringDrain guards against a stop that waits for the rest of a head longer than the
// server does.
func TestHeadTimeoutDuringDrain(t *testing.T) {
	s := newTestServer(t)
	s.server.ReadHeaderTimeout = newConnectionWait + 4*askingTime
	drained := make(chan time.Duration, 1)
	s.listener.afterRead = func(read int) {
		if read == 1 {
			began := time.Now()
			go func() {
				s.drain()
				drained <- time.Since(began)
			}()
			time.Sleep(newConnectionWait + askingTime)
		}
	}
	client := s.start()
	if _, err := io.WriteString(client, request[:20]); err != nil {
		t.Fatalf("write got error %v, want nil", err)
	}
	if took, want := <-drained, 3*newConnectionWait; took > want {
		t.Errorf("Drain() took %v, want at most %v", took, want)
	}
}

// TestEndOfRefusedBody guards against a client that does not see the end of the response to a body
// that the server does not read.
func TestEndOfRefusedBody(t *testing.T) {
	s := newTestServer(t)
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) })
	s.listener.plain = true
	client := s.start()
	go func() {
		_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n")
		_, _ = client.Write(make([]byte, 1<<20))
	}()
	began := time.Now()
	reader := bufio.NewReader(client)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("response got error %v, want one", err)
	}
	_ = response.Body.Close()
	_, _ = reader.ReadByte()
	if took, want := time.Since(began), 300*time.Millisecond; took > want {
		t.Errorf("end of the response got after %v, want %v at most", took, want)
	}
}

// TestRequestOfGoneClientDoesNotRun guards against a request that runs although its client has
// closed the connection: the server had no processor time to read it before.
func TestRequestOfGoneClientDoesNotRun(t *testing.T) {
	s := newTestServer(t)
	held := make(chan struct{})
	waiting := make(chan struct{}, 9)
	s.listener.beforeRead = func() {
		if s.idled.Load() == 1 {
			waiting <- struct{}{}
			<-held
		}
	}
	client := s.start()
	if err := exchange(client, bufio.NewReader(client)); err != nil {
		t.Fatalf("first exchange got error %v, want nil", err)
	}
	<-s.idle
	<-waiting
	if _, err := io.WriteString(client, request); err != nil {
		t.Fatalf("write got error %v, want nil", err)
	}
	if err := client.Close(); err != nil {
		t.Fatalf("Close() got error %v, want nil", err)
	}
	close(held)
	if !s.drain() {
		t.Error("Drain() got false, want true")
	}
	if got := s.served.Load(); got != 1 {
		t.Errorf("served requests got %d, want 1", got)
	}
	if got := s.drainer.Counts().Gone; got != 1 {
		t.Errorf("requests of gone clients got %d, want 1", got)
	}
}

// TestUnusedConnectionsClose guards against a stop that waits for connections on which nothing is
// sent.
func TestUnusedConnectionsClose(t *testing.T) {
	s := newTestServer(t)
	kept := s.start()
	reader := bufio.NewReader(kept)
	if err := exchange(kept, reader); err != nil {
		t.Fatalf("exchange got error %v, want nil", err)
	}
	<-s.idle
	fresh, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatalf("Dial() got error %v, want nil", err)
	}
	defer func() { _ = fresh.Close() }()
	if err := fresh.SetDeadline(time.Now().Add(maxWait)); err != nil {
		t.Fatalf("SetDeadline() got error %v, want nil", err)
	}
	began := time.Now()
	if !s.drain() {
		t.Error("Drain() got false, want true")
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("Drain() took %v, want at once", took)
	}
	for name, client := range map[string]io.Reader{"kept": reader, "fresh": fresh} {
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("read on the %s connection got error %v, want %v", name, err, io.EOF)
		}
	}
}

// TestIdleTimeoutWithWaitingRequest guards against a request that is lost because the idle timeout
// of its connection ends while it waits there.
func TestIdleTimeoutWithWaitingRequest(t *testing.T) {
	s := newTestServer(t)
	s.server.IdleTimeout = 50 * time.Millisecond
	held := make(chan struct{})
	var hold sync.Once
	s.listener.beforeRead = func() {
		if s.idled.Load() == 1 {
			hold.Do(func() { <-held })
		}
	}
	client := s.start()
	reader := bufio.NewReader(client)
	if err := exchange(client, reader); err != nil {
		t.Fatalf("first exchange got error %v, want nil", err)
	}
	<-s.idle
	time.AfterFunc(200*time.Millisecond, func() { close(held) })
	if err := exchange(client, reader); err != nil {
		t.Errorf("exchange got error %v, want nil", err)
	}
	if got := s.served.Load(); got != 2 {
		t.Errorf("served requests got %d, want 2", got)
	}
}

// TestRequestWithBodyDuringDrain guards against a long request that is ended by the drain, as a
// read of its body or the watch for the client's end must not be.
func TestRequestWithBodyDuringDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := drainer.New()
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil || len(body) != 1 {
				t.Errorf("body got %q (%v), want one byte", body, err)
			}
			time.Sleep(5 * time.Second)
			if err := r.Context().Err(); err != nil {
				t.Errorf("context of the request got error %v, want none", err)
			}
		})).Config
		d.Watch(server)
		near, far := net.Pipe()
		listener := &pipeListener{accepted: make(chan net.Conn, 1)}
		listener.accepted <- far
		go func() { _ = server.Serve(d.Listen(listener)) }()
		reader := bufio.NewReader(near)
		go func() {
			_, _ = io.WriteString(near, strings.TrimSuffix(request, "x"))
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(near, "x")
		}()
		time.Sleep(time.Second)
		drained := make(chan bool, 1)
		go func() { drained <- d.Drain(t.Context(), time.Now().Add(time.Minute)) }()
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response got error %v, want one", err)
		}
		_ = response.Body.Close()
		if !<-drained {
			t.Error("Drain() got false, want true")
		}
		_ = server.Close()
	})
}

// pipeListener accepts connections from a channel.
type pipeListener struct {
	accepted chan net.Conn
	end      sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	connection, ok := <-l.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return connection, nil
}

func (l *pipeListener) Close() error {
	l.end.Do(func() { close(l.accepted) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
