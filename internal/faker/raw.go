package faker

import (
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

// RawServer is a server on loopback whose connections a function serves byte by byte.
type RawServer struct {
	Addr     netip.AddrPort
	listener net.Listener
	serve    func(connection *net.TCPConn, number int)

	mu          sync.Mutex
	connections []net.Conn
}

// ServeRaw starts a server that calls serve for each connection with its number, which starts at 1. The
// caller must close the server, which also closes the connections.
func ServeRaw(serve func(connection *net.TCPConn, number int)) (*RawServer, error) {
	listener, err := connector.TCP{}.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &RawServer{Addr: connector.ListenerAddress(listener), listener: listener, serve: serve}
	go s.accept()
	return s, nil
}

// accept accepts connections until the listener is closed.
func (s *RawServer) accept() {
	for number := 1; ; number++ {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections = append(s.connections, connection)
		s.mu.Unlock()
		go s.serve(connection.(*net.TCPConn), number)
	}
}

// Close closes the listener and all connections.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, connection := range s.connections {
		_ = connection.Close()
	}
}
