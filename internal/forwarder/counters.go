package forwarder

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/retrier"
)

// Counters holds the forwarder's metrics.
type Counters struct {
	set *metrics.Set
	// Requests counts the requests that arrived, Attempts the attempts to serve
	// them.
	Requests *metrics.Counter
	Attempts *metrics.Counter
	// Retries counts the attempts after the first one of each request.
	Retries *metrics.Counter
	// Resumes counts the streams of endpoints that were truncated, aborted or
	// corrupt, whether or not another endpoint resumed them.
	Resumes *metrics.Counter
	// TakenBack counts the requests that were sent elsewhere because their endpoint did not
	// respond in time, SilentStreams the streams that were resumed elsewhere because no
	// event came.
	TakenBack     *metrics.Counter
	SilentStreams *metrics.Counter
	// SlowClients counts the responses that were read on because the client read slowly.
	SlowClients *metrics.Counter
	// Crashes counts the attempts that may have crashed their endpoint.
	Crashes *metrics.Counter
	// InvalidNotices counts the responses that may have asked for a pause or said that
	// their endpoint is leaving, in a form that is not understood.
	InvalidNotices *metrics.Counter
	// CallerFailures counts the failures that say nothing about a version, because the requests of
	// the same caller fail on others too.
	CallerFailures *metrics.Counter
	// InvalidLoads counts the responses whose report of the load is not understood.
	InvalidLoads *metrics.Counter
	// Served counts the responses that were forwarded to their end.
	Served *metrics.Counter
	// FirstEvent measures the time from the arrival of a request to the first event
	// of its stream, WholeResponse that to the end of any response.
	FirstEvent    *metrics.Histogram
	WholeResponse *metrics.Histogram
	// AdmissionWait measures how long the requests of limited pools wait for room.
	AdmissionWait *metrics.Histogram
}

// NewCounters registers the metrics in the set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		set:            set,
		Requests:       set.NewCounter("requests_total"),
		Attempts:       set.NewCounter("attempts_total"),
		Retries:        set.NewCounter("repeats_total"),
		Resumes:        set.NewCounter("resumes_total"),
		TakenBack:      set.NewCounter("taken_back_total"),
		SilentStreams:  set.NewCounter("silent_streams_total"),
		SlowClients:    set.NewCounter("slow_clients_total"),
		Crashes:        set.NewCounter("crashes_total"),
		InvalidNotices: set.NewCounter("invalid_notices_total"),
		CallerFailures: set.NewCounter("caller_failures_total"),
		InvalidLoads:   set.NewCounter("invalid_loads_total"),
		Served:         set.NewCounter("served_total"),
		FirstEvent:     set.NewHistogram("first_event_seconds"),
		WholeResponse:  set.NewHistogram("answer_seconds"),
		AdmissionWait:  set.NewHistogram("admission_wait_seconds"),
	}
}

// registerAdmission registers the gauges of admission control.
func (c *Counters) registerAdmission(a *admission) {
	c.set.NewGauge("limited_pools", func() float64 { limited, _ := a.counts(); return float64(limited) })
	c.set.NewGauge("waiting_requests", func() float64 { _, waiting := a.counts(); return float64(waiting) })
}

// countByKind increments the counter of an event for an error kind.
func (c *Counters) countByKind(event string, kind classifier.Kind) {
	c.set.GetOrCreateCounter(event + `_total{kind="` + string(kind) + `"}`).Inc()
}

// RetryBudgets holds a retry budget for each service. It is safe for concurrent
// use.
type RetryBudgets struct {
	mu        sync.Mutex
	ratio     float64
	burst     float64
	byService map[string]*retrier.Budget
}

// NewRetryBudgets returns retry budgets that allow ratio retries for each
// request of a service and accumulate at most burst unused retries.
func NewRetryBudgets(ratio, burst float64) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, burst: burst, byService: map[string]*retrier.Budget{}}
}

// ForService returns the retry budget of a service.
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
