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
	Repeats  *metrics.Counter
	Resumes  *metrics.Counter
	Served   *metrics.Counter
	// First is the time to the first event of a stream, Whole that to the end of
	// any answer.
	First *metrics.Histogram
	Whole *metrics.Histogram
}

// NewCounters registers the counters in the set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		set:      set,
		Requests: set.NewCounter("requests_total"),
		Attempts: set.NewCounter("attempts_total"),
		Repeats:  set.NewCounter("repeats_total"),
		Resumes:  set.NewCounter("resumes_total"),
		Served:   set.NewCounter("served_total"),
		First:    set.NewHistogram("first_event_seconds"),
		Whole:    set.NewHistogram("answer_seconds"),
	}
}

// count adds one to the counter of an event of a kind.
func (c *Counters) count(event string, kind classifier.Kind) {
	c.set.GetOrCreateCounter(event + `_total{kind="` + string(kind) + `"}`).Inc()
}

// Budgets bound the repeats of each service.
type Budgets struct {
	mu    sync.Mutex
	share float64
	burst float64
	each  map[string]*retrier.Budget
}

// NewBudgets returns budgets that allow a share of a service's requests to be
// repeated and save up at most burst repeats.
func NewBudgets(share, burst float64) *Budgets {
	return &Budgets{share: share, burst: burst, each: map[string]*retrier.Budget{}}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *retrier.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.each[service]
	if known == nil {
		known = retrier.NewBudgetOf(b.share, b.burst)
		b.each[service] = known
	}
	return known
}
