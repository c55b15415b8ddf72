package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
)

// listen accepts connections on loopback; each is handled by serve with its
// number.
func listen(t *testing.T, serve func(connection net.Conn, number int)) netip.AddrPort {
	t.Helper()
	listener, err := connector.TCP{}.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 1; ; number++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection, number)
		}
	}()
	return connector.Address(listener)
}

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

// next reads one request and returns its body.
func next(reader *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(request.Body)
	return string(body), err
}

func anyAnswer(int, http.Header, http.Header) bool { return true }

func do(t *testing.T, e *exchanger.Exchanger, address netip.AddrPort, body string) (string, *exchanger.Failure) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reply, failure := e.Do(ctx, address, &exchanger.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(body)})
	if failure != nil {
		return "", failure
	}
	defer reply.Close()
	data, err := io.ReadAll(reply)
	if err != nil {
		t.Fatalf("read answer: %v", err)
	}
	return string(data), nil
}

// A request that may not run twice must not be lost on a connection that its
// endpoint has closed, nor get bytes that were left there.
func TestIdleConnections(t *testing.T) {
	rows := map[string]struct {
		// after is done by the endpoint once it has answered the first request.
		after func(connection net.Conn)
		// opened is the number of connections that two requests take.
		opened uint64
	}{
		"kept":          {func(net.Conn) {}, 1},
		"closed":        {func(connection net.Conn) { _ = connection.Close() }, 2},
		"extra answer":  {func(connection net.Conn) { _, _ = io.WriteString(connection, answer) }, 2},
		"strange bytes": {func(connection net.Conn) { _, _ = io.WriteString(connection, "\x00") }, 2},
		"reset by linger": {func(connection net.Conn) {
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}, 2},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			settled := make(chan struct{}, 4)
			address := listen(t, func(connection net.Conn, number int) {
				reader := bufio.NewReader(connection)
				for {
					if _, err := next(reader); err != nil {
						return
					}
					_, _ = io.WriteString(connection, answer)
					if number == 1 {
						row.after(connection)
					}
					settled <- struct{}{}
				}
			})
			e := exchanger.New(connector.TCP{}, anyAnswer)
			t.Cleanup(e.Close)
			for range 2 {
				got, failure := do(t, e, address, "x")
				if failure != nil || got != "done" {
					t.Fatalf("Do() got %q, %v, want an answer", got, failure)
				}
				<-settled
			}
			if opened, _ := e.Counts(); opened != row.opened {
				t.Errorf("connections got %d, want %d", opened, row.opened)
			}
		})
	}
}

func TestALongBodyIsSentWholeThoughTheAnswerCameEarly(t *testing.T) {
	body := strings.Repeat("0123456789", 200_000)
	got := make(chan string, 2)
	address := listen(t, func(connection net.Conn, _ int) {
		reader := bufio.NewReader(connection)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(connection, answer)
			data, _ := io.ReadAll(request.Body)
			got <- string(data)
		}
	})
	e := exchanger.New(connector.TCP{}, anyAnswer)
	t.Cleanup(e.Close)
	for _, text := range []string{body, "short"} {
		if _, failure := do(t, e, address, text); failure != nil {
			t.Fatalf("Do() got %v, want an answer", failure)
		}
	}
	seen := map[string]bool{}
	for range 2 {
		select {
		case text := <-got:
			seen[text] = true
		case <-time.After(5 * time.Second):
			t.Fatal("a request did not arrive")
		}
	}
	// The long one may be cut off with its connection, but is never mixed.
	for text := range seen {
		if !strings.HasPrefix(body, text) && text != "short" {
			t.Errorf("a body of %d bytes got mixed", len(text))
		}
	}
}

func TestStages(t *testing.T) {
	closed := listen(t, func(connection net.Conn, _ int) { _ = connection.Close() })
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := connector.Address(free)
	_ = free.Close()
	rows := map[string]struct {
		address netip.AddrPort
		want    exchanger.Stage
	}{
		"nobody listens":           {nobody, exchanger.Unsent},
		"closed without an answer": {closed, exchanger.Sent},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			e := exchanger.New(connector.TCP{}, anyAnswer)
			_, failure := do(t, e, row.address, "x")
			if failure == nil || failure.Stage != row.want {
				t.Errorf("Do() got %v, want a failure of stage %d", failure, row.want)
			}
		})
	}
}
