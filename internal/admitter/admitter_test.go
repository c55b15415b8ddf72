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
type submission struct {
	request  admitter.Request
	deadline time.Duration
	results  int
}

func TestCapacityHoldsAndEachRequestIsDecidedOnce(t *testing.T) {
	repeater.Check(t, func(rt *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(rt, "capacity")
		submissions := make([]*submission, rapid.IntRange(1, 40).Draw(rt, "requests"))
		for i := range submissions {
			submissions[i] = &submission{
				request: admitter.Request{
					Account:     rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "account"),
					Weight:      rapid.Float64Range(0.1, 4).Draw(rt, "weight"),
					Priority:    rapid.IntRange(0, 1).Draw(rt, "priority"),
					MaxParallel: rapid.IntRange(0, 4).Draw(rt, "parallel"),
				},
				deadline: time.Duration(rapid.IntRange(1, 20).Draw(rt, "deadline")) * time.Second,
			}
		}
		maxRunning, remaining := 0, 0
		synctest.Test(t, func(t *testing.T) { maxRunning, remaining = submitAll(t.Context(), capacity, submissions) })
		if maxRunning > capacity || remaining != 0 {
			rt.Fatalf("running got %d of %d, left over %d, want none", maxRunning, capacity, remaining)
		}
		for _, submission := range submissions {
			if submission.results != 1 {
				rt.Fatalf("verdicts got %d, want 1", submission.results)
			}
		}
	})
}

// offerAll offers all requests at once and returns the most that ran at once
// and what was left over.
func submitAll(ctx context.Context, capacity int, submissions []*submission) (maxRunning, remaining int) {
	a := admitter.New(capacity)
	var group sync.WaitGroup
	var mu sync.Mutex
	running := 0
	addRunning := func(delta int) {
		mu.Lock()
		defer mu.Unlock()
		running += delta
		maxRunning = max(maxRunning, running)
	}
	for _, submission := range submissions {
		submission.request.Deadline = time.Now().Add(submission.deadline)
		group.Go(func() {
			ctx, cancel := context.WithDeadline(ctx, submission.request.Deadline)
			defer cancel()
			end, err := a.Admit(ctx, submission.request)
			submission.results++
			if err != nil {
				return
			}
			addRunning(1)
			time.Sleep(700 * time.Millisecond)
			addRunning(-1)
			end()
		})
	}
	group.Wait()
	active, waiting := a.Load()
	return maxRunning, active + waiting
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(1)
		if _, err := a.Admit(t.Context(), admitter.Request{Account: "a", Deadline: time.Now().Add(time.Minute)}); err != nil {
			t.Fatalf("Admit() got error %v, want nil", err)
		}
		startedAt := time.Now()
		_, err := a.Admit(t.Context(), admitter.Request{Account: "a", Deadline: time.Now().Add(time.Second)})
		var refusal *classifier.Error
		if !errors.As(err, &refusal) || refusal.Kind != classifier.DeadlineUnmet || refusal.Answer().Ran != classifier.RanNo {
			t.Errorf("Admit() got error %v, want deadline_unmet", err)
		}
		if took := time.Since(startedAt); took != 0 {
			t.Errorf("refusal got after %s, want at once", took)
		}
	})
}
