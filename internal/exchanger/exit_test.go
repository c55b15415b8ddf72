package exchanger

import (
	"net"
	"testing"
	"time"
)

// lateConn is a connection of a process that gets no processor time until its deadline is over.
type lateConn struct{ *net.TCPConn }

// SetReadDeadline implements net.Conn.
func (c lateConn) SetReadDeadline(deadline time.Time) error {
	time.Sleep(time.Until(deadline) + time.Millisecond)
	return c.TCPConn.SetReadDeadline(deadline)
}

// TestProcessThatHasExitedForStarvedDaemon guards against an endpoint that has crashed and counts as
// running, because a daemon without processor time sees the deadline of its check first.
func TestProcessThatHasExitedForStarvedDaemon(t *testing.T) {
	rows := map[string]struct{ exited, want bool }{"exited": {true, false}, "running": {false, true}}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatalf("Listen() got error %v, want nil", err)
			}
			defer func() { _ = listener.Close() }()
			connection, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatalf("Dial() got error %v, want nil", err)
			}
			defer func() { _ = connection.Close() }()
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatalf("Accept() got error %v, want nil", err)
			}
			defer func() { _ = accepted.Close() }()
			if row.exited {
				_ = accepted.Close()
			}
			if got := staysOpen(lateConn{connection.(*net.TCPConn)}); got != row.want {
				t.Errorf("staysOpen() got %v, want %v", got, row.want)
			}
		})
	}
}
