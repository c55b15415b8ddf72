package journaler

import (
	"context"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/sleeper"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	maxItemsPerRead = 500
	// waitingPollInterval is the maximum polling interval while a goroutine waits
	// for the follower to advance.
	waitingPollInterval = 20 * time.Millisecond
)

// Handler handles the records of one append. It is called in log order, from
// one goroutine.
type Handler func(offset uint64, records []*schema.Record)

// Follower reads a stream from its oldest record and then polls for new ones.
type Follower struct {
	log          Log
	stream       string
	pollInterval time.Duration
	handle       Handler
	// OnGap, if not nil, is called when records expired before they were read.
	OnGap func()

	mu         sync.Mutex
	nextOffset uint64
	caughtUp   bool
	failing    bool
	waiters    int
	readCount  uint64
	gapCount   uint64
	advanced   chan struct{}
	wake       chan struct{}
}

// NewFollower returns a follower that polls the stream at the interval and
// passes its records to handle.
func NewFollower(log Log, stream string, pollInterval time.Duration, handle Handler) *Follower {
	return &Follower{
		log:          log,
		stream:       stream,
		pollInterval: pollInterval,
		handle:       handle,
		advanced:     make(chan struct{}),
		wake:         make(chan struct{}, 1),
	}
}

// Run follows the stream until ctx is done and returns the error of ctx.
func (f *Follower) Run(ctx context.Context) error {
	for {
		more, err := f.poll(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil && more {
			continue
		}
		if err := f.pause(ctx, err != nil); err != nil {
			return err
		}
	}
}

// PollNow makes the follower read without waiting for the polling interval.
// After a failed read it still waits for the minimum backoff.
func (f *Follower) PollNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// CaughtUp reports whether the follower has ever reached the end of the stream.
func (f *Follower) CaughtUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUp
}

// Failing reports whether the latest read failed.
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

// Reads returns the number of attempted reads.
func (f *Follower) Reads() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readCount
}

// Gaps returns the number of times that records expired before they were read.
func (f *Follower) Gaps() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gapCount
}

// WaitHandled waits until the append at the offset has been handled or skipped,
// or ctx is done.
func (f *Follower) WaitHandled(ctx context.Context, offset uint64) error {
	return f.wait(ctx, func() bool { return f.nextOffset > offset })
}

// WaitCaughtUp waits until the follower has reached the end of the stream or
// ctx is done.
func (f *Follower) WaitCaughtUp(ctx context.Context) error {
	return f.wait(ctx, func() bool { return f.caughtUp })
}

func (f *Follower) wait(ctx context.Context, reached func() bool) error {
	f.mu.Lock()
	f.waiters++
	defer func() {
		f.waiters--
		f.mu.Unlock()
	}()
	for !reached() {
		advanced := f.advanced
		f.mu.Unlock()
		f.PollNow()
		select {
		case <-advanced:
			f.mu.Lock()
		case <-ctx.Done():
			f.mu.Lock()
			return ctx.Err()
		}
	}
	return nil
}

// poll reads one page and handles its items. It returns more as true if the
// stream has further items to read.
func (f *Follower) poll(ctx context.Context) (more bool, err error) {
	page, err := f.log.Read(ctx, f.stream, f.nextOffset, maxItemsPerRead)
	f.mu.Lock()
	f.readCount++
	f.failing = err != nil
	f.mu.Unlock()
	if err != nil {
		return false, err
	}
	f.skipExpired(page.Oldest)
	for _, item := range page.Items {
		f.deliver(item)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	more = f.nextOffset < page.Next && len(page.Items) > 0
	if f.nextOffset >= page.Next && !f.caughtUp {
		f.caughtUp = true
		f.notifyWaiters()
	}
	return more, nil
}

func (f *Follower) skipExpired(oldest uint64) {
	if f.nextOffset >= oldest {
		return
	}
	if f.OnGap != nil {
		f.OnGap()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gapCount++
	f.nextOffset = oldest
}

// deliver passes one append to the handler. An append that cannot be decoded is
// skipped, because it would otherwise block the stream on every instance.
func (f *Follower) deliver(item Item) {
	records, err := Decode(item.Data)
	if err == nil {
		f.handle(item.Offset, records)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextOffset = item.Offset + 1
	f.notifyWaiters()
}

func (f *Follower) notifyWaiters() {
	close(f.advanced)
	f.advanced = make(chan struct{})
}

func (f *Follower) pause(ctx context.Context, failed bool) error {
	f.mu.Lock()
	interval := f.pollInterval
	if f.waiters > 0 && !failed {
		interval = min(interval, waitingPollInterval)
	}
	f.mu.Unlock()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-f.wake:
		if failed {
			sleeper.Sleep(ctx, min(interval, minBackoff))
			return ctx.Err()
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
