package supervisor

import (
	"math"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/retrier"
)

const (
	// takeBackRatio is the number of requests that may be taken back for each request of a
	// service, takeBackBurst the number that may be taken back at once.
	takeBackRatio = 0.1
	takeBackBurst = 10
	// overloadedShare is the share of late requests from which a service counts as overloaded:
	// when most are late, another endpoint is no better. recoveredShare is the share below
	// which it no longer does.
	overloadedShare = 0.5
	recoveredShare  = 0.25
	// minRequests is the number of recent requests from which the share counts.
	minRequests = 8
	// loadTimeConstant is the time constant with which requests are forgotten.
	loadTimeConstant = 5 * time.Second
)

// Load holds how many requests of a service were late recently, and bounds those that are taken
// back. It is safe for concurrent use.
type Load struct {
	mu         sync.Mutex
	onTime     float64
	late       float64
	at         time.Time
	overloaded bool
	budget     *retrier.Budget
}

// NewLoad returns the load of a service without requests.
func NewLoad() *Load {
	return &Load{budget: retrier.NewBudgetWithRatio(takeBackRatio, takeBackBurst)}
}

// RecordOnTime records a request whose wait ended within its patience.
func (l *Load) RecordOnTime(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	l.onTime++
	l.budget.RecordRequest()
}

// RecordLate records a request that waits for longer than its patience.
func (l *Load) RecordLate(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	l.late++
}

// Overloaded reports whether most recent requests were late.
func (l *Load) Overloaded(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	total := l.onTime + l.late
	threshold := overloadedShare
	if l.overloaded {
		threshold = recoveredShare
	}
	l.overloaded = total >= minRequests && l.late > threshold*total
	return l.overloaded
}

// TrySpend takes one request from those that may be taken back, and reports whether there was one.
func (l *Load) TrySpend() bool { return l.budget.TrySpend() }

// Refund gives back what TrySpend took for a request that was not taken back.
func (l *Load) Refund() { l.budget.Refund() }

// forget reduces the weight of earlier requests.
func (l *Load) forget(now time.Time) {
	weight := math.Exp(-float64(now.Sub(l.at)) / float64(loadTimeConstant))
	l.at = now
	l.onTime *= weight
	l.late *= weight
}
