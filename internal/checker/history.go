// Package checker tests what the system promises after a run under faults. It
// reads only what callers got, what endpoints ran and what the log holds.
package checker

import (
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Chat is one chat request as its caller saw it. Each has a prompt of its own.
type Chat struct {
	Account string
	Person  string
	Prompt  string
	// Conversation is the caller's name of the conversation; empty for none.
	Conversation string
	MaxTokens    int
	Start        time.Time
	Answer       *caller.Answer
	Err          error
}

// Booking is one attempt of a call that may not be repeated. Attempts with the
// same account and key are repeats of one booking.
type Booking struct {
	Account string
	Service string
	Key     string
	// Body is unique to the booking.
	Body   string
	Start  time.Time
	Result *caller.Result
	Err    error
}

// Sighting is what one daemon said of its configuration.
type Sighting struct {
	Daemon   string
	Revision uint64
	At       time.Time
}

// Change is a moment from which something must hold.
type Change struct {
	// Name is a version or an endpoint.
	Name string
	At   time.Time
}

// History is what callers and operators saw. It is safe for concurrent use.
type History struct {
	mu        sync.Mutex
	chats     []Chat
	bookings  []Booking
	sightings []Sighting
	// Withdrawn lists versions with the time their withdrawal was accepted.
	withdrawn []Change
	// Leaving lists endpoints with the time they began to leave.
	leaving []Change
}

// AddChat records a chat.
func (h *History) AddChat(chat Chat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.chats = append(h.chats, chat)
}

// AddBooking records an attempt of a booking.
func (h *History) AddBooking(booking Booking) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bookings = append(h.bookings, booking)
}

// AddSighting records what a daemon said of its configuration.
func (h *History) AddSighting(sighting Sighting) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sightings = append(h.sightings, sighting)
}

// FirstDaemon returns the daemon that was sighted first; empty for none.
func (h *History) FirstDaemon() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.sightings) == 0 {
		return ""
	}
	return h.sightings[0].Daemon
}

// Withdraw records that a version's withdrawal was accepted.
func (h *History) Withdraw(version string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.withdrawn = append(h.withdrawn, Change{version, at})
}

// Leave records that an endpoint began to leave.
func (h *History) Leave(endpoint string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = append(h.leaving, Change{endpoint, at})
}

// Chats returns the chats so far.
func (h *History) Chats() []Chat {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Chat(nil), h.chats...)
}

// Bookings returns the attempts of bookings so far.
func (h *History) Bookings() []Booking {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Booking(nil), h.bookings...)
}

// Runs is what the endpoints ran.
type Runs struct {
	// Engines holds the runs by endpoint.
	Engines map[string][]faker.Execution
	// Services holds the calls by service.
	Services map[string][]faker.ExecutedCall
}

// Facts are all that the checker reads.
type Facts struct {
	Declaration *schema.Declaration
	History     *History
	Runs        Runs
	// Bills are the records of the log's stream of bills, in order.
	Bills []*schema.Bill
	// Expired is set when bills may have expired from the log.
	Expired bool
}
