// Package noter writes log lines without ever making their writer wait: lines
// that do not fit are dropped and counted.
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
	// queued is the number of lines that wait to be written.
	queueLines = 2048
	// perSecond and burst bound the lines that are written under load.
	linesPerSecond = 300
	burstLines     = 1500
)

// Noter is an io.Writer that queues lines.
type Noter struct {
	lines   chan []byte
	out     io.Writer
	limiter *rate.Limiter
	dropped atomic.Uint64
}

// New returns a noter that writes to out from Run.
func New(out io.Writer) *Noter {
	return &Noter{lines: make(chan []byte, queueLines), out: out, limiter: rate.NewLimiter(linesPerSecond, burstLines)}
}

// Write queues one line.
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

// Dropped returns the number of lines that were not written.
func (n *Noter) Dropped() uint64 { return n.dropped.Load() }

// Run writes lines until ctx ends, and then those that still wait.
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

// gather adds the lines that wait to the batch.
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

// Logger returns a logger of JSON lines that writes through the noter.
func (n *Noter) Logger(name string, level hclog.Level) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: level, Output: n, JSONFormat: true})
}

// Brief formats a time for a log line.
func FormatDuration(duration time.Duration) string {
	return duration.Round(10 * time.Microsecond).String()
}
