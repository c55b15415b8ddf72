package forwarder

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/retrier"
)

// Counters count what happens to requests.
type Counters struct {
	set      *metrics.Set
	Requests *metrics.Counter
	Attempts *metrics.Counter
	Retries  *metrics.Counter
	Resumes  *metrics.Counter
	Served   *metrics.Counter
	// First is the time to the first event of a stream, Whole that to the end of
	// any answer.
	FirstEvent    *metrics.Histogram
	WholeResponse *metrics.Histogram
}

// NewCounters registers the counters in the set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		set:           set,
		Requests:      set.NewCounter("requests_total"),
		Attempts:      set.NewCounter("attempts_total"),
		Retries:       set.NewCounter("repeats_total"),
		Resumes:       set.NewCounter("resumes_total"),
		Served:        set.NewCounter("served_total"),
		FirstEvent:    set.NewHistogram("first_event_seconds"),
		WholeResponse: set.NewHistogram("answer_seconds"),
	}
}

// count adds one to the counter of an event of a kind.
func (c *Counters) countByKind(event string, kind classifier.Kind) {
	c.set.GetOrCreateCounter(event + `_total{kind="` + string(kind) + `"}`).Inc()
}

// Budgets bound the repeats of each service.
type RetryBudgets struct {
	mu        sync.Mutex
	ratio     float64
	burst     float64
	byService map[string]*retrier.Budget
}

// NewBudgets returns budgets that allow a share of a service's requests to be
// repeated and save up at most burst repeats.
func NewRetryBudgets(ratio, burst float64) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, burst: burst, byService: map[string]*retrier.Budget{}}
}

// Of returns the budget of a service.
func (b *RetryBudgets) ForService(service string) *retrier.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = retrier.NewBudgetWithRatio(b.ratio, b.burst)
		b.byService[service] = budget
	}
	return budget
}
