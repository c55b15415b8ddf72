// Package retrier decides whether a failed or slow attempt is repeated. It
// keeps repeats to a share of the requests, so that a fault of all endpoints
// does not multiply the load.
package retrier

import (
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
)

const (
	// share is the number of repeats allowed for each request.
	defaultRatio = 0.1
	// burst bounds the repeats saved up.
	defaultBurst = 20
	// initial is the number of repeats allowed before any request.
	initialTokens = 3
)

// Budget bounds the repeats of a daemon. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	burst  float64
}

// NewBudget returns a budget with a small initial allowance.
func NewBudget() *Budget {
	return &Budget{tokens: initialTokens, ratio: defaultRatio, burst: defaultBurst}
}

// NewBudgetOf returns a budget that allows a share of the requests to be
// repeated. It begins with burst repeats and saves up no more.
func NewBudgetWithRatio(ratio, burst float64) *Budget {
	return &Budget{tokens: burst, ratio: ratio, burst: burst}
}

// Request adds a request's share.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Spend takes one repeat; it reports whether the budget allows it.
func (b *Budget) TrySpend() bool { return b.TrySpendAbove(0) }

// SpendAbove takes one repeat if as many as the reserve are left after it.
func (b *Budget) TrySpendAbove(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Attempt is what is known after an attempt failed.
type FailedAttempt struct {
	// Kind is the kind of the failure.
	Kind classifier.Kind
	// Idempotent is false for a call that may not be repeated.
	Idempotent bool
	// Wrote reports whether bytes of the request may have left.
	BytesSent bool
	// Delivered reports whether the caller has received part of the answer.
	ResponseStarted bool
	// Number counts the attempts so far.
	Attempts int
	// Left is the time until the deadline, Expected that of another attempt.
	Remaining        time.Duration
	ExpectedDuration time.Duration
}

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// Allowed reports whether another attempt is safe and can be in time. It does
// not ask the budget.
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
