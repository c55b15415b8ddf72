// Package checker verifies the system's invariants after a run under faults. It
// reads only what clients received, what endpoints ran, which revisions daemons
// reported and what the log holds.
package checker

import (
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Chat is one chat request as its client saw it. The prompt is unique to the
// request.
type Chat struct {
	Account string
	Person  string
	Prompt  string
	// Conversation is the client's name for the conversation; it is empty if
	// the request belongs to none.
	Conversation string
	MaxTokens    int
	Start        time.Time
	Response     *caller.Answer
	Err          error
}

// BookingAttempt is one attempt of a non-idempotent call. Attempts with the same
// account and idempotency key belong to one booking.
type BookingAttempt struct {
	Account string
	Service string
	Key     string
	// Body is the request body, which is unique to the booking.
	Body   string
	Start  time.Time
	Result *caller.Result
	Err    error
}

// RevisionObservation is the configuration revision that one daemon reported.
type RevisionObservation struct {
	Daemon   string
	Revision uint64
	At       time.Time
}

// Cutoff is the time at which a version or an endpoint became ineligible for new
// work.
type Cutoff struct {
	// Name identifies the version or the endpoint.
	Name string
	At   time.Time
}

// History records what clients and operators observed. It is safe for concurrent
// use.
type History struct {
	mu              sync.Mutex
	chats           []Chat
	bookingAttempts []BookingAttempt
	observations    []RevisionObservation
	// withdrawn lists the versions with the times their withdrawals were accepted.
	withdrawn []Cutoff
	// draining lists the endpoints with the times they began draining.
	draining []Cutoff
}

// AddChat records a chat request.
func (h *History) AddChat(chat Chat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.chats = append(h.chats, chat)
}

// AddBookingAttempt records an attempt of a booking.
func (h *History) AddBookingAttempt(attempt BookingAttempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bookingAttempts = append(h.bookingAttempts, attempt)
}

// AddRevisionObservation records the revision that a daemon reported.
func (h *History) AddRevisionObservation(observation RevisionObservation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations = append(h.observations, observation)
}

// FirstDaemon returns the daemon whose revision was recorded first, or an empty
// string if there is none.
func (h *History) FirstDaemon() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.observations) == 0 {
		return ""
	}
	return h.observations[0].Daemon
}

// AddWithdrawal records when a version's withdrawal was accepted.
func (h *History) AddWithdrawal(version string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.withdrawn = append(h.withdrawn, Cutoff{version, at})
}

// AddDraining records when an endpoint began draining.
func (h *History) AddDraining(endpoint string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = append(h.draining, Cutoff{endpoint, at})
}

// Chats returns a copy of the chat requests recorded so far.
func (h *History) Chats() []Chat {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Chat(nil), h.chats...)
}

// BookingAttempts returns a copy of the booking attempts recorded so far.
func (h *History) BookingAttempts() []BookingAttempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]BookingAttempt(nil), h.bookingAttempts...)
}

// EndpointRuns holds the requests that the endpoints ran.
type EndpointRuns struct {
	// Engines holds the runs of each engine, by endpoint address.
	Engines map[string][]faker.Execution
	// Services holds the calls of each plain service, by service name.
	Services map[string][]faker.ExecutedCall
}

// Input is all the data that Check reads.
type Input struct {
	Declaration *schema.Declaration
	History     *History
	Runs        EndpointRuns
	// Bills are the bills in the log's stream of bills, in log order and with
	// duplicates.
	Bills []*schema.Bill
	// BillsExpired is set when bills may have expired from the log. A missing
	// bill is then no violation.
	BillsExpired bool
}
