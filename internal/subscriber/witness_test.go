package subscriber_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// timedLog is a log whose only record is appended at a time.
type timedLog struct {
	start    time.Time
	recordAt time.Duration
	reads    atomic.Int64
	err      error
}

func (l *timedLog) read(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
	l.reads.Add(1)
	if l.err != nil {
		return subscriber.Page{}, l.err
	}
	if until := l.recordAt - time.Since(l.start); from == 5 && until <= wait {
		return pageAfter(ctx, max(0, until))
	}
	return longPoll(ctx, from, wait)
}

// pageAfter returns the record with the offset 5 after a time.
func pageAfter(ctx context.Context, delay time.Duration) (subscriber.Page, error) {
	select {
	case <-time.After(delay):
		return subscriber.Page{Records: []subscriber.Record{{Key: "a", Value: []byte("v"), Offset: 5}}, Next: 6, End: 6}, nil
	case <-ctx.Done():
		return subscriber.Page{}, ctx.Err()
	}
}

// timedPeer is a peer that passes the record on at a time, and notes when it is first asked for
// later ones.
type timedPeer struct {
	start      time.Time
	recordAt   time.Duration
	askedAfter atomic.Int64
}

func (p *timedPeer) Newest(context.Context, string) (subscriber.Snapshot, time.Duration, error) {
	return subscriber.Snapshot{Next: subscriber.Position{Offset: 5}}, 0, nil
}

func (p *timedPeer) Read(ctx context.Context, _ string, from subscriber.Position, _ time.Duration) (subscriber.Page, time.Duration, error) {
	const wait = 1900 * time.Millisecond
	until := p.recordAt - time.Since(p.start)
	if from.Offset > 5 {
		p.askedAfter.CompareAndSwap(0, int64(time.Since(p.start)))
	}
	if from.Offset == 5 && until <= wait {
		page, err := pageAfter(ctx, max(0, until))
		return page, 0, err
	}
	page, err := longPoll(ctx, from.Offset, wait)
	return page, 0, err
}

// TestWitness guards against a peer that passes nothing on because its reads hang, and against
// more reads of the log than that takes.
func TestWitness(t *testing.T) {
	const (
		recordAt = 40 * time.Second
		never    = time.Hour
	)
	rows := map[string]struct {
		peerRecordAt time.Duration
		isWitness    bool
		logErr       error
		// wantWithin is the time from the record until the peer is asked for later ones.
		wantWithin time.Duration
		// maxReads bounds the reads of the log in a minute.
		maxReads int
	}{
		"peer passes the record on":               {recordAt + 10*time.Millisecond, true, nil, 20 * time.Millisecond, 3},
		"peer passes the record on after a pause": {recordAt + time.Second, true, nil, 1010 * time.Millisecond, 3},
		"peer passes nothing on":                  {never, true, nil, 1200 * time.Millisecond, 4},
		"another daemon is the witness":           {never, false, nil, never, 0},
		"reads of the log fail":                   {recordAt + 10*time.Millisecond, true, errUnavailable, 20 * time.Millisecond, 12},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				log := &timedLog{start: start, recordAt: recordAt, err: row.logErr}
				peer := &timedPeer{start: start, recordAt: row.peerRecordAt}
				timing := subscriber.ReadTiming{Wait: 12 * time.Second, BatchDelay: time.Second}
				topic := startTopicWithTiming(t, &fakeSource{read: log.read}, peer, timing)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- topic.Witness(ctx, func() bool { return row.isWitness }) }()
				time.Sleep(time.Minute)
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("Witness() got error %v, want that of ctx", err)
				}
				askedAfter := time.Duration(peer.askedAfter.Load())
				if took := askedAfter - recordAt; row.wantWithin != never && (took < 0 || took > row.wantWithin) {
					t.Errorf("peer was asked for later records after %v, want within %v", took, row.wantWithin)
				}
				if row.wantWithin == never && askedAfter != 0 {
					t.Errorf("peer was asked for later records at %v, want never", askedAfter)
				}
				if got := int(log.reads.Load()); got > row.maxReads {
					t.Errorf("reads of the log got %d, want at most %d", got, row.maxReads)
				}
			})
		})
	}
}

// TestReadIsMadeAgainWhenBehind guards against a zone reader whose read hangs while another daemon
// has read more, and against one that reads again and again because the log has lost the records.
func TestReadIsMadeAgainWhenBehind(t *testing.T) {
	rows := map[string]struct {
		// respond is the log's response to the reads after the first one.
		respond func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error)
		// wantErr is the error of the other daemon's request, maxTime bounds the time that it takes.
		wantErr error
		maxTime time.Duration
		// maxReads bounds the reads until then and in the 5 s after it.
		maxReads int
	}{
		"reads hang": {func(ctx context.Context, _ int64, _ time.Duration) (subscriber.Page, error) {
			<-ctx.Done()
			return subscriber.Page{}, ctx.Err()
		}, subscriber.ErrFailing, 450 * time.Millisecond, 12},
		"only the waiting read hangs": {func(ctx context.Context, _ int64, wait time.Duration) (subscriber.Page, error) {
			if wait > 0 {
				<-ctx.Done()
				return subscriber.Page{}, ctx.Err()
			}
			return pageAfter(ctx, 0)
		}, nil, 2 * time.Second, 4},
		"the log lacks the records": {longPoll, nil, 2 * time.Second, 4},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var reads atomic.Int64
				log := &fakeSource{read: func(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
					reads.Add(1)
					return row.respond(ctx, from, wait)
				}}
				s := subscriber.New("t", log, subscriber.ReadTiming{Wait: 12 * time.Second}, func() time.Duration { return time.Since(start) },
					func(subscriber.Change) {}, hclog.NewNullLogger())
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- s.Run(ctx) }()
				time.Sleep(time.Second)
				askedAt := time.Now()
				ahead := subscriber.Position{Offset: 6}
				if _, _, err := s.RecordsFrom(t.Context(), ahead, 1900*time.Millisecond); !errors.Is(err, row.wantErr) {
					t.Errorf("RecordsFrom() got error %v, want %v", err, row.wantErr)
				}
				if took := time.Since(askedAt); took > row.maxTime {
					t.Errorf("RecordsFrom() took %v, want at most %v", took, row.maxTime)
				}
				for range 5 {
					_, _, _ = s.RecordsFrom(t.Context(), ahead, time.Second)
				}
				if got := int(reads.Load()); got > row.maxReads {
					t.Errorf("reads got %d, want at most %d", got, row.maxReads)
				}
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("Run() got error %v, want that of ctx", err)
				}
			})
		})
	}
}
