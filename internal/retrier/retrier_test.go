package retrier_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/repeater"
	"quetzalgrade.example/quetzalgrade/internal/retrier"
)

func TestRepeatsStayInsideTheBudget(t *testing.T) {
	repeater.Check(t, func(t *rapid.T) {
		budget := retrier.NewBudget()
		requests, repeats := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				budget.Request()
				requests++
			} else if budget.Spend() {
				repeats++
			}
			if bound := 3 + float64(requests)/10; float64(repeats) > bound+1e-6 {
				t.Fatalf("repeats got %d after %d requests, want at most %g", repeats, requests, bound)
			}
		}
	})
}

func TestACallThatMayNotBeRepeatedIsNeverRepeatedAfterAByte(t *testing.T) {
	var kinds []classifier.Kind
	for kind := range classifier.Kinds() {
		kinds = append(kinds, kind)
	}
	repeater.Check(t, func(t *rapid.T) {
		attempt := retrier.Attempt{
			Kind:      rapid.SampledFrom(kinds).Draw(t, "kind"),
			Wrote:     true,
			Delivered: rapid.Bool().Draw(t, "delivered"),
			Number:    rapid.IntRange(1, 3).Draw(t, "number"),
			Left:      time.Duration(rapid.IntRange(0, 100).Draw(t, "left")) * time.Second,
		}
		if retrier.Allowed(attempt) {
			t.Fatalf("Allowed(%+v) got true, want false", attempt)
		}
	})
}

func TestAllowed(t *testing.T) {
	whole := retrier.Attempt{Kind: classifier.EndpointFailed, Idempotent: true, Wrote: true, Number: 1, Left: time.Minute, Expected: time.Second}
	rows := map[string]struct {
		change func(*retrier.Attempt)
		want   bool
	}{
		"an idempotent call":                  {func(*retrier.Attempt) {}, true},
		"past the deadline":                   {func(a *retrier.Attempt) { a.Left = time.Millisecond }, false},
		"part of the answer was delivered":    {func(a *retrier.Attempt) { a.Delivered = true }, false},
		"too many attempts":                   {func(a *retrier.Attempt) { a.Number = 3 }, false},
		"the caller is gone":                  {func(a *retrier.Attempt) { a.Kind = classifier.CallerGone }, false},
		"a booking that never left":           {func(a *retrier.Attempt) { a.Idempotent, a.Wrote, a.Kind = false, false, classifier.NoEndpoint }, true},
		"a booking that the endpoint refused": {func(a *retrier.Attempt) { a.Idempotent, a.Kind = false, classifier.EndpointRefused }, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			attempt := whole
			row.change(&attempt)
			if got := retrier.Allowed(attempt); got != row.want {
				t.Errorf("Allowed() got %v, want %v", got, row.want)
			}
		})
	}
}

func TestAReserveIsLeft(t *testing.T) {
	budget := retrier.NewBudgetOf(1, 5)
	for range 10 {
		budget.Request()
	}
	spent := 0
	for budget.SpendAbove(3) {
		spent++
	}
	if spent != 2 {
		t.Errorf("repeats above a reserve of 3 got %d of 5, want 2", spent)
	}
	if !budget.Spend() {
		t.Error("Spend() of the reserve got false, want true")
	}
}
