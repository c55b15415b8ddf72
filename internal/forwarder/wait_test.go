package forwarder

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/supervisor"
)

// TestSpendTakesFromBothBudgetsOrNone guards against late requests that use up the budget for take-backs
// while the retry budget is exhausted, so that none is taken back when there are retries again.
func TestSpendTakesFromBothBudgetsOrNone(t *testing.T) {
	const takeBacks = 10
	// Each request adds a retry; at the beginning there are none but the reserve.
	budgets := NewRetryBudgets(1, retryReserve+takeBacks)
	budget := budgets.ForService("ledger")
	for budget.TrySpendAbove(retryReserve) {
	}
	w := &attemptWatch{load: supervisor.NewLoad(), call: &call{Forwarder: New(Dependencies{Counters: NewCounters(metrics.NewSet()), RetryBudgets: budgets}), route: &matcher.Route{Service: "ledger"}}}
	for range 100 {
		if w.spend() {
			t.Fatalf("spend() without retries got true, want false")
		}
	}
	for range takeBacks {
		budget.RecordRequest()
	}
	for i := range takeBacks {
		if !w.spend() {
			t.Fatalf("spend() %d with retries got false, want true", i)
		}
	}
	if w.spend() {
		t.Errorf("spend() after all retries got true, want false")
	}
}

// TestTakeBackAndHeadAtOnce guards against a request that is taken back while the head of its
// response is read: either the response is used, or the attempt counts as taken back and not as a
// failure of the endpoint.
func TestTakeBackAndHeadAtOnce(t *testing.T) {
	rows := map[string]struct {
		takenBackFirst bool
		wantUsed       bool
	}{
		"head first": {false, true},
		"taken back": {true, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			w := &attemptWatch{takeBack: row.takenBackFirst, timer: time.NewTimer(time.Hour)}
			if got := w.headArrived(); got != row.wantUsed {
				t.Errorf("headArrived() got %t, want %t", got, row.wantUsed)
			}
			w.call = &call{http: httptest.NewRequest(http.MethodGet, "/", nil)}
			w.check()
			if got := w.takeBack; got != row.takenBackFirst {
				t.Errorf("takeBack after the head got %t, want %t", got, row.takenBackFirst)
			}
		})
	}
}
