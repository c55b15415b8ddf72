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

// deadLog takes nothing.
type deadLog struct{}

func (deadLog) Append(context.Context, string, []byte) (uint64, error) {
	return 0, errors.New("log is down")
}

func (deadLog) Read(context.Context, string, uint64, int) (journaler.Page, error) {
	return journaler.Page{}, errors.New("log is down")
}

// peers places copies at another biller.
type peers struct {
	mu     sync.Mutex
	holder *biller.Biller
	down   map[string]bool
	calls  int
}

func (p *peers) Holders() []string { return []string{"first", "second"} }

func (p *peers) Hold(_ context.Context, holder string, bills []*schema.Bill, saved []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.down[holder] {
		return errors.New("peer is down")
	}
	return p.holder.Hold("maker/1", bills, saved)
}

func newBiller(log journaler.Log, p biller.Peers, bound int) *biller.Biller {
	return biller.New(journaler.NewAppender(log, biller.Stream, rate.NewLimiter(100, 1), time.Second), p, bound)
}

func TestACopyIsHeldBeforeRecordReturns(t *testing.T) {
	rows := map[string]struct {
		down   map[string]bool
		copies int
		single uint64
	}{
		"the first holder":           {copies: 1},
		"the second when it is down": {down: map[string]bool{"first": true}, copies: 1},
		"alone when both are down":   {down: map[string]bool{"first": true, "second": true}, single: 1},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				holder := newBiller(deadLog{}, &peers{}, 10)
				b := newBiller(deadLog{}, &peers{holder: holder, down: row.down}, 10)
				go func() { _ = b.Run(ctx) }()
				if err := b.Reserve(); err != nil {
					t.Fatalf("Reserve() got error %v, want nil", err)
				}
				b.Record(ctx, &schema.Bill{Id: "1"})
				if got := holder.Copies(); got != row.copies {
					t.Errorf("copies got %d, want %d", got, row.copies)
				}
				if got := b.Counts().Single; got != row.single {
					t.Errorf("single got %d, want %d", got, row.single)
				}
				holder.Adopt(func(string) bool { return true })
				if got := holder.Counts().Adopted; got != uint64(row.copies) {
					t.Errorf("adopted got %d, want %d", got, row.copies)
				}
			})
		})
	}
}

func TestAtTheBoundRequestsAreRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := newBiller(deadLog{}, &peers{down: map[string]bool{"first": true, "second": true}}, 3)
		go func() { _ = b.Run(ctx) }()
		for i := range 3 {
			if err := b.Reserve(); err != nil {
				t.Fatalf("Reserve() %d got error %v, want nil", i, err)
			}
			b.Record(ctx, &schema.Bill{Id: fmt.Sprint(i)})
		}
		err := b.Reserve()
		if !classifier.Is(err, classifier.BillsFull) || classifier.FromError(err).Response().Execution != classifier.NotExecuted {
			t.Errorf("Reserve() got error %v, want bills_full", err)
		}
	})
}

func TestFoldDropsCopiesAndOtherAccounts(t *testing.T) {
	fold := biller.NewFold("a", time.Time{})
	for _, bill := range []*schema.Bill{{Id: "1", Account: "a", Amount: 5}, {Id: "1", Account: "a", Amount: 5}, {Id: "2", Account: "b", Amount: 7}, {Id: "3", Account: "a", Amount: 1}} {
		fold.Apply(bill)
	}
	if got := fold.Statement(); got.Amount != 6 || got.Requests != 2 {
		t.Errorf("statement got %d for %d, want 6 for 2", got.Amount, got.Requests)
	}
}
