package subscriber

import (
	"cmp"
	"context"
	"maps"
	"slices"
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
	// errSilent is the ErrFailing of reads that get no response.
	errSilent = errors.Wrap(ErrFailing, "no response from the log")
)

const (
	// maxBufferedBytes bounds the record values that are buffered for other daemons.
	maxBufferedBytes = 256 << 10
	// failingGrace is how long a request waits for reads of the log that fail to succeed
	// again, so that a short failure does not make all daemons read the log. Reads that get
	// no response have taken long already.
	failingGrace = 400 * time.Millisecond
	// graceRead is the time after which the log is read again within failingGrace. The difference
	// is for that read and for topics that follow the outages of another one.
	graceRead = failingGrace - 2*recoveryInterval
	// maxPeerPageBytes bounds the record values of one page for another daemon, unless
	// a single record is larger. Many daemons may ask at once, and the network bandwidth
	// of an instance is low.
	maxPeerPageBytes = 64 << 10
)

// window buffers the latest records of a topic and the newest one of each key,
// together with the time of the last verified read. It is safe for concurrent use.
type window struct {
	mu sync.Mutex
	// newest holds the newest record of each key, without deleted keys. A record without a value
	// is a deletion that the log has lost in a restore, or one that was read after it.
	newest map[string]Record
	// deletionsUntil is until when newest keeps the deletions that are read: followers that notice
	// the restore later would take the key for lost. It is 0 if newest keeps none.
	deletionsUntil time.Duration
	// past holds records that newest held before.
	past    past
	records []Record
	bytes   int
	// firstOffset is the offset of the first buffered record, next the position after the
	// last one. All buffered records are of its epoch.
	firstOffset int64
	next        Position
	// loaded is set while the topic is followed and has been read, hasNewest once it has
	// been read.
	loaded     bool
	hasNewest  bool
	failing    bool
	silent     bool
	verifiedAt time.Duration
	// changed is closed and replaced by each update.
	changed chan struct{}
}

func newWindow() *window {
	return &window{newest: map[string]Record{}, changed: make(chan struct{})}
}

// load replaces the content by the newest records of all keys.
func (w *window) load(newest map[string]Record, next Position, verifiedAt time.Duration) {
	w.update(func() {
		for key, record := range w.newest {
			if current, found := newest[key]; !found || identify(current) != identify(record) {
				w.past.add(record)
			}
		}
		w.newest = newest
		w.empty(next, verifiedAt)
		if !w.keepsDeletions(verifiedAt) {
			w.dropDeletions()
		}
	})
}

// keepDeletions makes the newest records hold deletions that are read before the given time.
func (w *window) keepDeletions(until time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deletionsUntil = until
}

// keepsDeletions reports whether the newest records hold deletions that are read at the given time.
// The caller holds the mutex.
func (w *window) keepsDeletions(at time.Duration) bool {
	return w.deletionsUntil != 0 && at < w.deletionsUntil
}

// dropDeletions drops the deletions that the log has not lost. The caller holds the mutex.
func (w *window) dropDeletions() {
	w.deletionsUntil = 0
	maps.DeleteFunc(w.newest, func(_ string, record Record) bool {
		return len(record.Value) == 0 && !record.Epoch.before(w.next.Epoch)
	})
}

// byKey returns the records by their keys.
func byKey(records []Record) map[string]Record {
	newest := map[string]Record{}
	for _, record := range records {
		newest[record.Key] = record
	}
	return newest
}

// addNewest updates the newest records of their keys. The caller holds the mutex.
func (w *window) addNewest(records []Record, verifiedAt time.Duration) {
	keepsDeletions := w.keepsDeletions(verifiedAt)
	if w.deletionsUntil != 0 && !keepsDeletions {
		w.dropDeletions()
	}
	for _, record := range records {
		if replaced, found := w.newest[record.Key]; found {
			w.past.add(replaced)
		}
		if len(record.Value) == 0 && !keepsDeletions {
			delete(w.newest, record.Key)
			continue
		}
		w.newest[record.Key] = record
	}
}

// merge merges a snapshot with what is known. Only the one that changes the window may call it.
func (w *window) merge(snapshot Snapshot) mergeResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	return merge(w.newest, &w.past, w.next, snapshot)
}

// empty drops the buffered records, so that they begin at next. The caller holds the mutex.
func (w *window) empty(next Position, verifiedAt time.Duration) {
	w.records = nil
	w.bytes = 0
	w.firstOffset = next.Offset
	w.next = next
	w.loaded = true
	w.hasNewest = true
	w.failing = false
	w.verifiedAt = verifiedAt
}

// skipTo records a page that did not reach the end of the topic. The window serves
// no records until one does.
func (w *window) skipTo(records []Record, next Position, verifiedAt time.Duration) {
	w.update(func() {
		w.addNewest(records, verifiedAt)
		w.empty(next, verifiedAt)
		w.failing, w.silent = true, false
	})
}

// appendRecords adds the records of a page that reached the end of the topic.
// Everything appended before verifiedAt has been read.
func (w *window) appendRecords(records []Record, next Position, verifiedAt time.Duration) {
	w.update(func() {
		w.addNewest(records, verifiedAt)
		for _, record := range records {
			w.records = append(w.records, record)
			w.bytes += len(record.Value)
		}
		w.next = next
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
	w.firstOffset = w.next.Offset
	if len(w.records) > 0 {
		w.firstOffset = w.records[0].Offset
	}
}

// markFailing records that the topic cannot be read, and whether that is because reads get no
// response.
func (w *window) markFailing(silent bool) {
	w.update(func() { w.failing, w.silent = true, silent })
}

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

// recordsFrom returns the records from a position on, and the time of the last
// verified read. It waits until there are records, a newer verified read, or the
// wait is over. While reads of the log fail it returns ErrFailing after failingGrace, or at
// once if they get no response.
func (w *window) recordsFrom(ctx context.Context, from Position, wait time.Duration) (Page, time.Duration, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var firstVerifiedAt time.Duration
	var failingLong <-chan time.Time
	for round := 0; ; round++ {
		page, verifiedAt, changed, err := w.currentPage(from)
		if round == 0 {
			firstVerifiedAt = verifiedAt
		}
		if errors.Is(err, ErrFailing) && !errors.Is(err, errSilent) {
			if failingLong == nil {
				failingLong = time.After(failingGrace)
			}
			select {
			case <-changed:
				continue
			case <-failingLong:
				return page, 0, err
			case <-ctx.Done():
				return Page{}, 0, ctx.Err()
			}
		}
		failingLong = nil
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

// currentPage returns the buffered records from a position on without waiting,
// and a channel that is closed by the next update. From a position of an older epoch on, no
// records are known; those of a newer one have not been read.
func (w *window) currentPage(from Position) (page Page, verifiedAt time.Duration, changed <-chan struct{}, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	end := max(from.Offset, w.next.Offset)
	page = Page{Next: end, End: end, Epoch: w.next.Epoch}
	switch {
	case !w.loaded:
		return page, 0, w.changed, ErrUnread
	case w.failing && w.silent:
		return page, 0, w.changed, errSilent
	case w.failing:
		return page, 0, w.changed, ErrFailing
	case w.next.Epoch.before(from.Epoch):
		return page, 0, w.changed, ErrUnread
	case from.Epoch.before(w.next.Epoch), from.Offset < w.firstOffset:
		return page, 0, w.changed, ErrExpired
	}
	page.Records, page.Next = w.recordsWithin(from.Offset, page.Next)
	return page, w.verifiedAt, w.changed, nil
}

// recordsWithin returns the buffered records from an offset on, as many as fit
// maxPeerPageBytes and at least one, and the offset after them. end is the offset
// after all of them. The caller holds the mutex.
func (w *window) recordsWithin(from, end int64) (records []Record, next int64) {
	size := 0
	for _, record := range w.records {
		if record.Offset < from {
			continue
		}
		if size += len(record.Value); size > maxPeerPageBytes && len(records) > 0 {
			return records, record.Offset
		}
		records = append(records, record)
	}
	return records, end
}

// snapshot returns the newest records of all keys. It waits until they have been
// read, but not longer than the given time. If the topic is not followed any more, the
// records are those until then.
func (w *window) snapshot(ctx context.Context, wait time.Duration) (Snapshot, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		snapshot, changed, err := w.currentSnapshot()
		if !errors.Is(err, ErrUnread) {
			return snapshot, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return Snapshot{}, err
		case <-ctx.Done():
			return Snapshot{}, ctx.Err()
		}
	}
}

// currentSnapshot returns the newest records without waiting, and a channel that is
// closed by the next update.
func (w *window) currentSnapshot() (Snapshot, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.hasNewest:
		return Snapshot{}, w.changed, ErrUnread
	case w.failing:
		return Snapshot{}, w.changed, ErrFailing
	}
	records := slices.SortedFunc(maps.Values(w.newest), func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return Snapshot{Records: records, Next: w.next, VerifiedAt: w.verifiedAt}, w.changed, nil
}

// coversFrom reports whether the buffered records begin at the position or before.
func (w *window) coversFrom(from Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loaded && !w.failing && from.Epoch == w.next.Epoch && from.Offset >= w.firstOffset
}
