package sender_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/sender"
)

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return connection, err
}

// BenchmarkSend times a call of a plain service on loopback and reports how many connections it
// opens.
func BenchmarkSend(b *testing.B) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatalf("Listen() got error %v, want nil", err)
	}
	listener := &countingListener{Listener: inner}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "free") })}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	s := sender.New(connector.TCP{}, nil)
	endpoint := connector.ListenerAddress(inner)
	for b.Loop() {
		if _, failure := s.Send(b.Context(), endpoint, sender.Request{Method: http.MethodGet, Path: "/slots", RequestID: "r"}); failure != nil {
			b.Fatalf("Send() got failure %v, want none", failure)
		}
	}
	b.ReportMetric(float64(listener.accepted.Load())/float64(b.N), "connections/op")
}
