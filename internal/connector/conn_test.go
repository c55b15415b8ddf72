package connector_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/faker"
)

const (
	// resetRuns is how often a connection is reset: which call gets the error of the operating system
	// depends on the order in which two goroutines wake.
	resetRuns = 20
	// uploadBytes is more than the socket buffers of both ends hold.
	uploadBytes = 16 << 20
	// partText is what a peer sends while it is written to.
	partText = "part"
)

// listen serves connections on loopback until the end of the test.
func listen(t *testing.T, serve func(connection *net.TCPConn, number int)) netip.AddrPort {
	t.Helper()
	server, err := faker.ServeRaw(serve)
	if err != nil {
		t.Fatalf("ServeRaw() got error %v, want nil", err)
	}
	t.Cleanup(server.Close)
	return server.Addr
}

// listenAndClose serves connections as listen does, and closes each of them in the end.
func listenAndClose(t *testing.T, serve func(connection *net.TCPConn)) netip.AddrPort {
	t.Helper()
	return listen(t, func(connection *net.TCPConn, _ int) {
		defer func() { _ = connection.Close() }()
		serve(connection)
	})
}

// sendPart sends a text when a write to the connection has begun, and returns when the write waits for room
// in the buffers of the sockets.
func sendPart(connection *net.TCPConn) {
	_, _ = connection.Read(make([]byte, 1))
	_, _ = io.WriteString(connection, partText)
	time.Sleep(5 * time.Millisecond)
}

// uploadResult is what the two directions of a connection ended with.
type uploadResult struct {
	received string
	readErr  error
	writeErr error
	// readTook is the time until the read ended.
	readTook time.Duration
}

// upload writes a number of bytes to an address, and reads at the same time until the end.
func upload(t *testing.T, network connector.TCP, address netip.AddrPort, size int) uploadResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	connection, err := network.Dial(ctx, address)
	if err != nil {
		t.Fatalf("Dial() got error %v, want nil", err)
	}
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	var got uploadResult
	began := time.Now()
	var group sync.WaitGroup
	group.Go(func() { _, got.writeErr = connection.Write(make([]byte, size)) })
	data, err := io.ReadAll(connection)
	got.received, got.readErr, got.readTook = string(data), err, time.Since(began)
	_ = connection.Close()
	group.Wait()
	return got
}

// TestResetDuringWrite guards against a connection that was reset, or timed out, and that ends for its
// reader as if the peer had closed it: the write that was in progress got the only report of the error.
func TestResetDuringWrite(t *testing.T) {
	rows := map[string]struct {
		userTimeout time.Duration
		serve       func(connection *net.TCPConn)
		runs        int
	}{
		"reset": {0, func(connection *net.TCPConn) {
			sendPart(connection)
			_ = connection.SetLinger(0)
		}, resetRuns},
		"closed with unread data": {0, func(connection *net.TCPConn) {
			sendPart(connection)
		}, resetRuns},
		"not read until the user timeout": {200 * time.Millisecond, func(connection *net.TCPConn) {
			sendPart(connection)
			time.Sleep(3 * time.Second)
		}, 1},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := 0
			for range row.runs {
				got := upload(t, connector.TCP{UserTimeout: row.userTimeout}, listenAndClose(t, row.serve), uploadBytes)
				if got.readErr == nil {
					ended++
				}
			}
			if ended > 0 {
				t.Errorf("reads that ended without an error got %d of %d, want 0", ended, row.runs)
			}
		})
	}
}

// TestCloseDuringWrite guards against a connection that the peer has closed in order and that counts as
// broken, or whose end is seen only after everything has been written.
func TestCloseDuringWrite(t *testing.T) {
	released := make(chan struct{})
	t.Cleanup(func() { close(released) })
	rows := map[string]struct {
		size  int
		serve func(connection *net.TCPConn)
	}{
		"closes its half and does not read yet": {uploadBytes, func(connection *net.TCPConn) {
			sendPart(connection)
			_ = connection.CloseWrite()
			<-released
		}},
		"closes its half and reads on": {uploadBytes, func(connection *net.TCPConn) {
			sendPart(connection)
			_ = connection.CloseWrite()
			_, _ = io.Copy(io.Discard, connection)
		}},
		"closes its half, then resets": {uploadBytes, func(connection *net.TCPConn) {
			sendPart(connection)
			_ = connection.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			_ = connection.SetLinger(0)
		}},
		"closes after it has read everything": {uploadBytes, func(connection *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, connection, uploadBytes)
			_, _ = io.WriteString(connection, partText)
		}},
		"gets little": {9 << 10, func(connection *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, connection, 9<<10)
			_, _ = io.WriteString(connection, partText)
		}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			for range resetRuns {
				got := upload(t, connector.TCP{}, listenAndClose(t, row.serve), row.size)
				if got.readErr != nil || got.received != partText {
					t.Errorf("read got %q with error %v, want %q without one", got.received, got.readErr, partText)
				}
				if got.readTook > time.Second {
					t.Errorf("read ended after %s, want at once", got.readTook)
				}
			}
		})
	}
}

// TestWriteErrorIsKept guards against an error of a write that hides the one after it, and against a
// deadline that counts as the end of the connection.
func TestWriteErrorIsKept(t *testing.T) {
	rows := map[string]struct {
		reset bool
		want  bool
	}{
		"reset after a deadline": {true, true},
		"deadline alone":         {false, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			resume := make(chan struct{})
			address := listenAndClose(t, func(connection *net.TCPConn) {
				_, _ = io.WriteString(connection, partText)
				<-resume
				if row.reset {
					_ = connection.SetLinger(0)
					return
				}
				_ = connection.CloseWrite()
				_, _ = io.Copy(io.Discard, connection)
			})
			connection, err := connector.TCP{}.Dial(t.Context(), address)
			if err != nil {
				t.Fatalf("Dial() got error %v, want nil", err)
			}
			defer func() { _ = connection.Close() }()
			_ = connection.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := connection.Write(make([]byte, uploadBytes)); err == nil {
				t.Fatal("Write() got no error, want one of the deadline")
			}
			_ = connection.SetWriteDeadline(time.Time{})
			close(resume)
			if row.reset {
				// The write gets the report of the reset.
				for err = nil; err == nil; {
					_, err = connection.Write(make([]byte, 1<<20))
				}
			}
			_, err = io.ReadAll(connection)
			if got := err != nil; got != row.want {
				t.Errorf("ReadAll() got error %v, want one: %t", err, row.want)
			}
			if row.want && errors.Is(err, io.EOF) {
				t.Errorf("ReadAll() got %v, want an error other than EOF", err)
			}
		})
	}
}
