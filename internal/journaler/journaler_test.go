package journaler_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"quetzalgrade.example/quetzalgrade/internal/journaler"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// memoryLog is an in-memory log whose appends can fail before or after the data
// is written.
type memoryLog struct {
	mu     sync.Mutex
	items  []journaler.Item
	oldest uint64
	// failBeforeWrite and failAfterWrite are the numbers of next appends that fail
	// before and after the data is written.
	failBeforeWrite, failAfterWrite int
}

var errLogDown = errors.New("log is down")

func (m *memoryLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failBeforeWrite > 0 {
		m.failBeforeWrite--
		return 0, errLogDown
	}
	offset := m.oldest + uint64(len(m.items))
	m.items = append(m.items, journaler.Item{Offset: offset, Data: data})
	if m.failAfterWrite > 0 {
		m.failAfterWrite--
		return 0, errLogDown
	}
	return offset, nil
}

func (m *memoryLog) Read(_ context.Context, _ string, from uint64, limit int) (journaler.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	page := journaler.Page{Oldest: m.oldest, Next: m.oldest + uint64(len(m.items))}
	for _, item := range m.items {
		if item.Offset >= from && len(page.Items) < limit {
			page.Items = append(page.Items, item)
		}
	}
	return page, nil
}

func newRecord(id string) *schema.Record { return &schema.Record{Id: id} }

// Appends fail before or after their data is written. The test guards against
// lost records, against duplicates without a lost response, and against
// appending each record on its own.
func TestAppenderWritesEveryRecordDespiteFailures(t *testing.T) {
	tests := map[string]struct {
		log               *memoryLog
		duplicatesAllowed bool
	}{
		"appends succeed":               {log: &memoryLog{}},
		"appends fail before the write": {log: &memoryLog{failBeforeWrite: 5}},
		"responses to appends are lost": {log: &memoryLog{failAfterWrite: 5}, duplicatesAllowed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				appender := journaler.NewAppender(test.log, "s", rate.NewLimiter(10, 1), time.Second)
				go func() { _ = appender.Run(ctx) }()
				for i := range 50 {
					appender.Submit(newRecord(fmt.Sprint(i)), i%10 == 0)
					time.Sleep(20 * time.Millisecond)
				}
				if err := appender.Flush(ctx); err != nil {
					t.Fatalf("Flush() got error %v, want nil", err)
				}
				counts := map[string]int{}
				for _, item := range test.log.items {
					records, err := journaler.Decode(item.Data)
					if err != nil {
						t.Fatalf("Decode() got error %v, want nil", err)
					}
					for _, r := range records {
						counts[r.GetId()]++
					}
				}
				if len(counts) != 50 {
					t.Errorf("distinct records got %d, want 50", len(counts))
				}
				for id, count := range counts {
					if count > 1 && !test.duplicatesAllowed {
						t.Errorf("record %s got %d times, want once", id, count)
					}
				}
				if len(test.log.items) > 20 {
					t.Errorf("appends got %d, want at most 20", len(test.log.items))
				}
			})
		})
	}
}

// An append whose response is lost may have written its records. The test guards
// against reporting such a record as not written.
func TestCancelSucceedsOnlyBeforeFirstAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := &memoryLog{failAfterWrite: 1000}
		appender := journaler.NewAppender(log, "s", rate.NewLimiter(10, 1), time.Second)
		unsent := appender.Submit(newRecord("early"), false)
		if !appender.Cancel(unsent) {
			t.Error("Cancel() before any append got false, want true")
		}
		sent := appender.Submit(newRecord("late"), true)
		go func() { _ = appender.Run(ctx) }()
		time.Sleep(time.Second)
		if appender.Cancel(sent) {
			t.Error("Cancel() after an append whose response was lost got true, want false")
		}
		if appender.Abandon(sent) || appender.Pending() != 0 {
			t.Errorf("Abandon() got true or Pending() got %d, want false and 0", appender.Pending())
		}
	})
}

// The log's oldest record is at offset 40 when the follower starts at 0. The
// test guards against a gap that goes unreported or stops the follower.
func TestFollowerReportsRecordsThatExpiredUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := &memoryLog{oldest: 40}
		gaps := 0
		follower := journaler.NewFollower(log, "s", time.Second, func(uint64, []*schema.Record) {})
		follower.OnGap = func() { gaps++ }
		go func() { _ = follower.Run(ctx) }()
		if err := follower.WaitCaughtUp(ctx); err != nil {
			t.Fatalf("WaitCaughtUp() got error %v, want nil", err)
		}
		if gaps != 1 {
			t.Errorf("OnGap() calls got %d, want 1", gaps)
		}
		offset, err := log.Append(ctx, "s", nil)
		if err != nil {
			t.Fatalf("Append() got error %v, want nil", err)
		}
		if err := follower.WaitHandled(ctx, offset); err != nil {
			t.Errorf("WaitHandled() got error %v, want nil", err)
		}
	})
}
