package subscriber

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Errors of RecordsFrom.
var (
	// ErrUnread is returned while the subscriber has not read the topic, or does
	// not follow it any more.
	ErrUnread = errors.New("topic has not been read yet or is not followed")
	// ErrFailing is returned while reads of the topic fail.
	ErrFailing = errors.New("reads of topic are failing")
	// ErrTooLarge is returned for a page of records that is too large to relay. The
	// client should read it from the log.
	ErrTooLarge = errors.New("records are too large to relay")
)

const (
	// maxBufferedBytes bounds the record values that are buffered for other daemons.
	maxBufferedBytes = 256 << 10
	// maxPeerPageBytes bounds the record values of one page for another daemon. Many
	// daemons may ask at once, and the network bandwidth of an instance is low.
	maxPeerPageBytes = 32 << 10
)

// window buffers the newest records of a topic together with the time of the
// last verified read. It is safe for concurrent use.
type window struct {
	mu      sync.Mutex
	records []Record
	bytes   int
	// firstOffset is the offset of the first buffered record, nextOffset the offset
	// after the last one.
	firstOffset int64
	nextOffset  int64
	// loaded is set while the topic is followed and has been read.
	loaded     bool
	failing    bool
	verifiedAt time.Duration
	// changed is closed and replaced by each update.
	changed chan struct{}
}

func newWindow() *window { return &window{changed: make(chan struct{})} }

// reset empties the window, so that it begins at nextOffset.
func (w *window) reset(nextOffset int64, verifiedAt time.Duration) {
	w.update(func() {
		w.records = nil
		w.bytes = 0
		w.firstOffset = nextOffset
		w.nextOffset = nextOffset
		w.loaded = true
		w.failing = false
		w.verifiedAt = verifiedAt
	})
}

// appendRecords adds the records of a page that reached the end of the topic.
// Everything appended before verifiedAt has been read.
func (w *window) appendRecords(records []Record, nextOffset int64, verifiedAt time.Duration) {
	w.update(func() {
		for _, record := range records {
			w.records = append(w.records, record)
			w.bytes += len(record.Value)
		}
		w.nextOffset = nextOffset
		w.loaded = true
		w.failing = false
		w.verifiedAt = max(w.verifiedAt, verifiedAt)
		w.trim()
	})
}

// trim drops the oldest records until the rest fits maxBufferedBytes.
func (w *window) trim() {
	drop := 0
	for w.bytes > maxBufferedBytes && drop < len(w.records) {
		w.bytes -= len(w.records[drop].Value)
		drop++
	}
	if drop == 0 {
		return
	}
	w.records = append([]Record(nil), w.records[drop:]...)
	w.firstOffset = w.nextOffset
	if len(w.records) > 0 {
		w.firstOffset = w.records[0].Offset
	}
}

// markFailing records that the topic cannot be read.
func (w *window) markFailing() { w.update(func() { w.failing = true }) }

// markUnread records that the topic is not followed any more.
func (w *window) markUnread() { w.update(func() { w.loaded = false }) }

// update changes the window and wakes the waiting readers.
func (w *window) update(mutate func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	mutate()
	close(w.changed)
	w.changed = make(chan struct{})
}

// recordsFrom returns the records from an offset on, and the time of the last
// verified read. It waits until there are records, a newer verified read, or the
// wait is over.
func (w *window) recordsFrom(ctx context.Context, from int64, wait time.Duration) (Page, time.Duration, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var firstVerifiedAt time.Duration
	for round := 0; ; round++ {
		page, verifiedAt, changed, err := w.currentPage(from)
		if round == 0 {
			firstVerifiedAt = verifiedAt
		}
		if err != nil || len(page.Records) > 0 || verifiedAt > firstVerifiedAt {
			return page, verifiedAt, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, verifiedAt, nil
		case <-ctx.Done():
			return Page{}, 0, ctx.Err()
		}
	}
}

// currentPage returns the buffered records from an offset on without waiting,
// and a channel that is closed by the next update.
func (w *window) currentPage(from int64) (page Page, verifiedAt time.Duration, changed <-chan struct{}, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	page = Page{Next: max(from, w.nextOffset), End: max(from, w.nextOffset)}
	switch {
	case !w.loaded:
		return page, 0, w.changed, ErrUnread
	case w.failing:
		return page, 0, w.changed, ErrFailing
	case from < w.firstOffset:
		return page, 0, w.changed, ErrExpired
	}
	size := 0
	for _, record := range w.records {
		if record.Offset >= from {
			page.Records = append(page.Records, record)
			size += len(record.Value)
		}
	}
	if size > maxPeerPageBytes {
		return Page{}, 0, w.changed, ErrTooLarge
	}
	return page, w.verifiedAt, w.changed, nil
}
