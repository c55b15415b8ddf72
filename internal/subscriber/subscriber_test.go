package subscriber_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// fakeSource is a source whose reads are served by a function.
type fakeSource struct {
	read        func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error)
	newestReads int
}

func (s *fakeSource) Newest(context.Context) (subscriber.Snapshot, error) {
	s.newestReads++
	return subscriber.Snapshot{Records: []subscriber.Record{{Key: "k", Value: []byte("v")}}, Next: subscriber.Position{Offset: 5}}, nil
}

func (s *fakeSource) Read(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
	return s.read(ctx, from, wait)
}

// longPoll returns an empty page once the wait is over.
func longPoll(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
	select {
	case <-time.After(wait):
		return subscriber.Page{Next: from, End: from}, nil
	case <-ctx.Done():
		return subscriber.Page{}, ctx.Err()
	}
}

var errUnavailable = errors.New("log is unavailable")

// A view that seems fresher than it is would let a daemon use withdrawn
// declarations. A read may set the verified age only if it reached the end of
// the topic, and only to the time it was sent unless it waited to the full.
func TestVerifiedAge(t *testing.T) {
	rows := map[string]struct {
		read func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error)
		// minAge and maxAge bound the age after 10 s.
		minAge, maxAge time.Duration
		newestReads    int
	}{
		"reads that wait to the full": {longPoll, 0, 2 * time.Second, 1},
		"reads that fail": {func(context.Context, int64, time.Duration) (subscriber.Page, error) {
			return subscriber.Page{}, errUnavailable
		}, 10 * time.Second, 10 * time.Second, 1},
		"reads without a response": {func(ctx context.Context, _ int64, _ time.Duration) (subscriber.Page, error) {
			<-ctx.Done()
			return subscriber.Page{}, ctx.Err()
		}, 10 * time.Second, 10 * time.Second, 1},
		"reads that never reach the end of the topic": {func(_ context.Context, from int64, _ time.Duration) (subscriber.Page, error) {
			time.Sleep(100 * time.Millisecond)
			return subscriber.Page{Next: from, End: from + 1}, nil
		}, 10 * time.Second, 10 * time.Second, 1},
		"empty response before the wait is over": {func(_ context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
			time.Sleep(wait / 2)
			return subscriber.Page{Next: from, End: from}, nil
		}, 500 * time.Millisecond, 2 * time.Second, 1},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				log := &fakeSource{read: row.read}
				s := subscriber.New("t", log, subscriber.ReadTiming{Wait: 2 * time.Second}, func() time.Duration { return time.Since(start) },
					func(subscriber.Change) {}, hclog.NewNullLogger())
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- s.Run(ctx) }()
				time.Sleep(10 * time.Second)
				synctest.Wait()
				age, verified := s.VerifiedAge()
				if !verified || age < row.minAge || age > row.maxAge {
					t.Errorf("VerifiedAge() got %v, %t, want between %v and %v", age, verified, row.minAge, row.maxAge)
				}
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("Run() got error %v, want that of ctx", err)
				}
				if log.newestReads != row.newestReads {
					t.Errorf("reads of all keys got %d, want %d", log.newestReads, row.newestReads)
				}
			})
		})
	}
}

// Records may expire before a subscriber has read them. It must then read all
// keys again, or it would miss records for ever.
func TestExpiredOffsetReadsAllKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		expired := false
		log := &fakeSource{read: func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
			if !expired {
				expired = true
				return subscriber.Page{}, subscriber.ErrExpired
			}
			return longPoll(ctx, from, wait)
		}}
		completeChanges := 0
		s := subscriber.New("t", log, subscriber.ReadTiming{Wait: time.Second}, func() time.Duration { return time.Since(start) },
			func(change subscriber.Change) {
				if change.Complete {
					completeChanges++
				}
			}, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		time.Sleep(3 * time.Second)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Run() got error %v, want that of ctx", err)
		}
		if completeChanges != 2 {
			t.Errorf("complete changes got %d, want 2", completeChanges)
		}
	})
}

// A read that waits on a connection that has gone silent would hide records until its wait is
// over. The failure of another topic's reads, or of the second read, must end it, and the next
// read must not wait. An interruption must not be passed on, or two topics would interrupt each
// other for ever.
func TestSilentReadIsEnded(t *testing.T) {
	rows := map[string]struct {
		confirmAfter time.Duration
		interrupt    bool
		// confirmErr is the error of the second read, or nil if it gets no response.
		confirmErr error
		// maxTime bounds the time from the silent read to the next one.
		maxTime time.Duration
		// wantSilences is the number of calls of the handler of silence.
		wantSilences int
	}{
		"interrupted":              {0, true, nil, 1100 * time.Millisecond, 0},
		"second read gets silence": {60 * time.Millisecond, false, nil, 900 * time.Millisecond, 1},
		// The path to the log works, so the first read may get its response too.
		"second read is refused": {60 * time.Millisecond, false, errUnavailable, 11 * time.Second, 1},
		"not ended":              {0, false, nil, 11 * time.Second, 1},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var silentSince, nextAt time.Time
				nextWait := time.Duration(-1)
				log := &fakeSource{read: func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
					switch {
					case silentSince.IsZero():
						silentSince = time.Now()
					case nextAt.IsZero() && (row.confirmAfter == 0 || time.Since(silentSince) > 2*row.confirmAfter):
						nextAt, nextWait = time.Now(), wait
						return longPoll(ctx, from, wait)
					case !nextAt.IsZero():
						return longPoll(ctx, from, wait)
					case row.confirmErr != nil:
						return subscriber.Page{}, row.confirmErr
					}
					<-ctx.Done()
					return subscriber.Page{}, ctx.Err()
				}}
				s := subscriber.New("t", log, subscriber.ReadTiming{Wait: 10 * time.Second, ConfirmAfter: row.confirmAfter},
					func() time.Duration { return time.Since(start) }, func(subscriber.Change) {}, hclog.NewNullLogger())
				silences := 0
				s.OnSilence(func() { silences++ })
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- s.Run(ctx) }()
				time.Sleep(time.Second)
				if row.interrupt {
					s.Interrupt()
				}
				time.Sleep(20 * time.Second)
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("Run() got error %v, want that of ctx", err)
				}
				if took := nextAt.Sub(silentSince); took > row.maxTime || took < row.maxTime/2 || nextWait != 0 {
					t.Errorf("next read came after %v with a wait of %v, want at most %v and no wait", took, nextWait, row.maxTime)
				}
				if silences != row.wantSilences {
					t.Errorf("calls of the handler of silence got %d, want %d", silences, row.wantSilences)
				}
			})
		})
	}
}
