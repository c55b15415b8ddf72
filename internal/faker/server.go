package faker

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

const headerTimeout = 10 * time.Second

// Server is an HTTP server of a stand-in.
type Server struct {
	Addr   netip.AddrPort
	server *http.Server
	done   chan struct{}
}

// Serve serves a handler at an address.
func Serve(network connector.Network, addr netip.AddrPort, handler http.Handler) (*Server, error) {
	listener, err := network.Listen(addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{
		Addr:   connector.ListenerAddress(listener),
		server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		done:   make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}
