package subscriber

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a subscriber that is asked for what it has read.
var (
	// ErrUnread is returned while the topic has not been read.
	ErrUnread = errors.New("the topic has not been read")
	// ErrFailing is returned while the topic cannot be read.
	ErrFailing = errors.New("the topic cannot be read")
	// ErrTooLarge is returned for records that are better read from the log.
	ErrTooLarge = errors.New("the records are too large to be handed on")
)

const (
	// maxKept bounds the bytes of records that are kept for others.
	maxKept = 256 << 10
	// maxHandedOn bounds the bytes of one page for another daemon: many may ask at
	// once, and an instance's link is narrow.
	maxHandedOn = 32 << 10
)

// window keeps the newest records of a topic and the proof that they are the
// newest. It is safe for concurrent use.
type window struct {
	mu    sync.Mutex
	items []Record
	bytes int
	// base is the offset of the first record that is kept, next that after the
	// last one.
	base    int64
	next    int64
	read    bool
	failing bool
	proof   time.Duration
	changed chan struct{}
}

func newWindow() *window { return &window{changed: make(chan struct{})} }

// reset begins anew after all keys have been read.
func (w *window) reset(next int64, proof time.Duration) {
	w.change(func() {
		w.items = nil
		w.bytes = 0
		w.base = next
		w.next = next
		w.read = true
		w.failing = false
		w.proof = proof
	})
}

// extend adds the records of a page that reached the end of the topic at the
// time of the proof.
func (w *window) extend(items []Record, next int64, proof time.Duration) {
	w.change(func() {
		for _, item := range items {
			w.items = append(w.items, item)
			w.bytes += len(item.Value)
		}
		w.next = next
		w.read = true
		w.failing = false
		w.proof = max(w.proof, proof)
		w.trim()
	})
}

// trim drops the oldest records beyond the bound.
func (w *window) trim() {
	drop := 0
	for w.bytes > maxKept && drop < len(w.items) {
		w.bytes -= len(w.items[drop].Value)
		drop++
	}
	if drop == 0 {
		return
	}
	w.items = append([]Record(nil), w.items[drop:]...)
	w.base = w.next
	if len(w.items) > 0 {
		w.base = w.items[0].Offset
	}
}

// fail records that the topic cannot be read.
func (w *window) fail() { w.change(func() { w.failing = true }) }

// forget records that the topic is not followed.
func (w *window) forget() { w.change(func() { w.read = false }) }

func (w *window) change(apply func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	apply()
	close(w.changed)
	w.changed = make(chan struct{})
}

// after returns the records from an offset on, and the time of the proof. It
// waits until there are any, the proof is newer than it was, or the time is over.
func (w *window) after(ctx context.Context, from int64, wait time.Duration) (Page, time.Duration, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var first time.Duration
	for round := 0; ; round++ {
		page, proof, changed, err := w.look(from)
		if round == 0 {
			first = proof
		}
		if err != nil || len(page.Records) > 0 || proof > first {
			return page, proof, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, proof, nil
		case <-ctx.Done():
			return Page{}, 0, ctx.Err()
		}
	}
}

// look returns what there is now, and a channel that is closed by the next
// change.
func (w *window) look(from int64) (page Page, proof time.Duration, changed <-chan struct{}, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	page = Page{Next: max(from, w.next), End: max(from, w.next)}
	switch {
	case !w.read:
		return page, 0, w.changed, ErrUnread
	case w.failing:
		return page, 0, w.changed, ErrFailing
	case from < w.base:
		return page, 0, w.changed, ErrExpired
	}
	size := 0
	for _, item := range w.items {
		if item.Offset >= from {
			page.Records = append(page.Records, item)
			size += len(item.Value)
		}
	}
	if size > maxHandedOn {
		return Page{}, 0, w.changed, ErrTooLarge
	}
	return page, w.proof, w.changed, nil
}
