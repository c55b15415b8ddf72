package journaler

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// maxBatchSize bounds the bytes of one append.
	maxBatchSize = 256 << 10
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// Ticket follows one submitted record.
type PendingRecord struct {
	record *schema.Record
	done   chan struct{}
	// offset is valid once done is closed.
	offset uint64
	// sent is set, under the appender's lock, once an append may hold the record.
	sent        bool
	submittedAt time.Time
}

// Done is closed when the log has acknowledged the record.
func (p *PendingRecord) Done() <-chan struct{} { return p.done }

// Offset returns the record's offset after Done.
func (p *PendingRecord) Offset() uint64 { return p.offset }

func (p *PendingRecord) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Appender batches records of one stream into appends. An append that fails is
// repeated with the same records until it is acknowledged, so a record may
// stand in the log more than once; readers drop copies by record id.
type Appender struct {
	log    Log
	stream string
	// budget is shared by all appenders of the daemon.
	limiter *rate.Limiter
	// delay is how long a record waits for others to share its append.
	batchDelay time.Duration

	mu               sync.Mutex
	pending          []*PendingRecord
	urgent           bool
	wake             chan struct{}
	appendCount      uint64
	lastAppendFailed bool
}

// NewAppender returns an appender; Run must be running for records to leave.
func NewAppender(log Log, stream string, limiter *rate.Limiter, batchDelay time.Duration) *Appender {
	return &Appender{log: log, stream: stream, limiter: limiter, batchDelay: batchDelay, wake: make(chan struct{}, 1)}
}

// Submit queues a record. An urgent record does not wait for the delay.
func (a *Appender) Submit(record *schema.Record, urgent bool) *PendingRecord {
	pendingRecord := &PendingRecord{record: record, done: make(chan struct{}), submittedAt: time.Now()}
	a.mu.Lock()
	a.pending = append(a.pending, pendingRecord)
	a.urgent = a.urgent || urgent
	a.mu.Unlock()
	a.signal()
	return pendingRecord
}

// Cancel withdraws a record that no append can hold yet; it reports whether
// that was certain.
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

// Abandon stops trying to append a record. It reports whether it is certain
// that no append holds it.
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

// Pending returns the number of records that are not acknowledged.
func (a *Appender) Pending() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending)
}

// Appends returns the number of appends that were tried.
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

// Run sends batches until ctx ends.
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
		if err := sleep(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// Flush makes all queued records urgent and waits until they are acknowledged.
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

// idleWait bounds the wait of an appender with nothing to send.
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

// take returns the oldest records that fit into one append and marks them as
// sent. They stay queued until the append is acknowledged.
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

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
