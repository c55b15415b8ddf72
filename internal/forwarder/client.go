package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// slowClientTime is how long the writes of a response may take together before the client
	// counts as slow. An endpoint waits longer than that before it cuts off a response that is
	// not read.
	slowClientTime = 250 * time.Millisecond
	// stalledWriteTime is how long after the deadline a single write may take. The operating
	// system may accept nothing for a while although the client reads slowly.
	stalledWriteTime = 30 * time.Second
	// maxWriteBytes bounds a single write, so that a slow client is not taken for a stalled one.
	maxWriteBytes = 4 << 10
)

// clientWriter writes the body of a response to the client. It bounds the time for which a client
// that does not read holds the request. It is for one goroutine.
type clientWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// deadline is the deadline of the request.
	deadline time.Time
	// onSlow is called when the client turns out to be slow, possibly in another goroutine.
	onSlow func()

	mu    sync.Mutex
	timer *time.Timer
	// begun is when the write in progress began, or zero. spent is how long the earlier ones took.
	begun time.Time
	spent time.Duration
	// bounded is set while the connection has a write deadline.
	bounded bool
}

func newClientWriter(writer http.ResponseWriter, deadline time.Time, onSlow func()) *clientWriter {
	return &clientWriter{writer: writer, controller: http.NewResponseController(writer), deadline: deadline, onSlow: onSlow}
}

// Write implements io.Writer.
func (w *clientWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		w.begin()
		n, err := w.writer.Write(data[written:min(len(data), written+maxWriteBytes)])
		written += n
		if endErr := w.end(); err == nil {
			err = endErr
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Flush sends what has been written.
func (w *clientWriter) Flush() error {
	w.begin()
	err := w.controller.Flush()
	if endErr := w.end(); err == nil {
		err = endErr
	}
	return err
}

// begin begins a write. The writes to a client that counts as slow get a deadline at once.
func (w *clientWriter) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun = time.Now()
	left := slowClientTime - w.spent
	switch {
	case left <= 0:
		w.setWriteDeadline()
	case w.timer == nil:
		w.timer = time.AfterFunc(left, w.handleSlowWrite)
	default:
		w.timer.Reset(left)
	}
}

// end ends a write and lifts its deadline, so that it does not hold for the next one.
func (w *clientWriter) end() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.spent += time.Since(w.begun)
	w.begun = time.Time{}
	if !w.bounded {
		return nil
	}
	w.bounded = false
	if err := w.controller.SetWriteDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "lift the bound on a write to the client")
	}
	return nil
}

// handleSlowWrite handles a write in progress that makes the client count as slow.
func (w *clientWriter) handleSlowWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.begun.IsZero() {
		w.setWriteDeadline()
	}
}

// setWriteDeadline bounds the write in progress to a slow client. The lock is held.
func (w *clientWriter) setWriteDeadline() {
	now := time.Now()
	end := w.deadline
	if end.Before(now) {
		end = now
	}
	// Without the bound, the write ends when the client disconnects.
	w.bounded = w.controller.SetWriteDeadline(end.Add(stalledWriteTime)) == nil
	if w.onSlow != nil {
		w.onSlow()
	}
}
