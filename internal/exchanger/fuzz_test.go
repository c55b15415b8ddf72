package exchanger_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
)

// scriptedNetwork connects to an endpoint that sends fixed bytes.
type scriptedNetwork struct {
	connector.Network
	response []byte
}

// Dial implements connector.Network.
func (s scriptedNetwork) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	go func() {
		_, _ = far.Write(s.response)
		_ = far.Close()
	}()
	return near, nil
}

// FuzzResponse guards against a crash, an endless loop or invented bytes when an
// endpoint sends bytes that are no response.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\ndone\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=-5\r\n\r\n"))
	f.Add([]byte("\x00\x01nonsense"))
	f.Fuzz(func(t *testing.T, response []byte) {
		e := exchanger.New(scriptedNetwork{response: response}, anyResponse)
		defer e.Close()
		got, failure := e.Do(t.Context(), netip.AddrPort{}, &exchanger.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}})
		if failure != nil {
			return
		}
		defer got.Close()
		if body, err := io.ReadAll(got); err == nil && len(body) > len(response) {
			t.Errorf("body got %d bytes, want at most the %d that were sent", len(body), len(response))
		}
	})
}
