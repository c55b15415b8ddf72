package exchanger_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
)

// resettingNetwork is a network whose connections are reset where others are closed.
type resettingNetwork struct{ connector.Network }

// Dial implements connector.Network.
func (r resettingNetwork) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	connection, err := r.Network.Dial(ctx, address)
	return resettingConn{connection}, err
}

type resettingConn struct{ net.Conn }

// Read implements net.Conn.
func (r resettingConn) Read(data []byte) (int, error) {
	n, err := r.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// receive returns the body of the response that the endpoints of a network send.
func receive(t *testing.T, network connector.Network) (string, error) {
	e := exchanger.New(network, anyResponse)
	defer e.Close()
	response, failure := e.Do(t.Context(), netip.AddrPort{}, &exchanger.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}})
	if failure != nil {
		return "", failure
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// TestCutResponse guards against a response that counts as complete although its connection was
// closed or reset before its last byte.
func TestCutResponse(t *testing.T) {
	rows := map[string]struct {
		text string
		// closeEndsBody is set if the end of the connection is the end of the body.
		closeEndsBody bool
	}{
		"length":                   {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n0123456789ab", false},
		"length 0":                 {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
		"chunks":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwhat\r\n0\r\n\r\n", false},
		"chunks with a trailer":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwhat\r\n0\r\nA: b\r\n\r\n", false},
		"no body":                  {"HTTP/1.1 204 No Content\r\n\r\n", false},
		"after interim heads":      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false},
		"several lines in a value": {"HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 4\r\nD: e\r\n\r\ndone", false},
		"lines that end with LF":   {"HTTP/1.1 200 OK\nContent-Length: 12\n\n0123456789ab", false},
		"neither":                  {"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			for cut := range len(row.text) + 1 {
				whole := cut == len(row.text)
				sent := scriptedNetwork{response: []byte(row.text[:cut])}
				if body, err := receive(t, sent); (err == nil) != whole {
					t.Errorf("response closed after %q got body %q, %v, want complete: %t", row.text[:cut], body, err, whole)
				}
				whole = whole && !row.closeEndsBody
				if body, err := receive(t, resettingNetwork{sent}); (err == nil) != whole {
					t.Errorf("response reset after %q got body %q, %v, want complete: %t", row.text[:cut], body, err, whole)
				}
			}
		})
	}
}

// TestHeadInHead guards against a response that is put together from parts of two heads, and
// against one that is refused for a value that only looks like a part of another head.
func TestHeadInHead(t *testing.T) {
	rows := map[string]struct {
		head   string
		wantOK bool
	}{
		"in a value":                   {"HTTP/1.1 200 OK\r\nA: bHTTP/1.1 500 Internal Server Error\r\n", false},
		"in a second value":            {"HTTP/1.1 200 OK\r\nA: b\r\nA: HTTP/1.0 404\r\n", false},
		"in the status line":           {"HTTP/1.1 200 OHTTP/1.1 503 Service Unavailable\r\n", false},
		"behind a cut beginning":       {"HTTP/1.1 200 OK\r\nA: HTTP/1.HTTP/1.1 500 Internal Server Error\r\n", false},
		"in a further line of a value": {"HTTP/1.1 200 OK\r\nA: b\r\n HTTP/1.1 500 Internal Server Error\r\n", false},
		"in an interim response":       {"HTTP/1.1 103 Early Hints\r\nLink: </x>HTTP/1.1 500 Failed\r\n", false},
		"name of a protocol":           {"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nUpgrade: HTTP/2.0\r\n", true},
		"protocol at the end":          {"HTTP/1.1 200 OK\r\nA: HTTP/1.1\r\nB: HTTP/1.\r\nC: HTTP/1.1 50\r\n", true},
		"status without protocol":      {"HTTP/1.1 200 OK\r\nA: 500 Internal Server Error\r\n", true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			body, err := receive(t, scriptedNetwork{response: []byte(row.head + "Content-Length: 4\r\n\r\ndone")})
			if (err == nil) != row.wantOK || row.wantOK && body != "done" {
				t.Errorf("response got %q, %v, want one: %t", body, err, row.wantOK)
			}
		})
	}
}
