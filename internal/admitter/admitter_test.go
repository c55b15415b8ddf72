package admitter_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/admitter"
	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/repeater"
)

// offered is a request and how it fared.
type offered struct {
	request  admitter.Request
	deadline time.Duration
	verdicts int
}

func TestAtMostCapacityRunsAndEveryRequestGetsAVerdict(t *testing.T) {
	repeater.Check(t, func(rt *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(rt, "capacity")
		requests := make([]*offered, rapid.IntRange(1, 40).Draw(rt, "requests"))
		for i := range requests {
			requests[i] = &offered{
				request: admitter.Request{
					Account:  rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "account"),
					Weight:   rapid.Float64Range(0.1, 4).Draw(rt, "weight"),
					Priority: rapid.IntRange(0, 1).Draw(rt, "priority"),
					Parallel: rapid.IntRange(0, 4).Draw(rt, "parallel"),
				},
				deadline: time.Duration(rapid.IntRange(1, 20).Draw(rt, "deadline")) * time.Second,
			}
		}
		most, left := 0, 0
		synctest.Test(t, func(t *testing.T) { most, left = offerAll(t.Context(), capacity, requests) })
		if most > capacity || left != 0 {
			rt.Fatalf("running got %d of %d, left over %d, want none", most, capacity, left)
		}
		for _, each := range requests {
			if each.verdicts != 1 {
				rt.Fatalf("verdicts got %d, want 1", each.verdicts)
			}
		}
	})
}

// offerAll offers all requests at once and returns the most that ran at once
// and what was left over.
func offerAll(ctx context.Context, capacity int, requests []*offered) (most, left int) {
	a := admitter.New(capacity)
	var group sync.WaitGroup
	var mu sync.Mutex
	running := 0
	change := func(by int) {
		mu.Lock()
		defer mu.Unlock()
		running += by
		most = max(most, running)
	}
	for _, each := range requests {
		each.request.Deadline = time.Now().Add(each.deadline)
		group.Go(func() {
			ctx, cancel := context.WithDeadline(ctx, each.request.Deadline)
			defer cancel()
			end, err := a.Admit(ctx, each.request)
			each.verdicts++
			if err != nil {
				return
			}
			change(1)
			time.Sleep(700 * time.Millisecond)
			change(-1)
			end()
		})
	}
	group.Wait()
	active, waiting := a.Load()
	return most, active + waiting
}

func TestARequestThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(1)
		if _, err := a.Admit(t.Context(), admitter.Request{Account: "a", Deadline: time.Now().Add(time.Minute)}); err != nil {
			t.Fatalf("Admit() got error %v, want nil", err)
		}
		began := time.Now()
		_, err := a.Admit(t.Context(), admitter.Request{Account: "a", Deadline: time.Now().Add(time.Second)})
		var known *classifier.Error
		if !errors.As(err, &known) || known.Kind != classifier.DeadlineUnmet || known.Response().Execution != classifier.NotExecuted {
			t.Errorf("Admit() got error %v, want deadline_unmet", err)
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("refusal got after %s, want at once", took)
		}
	})
}
