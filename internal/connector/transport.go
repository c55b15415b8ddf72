package connector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"time"

	"github.com/go-faster/errors"
)

const (
	idleConnTimeout        = 90 * time.Second
	maxIdleConnsPerHost    = 64
	maxResponseHeaderBytes = 64 << 10
)

// Transport is an HTTP transport that returns an error in place of a response whose head cannot be
// trusted; see CheckHead.
type Transport struct {
	*http.Transport
}

// NewTransport returns an HTTP transport that opens its connections through
// network. It accepts only addresses of the form IP:port.
func NewTransport(network Network) *Transport {
	return &Transport{&http.Transport{
		DialContext: func(ctx context.Context, _, hostport string) (net.Conn, error) {
			addr, err := netip.ParseAddrPort(hostport)
			if err != nil {
				return nil, errors.Wrapf(err, "address %q is not IP:port", hostport)
			}
			return network.Dial(ctx, addr)
		},
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}}
}

// NewSingleUseTransport returns an HTTP transport like NewTransport that opens a new connection for
// each request. An endpoint may send a response once more, late, on a connection that it keeps,
// where nothing tells it from the response to the next request. Requests on new connections are not
// silently retried either.
func NewSingleUseTransport(network Network) *Transport {
	transport := NewTransport(network)
	transport.DisableKeepAlives = true
	return transport
}

// RoundTrip implements http.RoundTripper. It closes the connection of a response that it rejects: what
// follows on it may belong to that response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var connection net.Conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connection = info.Conn },
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			return CheckHead(status, http.Header(header))
		},
	}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		_ = connection.Close()
		_ = response.Body.Close()
		return nil, errors.Wrap(err, "head of the response")
	}
	return response, nil
}
