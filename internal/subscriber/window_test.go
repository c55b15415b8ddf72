package subscriber_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// peerFunc is a peer whose reads are served by a function.
type peerFunc func(ctx context.Context, from int64) (subscriber.Page, time.Duration, error)

func (p peerFunc) Read(ctx context.Context, _ string, from subscriber.Position, _ time.Duration) (subscriber.Page, time.Duration, error) {
	return p(ctx, from.Offset)
}

// Newest implements subscriber.Peer. The peer has no snapshot.
func (p peerFunc) Newest(context.Context, string) (subscriber.Snapshot, time.Duration, error) {
	return subscriber.Snapshot{}, 0, subscriber.ErrNoPeer
}

// The lag of a peer's response counts back from when the request was sent. If it
// counted from when the response arrived, the time on the way would make the
// view seem fresher than it is. A lag that is too long or a failing peer must
// make the subscriber read the log.
func TestVerifiedAgeWithPeer(t *testing.T) {
	// respond returns a peer that responds after a delay with the given lag.
	respond := func(delay, lag time.Duration) peerFunc {
		return func(_ context.Context, from int64) (subscriber.Page, time.Duration, error) {
			time.Sleep(delay)
			return subscriber.Page{Next: from, End: from}, lag, nil
		}
	}
	// unready returns a peer that does not follow the topic for its first reads.
	unready := func(reads int) peerFunc {
		return func(_ context.Context, from int64) (subscriber.Page, time.Duration, error) {
			if reads--; reads >= 0 {
				return subscriber.Page{}, 0, subscriber.ErrUnread
			}
			time.Sleep(10 * time.Millisecond)
			return subscriber.Page{Next: from, End: from}, 0, nil
		}
	}
	rows := map[string]struct {
		peer peerFunc
		// minAge and maxAge bound the verified age after 20 s.
		minAge, maxAge time.Duration
		// readsLog is set when the log itself must be read.
		readsLog bool
	}{
		"verified read before the request": {respond(time.Second, 500*time.Millisecond), 500 * time.Millisecond, 1500 * time.Millisecond, false},
		"verified read during the request": {respond(time.Second, -time.Second), 0, time.Second, false},
		"slow response":                    {respond(1500*time.Millisecond, 0), 0, 3 * time.Second, false},
		"verified read too long ago":       {respond(10*time.Millisecond, 10*time.Second), 0, 3 * time.Second, true},
		"peer not ready at first":          {unready(3), 0, time.Second, false},
		"peer never ready":                 {unready(1000), 0, 3 * time.Second, true},
		"no peer": {func(context.Context, int64) (subscriber.Page, time.Duration, error) {
			return subscriber.Page{}, 0, subscriber.ErrNoPeer
		}, 0, 3 * time.Second, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				reads := 0
				log := &fakeSource{read: func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
					reads++
					return longPoll(ctx, from, wait)
				}}
				s := subscriber.New("t", log, subscriber.ReadTiming{Wait: 2 * time.Second}, func() time.Duration { return time.Since(start) },
					func(subscriber.Change) {}, hclog.NewNullLogger())
				s.SetPeer(row.peer)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- s.Run(ctx) }()
				time.Sleep(20 * time.Second)
				synctest.Wait()
				age, verified := s.VerifiedAge()
				if !verified || age < row.minAge || age > row.maxAge {
					t.Errorf("VerifiedAge() got %v, %t, want between %v and %v", age, verified, row.minAge, row.maxAge)
				}
				if (reads > 0) != row.readsLog {
					t.Errorf("reads of the log got %d, want some: %t", reads, row.readsLog)
				}
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("Run() got error %v, want %v", err, context.Canceled)
				}
			})
		})
	}
}

// Another daemon must get all missing records. RecordsFrom must return them, say at
// which offset the rest begins, or return an error that sends the daemon to the log.
func TestRecordsFrom(t *testing.T) {
	largeValue, hugeValue := bytes.Repeat([]byte("x"), 40<<10), bytes.Repeat([]byte("x"), 100<<10)
	rows := map[string]struct {
		from        int64
		records     []subscriber.Record
		wantOffsets []int64
		// wantRest is the number of records after those of the page.
		wantRest int64
		wantErr  error
	}{
		"all records":                             {5, []subscriber.Record{{Key: "a", Offset: 5}, {Key: "b", Offset: 6}}, []int64{5, 6}, 0, nil},
		"only the missing records":                {6, []subscriber.Record{{Key: "a", Offset: 5}, {Key: "b", Offset: 6}}, []int64{6}, 0, nil},
		"offset after the last record":            {9, []subscriber.Record{{Key: "a", Offset: 5}}, nil, 0, nil},
		"offset before the first buffered record": {4, []subscriber.Record{{Key: "a", Offset: 5}}, nil, 0, subscriber.ErrExpired},
		"more than a page": {5, []subscriber.Record{
			{Key: "a", Value: largeValue, Offset: 5}, {Key: "b", Value: largeValue, Offset: 6}, {Key: "c", Offset: 7},
		}, []int64{5}, 2, nil},
		"one record larger than a page": {5, []subscriber.Record{{Key: "a", Value: hugeValue, Offset: 5}, {Key: "b", Offset: 6}}, []int64{5}, 1, nil},
		"offset after a large record":   {6, []subscriber.Record{{Key: "a", Value: hugeValue, Offset: 5}, {Key: "b", Offset: 6}}, []int64{6}, 0, nil},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				pages := [][]subscriber.Record{row.records}
				log := &fakeSource{read: func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
					if len(pages) == 0 {
						return longPoll(ctx, from, wait)
					}
					page := subscriber.Page{Records: pages[0], Next: from + int64(len(pages[0])), End: from + int64(len(pages[0]))}
					pages = nil
					return page, nil
				}}
				s := subscriber.New("t", log, subscriber.ReadTiming{Wait: time.Second}, func() time.Duration { return time.Since(start) },
					func(subscriber.Change) {}, hclog.NewNullLogger())
				if _, _, err := s.RecordsFrom(t.Context(), subscriber.Position{Offset: 5}, 0); !errors.Is(err, subscriber.ErrUnread) {
					t.Errorf("RecordsFrom() before the first read got error %v, want %v", err, subscriber.ErrUnread)
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- s.Run(ctx) }()
				time.Sleep(100 * time.Millisecond)
				page, age, err := s.RecordsFrom(t.Context(), subscriber.Position{Offset: row.from}, 3*time.Second)
				if !errors.Is(err, row.wantErr) {
					t.Fatalf("RecordsFrom() got error %v, want %v", err, row.wantErr)
				}
				var got []int64
				for _, record := range page.Records {
					got = append(got, record.Offset)
				}
				if len(got) != len(row.wantOffsets) || len(got) > 0 && got[0] != row.wantOffsets[0] {
					t.Errorf("RecordsFrom() got offsets %v, want %v", got, row.wantOffsets)
				}
				if err == nil && page.End-page.Next != row.wantRest {
					t.Errorf("RecordsFrom() got a rest of %d records, want %d", page.End-page.Next, row.wantRest)
				}
				if err == nil && age > time.Second {
					t.Errorf("age got %v, want at most 1s", age)
				}
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("Run() got error %v, want %v", err, context.Canceled)
				}
				// The first read of all keys returns one more.
				want := 1 + len(newestValues(row.records))
				if snapshot, err := s.Snapshot(t.Context(), 0); err != nil || len(snapshot.Records) != want {
					t.Errorf("Snapshot() after Run() returned got %d records, %v, want %d", len(snapshot.Records), err, want)
				}
				if _, _, err := s.RecordsFrom(t.Context(), subscriber.Position{Offset: row.from}, 0); !errors.Is(err, subscriber.ErrUnread) && row.wantErr == nil {
					t.Errorf("RecordsFrom() after Run() returned got error %v, want %v", err, subscriber.ErrUnread)
				}
			})
		})
	}
}

// newestValues returns the newest value of each key that is not deleted.
func newestValues(records []subscriber.Record) map[string][]byte {
	newest := map[string][]byte{}
	for _, record := range records {
		newest[record.Key] = record.Value
		if len(record.Value) == 0 {
			delete(newest, record.Key)
		}
	}
	return newest
}
