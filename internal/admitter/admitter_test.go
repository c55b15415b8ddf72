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

// submission is a request and the number of results that Admit returned for it.
type submission struct {
	request admitter.Request
	// deadline is relative to the time of submission.
	deadline time.Duration
	results  int
}

// The test guards against more running requests than the capacity allows, and
// against requests that are lost in the queue or decided twice. Either could
// happen when requests are started, refused and cancelled at the same time.
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
			rt.Fatalf("most running at once got %d, want at most %d; running or waiting at the end got %d, want 0", maxRunning, capacity, remaining)
		}
		for _, submission := range submissions {
			if submission.results != 1 {
				rt.Fatalf("results got %d, want 1", submission.results)
			}
		}
	})
}

// submitAll submits all requests at once. It returns the highest number that ran
// at once and the number that still ran or waited after all had ended.
func submitAll(ctx context.Context, capacity int, submissions []*submission) (maxRunning, remaining int) {
	a := admitter.New(capacity, admitter.Options{})
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
			end(true)
		})
	}
	group.Wait()
	active, waiting := a.Load()
	return maxRunning, active + waiting
}

// The test guards against a request that waits in the queue although it cannot
// meet its deadline: with a capacity of one request that is already running, the
// predicted wait of the second one is longer than its deadline allows.
func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(1, admitter.Options{})
		if _, err := a.Admit(t.Context(), admitter.Request{Account: "a", Deadline: time.Now().Add(time.Minute)}); err != nil {
			t.Fatalf("Admit() got error %v, want nil", err)
		}
		startedAt := time.Now()
		_, err := a.Admit(t.Context(), admitter.Request{Account: "a", Deadline: time.Now().Add(time.Second)})
		var refusal *classifier.Error
		if !errors.As(err, &refusal) || refusal.Kind != classifier.DeadlineUnmet || refusal.Response().Execution != classifier.NotExecuted {
			t.Errorf("Admit() got error %v, want deadline_unmet", err)
		}
		if took := time.Since(startedAt); took != 0 {
			t.Errorf("time until refusal got %s, want 0", took)
		}
	})
}
