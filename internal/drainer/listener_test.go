package drainer_test

import (
	"bufio"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestAcceptQueueOfStarvedServer guards against requests that are lost because their connections
// wait to be accepted by a server without processor time when it begins to drain.
func TestAcceptQueueOfStarvedServer(t *testing.T) {
	const (
		clients  = 5
		spinners = 150
		spinTime = 2 * time.Millisecond
		// starvedFor is less than the time that all spinners have together.
		starvedFor = 150 * time.Millisecond
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := newTestServer(t)
	s.listener.plain = true
	s.start()
	var spinning sync.WaitGroup
	var stopped atomic.Bool
	for range spinners {
		spinning.Go(func() {
			for !stopped.Load() {
				for began := time.Now(); time.Since(began) < spinTime; {
					runtime.KeepAlive(began)
				}
				runtime.Gosched()
			}
		})
	}
	time.Sleep(4 * spinners * spinTime)
	sockets := make([]int, clients)
	for i := range sockets {
		sockets[i] = sendOnSocket(t, s.listener.Addr())
	}
	time.Sleep(starvedFor)
	if !s.drain() {
		t.Error("Drain() got false, want true")
	}
	stopped.Store(true)
	spinning.Wait()
	lost := 0
	for _, socket := range sockets {
		if n, _ := syscall.Read(socket, make([]byte, 1)); n <= 0 {
			lost++
		}
		_ = syscall.Close(socket)
	}
	if lost > 0 {
		t.Errorf("requests without a response got %d, want 0", lost)
	}
}

// sendOnSocket sends a request on a socket that the runtime does not know, so that it is sent at
// once, and returns the socket.
func sendOnSocket(t *testing.T, address net.Addr) int {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatalf("Socket() got error %v, want nil", err)
	}
	to := &syscall.SockaddrInet4{Port: address.(*net.TCPAddr).Port, Addr: [4]byte{127, 0, 0, 1}}
	if err := syscall.Connect(socket, to); err != nil {
		t.Fatalf("Connect() got error %v, want nil", err)
	}
	if _, err := syscall.Write(socket, []byte(request)); err != nil {
		t.Fatalf("Write() got error %v, want nil", err)
	}
	timeout := syscall.NsecToTimeval(int64(maxWait))
	if err := syscall.SetsockoptTimeval(socket, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &timeout); err != nil {
		t.Fatalf("SetsockoptTimeval() got error %v, want nil", err)
	}
	return socket
}

// TestConnectionAcceptedLate guards against a connection that is lost because the goroutine that
// accepts has it and has not yet reported it when the server begins to drain.
func TestConnectionAcceptedLate(t *testing.T) {
	s := newTestServer(t)
	accepted := make(chan struct{}, 1)
	s.listener.afterAccept = func() {
		accepted <- struct{}{}
		time.Sleep(2 * askingTime)
	}
	client := s.start()
	<-accepted
	drained := make(chan bool, 1)
	go func() {
		drained <- s.drain()
		_ = s.server.Close()
	}()
	if err := exchange(client, bufio.NewReader(client)); err != nil {
		t.Errorf("exchange got error %v, want nil", err)
	}
	if !<-drained {
		t.Error("Drain() got false, want true")
	}
}
