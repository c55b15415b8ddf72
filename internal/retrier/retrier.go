// Package retrier decides whether a failed or slow attempt is retried. The retry
// budget limits retries to a share of the requests, so that a failure of all
// endpoints does not multiply the load.
package retrier

import (
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
)

const (
	// defaultRatio is the number of retries that each request adds to the budget.
	defaultRatio = 0.1
	// defaultBurst bounds the unused retries that accumulate.
	defaultBurst = 20
	// initialTokens is the number of retries that are allowed before any request.
	initialTokens = 3
)

// Budget is a retry budget. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	burst  float64
}

// NewBudget returns a budget with the default ratio and burst. It starts with a
// few retries.
func NewBudget() *Budget {
	return &Budget{tokens: initialTokens, ratio: defaultRatio, burst: defaultBurst}
}

// NewBudgetWithRatio returns a budget that allows ratio retries for each request.
// It starts with burst retries and accumulates no more than that.
func NewBudgetWithRatio(ratio, burst float64) *Budget {
	return &Budget{tokens: burst, ratio: ratio, burst: burst}
}

// RecordRequest adds the share of one request to the budget.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// TrySpend takes one retry from the budget and reports whether the budget allowed
// it.
func (b *Budget) TrySpend() bool { return b.TrySpendAbove(0) }

// TrySpendAbove takes one retry from the budget if at least reserve retries
// remain afterwards, and reports whether it did.
func (b *Budget) TrySpendAbove(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Refund gives back a retry that was taken and not made.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+1)
}

// FailedAttempt describes a failed attempt.
type FailedAttempt struct {
	// Kind is the kind of the error.
	Kind classifier.Kind
	// Idempotent is false if the request must not run more than once.
	Idempotent bool
	// BytesSent is set if bytes of the request may have been sent.
	BytesSent bool
	// ResponseStarted is set if the client has received part of the response.
	ResponseStarted bool
	// Attempts is the number of attempts so far.
	Attempts int
	// Remaining is the time until the deadline, ExpectedDuration the time that
	// another attempt is expected to take.
	Remaining        time.Duration
	ExpectedDuration time.Duration
}

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// Allowed reports whether another attempt is safe and expected to end before the
// deadline. It does not check the retry budget.
func Allowed(attempt FailedAttempt) bool {
	if attempt.ResponseStarted || attempt.Attempts >= maxAttempts || attempt.Remaining < attempt.ExpectedDuration {
		return false
	}
	response, known := classifier.Kinds()[attempt.Kind]
	if !known || attempt.Kind == classifier.ClientDisconnected || attempt.Kind == classifier.Timeout {
		return false
	}
	if attempt.Idempotent {
		return response.Retryable
	}
	return !attempt.BytesSent
}
