package journaler

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/sleeper"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// maxBatchSize is the maximum size of the records of one append, in bytes.
	// A single larger record is still appended on its own.
	maxBatchSize = 256 << 10
	// minBackoff and maxBackoff bound the exponential backoff between failed
	// appends.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// PendingRecord tracks a submitted record until the log acknowledges it.
type PendingRecord struct {
	record *schema.Record
	done   chan struct{}
	// offset is valid once done is closed.
	offset uint64
	// sent is set once an append may contain the record. It is guarded by the
	// appender's mutex.
	sent        bool
	submittedAt time.Time
}

// Done returns a channel that is closed when the log has acknowledged the
// record.
func (p *PendingRecord) Done() <-chan struct{} { return p.done }

// Offset returns the offset of the append that contains the record. It is valid
// only after Done is closed.
func (p *PendingRecord) Offset() uint64 { return p.offset }

func (p *PendingRecord) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Appender batches the records of one stream into appends. Records of a failed
// append are appended again until the log acknowledges them, so the log may
// contain a record more than once; readers drop duplicates by record id.
// It is safe for concurrent use.
type Appender struct {
	log    Log
	stream string
	// limiter limits the rate of appends and is shared by all appenders of the
	// daemon.
	limiter *rate.Limiter
	// batchDelay is how long a record waits for others to join its append.
	batchDelay time.Duration

	mu               sync.Mutex
	pending          []*PendingRecord
	urgent           bool
	wake             chan struct{}
	appendCount      uint64
	lastAppendFailed bool
}

// NewAppender returns an appender for a stream. Records are appended only while
// Run is running.
func NewAppender(log Log, stream string, limiter *rate.Limiter, batchDelay time.Duration) *Appender {
	return &Appender{log: log, stream: stream, limiter: limiter, batchDelay: batchDelay, wake: make(chan struct{}, 1)}
}

// Submit queues a record. An urgent record, and all records queued before it,
// are appended without waiting for the batch delay.
func (a *Appender) Submit(record *schema.Record, urgent bool) *PendingRecord {
	pendingRecord := &PendingRecord{record: record, done: make(chan struct{}), submittedAt: time.Now()}
	a.mu.Lock()
	a.pending = append(a.pending, pendingRecord)
	a.urgent = a.urgent || urgent
	a.mu.Unlock()
	a.signal()
	return pendingRecord
}

// Cancel removes a record from the queue if no append can contain it yet, and
// reports whether it did. A record that may have been sent stays queued.
func (a *Appender) Cancel(pendingRecord *PendingRecord) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if pendingRecord.sent {
		return false
	}
	for i, queued := range a.pending {
		if queued == pendingRecord {
			a.pending = append(a.pending[:i:i], a.pending[i+1:]...)
			return true
		}
	}
	return false
}

// Abandon removes a record from the queue even if it may have been sent. It
// reports whether it is certain that no append contains the record.
func (a *Appender) Abandon(pendingRecord *PendingRecord) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, queued := range a.pending {
		if queued == pendingRecord {
			a.pending = append(a.pending[:i:i], a.pending[i+1:]...)
			break
		}
	}
	return !pendingRecord.sent
}

// Pending returns the number of queued records that the log has not
// acknowledged.
func (a *Appender) Pending() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending)
}

// Appends returns the number of attempted appends.
func (a *Appender) Appends() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.appendCount
}

// Failing reports whether the latest append failed.
func (a *Appender) Failing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastAppendFailed
}

// Run appends batches until ctx is done. It returns an error in every case.
func (a *Appender) Run(ctx context.Context) error {
	backoff := minBackoff
	for {
		if err := a.awaitBatch(ctx); err != nil {
			return err
		}
		if err := a.limiter.Wait(ctx); err != nil {
			return err
		}
		if err := a.appendBatch(ctx); err == nil {
			backoff = minBackoff
			continue
		}
		sleeper.Sleep(ctx, backoff)
		if err := ctx.Err(); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// Flush makes all queued records urgent and waits until they are acknowledged
// or ctx is done.
func (a *Appender) Flush(ctx context.Context) error {
	a.mu.Lock()
	waiting := append([]*PendingRecord(nil), a.pending...)
	a.urgent = true
	a.mu.Unlock()
	a.signal()
	for _, pendingRecord := range waiting {
		select {
		case <-pendingRecord.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (a *Appender) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// awaitBatch returns when a batch is due.
func (a *Appender) awaitBatch(ctx context.Context) error {
	for {
		wait, due := a.untilDue(time.Now())
		if due {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-a.wake:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// maxIdleWait is how long an appender with an empty queue waits before it
// checks the queue again.
const maxIdleWait = time.Hour

func (a *Appender) untilDue(now time.Time) (wait time.Duration, due bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) == 0 {
		return maxIdleWait, false
	}
	if a.urgent {
		return 0, true
	}
	wait = a.batchDelay - now.Sub(a.pending[0].submittedAt)
	return wait, wait <= 0
}

func (a *Appender) appendBatch(ctx context.Context) error {
	batch := a.nextBatch()
	if len(batch) == 0 {
		return nil
	}
	records := make([]*schema.Record, len(batch))
	for i, pendingRecord := range batch {
		records[i] = pendingRecord.record
	}
	data, err := encode(records)
	if err != nil {
		return err
	}
	offset, err := a.log.Append(ctx, a.stream, data)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.appendCount++
	a.lastAppendFailed = err != nil
	if err != nil {
		a.urgent = true
		return err
	}
	for _, pendingRecord := range batch {
		pendingRecord.offset = offset
		close(pendingRecord.done)
	}
	a.pending = slices.DeleteFunc(a.pending, (*PendingRecord).isDone)
	return nil
}

// nextBatch returns the oldest records that fit into one append and marks them
// as sent. They stay queued until the append is acknowledged.
func (a *Appender) nextBatch() []*PendingRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	size, count := 0, 0
	for _, pendingRecord := range a.pending {
		size += proto.Size(pendingRecord.record)
		if count > 0 && size > maxBatchSize {
			break
		}
		pendingRecord.sent = true
		count++
	}
	a.urgent = count < len(a.pending)
	return append([]*PendingRecord(nil), a.pending[:count]...)
}
