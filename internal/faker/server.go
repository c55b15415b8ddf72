package faker

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

const headerTimeout = 10 * time.Second

// Server is the HTTP server of a fake.
type Server struct {
	Addr   netip.AddrPort
	server *http.Server
	done   chan struct{}
}

// Serve starts a server for a handler at an address. The caller must close it.
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

// Close stops the server, closes its connections and waits until it has
// stopped accepting connections.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}
