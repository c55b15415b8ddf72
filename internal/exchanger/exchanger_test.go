package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/faker"
)

// listen accepts connections on loopback. It calls serve for each of them with
// its number, which starts at 1.
func listen(t *testing.T, serve func(connection net.Conn, number int)) netip.AddrPort {
	t.Helper()
	server, err := faker.ServeRaw(func(connection *net.TCPConn, number int) { serve(connection, number) })
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(server.Close)
	return server.Addr
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

// readRequest reads one request and returns its body.
func readRequest(reader *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(request.Body)
	return string(body), err
}

func anyResponse(int, http.Header, string) exchanger.Match { return exchanger.Own }

// lastID is the number in the id of the latest request that do has sent.
var lastID atomic.Int64

// do sends a request with an id of its own and reads its response.
func do(t *testing.T, e *exchanger.Exchanger, address netip.AddrPort, body string) (string, *exchanger.Failure) {
	t.Helper()
	return doWithID(t, e, address, fmt.Sprint("r", lastID.Add(1)), body)
}

// doWithID sends a request with an id and reads its response.
func doWithID(t *testing.T, e *exchanger.Exchanger, address netip.AddrPort, id, body string) (string, *exchanger.Failure) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, failure := e.Do(ctx, address, &exchanger.Request{ID: id, Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(body)})
	if failure != nil {
		return "", failure
	}
	defer response.Close()
	data, err := io.ReadAll(response)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	return string(data), nil
}

// A non-idempotent request must not be sent on an idle connection that the
// endpoint has closed, nor get unread bytes there as its response. Such a
// connection must be replaced by a new one.
func TestIdleConnections(t *testing.T) {
	rows := map[string]struct {
		// afterResponse is called once the endpoint has responded to the first request.
		afterResponse func(connection net.Conn)
		// wantOpened is the number of connections that two requests open.
		wantOpened uint64
	}{
		"kept open":        {func(net.Conn) {}, 1},
		"closed":           {func(connection net.Conn) { _ = connection.Close() }, 2},
		"extra response":   {func(connection net.Conn) { _, _ = io.WriteString(connection, okResponse) }, 2},
		"unexpected bytes": {func(connection net.Conn) { _, _ = io.WriteString(connection, "\x00") }, 2},
		"connection reset": {func(connection net.Conn) {
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}, 2},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			handled := make(chan struct{}, 4)
			address := listen(t, func(connection net.Conn, number int) {
				reader := bufio.NewReader(connection)
				for {
					if _, err := readRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(connection, okResponse)
					if number == 1 {
						row.afterResponse(connection)
					}
					handled <- struct{}{}
				}
			})
			e := exchanger.New(connector.TCP{}, anyResponse)
			t.Cleanup(e.Close)
			for range 2 {
				got, failure := do(t, e, address, "x")
				if failure != nil || got != "done" {
					t.Fatalf("Do() got %q, %v, want a response", got, failure)
				}
				<-handled
			}
			if got := e.Counts().Opened; got != row.wantOpened {
				t.Errorf("connections got %d, want %d", got, row.wantOpened)
			}
		})
	}
}

// An endpoint may respond before it has read a long body. The rest of that body
// must not end up in the body of the next request.
func TestEarlyResponseToLongBody(t *testing.T) {
	body := strings.Repeat("0123456789", 200_000)
	bodies := make(chan string, 2)
	address := listen(t, func(connection net.Conn, _ int) {
		reader := bufio.NewReader(connection)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(connection, okResponse)
			data, _ := io.ReadAll(request.Body)
			bodies <- string(data)
		}
	})
	e := exchanger.New(connector.TCP{}, anyResponse)
	t.Cleanup(e.Close)
	for _, text := range []string{body, "short"} {
		if _, failure := do(t, e, address, text); failure != nil {
			t.Fatalf("Do() got %v, want a response", failure)
		}
	}
	received := map[string]bool{}
	for range 2 {
		select {
		case text := <-bodies:
			received[text] = true
		case <-time.After(5 * time.Second):
			t.Fatal("no request arrived within 5s")
		}
	}
	// The long body may be cut off with its connection, but must never be mixed with
	// the short one.
	for text := range received {
		if !strings.HasPrefix(body, text) && text != "short" {
			t.Errorf("body of %d bytes got mixed with another", len(text))
		}
	}
}

// A request may be retried safely only if none of it was sent. A failure must
// therefore report Unsent if the dial failed, and Sent after that.
func TestFailureStage(t *testing.T) {
	closed := listen(t, func(connection net.Conn, _ int) { _ = connection.Close() })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unused := connector.ListenerAddress(listener)
	_ = listener.Close()
	rows := map[string]struct {
		address netip.AddrPort
		want    exchanger.Stage
	}{
		"connection refused":        {unused, exchanger.Unsent},
		"closed without a response": {closed, exchanger.Sent},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			e := exchanger.New(connector.TCP{}, anyResponse)
			_, failure := do(t, e, row.address, "x")
			if failure == nil || failure.Stage != row.want {
				t.Errorf("Do() got %v, want a failure of stage %d", failure, row.want)
			}
		})
	}
}

// TestNotPermitted guards against a request that reaches an endpoint which may not get it any more
// since the connection was requested.
func TestNotPermitted(t *testing.T) {
	for name, permitted := range map[string]bool{"permitted": true, "not permitted": false} {
		t.Run(name, func(t *testing.T) {
			received := make(chan int, 1)
			opened := make(chan struct{})
			address := listen(t, func(connection net.Conn, _ int) {
				close(opened)
				n, _ := connection.Read(make([]byte, 1))
				received <- n
				_ = connection.Close()
			})
			e := exchanger.New(connector.TCP{}, anyResponse)
			_, failure := e.Do(t.Context(), address, &exchanger.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}, Permitted: func() bool {
				<-opened
				return permitted
			}})
			if got := <-received; (got > 0) != permitted {
				t.Errorf("bytes at the endpoint got %d, want some: %t", got, permitted)
			}
			if got := errors.Is(failure, exchanger.ErrNotPermitted) && failure.Stage == exchanger.Unsent; got == permitted {
				t.Errorf("Do() got %v of stage %d, want ErrNotPermitted: %t", failure, failure.Stage, !permitted)
			}
		})
	}
}

// TestResponseThatEndsWithConnection guards against a response without a length that was
// reset on the way and counts as complete, and against one that is complete and counts as
// broken.
func TestResponseThatEndsWithConnection(t *testing.T) {
	rows := map[string]struct {
		reset bool
		want  string
	}{
		"closed": {false, "whole"},
		"reset":  {true, ""},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(connection net.Conn, _ int) {
				defer func() { _ = connection.Close() }()
				if got, err := readRequest(bufio.NewReader(connection)); err != nil || got != "" {
					return
				}
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\nwhole")
				if row.reset {
					// The bytes must have arrived before the reset discards them.
					time.Sleep(50 * time.Millisecond)
					_ = connection.(*net.TCPConn).SetLinger(0)
				}
			})
			e := exchanger.New(connector.TCP{}, anyResponse)
			defer e.Close()
			response, failure := e.Do(t.Context(), address, &exchanger.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}})
			if failure != nil {
				t.Fatalf("Do() got failure %v, want a response", failure)
			}
			defer response.Close()
			body, err := io.ReadAll(response)
			if row.reset != (err != nil) || !row.reset && string(body) != row.want {
				t.Errorf("body got %q with error %v, want an error: %t", body, err, row.reset)
			}
			if response.SelfDelimited() {
				t.Error("SelfDelimited() got true, want false without a length")
			}
		})
	}
}
