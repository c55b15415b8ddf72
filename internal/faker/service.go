package faker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/sender"
)

// ServiceFaults are the faults to inject into a plain service.
type ServiceFaults struct {
	// Delay is added before a call is executed.
	Delay time.Duration
	// DropResponses executes the calls and then aborts the connection.
	DropResponses bool
	// Refuse refuses calls without executing them.
	Refuse bool
	// FailAfterExecution responds with status 500 after a call was executed.
	FailAfterExecution bool
	// ExecuteTwice executes each non-idempotent call twice, as if it had been sent
	// twice.
	ExecuteTwice bool
}

// ExecutedCall is one non-idempotent call that a plain service executed.
type ExecutedCall struct {
	Call           string
	IdempotencyKey string
	RequestID      string
	Body           string
	ReceivedAt     time.Time
}

// Ledger records the non-idempotent calls that the workers of a plain service
// have executed. It does not deduplicate them, so that a test can detect a call
// that was executed twice.
type Ledger struct {
	mu    sync.Mutex
	calls []ExecutedCall
}

// ExecutedCalls returns the non-idempotent calls that were executed.
func (l *Ledger) ExecutedCalls() []ExecutedCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ExecutedCall(nil), l.calls...)
}

func (l *Ledger) add(call ExecutedCall) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call)
	return len(l.calls)
}

// Service is a fake of one worker of a plain service.
type Service struct {
	ledger *Ledger
	mu     sync.Mutex
	faults ServiceFaults
}

// NewService returns a worker that records its calls in a shared ledger.
func NewService(ledger *Ledger) *Service { return &Service{ledger: ledger} }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// receipt is the response to a call.
type receipt struct {
	Number int    `json:"number"`
	Call   string `json:"call"`
}

// Handler returns the worker's HTTP interface. It treats GET requests as
// idempotent and records all others in the ledger.
func (s *Service) Handler() http.Handler { return http.HandlerFunc(s.handleCall) }

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(sender.HeaderLoad, "0/0")
	if r.URL.Path == "/load" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Refuse {
		w.Header().Set(sender.HeaderExecution, "no")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "body was cut", http.StatusBadRequest)
		return
	}
	time.Sleep(faults.Delay)
	response := receipt{Call: r.Method + " " + r.URL.Path}
	if r.Method != http.MethodGet {
		call := ExecutedCall{
			Call:           response.Call,
			IdempotencyKey: r.Header.Get("Idempotency-Key"),
			RequestID:      r.Header.Get("X-Request-Id"),
			Body:           string(body),
			ReceivedAt:     time.Now(),
		}
		response.Number = s.ledger.add(call)
		if faults.ExecuteTwice {
			s.ledger.add(call)
		}
	}
	switch {
	case faults.DropResponses:
		panic(http.ErrAbortHandler)
	case faults.FailAfterExecution:
		http.Error(w, "service fault", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintln(w, string(data))
}
