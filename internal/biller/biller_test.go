package biller_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"quetzalgrade.example/quetzalgrade/internal/biller"
	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/journaler"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// failingLog fails every operation.
type failingLog struct{}

func (failingLog) Append(context.Context, string, []byte) (uint64, error) {
	return 0, errors.New("log is down")
}

func (failingLog) Read(context.Context, string, uint64, int) (journaler.Page, error) {
	return journaler.Page{}, errors.New("log is down")
}

// peers stores copies in another Biller, and fails for holders that are down.
type peers struct {
	mu     sync.Mutex
	holder *biller.Biller
	down   map[string]bool
	calls  int
	// saved are the ids of saved bills that a holder has received.
	saved []string
}

func (p *peers) Holders() []string { return []string{"first", "second"} }

func (p *peers) SendCopies(_ context.Context, holder string, bills []*schema.Bill, saved []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.down[holder] {
		return errors.New("peer is down")
	}
	p.saved = append(p.saved, saved...)
	return p.holder.StoreCopies("creator/1", bills, saved)
}

func newBiller(p biller.Peers, limit int) *biller.Biller {
	return biller.New(journaler.NewAppender(failingLog{}, biller.Stream, rate.NewLimiter(100, 1), time.Second), p, limit)
}

// Guards against a bill that is lost with the daemon that created it: Record must
// return only after a peer has stored a copy or all peers have failed, and the
// holder must append the copy when the creator is gone.
func TestRecordReturnsAfterCopyIsPlaced(t *testing.T) {
	rows := map[string]struct {
		down         map[string]bool
		copies       int
		unreplicated uint64
	}{
		"first holder available": {copies: 1},
		"first holder down":      {down: map[string]bool{"first": true}, copies: 1},
		"both holders down":      {down: map[string]bool{"first": true, "second": true}, unreplicated: 1},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				holder := newBiller(&peers{}, 10)
				b := newBiller(&peers{holder: holder, down: row.down}, 10)
				go func() { _ = b.Run(ctx) }()
				if err := b.Reserve(); err != nil {
					t.Fatalf("Reserve() got error %v, want nil", err)
				}
				b.Record(ctx, &schema.Bill{Id: "1"})
				if got := holder.Copies(); got != row.copies {
					t.Errorf("Copies() got %d, want %d", got, row.copies)
				}
				if got := b.Counts().Unreplicated; got != row.unreplicated {
					t.Errorf("Counts().Unreplicated got %d, want %d", got, row.unreplicated)
				}
				holder.Adopt(func(string) bool { return true })
				if got := holder.Counts().Adopted; got != uint64(row.copies) {
					t.Errorf("Counts().Adopted got %d, want %d", got, row.copies)
				}
			})
		})
	}
}

// workingLog accepts every append.
type workingLog struct{ failingLog }

func (workingLog) Append(context.Context, string, []byte) (uint64, error) { return 0, nil }

// Guards against copies that a holder keeps and appends again although the bills are
// saved: ids that could not be sent must be sent with the next copies.
func TestIDsOfSavedBillsAreSentAgainAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := &peers{holder: newBiller(&peers{}, 10), down: map[string]bool{}}
		appender := journaler.NewAppender(workingLog{}, biller.Stream, rate.NewLimiter(100, 1), time.Second)
		b := biller.New(appender, p, 10)
		go func() { _ = b.Run(ctx) }()
		go func() { _ = appender.Run(ctx) }()
		record := func(id string, firstDown bool) {
			p.down["first"] = firstDown
			if err := b.Reserve(); err != nil {
				t.Fatalf("Reserve() got error %v, want nil", err)
			}
			b.Record(ctx, &schema.Bill{Id: id})
			time.Sleep(5 * time.Second)
			b.RemoveSaved()
		}
		record("1", false)
		record("2", true)
		record("3", false)
		if len(p.saved) == 0 || p.saved[0] != "1" {
			t.Errorf("ids of saved bills got %v, want 1 among them", p.saved)
		}
	})
}

// Guards against dispatching requests that cannot be billed. While the log is
// unavailable, bills accumulate up to the limit; the next request must then fail
// with an error that says that it was not executed.
func TestReserveAtLimitFailsAsNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := newBiller(&peers{down: map[string]bool{"first": true, "second": true}}, 3)
		go func() { _ = b.Run(ctx) }()
		for i := range 3 {
			if err := b.Reserve(); err != nil {
				t.Fatalf("Reserve() %d got error %v, want nil", i, err)
			}
			b.Record(ctx, &schema.Bill{Id: fmt.Sprint(i)})
		}
		err := b.Reserve()
		if !classifier.Is(err, classifier.BillsFull) || classifier.FromError(err).Response().Execution != classifier.NotExecuted {
			t.Errorf("Reserve() got error %v, want bills_full with execution not_executed", err)
		}
	})
}

// Guards against charging an account twice for a bill that is in the log more than
// once, and against charging it for the bills of another account.
func TestStatementBuilderSkipsDuplicatesAndOtherAccounts(t *testing.T) {
	builder := biller.NewStatementBuilder("a", time.Time{})
	for _, bill := range []*schema.Bill{{Id: "1", Account: "a", Amount: 5}, {Id: "1", Account: "a", Amount: 5}, {Id: "2", Account: "b", Amount: 7}, {Id: "3", Account: "a", Amount: 1}} {
		builder.Apply(bill)
	}
	if got := builder.Statement(); got.Amount != 6 || got.Requests != 2 {
		t.Errorf("Statement() got amount %d for %d requests, want amount 6 for 2 requests", got.Amount, got.Requests)
	}
}
