package subscriber_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// restorableLog is a topic of a log that can come back from an older copy. Calls take no time.
type restorableLog struct {
	mu      sync.Mutex
	epoch   subscriber.Epoch
	records []subscriber.Record
	changed chan struct{}
	// newestReads is the number of reads of all keys.
	newestReads int
	// respond, if set, is called by each read and may replace its response.
	respond func(from int64) (subscriber.Page, bool)
}

func newRestorableLog() *restorableLog {
	return &restorableLog{epoch: 1, changed: make(chan struct{})}
}

// notify wakes the waiting reads. The caller holds the mutex.
func (l *restorableLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// put appends a record. A value of "" deletes the key.
func (l *restorableLog) put(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := subscriber.Record{Key: key, Offset: int64(len(l.records))}
	if value != "" {
		record.Value = []byte(value)
	}
	l.records = append(slices.Clip(l.records), record)
	l.notify()
}

// restore makes the log come back with its first records only.
func (l *restorableLog) restore(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = slices.Clip(l.records[:min(count, len(l.records))])
	l.epoch++
	l.notify()
}

// values returns the newest value of each key.
func (l *restorableLog) values() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return valuesOf(newestValues(l.records))
}

// length returns the number of records.
func (l *restorableLog) length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// newestCount returns the number of reads of all keys.
func (l *restorableLog) newestCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newestReads
}

func valuesOf(records map[string][]byte) map[string]string {
	values := map[string]string{}
	for key, value := range records {
		values[key] = string(value)
	}
	return values
}

func (l *restorableLog) Newest(context.Context) (subscriber.Snapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newestReads++
	newest := map[string]subscriber.Record{}
	for _, record := range l.records {
		newest[record.Key] = record
	}
	snapshot := subscriber.Snapshot{Next: subscriber.Position{Epoch: l.epoch, Offset: int64(len(l.records))}}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if record := newest[key]; len(record.Value) > 0 {
			record.Epoch = l.epoch
			snapshot.Records = append(snapshot.Records, record)
		}
	}
	return snapshot, nil
}

func (l *restorableLog) Read(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for isLast := false; ; {
		page, changed, err := l.page(from)
		if err != nil || len(page.Records) > 0 || isLast {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			isLast = true
		case <-ctx.Done():
			return subscriber.Page{}, ctx.Err()
		}
	}
}

// page returns the records from an offset on, and a channel that is closed by the next change.
func (l *restorableLog) page(from int64) (subscriber.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.respond != nil {
		if page, ok := l.respond(from); ok {
			return page, l.changed, nil
		}
	}
	end := int64(len(l.records))
	if from > end {
		return subscriber.Page{}, nil, subscriber.ErrExpired
	}
	page := subscriber.Page{Records: slices.Clone(l.records[from:]), Next: end, End: end, Epoch: l.epoch}
	for i := range page.Records {
		page.Records[i].Epoch = l.epoch
	}
	return page, l.changed, nil
}

// testTopic is a subscriber whose changes are applied to a map, as a daemon does.
type testTopic struct {
	*subscriber.Subscriber

	mu      sync.Mutex
	applied map[string]string
	changes []subscriber.Change
}

// startTopic starts a subscriber that reads the log, or the peer first if there is one, until
// the test ends.
func startTopic(t *testing.T, log subscriber.Source, peer *testTopic) *testTopic {
	start := time.Now()
	topic := &testTopic{applied: map[string]string{}}
	topic.Subscriber = subscriber.New("t", log, subscriber.ReadTiming{Wait: time.Second}, func() time.Duration { return time.Since(start) }, topic.apply, hclog.NewNullLogger())
	if peer != nil {
		topic.SetPeer(topicPeer{peer})
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = topic.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return topic
}

func (d *testTopic) apply(change subscriber.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, change)
	if change.Complete {
		clear(d.applied)
	}
	for _, record := range change.Records {
		d.applied[record.Key] = string(record.Value)
		if len(record.Value) == 0 {
			delete(d.applied, record.Key)
		}
	}
}

// values returns what is applied.
func (d *testTopic) values() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.applied)
}

// changesSince returns the changes of the epoch and later ones.
func (d *testTopic) changesSince(epoch subscriber.Epoch) []subscriber.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []subscriber.Change
	for _, change := range d.changes {
		if change.Epoch >= epoch {
			changes = append(changes, change)
		}
	}
	return changes
}

// topicPeer reads from another subscriber, as a daemon does from its zone reader.
type topicPeer struct{ other *testTopic }

func (p topicPeer) Read(ctx context.Context, _ string, from subscriber.Position) (subscriber.Page, time.Duration, error) {
	startedAt := time.Now()
	page, age, err := p.other.RecordsFrom(ctx, from, 1900*time.Millisecond)
	return page, age - time.Since(startedAt), err
}

func (p topicPeer) Newest(ctx context.Context, _ string) (subscriber.Snapshot, time.Duration, error) {
	snapshot, err := p.other.Snapshot(ctx, 500*time.Millisecond)
	return snapshot, 0, err
}

// checkValues reports a difference between what is applied and what is wanted.
func checkValues(t *testing.T, name string, got, want map[string]string) {
	t.Helper()
	if !maps.Equal(got, want) {
		t.Errorf("%s: values got %v, want %v", name, got, want)
	}
}

const (
	// noticeTime is the time within which subscribers notice a restore in these tests.
	noticeTime = 5 * time.Second
	// holdEnd is the time within which the log counts as it stands again.
	holdEnd = 15 * time.Second
)

// TestRestoreKeepsWhatIsKnown guards against older records and missing keys of a restored log that
// replace newer knowledge before it is written again, and against lost records that stay for ever.
func TestRestoreKeepsWhatIsKnown(t *testing.T) {
	rows := map[string]struct {
		before func(l *restorableLog)
		// restoredTo is the number of records that the log keeps.
		restoredTo int
		rewrite    func(l *restorableLog)
		// wantHeld are the values after the restore, wantRewritten those after the rewrite.
		wantHeld, wantRewritten map[string]string
	}{
		"replaced record": {
			func(l *restorableLog) { l.put("k", "a"); l.put("k", "b") }, 1, func(l *restorableLog) { l.put("k", "b") },
			map[string]string{"k": "b"}, map[string]string{"k": "b"},
		},
		"deleted record": {
			func(l *restorableLog) { l.put("k", "a"); l.put("k", "") }, 1, func(l *restorableLog) { l.put("k", "") },
			map[string]string{}, map[string]string{},
		},
		"missing key": {
			func(l *restorableLog) { l.put("j", "a"); l.put("k", "b") }, 1, func(l *restorableLog) { l.put("k", "b") },
			map[string]string{"j": "a", "k": "b"}, map[string]string{"j": "a", "k": "b"},
		},
		"all records": {
			func(l *restorableLog) { l.put("j", "a"); l.put("k", "b") }, 0, func(l *restorableLog) { l.put("k", "c") },
			map[string]string{"j": "a", "k": "b"}, map[string]string{"j": "a", "k": "c"},
		},
		"other record at the same offset": {
			func(l *restorableLog) { l.put("k", "a"); l.put("k", "b") }, 1, func(l *restorableLog) { l.put("k", "c") },
			map[string]string{"k": "b"}, map[string]string{"k": "c"},
		},
		"older value written again": {
			func(l *restorableLog) { l.put("k", "a"); l.put("k", "b") }, 1, func(l *restorableLog) { l.put("k", "a") },
			map[string]string{"k": "b"}, map[string]string{"k": "a"},
		},
		"deleted after the restore": {
			func(l *restorableLog) { l.put("k", "a"); l.put("k", "b") }, 1, func(l *restorableLog) { l.put("k", "") },
			map[string]string{"k": "b"}, map[string]string{},
		},
		"nothing is lost": {
			func(l *restorableLog) { l.put("k", "a") }, 1, func(l *restorableLog) { l.put("k", "b") },
			map[string]string{"k": "a"}, map[string]string{"k": "b"},
		},
		"nothing is written again": {
			func(l *restorableLog) { l.put("k", "a"); l.put("k", "b"); l.put("j", "c") }, 1, func(*restorableLog) {},
			map[string]string{"k": "b", "j": "c"}, map[string]string{"k": "b", "j": "c"},
		},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newRestorableLog()
				reader := startTopic(t, log, nil)
				topics := map[string]*testTopic{"reader": reader, "follower": startTopic(t, log, reader), "other follower": startTopic(t, log, reader)}
				time.Sleep(time.Second)
				row.before(log)
				time.Sleep(5 * time.Second)
				readsBefore := log.newestCount()
				log.restore(row.restoredTo)
				time.Sleep(noticeTime)
				for name, topic := range topics {
					checkValues(t, name+" after the restore", topic.values(), row.wantHeld)
				}
				row.rewrite(log)
				time.Sleep(2 * time.Second)
				for name, topic := range topics {
					checkValues(t, name+" after the rewrite", topic.values(), row.wantRewritten)
				}
				time.Sleep(holdEnd)
				for name, topic := range topics {
					checkValues(t, name+" after the hold", topic.values(), log.values())
					if got := topic.LostKeys(); got != 0 || topic.Epoch() != 2 {
						t.Errorf("%s: lost keys got %d in epoch %d, want 0 in 2", name, got, topic.Epoch())
					}
				}
				if got := log.newestCount() - readsBefore; got > 2 {
					t.Errorf("reads of all keys got %d, want at most 2: of the restored log, and after the hold", got)
				}
			})
		})
	}
}

// TestChangesOfRestore guards against handlers that don't learn that the log was restored, or what
// it has lost.
func TestChangesOfRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newRestorableLog()
		reader := startTopic(t, log, nil)
		follower := startTopic(t, log, reader)
		log.put("i", "a")
		log.put("j", "a")
		log.put("k", "a")
		time.Sleep(5 * time.Second)
		log.restore(1)
		log.put("j", "b")
		time.Sleep(noticeTime)
		late := startTopic(t, log, reader)
		time.Sleep(holdEnd)
		wants := map[string]struct {
			topic *testTopic
			want  []string
		}{
			"reader":   {reader, []string{"complete=false epoch=2 next=2 records=j lost=k", "complete=true epoch=2 next=2 records=ij lost="}},
			"follower": {follower, []string{"complete=false epoch=2 next=2 records=j lost=k", "complete=true epoch=2 next=2 records=ij lost="}},
			// It has read nothing else, so it gets all that its reader knows.
			"started during the hold": {late, []string{"complete=true epoch=2 next=2 records=ijk lost=", "complete=false epoch=2 next=2 records= lost=k", "complete=true epoch=2 next=2 records=ij lost="}},
		}
		for name, row := range wants {
			var got []string
			for _, change := range row.topic.changesSince(2) {
				text := fmt.Sprintf("complete=%t epoch=%d next=%d records=", change.Complete, change.Epoch, change.Next)
				slices.SortFunc(change.Records, func(a, b subscriber.Record) int { return int(a.Key[0]) - int(b.Key[0]) })
				for _, record := range change.Records {
					text += record.Key
				}
				text += " lost="
				for _, key := range change.Lost {
					text += key
				}
				got = append(got, text)
			}
			if !slices.Equal(got, row.want) {
				t.Errorf("%s: changes of the new epoch got %q, want %q", name, got, row.want)
			}
		}
	})
}

// TestOutageEndsWithRestore guards against endpoints that are dropped because their registrations
// are missing after a restore: they register again, as after an outage.
func TestOutageEndsWithRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newRestorableLog()
		reader := startTopic(t, log, nil)
		log.put("k", "a")
		time.Sleep(5 * time.Second)
		if _, ok := reader.SinceOutage(); ok {
			t.Error("SinceOutage() before the restore got an outage, want none")
		}
		log.restore(0)
		time.Sleep(time.Second)
		late := startTopic(t, log, reader)
		time.Sleep(time.Second)
		for name, topic := range map[string]*testTopic{"reader": reader, "started during the hold": late} {
			if elapsed, ok := topic.SinceOutage(); !ok || elapsed > 2100*time.Millisecond || elapsed < 500*time.Millisecond {
				t.Errorf("%s: SinceOutage() got %v, %t, want the time since the restore was seen", name, elapsed, ok)
			}
		}
	})
}

// TestRestoresInAnyOrder guards against daemons that differ from the log, or wait for ever, after
// any sequence of writes, restores, starts of daemons and failures of the zone reader.
func TestRestoresInAnyOrder(t *testing.T) {
	const runs = 60
	for seed := range uint64(runs) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				log := newRestorableLog()
				reader := startTopic(t, log, nil)
				topics := []*testTopic{reader, startTopic(t, log, reader), startTopic(t, log, reader)}
				keys := []string{"i", "j", "k", "l"}
				wanted := map[string]string{}
				for range 5 + random.IntN(40) {
					switch key := keys[random.IntN(len(keys))]; random.IntN(8) {
					case 0:
						log.restore(random.IntN(1 + log.length()))
					case 1:
						if len(topics) < 6 {
							topics = append(topics, startTopic(t, log, reader))
						}
					case 2:
						log.put(key, wanted[key])
					default:
						wanted[key] = []string{"", "a", "b"}[random.IntN(3)]
						log.put(key, wanted[key])
					}
					time.Sleep(time.Duration(random.IntN(4)) * time.Duration(random.IntN(1000)) * time.Millisecond)
				}
				for _, key := range keys {
					log.put(key, wanted[key])
				}
				time.Sleep(noticeTime)
				before := log.newestCount()
				time.Sleep(2 * holdEnd)
				for i, topic := range topics {
					checkValues(t, fmt.Sprintf("daemon %d", i), topic.values(), log.values())
					if got := topic.LostKeys(); got > 0 {
						t.Errorf("daemon %d: lost keys got %d, want 0", i, got)
					}
					if age, ok := topic.VerifiedAge(); !ok || age > 3*time.Second {
						t.Errorf("daemon %d: VerifiedAge() got %v, %t, want at most 3s", i, age, ok)
					}
				}
				if got := log.newestCount() - before; got > len(topics) {
					t.Errorf("reads of all keys at the end of the hold got %d, want at most %d", got, len(topics))
				}
			})
		})
	}
}
