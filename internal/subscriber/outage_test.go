package subscriber_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// outageSource fails between two times, and counts its reads.
type outageSource struct {
	fakeSource
	reads       int
	start       time.Time
	from, until time.Duration
	// servedAt is when a read first succeeded after the outage.
	servedAt time.Duration
}

func (s *outageSource) Read(ctx context.Context, from int64, wait time.Duration) (subscriber.Page, error) {
	s.reads++
	elapsed := time.Since(s.start)
	if elapsed >= s.from && elapsed < s.until {
		return subscriber.Page{}, errUnavailable
	}
	if elapsed >= s.until && s.servedAt == 0 {
		s.servedAt = elapsed
	}
	return longPoll(ctx, from, wait)
}

// TestOutageIsReadByOneTopic guards against a fleet in which every daemon reads every topic again
// and again while the log is away, and against a topic that is read too late or too rarely when
// the log is back or only the other topic fails.
func TestOutageIsReadByOneTopic(t *testing.T) {
	const outageEnd = 12 * time.Second
	rows := map[string]struct {
		// otherEnd is when reads of the followed topic succeed again.
		otherEnd time.Duration
		// maxReads bounds the reads of this topic, maxDelay the time from the end of its own
		// outage to its first read that succeeds.
		maxReads int
		maxDelay time.Duration
	}{
		"both fail":                  {outageEnd, 15, 700 * time.Millisecond},
		"only this topic fails":      {0, 60, 700 * time.Millisecond},
		"the other topic stays away": {time.Minute, 25, 3 * time.Second},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				clock := func() time.Duration { return time.Since(start) }
				timing := subscriber.ReadTiming{Wait: 2 * time.Second}
				newTopic := func(name string, source subscriber.Source) *subscriber.Subscriber {
					return subscriber.New(name, source, timing, clock, func(subscriber.Change) {}, hclog.NewNullLogger())
				}
				other := newTopic("other", &outageSource{start: start, until: row.otherEnd})
				source := &outageSource{start: start, until: outageEnd}
				topic := newTopic("topic", source)
				topic.FollowOutages(other)
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = other.Run(ctx) }()
				go func() { _ = topic.Run(ctx) }()
				time.Sleep(outageEnd + 5*time.Second)
				cancel()
				synctest.Wait()
				if source.reads > row.maxReads {
					t.Errorf("reads of the topic got %d, want at most %d", source.reads, row.maxReads)
				}
				if delay := source.servedAt - outageEnd; source.servedAt == 0 || delay > row.maxDelay {
					t.Errorf("first read after the outage got %v after its end, want at most %v", delay, row.maxDelay)
				}
			})
		})
	}
}

// countingPeer counts the reads from a peer that can be reached.
type countingPeer struct {
	topicPeer
	reads *atomic.Int64
}

func (p countingPeer) Read(ctx context.Context, topic string, from subscriber.Position, wait time.Duration) (subscriber.Page, time.Duration, error) {
	if !p.away.Load() {
		p.reads.Add(1)
	}
	return p.topicPeer.Read(ctx, topic, from, wait)
}

// TestOutageEndsWithFirstRead guards against an outage of the log that lasts for a daemon until the
// first read after it has waited to the full: endpoints that are gone would get requests meanwhile.
func TestOutageEndsWithFirstRead(t *testing.T) {
	const (
		outageEnd = 12 * time.Second
		elapsed   = 5 * time.Second
		// maxPause is the longest pause between reads that fail.
		maxPause = 600 * time.Millisecond
		// maxReads is the number of reads that wait in the elapsed time, and two more.
		maxReads = 4
	)
	rows := map[string]struct {
		// logEnd and peerFrom are when the log and the peer can be read.
		logEnd, peerFrom time.Duration
	}{
		"read of the log":    {outageEnd, time.Minute},
		"read from the peer": {time.Minute, outageEnd},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timing := subscriber.ReadTiming{Wait: 10 * time.Second}
				reader := startTopicWithTiming(t, &outageSource{start: time.Now(), until: outageEnd - time.Second}, nil, timing)
				peer := countingPeer{topicPeer{other: reader, away: &atomic.Bool{}}, &atomic.Int64{}}
				peer.away.Store(true)
				follower := startTopicWithTiming(t, &outageSource{start: time.Now(), until: row.logEnd}, peer, timing)
				time.AfterFunc(row.peerFrom, func() { peer.away.Store(false) })
				time.Sleep(outageEnd + elapsed)
				if got, ok := follower.SinceOutage(); !ok || got < elapsed-maxPause {
					t.Errorf("SinceOutage() got %v, %t, want at least %v", got, ok, elapsed-maxPause)
				}
				if got := peer.reads.Load(); got > maxReads {
					t.Errorf("reads from the peer got %d, want at most %d", got, maxReads)
				}
			})
		})
	}
}

// unreadyPeer does not follow the topic. It counts the reads.
type unreadyPeer struct {
	topicPeer
	reads *atomic.Int64
}

func (p unreadyPeer) Read(context.Context, string, subscriber.Position, time.Duration) (subscriber.Page, time.Duration, error) {
	p.reads.Add(1)
	return subscriber.Page{}, 0, subscriber.ErrUnread
}

// TestUnreadyPeerEndsNoOutage guards against an outage of the log that counts as over although
// nothing has been read, because the peer was not ready and the read is to be repeated.
func TestUnreadyPeerEndsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		away := &atomic.Bool{}
		away.Store(true)
		peer := unreadyPeer{topicPeer{away: away}, &atomic.Int64{}}
		source := &outageSource{start: time.Now(), from: time.Second, until: time.Minute}
		topic := startTopicWithTiming(t, source, peer, subscriber.ReadTiming{Wait: 100 * time.Millisecond})
		time.Sleep(5 * time.Second)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			if got, ok := topic.SinceOutage(); !ok || got != 0 {
				t.Fatalf("SinceOutage() got %v, %t while all reads fail, want 0s, true", got, ok)
			}
		}
		if peer.reads.Load() == 0 {
			t.Error("reads from the peer got none, want some")
		}
	})
}

// TestFollowersOutlastShortFailure guards against followers that all give up their zone reader and
// look for another one, because it reads the log again only some time after a short failure.
func TestFollowersOutlastShortFailure(t *testing.T) {
	const (
		failsFrom = time.Second
		// runs is the number of runs of each row, because the pauses are random.
		runs = 40
	)
	rows := map[string]struct {
		length time.Duration
		// both is set if the topic follows the outages of another one, which fails as long.
		both bool
	}{
		"100 ms":             {100 * time.Millisecond, false},
		"200 ms":             {200 * time.Millisecond, false},
		"300 ms":             {300 * time.Millisecond, false},
		"200 ms, two topics": {200 * time.Millisecond, true},
		"300 ms, two topics": {300 * time.Millisecond, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			failed := 0
			for range runs {
				synctest.Test(t, func(t *testing.T) {
					newTopic := func() *subscriber.Subscriber {
						start := time.Now()
						source := &outageSource{start: start, from: failsFrom, until: failsFrom + row.length}
						return subscriber.New("t", source, subscriber.ReadTiming{Wait: 100 * time.Millisecond}, func() time.Duration { return time.Since(start) },
							func(subscriber.Change) {}, hclog.NewNullLogger())
					}
					topic, other := newTopic(), newTopic()
					if row.both {
						topic.FollowOutages(other)
					}
					ctx, cancel := context.WithCancel(t.Context())
					go func() { _ = other.Run(ctx) }()
					go func() { _ = topic.Run(ctx) }()
					time.Sleep(failsFrom + 10*time.Millisecond)
					if _, _, err := topic.RecordsFrom(ctx, topic.Next(), subscriber.MaxPeerWait); err != nil {
						failed++
					}
					cancel()
					synctest.Wait()
				})
			}
			if failed > 0 {
				t.Errorf("reads from the reader that failed got %d of %d, want none", failed, runs)
			}
		})
	}
}
