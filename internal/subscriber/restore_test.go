package subscriber_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// restorableLog is a topic of a log that can come back from an older copy. Calls take no time.
type restorableLog struct {
	mu      sync.Mutex
	epoch   subscriber.Epoch
	records []subscriber.Record
	changed chan struct{}
	// silent is set if waiting reads are not woken.
	silent bool
	// newestReads and reads are the numbers of reads of all keys and of those from an offset.
	newestReads, reads int
	// respond, if set, is called by each read and may replace its response.
	respond func(from int64) (subscriber.Page, bool)
}

func newRestorableLog() *restorableLog {
	return &restorableLog{epoch: 1, changed: make(chan struct{})}
}

// notify wakes the waiting reads. The caller holds the mutex.
func (l *restorableLog) notify() {
	if l.silent {
		return
	}
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

// setSilent sets whether waiting reads are not woken.
func (l *restorableLog) setSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
}

// setRespond sets the function that replaces responses to reads, or none.
func (l *restorableLog) setRespond(respond func(from int64) (subscriber.Page, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.respond = respond
	l.notify()
}

// readCount returns the number of reads from an offset.
func (l *restorableLog) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
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
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
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
	if peer == nil {
		return startTopicWithPeer(t, log, nil)
	}
	return startTopicWithPeer(t, log, topicPeer{other: peer})
}

// startTopicWithPeer is startTopic with any peer.
func startTopicWithPeer(t *testing.T, log subscriber.Source, peer subscriber.Peer) *testTopic {
	return startTopicWithTiming(t, log, peer, subscriber.ReadTiming{Wait: time.Second})
}

// startTopicWithTiming is startTopicWithPeer with other timing.
func startTopicWithTiming(t *testing.T, log subscriber.Source, peer subscriber.Peer, timing subscriber.ReadTiming) *testTopic {
	start := time.Now()
	topic := &testTopic{applied: map[string]string{}}
	topic.Subscriber = subscriber.New("t", log, timing, func() time.Duration { return time.Since(start) }, topic.apply, hclog.NewNullLogger())
	if peer != nil {
		topic.SetPeer(peer)
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
type topicPeer struct {
	other *testTopic
	// away, if set, is true while the peer cannot be reached.
	away *atomic.Bool
}

func (p topicPeer) Read(ctx context.Context, _ string, from subscriber.Position, wait time.Duration) (subscriber.Page, time.Duration, error) {
	if p.away != nil && p.away.Load() {
		return subscriber.Page{}, 0, subscriber.ErrNoPeer
	}
	startedAt := time.Now()
	page, age, err := p.other.RecordsFrom(ctx, from, wait)
	return page, age - time.Since(startedAt), err
}

func (p topicPeer) Newest(ctx context.Context, _ string) (subscriber.Snapshot, time.Duration, error) {
	if p.away != nil && p.away.Load() {
		return subscriber.Snapshot{}, 0, subscriber.ErrNoPeer
	}
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
// any sequence of writes, restores, starts of daemons and links to the zone reader that fail.
func TestRestoresInAnyOrder(t *testing.T) {
	const runs = 60
	for seed := range uint64(runs) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				log := newRestorableLog()
				reader := startTopic(t, log, nil)
				var away atomic.Bool
				peer := topicPeer{reader, &away}
				topics := []*testTopic{reader, startTopicWithPeer(t, log, peer), startTopicWithPeer(t, log, peer)}
				keys := []string{"i", "j", "k", "l"}
				wanted := map[string]string{}
				for range 5 + random.IntN(40) {
					away.Store(random.IntN(4) == 0)
					switch key := keys[random.IntN(len(keys))]; random.IntN(8) {
					case 0:
						log.restore(random.IntN(1 + log.length()))
					case 1:
						if len(topics) < 6 {
							topics = append(topics, startTopicWithPeer(t, log, peer))
						}
					case 2:
						log.put(key, wanted[key])
					default:
						wanted[key] = []string{"", "a", "b"}[random.IntN(3)]
						log.put(key, wanted[key])
					}
					time.Sleep(time.Duration(random.IntN(4)) * time.Duration(random.IntN(1000)) * time.Millisecond)
				}
				away.Store(false)
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

// TestResponsesOfOtherEpochs guards against a response from before a restore that takes back what
// was read after it, or counts as proof that nothing newer is there.
func TestResponsesOfOtherEpochs(t *testing.T) {
	old := subscriber.Record{Key: "k", Value: []byte("old"), Offset: 2, Epoch: 1}
	const staleTime = 4 * time.Second
	rows := map[string]struct {
		stale subscriber.Page
		// minAge is the least age of the verified read after staleTime.
		minAge time.Duration
		want   map[string]string
	}{
		"with a record":    {subscriber.Page{Records: []subscriber.Record{old}, Next: 3, End: 3, Epoch: 1}, staleTime - 100*time.Millisecond, map[string]string{"k": "new"}},
		"empty":            {subscriber.Page{Next: 2, End: 2, Epoch: 1}, staleTime - 100*time.Millisecond, map[string]string{"k": "new"}},
		"without an epoch": {subscriber.Page{Next: 2, End: 2}, 0, map[string]string{"k": "new"}},
	}
	for name, row := range rows {
		for _, confirmAfter := range []time.Duration{0, 60 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, confirmed after %v", name, confirmAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					log := newRestorableLog()
					log.put("k", "a")
					topic := startTopicWithTiming(t, log, nil, subscriber.ReadTiming{Wait: time.Second, ConfirmAfter: confirmAfter})
					time.Sleep(time.Second)
					log.restore(1)
					log.put("k", "new")
					time.Sleep(noticeTime)
					log.setRespond(func(int64) (subscriber.Page, bool) { return row.stale, true })
					time.Sleep(staleTime)
					synctest.Wait()
					if age, ok := topic.VerifiedAge(); !ok || age < row.minAge {
						t.Errorf("VerifiedAge() got %v, %t, want at least %v", age, ok, row.minAge)
					}
					checkValues(t, "while responses are stale", topic.values(), row.want)
					if got := topic.Epoch(); got != 2 {
						t.Errorf("Epoch() got %d, want 2", got)
					}
					log.setRespond(nil)
					log.put("k", "newer")
					time.Sleep(2 * time.Second)
					checkValues(t, "afterwards", topic.values(), map[string]string{"k": "newer"})
					if age, ok := topic.VerifiedAge(); !ok || age > 1100*time.Millisecond {
						t.Errorf("VerifiedAge() afterwards got %v, %t, want at most the wait of a read", age, ok)
					}
				})
			})
		}
	}
}

// TestReaderBehindItsFollower guards against a follower that takes the view of a zone reader that
// does not know of a restore yet, or never follows it again.
func TestReaderBehindItsFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after := newRestorableLog(), newRestorableLog()
		for _, log := range []*restorableLog{before, after} {
			log.put("j", "a")
			log.put("k", "a")
		}
		reader := startTopic(t, before, nil)
		var away atomic.Bool
		follower := startTopicWithPeer(t, after, topicPeer{reader, &away})
		time.Sleep(2 * time.Second)
		away.Store(true)
		after.restore(1)
		after.put("j", "b")
		time.Sleep(noticeTime)
		away.Store(false)
		for i := range 5 {
			after.put("j", fmt.Sprint("c", i))
			time.Sleep(3 * time.Second)
			checkValues(t, "follower while its reader is behind", map[string]string{"j": follower.values()["j"]}, map[string]string{"j": fmt.Sprint("c", i)})
			if age, ok := follower.VerifiedAge(); !ok || age > 3*time.Second {
				t.Errorf("VerifiedAge() got %v, %t, want at most 3s", age, ok)
			}
		}
		before.restore(1)
		before.put("j", "b")
		for i := range 5 {
			before.put("j", fmt.Sprint("c", i))
		}
		time.Sleep(holdEnd)
		reads := after.readCount()
		time.Sleep(holdEnd)
		for name, topic := range map[string]*testTopic{"reader": reader, "follower": follower} {
			checkValues(t, name, topic.values(), map[string]string{"j": "c4"})
		}
		if got := after.readCount() - reads; got > 0 {
			t.Errorf("reads of the log by the follower got %d, want none: it follows its reader again", got)
		}
	})
}

// TestRestoresInARow guards against knowledge that a second restore takes back although it was lost
// in the first one and not written again, and against a hold that does not begin again.
func TestRestoresInARow(t *testing.T) {
	const pause = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		log := newRestorableLog()
		reader := startTopic(t, log, nil)
		topics := map[string]*testTopic{"reader": reader, "follower": startTopic(t, log, reader)}
		time.Sleep(time.Second)
		for _, value := range []string{"a", "b", "c"} {
			log.put("k", value)
		}
		log.put("j", "a")
		log.put("j", "")
		time.Sleep(2 * time.Second)
		log.restore(4)
		time.Sleep(pause)
		log.restore(2)
		time.Sleep(pause)
		log.restore(1)
		time.Sleep(pause)
		for name, topic := range topics {
			checkValues(t, name+" after three restores", topic.values(), map[string]string{"k": "c"})
		}
		time.Sleep(holdEnd)
		for name, topic := range topics {
			checkValues(t, name+" after the hold", topic.values(), map[string]string{"k": "a"})
		}
	})
}

// TestRestoreWhileReadWaits guards against a second read that shows the restore while the first one
// waits on, and from which the position was taken over without reading all keys again.
func TestRestoreWhileReadWaits(t *testing.T) {
	const confirmAfter = 60 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		log := newRestorableLog()
		topic := startTopicWithTiming(t, log, nil, subscriber.ReadTiming{Wait: 10 * time.Second, ConfirmAfter: confirmAfter})
		time.Sleep(time.Second)
		log.put("k", "a")
		log.put("k", "b")
		time.Sleep(confirmAfter / 2)
		log.setSilent(true)
		log.restore(1)
		log.put("k", "c")
		time.Sleep(time.Second)
		checkValues(t, "after the second read", topic.values(), map[string]string{"k": "c"})
	})
}

// TestSnapshotOfReaderBehind guards against a follower whose position the log no longer has and that
// takes all keys from a zone reader which has read less than it.
func TestSnapshotOfReaderBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after := newRestorableLog(), newRestorableLog()
		before.put("j", "a")
		after.put("j", "a")
		var away atomic.Bool
		away.Store(true)
		follower := startTopicWithPeer(t, after, topicPeer{startTopic(t, before, nil), &away})
		time.Sleep(time.Second)
		after.put("j", "b")
		after.put("k", "c")
		// A read of the log waits then.
		time.Sleep(300 * time.Millisecond)
		away.Store(false)
		after.restore(1)
		time.Sleep(100 * time.Millisecond)
		checkValues(t, "follower", follower.values(), map[string]string{"j": "b", "k": "c"})
		if got := follower.Epoch(); got != 2 {
			t.Errorf("Epoch() got %d, want 2", got)
		}
	})
}

// TestHoldEndsInTime guards against lost records that stay known for a whole read longer than the
// hold, and against encoded snapshots of an older epoch that are served after a restore.
func TestHoldEndsInTime(t *testing.T) {
	const holdTime, wait = 10 * time.Second, 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		log := newRestorableLog()
		topic := startTopicWithTiming(t, log, nil, subscriber.ReadTiming{Wait: wait})
		time.Sleep(time.Second)
		log.put("k", "a")
		time.Sleep(time.Second)
		earlier := topic.Next()
		log.restore(0)
		time.Sleep(holdTime - 100*time.Millisecond)
		if topic.CoversFrom(earlier) || !topic.CoversFrom(topic.Next()) {
			t.Errorf("CoversFrom() got %t for a position of the older epoch and %t for the current one, want false and true", topic.CoversFrom(earlier), topic.CoversFrom(topic.Next()))
		}
		if got := topic.LostKeys(); got != 1 {
			t.Errorf("lost keys during the hold got %d, want 1", got)
		}
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		if got := topic.LostKeys(); got != 0 {
			t.Errorf("lost keys after the hold got %d, want 0", got)
		}
		checkValues(t, "after the hold", topic.values(), map[string]string{})
	})
}

// waitSource records the shortest wait of the reads of a log.
type waitSource struct {
	*restorableLog
	shortest atomic.Int64
}

func (s *waitSource) Read(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
	s.shortest.Store(min(s.shortest.Load(), int64(wait)))
	return s.restorableLog.Read(ctx, from, max(wait, 0))
}

// slowPeer fails each read after a while.
type slowPeer struct{ topicPeer }

func (slowPeer) Read(context.Context, string, subscriber.Position, time.Duration) (subscriber.Page, time.Duration, error) {
	const readTime = 2150 * time.Millisecond
	time.Sleep(readTime)
	return subscriber.Page{}, 0, errors.New("timeout")
}

// TestWaitAtEndOfHold guards against a read with a negative wait when the hold ends during the read
// from the peer.
func TestWaitAtEndOfHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newRestorableLog()
		source := &waitSource{restorableLog: log}
		log.put("a", "1")
		log.put("b", "1")
		reader := startTopic(t, log, nil)
		time.Sleep(3 * time.Second)
		startTopicWithPeer(t, source, slowPeer{topicPeer{other: reader}})
		time.Sleep(10 * time.Second)
		log.restore(1)
		time.Sleep(2 * holdEnd)
		if got := time.Duration(source.shortest.Load()); got < 0 {
			t.Errorf("shortest wait of a read got %v, want none below 0", got)
		}
	})
}

// frozenPeer responds to reads only while it is not frozen.
type frozenPeer struct {
	topicPeer
	frozen *atomic.Bool
}

func (p frozenPeer) Read(ctx context.Context, topic string, from subscriber.Position, wait time.Duration) (subscriber.Page, time.Duration, error) {
	for p.frozen.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	return p.topicPeer.Read(ctx, topic, from, wait)
}

// TestDeletionReadByReaderFirst guards against a key that stays in force at a follower although it
// was deleted after the restore: the reader has read the deletion before the follower asks.
func TestDeletionReadByReaderFirst(t *testing.T) {
	rows := map[string]struct {
		// count is the number of records that the log keeps, out of a, b and c.
		count   int
		rewrite func(l *restorableLog)
		want    map[string]string
	}{
		"only lost key":         {2, func(l *restorableLog) { l.put("c", "") }, map[string]string{"a": "1", "b": "1"}},
		"one of two lost keys":  {1, func(l *restorableLog) { l.put("b", "") }, map[string]string{"a": "1", "c": "1"}},
		"key that the log has":  {2, func(l *restorableLog) { l.put("b", "") }, map[string]string{"a": "1", "c": "1"}},
		"deleted and put again": {2, func(l *restorableLog) { l.put("c", ""); l.put("c", "2") }, map[string]string{"a": "1", "b": "1", "c": "2"}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newRestorableLog()
				for _, key := range []string{"a", "b", "c"} {
					log.put(key, "1")
				}
				reader := startTopic(t, log, nil)
				frozen := &atomic.Bool{}
				follower := startTopicWithPeer(t, log, frozenPeer{topicPeer{other: reader}, frozen})
				time.Sleep(3 * time.Second)
				frozen.Store(true)
				time.Sleep(2 * time.Second)
				log.restore(row.count)
				time.Sleep(2 * time.Second)
				row.rewrite(log)
				time.Sleep(2 * time.Second)
				frozen.Store(false)
				time.Sleep(4 * time.Second)
				late := startTopic(t, log, follower)
				time.Sleep(time.Second)
				topics := map[string]*testTopic{"reader": reader, "follower": follower, "started during the hold": late}
				for name, topic := range topics {
					checkValues(t, name, topic.values(), row.want)
				}
				time.Sleep(2 * holdEnd)
				for name, topic := range topics {
					checkValues(t, name+" after the hold", topic.values(), log.values())
					checkNoDeletions(t, name, topic)
				}
			})
		})
	}
}

// checkNoDeletions reports deletions among the newest records that a topic passes on.
func checkNoDeletions(t *testing.T, name string, topic *testTopic) {
	t.Helper()
	snapshot, err := topic.Snapshot(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for _, record := range snapshot.Records {
		if len(record.Value) == 0 {
			t.Errorf("%s: snapshot after the hold got a deletion of %q, want none", name, record.Key)
		}
	}
}

// TestDeletionsAreNotKept guards against deletions that gather in the snapshots for other daemons
// after the time in which a follower may notice a restore.
func TestDeletionsAreNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newRestorableLog()
		log.put("k", "a")
		reader := startTopic(t, log, nil)
		topics := map[string]*testTopic{"reader": reader, "follower": startTopic(t, log, reader)}
		time.Sleep(time.Second)
		log.restore(1)
		// The deletions begin before the time is over and go on after it.
		for i := range 40 {
			time.Sleep(500 * time.Millisecond)
			log.put(fmt.Sprint("gone", i), "a")
			log.put(fmt.Sprint("gone", i), "")
		}
		time.Sleep(2 * time.Second)
		for name, topic := range topics {
			checkNoDeletions(t, name, topic)
			checkValues(t, name, topic.values(), map[string]string{"k": "a"})
		}
	})
}

// TestHoldOfDaemonsThatStart guards against what the log has lost staying for long, and against
// lost endpoints that get their grace again, because each daemon that starts takes it over from the
// one before.
func TestHoldOfDaemonsThatStart(t *testing.T) {
	rows := map[string]struct {
		pause  time.Duration
		starts int
		// want are the values after the last start.
		want map[string]string
	}{
		"9 s apart":             {9 * time.Second, 5, map[string]string{"a": "1"}},
		"3 s apart, until 9 s":  {3 * time.Second, 3, map[string]string{"a": "1", "b": "1"}},
		"3 s apart, until 12 s": {3 * time.Second, 4, map[string]string{"a": "1"}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newRestorableLog()
				log.put("a", "1")
				log.put("b", "1")
				topic := startTopic(t, log, nil)
				time.Sleep(3 * time.Second)
				log.restore(1)
				restoredAt := time.Now()
				for range row.starts {
					time.Sleep(row.pause)
					topic = startTopic(t, log, topic)
					synctest.Wait()
					elapsed, ok := topic.SinceOutage()
					if want := time.Since(restoredAt); topic.LostKeys() > 0 && (!ok || elapsed < want-time.Second || elapsed > want) {
						t.Errorf("SinceOutage() of a daemon that started %v after the restore got %v, %t, want the time since it was seen", want, elapsed, ok)
					}
				}
				time.Sleep(500 * time.Millisecond)
				checkValues(t, "after the last start", topic.values(), row.want)
				time.Sleep(holdEnd)
				checkValues(t, "after the hold", topic.values(), log.values())
			})
		})
	}
}

// snapshotPeer shows a snapshot of all keys once, and serves no reads.
type snapshotPeer struct {
	snapshot subscriber.Snapshot
	isShown  bool
}

func (*snapshotPeer) Read(context.Context, string, subscriber.Position, time.Duration) (subscriber.Page, time.Duration, error) {
	return subscriber.Page{}, 0, subscriber.ErrNoPeer
}

func (p *snapshotPeer) Newest(context.Context, string) (subscriber.Snapshot, time.Duration, error) {
	if p.isShown {
		return subscriber.Snapshot{}, 0, subscriber.ErrNoPeer
	}
	p.isShown = true
	return p.snapshot, 0, nil
}

// TestStartFromHeldSnapshot guards against a daemon that starts and holds what the log has lost for
// longer than its peer, or that lacks what the log shows instead.
func TestStartFromHeldSnapshot(t *testing.T) {
	const margin = 10 * time.Millisecond
	held := []subscriber.Record{{Key: "k", Value: []byte("b"), Offset: 7, Epoch: 1}}
	rows := map[string]struct {
		sinceRestore time.Duration
		// wantUntil is how long the lost record stays, 0 if it is never applied.
		wantUntil time.Duration
	}{
		"peer of an earlier version":    {0, 10 * time.Second},
		"during the hold":               {7 * time.Second, 3 * time.Second},
		"at the end of the hold":        {10 * time.Second, 0},
		"after the hold":                {time.Minute, 0},
		"shortly before the hold's end": {9900 * time.Millisecond, 100 * time.Millisecond},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newRestorableLog()
				log.put("k", "a")
				log.restore(1)
				peer := &snapshotPeer{snapshot: subscriber.Snapshot{Records: slices.Clone(held), Next: subscriber.Position{Epoch: 2, Offset: 1}, SinceRestore: row.sinceRestore}}
				topic := startTopicWithPeer(t, log, peer)
				synctest.Wait()
				if row.wantUntil == 0 {
					checkValues(t, "at the start", topic.values(), log.values())
					return
				}
				time.Sleep(row.wantUntil - margin)
				checkValues(t, "before the hold's end", topic.values(), map[string]string{"k": "b"})
				if got := topic.LostKeys(); got != 1 {
					t.Errorf("lost keys got %d, want 1", got)
				}
				if elapsed, ok := topic.SinceOutage(); !ok || elapsed != row.sinceRestore+row.wantUntil-margin {
					t.Errorf("SinceOutage() got %v, %t, want %v", elapsed, ok, row.sinceRestore+row.wantUntil-margin)
				}
				time.Sleep(2 * margin)
				checkValues(t, "after the hold's end", topic.values(), log.values())
			})
		})
	}
}

// TestStartWithDeletion guards against a daemon that starts during the hold and does not pass on a
// deletion that its peer has read, or passes it on for ever.
func TestStartWithDeletion(t *testing.T) {
	deletion := subscriber.Record{Key: "k", Offset: 0, Epoch: 2}
	rows := map[string]struct {
		sinceRestore time.Duration
		// want is the number of deletions in the daemon's own snapshot.
		want int
	}{
		"during the hold": {7 * time.Second, 1},
		"after the hold":  {time.Minute, 0},
		"unknown restore": {0, 0},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newRestorableLog()
				log.restore(0)
				log.put("k", "")
				peer := &snapshotPeer{snapshot: subscriber.Snapshot{Records: []subscriber.Record{deletion}, Next: subscriber.Position{Epoch: 2, Offset: 1}, SinceRestore: row.sinceRestore}}
				topic := startTopicWithPeer(t, log, peer)
				synctest.Wait()
				checkValues(t, "at the start", topic.values(), map[string]string{})
				snapshot, err := topic.Snapshot(t.Context(), time.Second)
				if err != nil {
					t.Fatal(err)
				}
				if len(snapshot.Records) != row.want || snapshot.SinceRestore != row.sinceRestore {
					t.Errorf("snapshot got %v and %v since the restore, want %d deletions and %v", snapshot.Records, snapshot.SinceRestore, row.want, row.sinceRestore)
				}
				time.Sleep(holdEnd)
				checkNoDeletions(t, name, topic)
			})
		})
	}
}
