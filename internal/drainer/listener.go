package drainer

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

// listener is a listener whose connections a drainer keeps track of. The goroutine that accepts
// closes it, because only that one knows that no connection waits.
type listener struct {
	net.Listener
	drainer *Drainer

	mu sync.Mutex
	// closing is set if the listener is to close as soon as no connection waits.
	closing bool
}

// Listen returns a listener whose connections the drainer keeps track of. Drain closes it.
func (d *Drainer) Listen(inner net.Listener) net.Listener {
	l := &listener{Listener: inner, drainer: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners[l] = struct{}{}
	return l
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		switch {
		case err == nil:
			return l.drainer.track(inner), nil
		case !l.isClosing() || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case connector.HasWaiting(l.Listener):
			// The next call accepts it.
			_ = setDeadline(l.Listener, time.Time{})
		default:
			_ = l.Close()
			return nil, net.ErrClosed
		}
	}
}

// track returns a connection that the drainer keeps track of.
func (d *Drainer) track(inner net.Conn) net.Conn {
	c := &connection{Conn: inner, drainer: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connections[c] = struct{}{}
	return c
}

// askToClose ends the wait of the goroutine that accepts. It is called again and again, since that
// one may have lifted the deadline for a connection that is gone by now. A listener without deadlines
// is closed at once.
func (l *listener) askToClose() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	if !setDeadline(l.Listener, time.Unix(0, 1)) {
		_ = l.Close()
	}
}

func (l *listener) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.drainer.mu.Lock()
	delete(l.drainer.listeners, l)
	l.drainer.mu.Unlock()
	return l.Listener.Close()
}

// setDeadline sets the deadline of a listener's Accept. It returns false if it has none.
func setDeadline(inner net.Listener, deadline time.Time) bool {
	l, ok := inner.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(deadline) == nil
}
