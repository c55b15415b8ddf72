// Package admitter decides which requests run now, which wait and which are
// refused early. Waiting requests are ordered by weighted fair queueing over
// accounts; under overload the lowest priority is refused first.
package admitter

import (
	"context"
	"math"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
)

// Ticket is a request that waits or runs.
type Ticket struct {
	account  string
	weight   float64
	priority int
	deadline time.Time
	// finish is the virtual finish time that orders the queue.
	finish float64
	result chan error
}

// Queue is the pure part of admission: it decides, and its caller starts what
// it returns. It is not safe for concurrent use.
type Queue struct {
	capacity int
	running  int
	byName   map[string]int
	waiting  []*Ticket
	virtual  float64
	finishes map[string]float64
	// service is the moving average of the time that a request runs.
	service time.Duration
}

const (
	// serviceSmoothing is the weight of the newest request in the average.
	serviceSmoothing = 0.05
	// initialService is the assumed running time before any request has ended.
	initialService = time.Second
	// waitMargin scales the predicted wait, since a late answer is worth nothing.
	waitMargin = 1.1
)

// NewQueue returns a queue that runs at most capacity requests at once.
func NewQueue(capacity int) *Queue {
	return &Queue{capacity: capacity, byName: map[string]int{}, finishes: map[string]float64{}, service: initialService}
}

// SetCapacity changes the number of requests that run at once.
func (q *Queue) SetCapacity(capacity int) { q.capacity = max(1, capacity) }

// Offer adds a request. It returns the tickets to start and those to refuse;
// the offered one may be among either or stay queued.
func (q *Queue) Offer(ticket *Ticket, parallel int, now time.Time) (refused []Refusal, started []*Ticket) {
	if parallel > 0 && q.byName[ticket.account]+q.queuedOf(ticket.account) >= parallel {
		return []Refusal{{ticket, classifier.New(classifier.RateLimited, "%d requests of the account run already", parallel).WithRetryAfter(q.service)}}, nil
	}
	ticket.finish = max(q.virtual, q.finishes[ticket.account]) + 1/ticket.weight
	q.finishes[ticket.account] = ticket.finish
	q.insert(ticket)
	return q.shed(now), q.start()
}

// Refusal is a request that is not run, with its reason.
type Refusal struct {
	Ticket *Ticket
	Err    error
}

// End records that a request ended and returns the tickets to start.
func (q *Queue) End(ticket *Ticket, took time.Duration, now time.Time) (refused []Refusal, started []*Ticket) {
	q.running--
	if q.byName[ticket.account]--; q.byName[ticket.account] == 0 {
		delete(q.byName, ticket.account)
	}
	q.service += time.Duration(serviceSmoothing * float64(took-q.service))
	return q.shed(now), q.start()
}

// Withdraw removes a waiting request; it reports whether it was waiting.
func (q *Queue) Withdraw(ticket *Ticket) bool {
	for i, queued := range q.waiting {
		if queued == ticket {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Waiting returns the length of the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of requests that run.
func (q *Queue) Running() int { return q.running }

func (q *Queue) queuedOf(account string) int {
	count := 0
	for _, queued := range q.waiting {
		if queued.account == account {
			count++
		}
	}
	return count
}

// insert keeps the queue ordered by priority, then by virtual finish time.
func (q *Queue) insert(ticket *Ticket) {
	at := len(q.waiting)
	for at > 0 && before(ticket, q.waiting[at-1]) {
		at--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = ticket
}

func before(a, b *Ticket) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.finish < b.finish
}

// shed refuses the requests whose predicted start lies too late. The one whose
// place in the queue is worst is refused, which under overload is the lowest
// priority and the account that uses most for its weight.
func (q *Queue) shed(now time.Time) []Refusal {
	var refused []Refusal
	kept := q.waiting[:0]
	for _, ticket := range q.waiting {
		wait := q.predict(len(kept))
		if now.Add(wait + q.service).After(ticket.deadline) {
			refused = append(refused, Refusal{ticket, classifier.New(classifier.DeadlineUnmet, "%d requests wait", len(q.waiting)).WithRetryAfter(wait)})
			continue
		}
		kept = append(kept, ticket)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return refused
}

// predict returns the expected wait of a request with the given number ahead.
func (q *Queue) predict(ahead int) time.Duration {
	free := q.capacity - q.running
	if ahead < free {
		return 0
	}
	rounds := float64(ahead-max(0, free)+1) / float64(q.capacity)
	return time.Duration(waitMargin * rounds * float64(q.service))
}

func (q *Queue) start() []*Ticket {
	var started []*Ticket
	for q.running < q.capacity && len(q.waiting) > 0 {
		ticket := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		q.byName[ticket.account]++
		q.virtual = max(q.virtual, ticket.finish-1/ticket.weight)
		started = append(started, ticket)
	}
	if len(q.waiting) == 0 && q.running == 0 {
		clear(q.finishes)
		q.virtual = 0
	}
	return started
}

// Admitter runs a queue for concurrent callers.
type Admitter struct {
	mu    sync.Mutex
	queue *Queue
}

// New returns an admitter that runs at most capacity requests at once.
func New(capacity int) *Admitter { return &Admitter{queue: NewQueue(capacity)} }

// Request is what admission depends on.
type Request struct {
	Account  string
	Weight   float64
	Priority int
	// Parallel is the account's bound on requests at once; 0 for none.
	Parallel int
	Deadline time.Time
}

// Admit waits until the request may run. The returned function must be called
// when it has ended.
func (a *Admitter) Admit(ctx context.Context, request Request) (end func(), err error) {
	weight := request.Weight
	if !(weight > 0) || math.IsInf(weight, 0) {
		weight = 1
	}
	ticket := &Ticket{
		account:  request.Account,
		weight:   weight,
		priority: request.Priority,
		deadline: request.Deadline,
		result:   make(chan error, 1),
	}
	a.mu.Lock()
	a.notify(a.queue.Offer(ticket, request.Parallel, time.Now()))
	a.mu.Unlock()
	select {
	case err := <-ticket.result:
		return a.ender(ticket), err
	case <-ctx.Done():
		return nil, a.abandon(ticket)
	}
}

func (a *Admitter) abandon(ticket *Ticket) error {
	a.mu.Lock()
	withdrawn := a.queue.Withdraw(ticket)
	a.mu.Unlock()
	if !withdrawn {
		if err := <-ticket.result; err == nil {
			a.ender(ticket)()
		}
	}
	return classifier.New(classifier.DeadlineUnmet, "the request ended while it waited").WithRetryAfter(time.Second)
}

func (a *Admitter) ender(ticket *Ticket) func() {
	began := time.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			now := time.Now()
			a.notify(a.queue.End(ticket, now.Sub(began), now))
		})
	}
}

func (a *Admitter) notify(refused []Refusal, started []*Ticket) {
	for _, refusal := range refused {
		refusal.Ticket.result <- refusal.Err
	}
	for _, ticket := range started {
		ticket.result <- nil
	}
}

// SetCapacity changes the number of requests that run at once.
func (a *Admitter) SetCapacity(capacity int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetCapacity(capacity)
	a.notify(nil, a.queue.start())
}

// Load returns the number of requests that run and wait.
func (a *Admitter) Load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Running(), a.queue.Waiting()
}
