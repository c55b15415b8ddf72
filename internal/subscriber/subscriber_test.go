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

// source answers reads by a function.
type source struct {
	read   func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error)
	newest int
}

func (s *source) Newest(context.Context) ([]subscriber.Record, int64, error) {
	s.newest++
	return []subscriber.Record{{Key: "k", Value: []byte("v")}}, 5, nil
}

func (s *source) Read(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
	return s.read(ctx, from, wait)
}

// sleeps waits as long as a read without records does.
func sleeps(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
	select {
	case <-time.After(wait):
		return subscriber.Page{Next: from, End: from}, nil
	case <-ctx.Done():
		return subscriber.Page{}, ctx.Err()
	}
}

var errDown = errors.New("the log is down")

func TestAgeOfTheProof(t *testing.T) {
	rows := map[string]struct {
		read func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error)
		// least and most bound the age after 10 s.
		least, most time.Duration
		newest      int
	}{
		"reads that wait": {sleeps, 0, 2 * time.Second, 1},
		"reads that fail": {func(context.Context, int64, time.Duration) (subscriber.Page, error) {
			return subscriber.Page{}, errDown
		}, 10 * time.Second, 10 * time.Second, 1},
		"reads without an answer": {func(ctx context.Context, _ int64, _ time.Duration) (subscriber.Page, error) {
			<-ctx.Done()
			return subscriber.Page{}, ctx.Err()
		}, 10 * time.Second, 10 * time.Second, 1},
		"reads that never reach the end": {func(_ context.Context, from int64, _ time.Duration) (subscriber.Page, error) {
			time.Sleep(100 * time.Millisecond)
			return subscriber.Page{Next: from, End: from + 1}, nil
		}, 10 * time.Second, 10 * time.Second, 1},
		"an answer before the wait is over proves only when it was asked for": {func(_ context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
			time.Sleep(wait / 2)
			return subscriber.Page{Next: from, End: from}, nil
		}, 500 * time.Millisecond, 2 * time.Second, 1},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				log := &source{read: row.read}
				s := subscriber.New("t", log, subscriber.ReadTiming{Wait: 2 * time.Second}, func() time.Duration { return time.Since(start) },
					func(subscriber.Change) {}, hclog.NewNullLogger())
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- s.Run(ctx) }()
				time.Sleep(10 * time.Second)
				synctest.Wait()
				age, proven := s.VerifiedAge()
				if !proven || age < row.least || age > row.most {
					t.Errorf("Age() got %v, %t, want between %v and %v", age, proven, row.least, row.most)
				}
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("Run() got error %v, want that of the context", err)
				}
				if log.newest != row.newest {
					t.Errorf("reads of all keys got %d, want %d", log.newest, row.newest)
				}
			})
		})
	}
}

func TestExpiredRecordsAreReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		expired := false
		log := &source{read: func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
			if !expired {
				expired = true
				return subscriber.Page{}, subscriber.ErrExpired
			}
			return sleeps(ctx, from, wait)
		}}
		whole := 0
		s := subscriber.New("t", log, subscriber.ReadTiming{Wait: time.Second}, func() time.Duration { return time.Since(start) },
			func(change subscriber.Change) {
				if change.Complete {
					whole++
				}
			}, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		time.Sleep(3 * time.Second)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Run() got error %v, want that of the context", err)
		}
		if whole != 2 {
			t.Errorf("changes of all keys got %d, want 2", whole)
		}
	})
}
