// Package noter writes log lines without blocking the goroutine that logs them.
// It queues the lines, and drops and counts those that exceed the queue or the
// rate limit.
package noter

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that can wait to be written.
	queueLines = 2048
	// linesPerSecond and burstLines bound the rate of lines under load.
	linesPerSecond = 300
	burstLines     = 1500
)

// Noter is an io.Writer that queues log lines. Run writes them to the output.
type Noter struct {
	lines   chan []byte
	out     io.Writer
	limiter *rate.Limiter
	dropped atomic.Uint64
}

// New returns a noter whose Run writes to out.
func New(out io.Writer) *Noter {
	return &Noter{lines: make(chan []byte, queueLines), out: out, limiter: rate.NewLimiter(linesPerSecond, burstLines)}
}

// Write queues one line or drops it. It never blocks and never returns an error.
func (n *Noter) Write(line []byte) (int, error) {
	if !n.limiter.Allow() {
		n.dropped.Add(1)
		return len(line), nil
	}
	select {
	case n.lines <- append([]byte(nil), line...):
	default:
		n.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (n *Noter) Dropped() uint64 { return n.dropped.Load() }

// Run writes lines until ctx ends, then writes the lines that are still queued. It
// returns the error of ctx.
func (n *Noter) Run(ctx context.Context) error {
	var batch []byte
	for {
		select {
		case line := <-n.lines:
			batch = n.appendQueued(append(batch[:0], line...))
			_, _ = n.out.Write(batch)
		case <-ctx.Done():
			_, _ = n.out.Write(n.appendQueued(nil))
			return ctx.Err()
		}
	}
}

// appendQueued appends the queued lines to the batch without waiting.
func (n *Noter) appendQueued(batch []byte) []byte {
	for {
		select {
		case line := <-n.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// Logger returns a logger that writes JSON lines through the noter.
func (n *Noter) Logger(name string, level hclog.Level) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: level, Output: n, JSONFormat: true})
}

// FormatDuration formats a duration for a log line, rounded to 10 µs.
func FormatDuration(duration time.Duration) string {
	return duration.Round(10 * time.Microsecond).String()
}
