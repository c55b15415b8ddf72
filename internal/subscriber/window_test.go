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

// peer answers as another daemon does.
type peer func(ctx context.Context, from int64) (subscriber.Page, time.Duration, error)

func (p peer) Read(ctx context.Context, _ string, from int64) (subscriber.Page, time.Duration, error) {
	return p(ctx, from)
}

func TestProofOfAPeer(t *testing.T) {
	// tells returns a peer that answers after a time with a lag.
	tells := func(after, lag time.Duration) peer {
		return func(_ context.Context, from int64) (subscriber.Page, time.Duration, error) {
			time.Sleep(after)
			return subscriber.Page{Next: from, End: from}, lag, nil
		}
	}
	rows := map[string]struct {
		peer peer
		// least and most bound the age of the proof after 20 s.
		least, most time.Duration
		// direct is set when the log itself must be read.
		direct bool
	}{
		"a proof from before the question":       {tells(time.Second, 500*time.Millisecond), 500 * time.Millisecond, 1500 * time.Millisecond, false},
		"a proof from while the question waited": {tells(time.Second, -time.Second), 0, time.Second, false},
		"an answer that took long on the way":    {tells(1500*time.Millisecond, 0), 0, 3 * time.Second, false},
		"a proof that is too old":                {tells(10*time.Millisecond, 10*time.Second), 0, 3 * time.Second, true},
		"no answer": {func(context.Context, int64) (subscriber.Page, time.Duration, error) {
			return subscriber.Page{}, 0, subscriber.ErrNoPeer
		}, 0, 3 * time.Second, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				reads := 0
				log := &source{read: func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
					reads++
					return sleeps(ctx, from, wait)
				}}
				s := subscriber.New("t", log, subscriber.ReadTiming{Wait: 2 * time.Second}, func() time.Duration { return time.Since(start) },
					func(subscriber.Change) {}, hclog.NewNullLogger())
				s.SetPeer(row.peer)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- s.Run(ctx) }()
				time.Sleep(20 * time.Second)
				synctest.Wait()
				age, proven := s.VerifiedAge()
				if !proven || age < row.least || age > row.most {
					t.Errorf("Age() got %v, %t, want between %v and %v", age, proven, row.least, row.most)
				}
				if (reads > 0) != row.direct {
					t.Errorf("reads of the log got %d, want some: %t", reads, row.direct)
				}
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("Run() got error %v, want %v", err, context.Canceled)
				}
			})
		})
	}
}

func TestAfter(t *testing.T) {
	big := bytes.Repeat([]byte("x"), 40<<10)
	rows := map[string]struct {
		from  int64
		items []subscriber.Record
		want  []int64
		err   error
	}{
		"new records":             {5, []subscriber.Record{{Key: "a", Offset: 5}, {Key: "b", Offset: 6}}, []int64{5, 6}, nil},
		"those that are missing":  {6, []subscriber.Record{{Key: "a", Offset: 5}, {Key: "b", Offset: 6}}, []int64{6}, nil},
		"one who knows more":      {9, []subscriber.Record{{Key: "a", Offset: 5}}, nil, nil},
		"records from before":     {4, []subscriber.Record{{Key: "a", Offset: 5}}, nil, subscriber.ErrExpired},
		"records that are large":  {5, []subscriber.Record{{Key: "a", Value: big, Offset: 5}}, nil, subscriber.ErrTooLarge},
		"records that were large": {6, []subscriber.Record{{Key: "a", Value: big, Offset: 5}, {Key: "b", Offset: 6}}, []int64{6}, nil},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				pages := [][]subscriber.Record{row.items}
				log := &source{read: func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
					if len(pages) == 0 {
						return sleeps(ctx, from, wait)
					}
					page := subscriber.Page{Records: pages[0], Next: from + int64(len(pages[0])), End: from + int64(len(pages[0]))}
					pages = nil
					return page, nil
				}}
				s := subscriber.New("t", log, subscriber.ReadTiming{Wait: time.Second}, func() time.Duration { return time.Since(start) },
					func(subscriber.Change) {}, hclog.NewNullLogger())
				if _, _, err := s.RecordsFrom(t.Context(), 5, 0); !errors.Is(err, subscriber.ErrUnread) {
					t.Errorf("After() before the first read got error %v, want %v", err, subscriber.ErrUnread)
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- s.Run(ctx) }()
				time.Sleep(100 * time.Millisecond)
				page, age, err := s.RecordsFrom(t.Context(), row.from, 3*time.Second)
				if !errors.Is(err, row.err) {
					t.Fatalf("After() got error %v, want %v", err, row.err)
				}
				var got []int64
				for _, item := range page.Records {
					got = append(got, item.Offset)
				}
				if len(got) != len(row.want) || len(got) > 0 && got[0] != row.want[0] {
					t.Errorf("After() got offsets %v, want %v", got, row.want)
				}
				if err == nil && age > time.Second {
					t.Errorf("age got %v, want that of the newest read", age)
				}
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("Run() got error %v, want %v", err, context.Canceled)
				}
				if _, _, err := s.RecordsFrom(t.Context(), row.from, 0); !errors.Is(err, subscriber.ErrUnread) && row.err == nil {
					t.Errorf("After() once nothing is read got error %v, want %v", err, subscriber.ErrUnread)
				}
			})
		})
	}
}
