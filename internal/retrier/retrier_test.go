package retrier_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/repeater"
	"quetzalgrade.example/quetzalgrade/internal/retrier"
)

// TestRetriesStayWithinTheBudget guards against a retry storm: the retries must not
// exceed the 3 initial ones plus a tenth of the requests, in any order of requests
// and retries.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	repeater.Check(t, func(t *rapid.T) {
		budget := retrier.NewBudget()
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				budget.RecordRequest()
				requests++
			} else if budget.TrySpend() {
				retries++
			}
			if bound := 3 + float64(requests)/10; float64(retries) > bound+1e-6 {
				t.Fatalf("retries got %d after %d requests, want at most %g", retries, requests, bound)
			}
		}
	})
}

// TestNonIdempotentRequestIsNotRetriedOnceSent guards against a request that runs
// twice: an endpoint may have run a non-idempotent request as soon as a byte of it
// has been sent, whatever the kind of the error.
func TestNonIdempotentRequestIsNotRetriedOnceSent(t *testing.T) {
	var kinds []classifier.Kind
	for kind := range classifier.Kinds() {
		kinds = append(kinds, kind)
	}
	repeater.Check(t, func(t *rapid.T) {
		attempt := retrier.FailedAttempt{
			Kind:            rapid.SampledFrom(kinds).Draw(t, "kind"),
			BytesSent:       true,
			ResponseStarted: rapid.Bool().Draw(t, "response started"),
			Attempts:        rapid.IntRange(1, 3).Draw(t, "number"),
			Remaining:       time.Duration(rapid.IntRange(0, 100).Draw(t, "remaining")) * time.Second,
		}
		if retrier.Allowed(attempt) {
			t.Fatalf("Allowed(%+v) got true, want false", attempt)
		}
	})
}

// TestAllowed guards against retries that are unsafe or too late, and against safe
// retries that are refused.
func TestAllowed(t *testing.T) {
	retryable := retrier.FailedAttempt{Kind: classifier.EndpointFailed, Idempotent: true, BytesSent: true, Attempts: 1, Remaining: time.Minute, ExpectedDuration: time.Second}
	rows := map[string]struct {
		change func(*retrier.FailedAttempt)
		want   bool
	}{
		"idempotent request":                  {func(*retrier.FailedAttempt) {}, true},
		"too little time before the deadline": {func(a *retrier.FailedAttempt) { a.Remaining = time.Millisecond }, false},
		"part of the response received":       {func(a *retrier.FailedAttempt) { a.ResponseStarted = true }, false},
		"too many attempts":                   {func(a *retrier.FailedAttempt) { a.Attempts = 3 }, false},
		"client disconnected":                 {func(a *retrier.FailedAttempt) { a.Kind = classifier.ClientDisconnected }, false},
		"non-idempotent request that was not sent": {func(a *retrier.FailedAttempt) {
			a.Idempotent, a.BytesSent, a.Kind = false, false, classifier.NoEndpoint
		}, true},
		"non-idempotent request that was refused": {func(a *retrier.FailedAttempt) { a.Idempotent, a.Kind = false, classifier.EndpointRefused }, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			attempt := retryable
			row.change(&attempt)
			if got := retrier.Allowed(attempt); got != row.want {
				t.Errorf("Allowed() got %v, want %v", got, row.want)
			}
		})
	}
}

// TestTrySpendAboveLeavesTheReserve guards against optional retries that use up
// the reserve for requests that fail.
func TestTrySpendAboveLeavesTheReserve(t *testing.T) {
	budget := retrier.NewBudgetWithRatio(1, 5)
	for range 10 {
		budget.RecordRequest()
	}
	spent := 0
	for budget.TrySpendAbove(3) {
		spent++
	}
	if spent != 2 {
		t.Errorf("retries above a reserve of 3 got %d of 5, want 2", spent)
	}
	if !budget.TrySpend() {
		t.Error("TrySpend() of the reserve got false, want true")
	}
}
