package subscriber_test

import (
	"context"
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
