// Package admitter implements admission control: it decides which requests run
// now, which wait and which are refused early. Waiting requests are ordered by
// priority and, within a priority, by weighted fair queueing over accounts.
// Under overload the requests of the lowest priority are refused first.
package admitter

import (
	"context"
	"math"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
)

// Ticket is the queue entry of a request that waits or runs.
type Ticket struct {
	account  string
	weight   float64
	priority int
	deadline time.Time
	// virtualFinish is the virtual finish time of weighted fair queueing. It
	// orders the requests of one priority.
	virtualFinish float64
	// result receives nil when the request may run, or the reason for refusal.
	result chan error
}

// Queue makes the admission decisions and has no side effects: its caller
// starts or refuses the requests that it returns. It is not safe for concurrent
// use.
type Queue struct {
	capacity         int
	running          int
	runningByAccount map[string]int
	waiting          []*Ticket
	virtualTime      float64
	// lastFinish holds the virtual finish time of each account's newest request.
	lastFinish map[string]float64
	// serviceTime is the moving average of the time that a request runs.
	serviceTime time.Duration
}

const (
	// serviceTimeSmoothing is the weight of the newest request in the moving
	// average of the service time.
	serviceTimeSmoothing = 0.05
	// initialServiceTime is the assumed service time before any request has
	// completed.
	initialServiceTime = time.Second
	// waitSafetyFactor scales up the predicted wait, since a response after the
	// deadline is useless.
	waitSafetyFactor = 1.1
)

// NewQueue returns an empty queue that lets at most capacity requests run at
// once.
func NewQueue(capacity int) *Queue {
	return &Queue{capacity: capacity, runningByAccount: map[string]int{}, lastFinish: map[string]float64{}, serviceTime: initialServiceTime}
}

// SetCapacity changes the number of requests that may run at once; the minimum
// is 1. It starts no waiting requests.
func (q *Queue) SetCapacity(capacity int) { q.capacity = max(1, capacity) }

// Enqueue adds a request. It returns the tickets to refuse and those to start;
// the new ticket may be among either or remain in the queue. If the account
// already has maxParallel requests running or waiting, the new request is
// refused; a maxParallel of 0 means no bound.
func (q *Queue) Enqueue(ticket *Ticket, maxParallel int, now time.Time) (refused []Refusal, started []*Ticket) {
	if maxParallel > 0 && q.runningByAccount[ticket.account]+q.queuedFor(ticket.account) >= maxParallel {
		return []Refusal{{ticket, classifier.New(classifier.RateLimited, "the account already has its maximum of %d requests running or waiting", maxParallel).WithRetryAfter(q.serviceTime)}}, nil
	}
	ticket.virtualFinish = max(q.virtualTime, q.lastFinish[ticket.account]) + 1/ticket.weight
	q.lastFinish[ticket.account] = ticket.virtualFinish
	q.insert(ticket)
	return q.shed(now), q.startWaiting()
}

// Refusal is a request that will not run, with the error for its client.
type Refusal struct {
	Ticket *Ticket
	Err    error
}

// Complete records that a request ended after it ran for the given time. It
// returns the tickets to refuse and those to start.
func (q *Queue) Complete(ticket *Ticket, took time.Duration, now time.Time) (refused []Refusal, started []*Ticket) {
	q.running--
	if q.runningByAccount[ticket.account]--; q.runningByAccount[ticket.account] == 0 {
		delete(q.runningByAccount, ticket.account)
	}
	q.serviceTime += time.Duration(serviceTimeSmoothing * float64(took-q.serviceTime))
	return q.shed(now), q.startWaiting()
}

// Cancel removes a waiting request. It returns false if the request was not
// waiting any more.
func (q *Queue) Cancel(ticket *Ticket) bool {
	for i, queued := range q.waiting {
		if queued == ticket {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of requests that are running.
func (q *Queue) Running() int { return q.running }

func (q *Queue) queuedFor(account string) int {
	count := 0
	for _, queued := range q.waiting {
		if queued.account == account {
			count++
		}
	}
	return count
}

// insert adds a ticket at its position: by priority, the highest first, then by
// virtual finish time.
func (q *Queue) insert(ticket *Ticket) {
	position := len(q.waiting)
	for position > 0 && before(ticket, q.waiting[position-1]) {
		position--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[position+1:], q.waiting[position:])
	q.waiting[position] = ticket
}

func before(a, b *Ticket) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.virtualFinish < b.virtualFinish
}

// shed removes and returns the requests that are predicted to complete after
// their deadlines. The wait is longest at the end of the queue. Under overload
// the requests there are those of the lowest priority and of the account that
// uses the most in proportion to its weight.
func (q *Queue) shed(now time.Time) []Refusal {
	var refused []Refusal
	remaining := q.waiting[:0]
	for _, ticket := range q.waiting {
		wait := q.predictWait(len(remaining))
		if now.Add(wait + q.serviceTime).After(ticket.deadline) {
			refused = append(refused, Refusal{ticket, classifier.New(classifier.DeadlineUnmet, "the request is predicted to complete after its deadline; %d requests are waiting", len(q.waiting)).WithRetryAfter(wait)})
			continue
		}
		remaining = append(remaining, ticket)
	}
	clear(q.waiting[len(remaining):])
	q.waiting = remaining
	return refused
}

// predictWait returns the expected wait of a request that has the given number
// of requests ahead of it in the queue.
func (q *Queue) predictWait(ahead int) time.Duration {
	free := q.capacity - q.running
	if ahead < free {
		return 0
	}
	rounds := float64(ahead-max(0, free)+1) / float64(q.capacity)
	return time.Duration(waitSafetyFactor * rounds * float64(q.serviceTime))
}

// startWaiting moves requests from the front of the queue into the free capacity
// and returns them. Once nothing runs or waits it resets the virtual time.
func (q *Queue) startWaiting() []*Ticket {
	var started []*Ticket
	for q.running < q.capacity && len(q.waiting) > 0 {
		ticket := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		q.runningByAccount[ticket.account]++
		q.virtualTime = max(q.virtualTime, ticket.virtualFinish-1/ticket.weight)
		started = append(started, ticket)
	}
	if len(q.waiting) == 0 && q.running == 0 {
		clear(q.lastFinish)
		q.virtualTime = 0
	}
	return started
}

// Admitter is a Queue for concurrent use.
type Admitter struct {
	mu    sync.Mutex
	queue *Queue
}

// New returns an admitter that lets at most capacity requests run at once.
func New(capacity int) *Admitter { return &Admitter{queue: NewQueue(capacity)} }

// Request holds the properties of a request that admission depends on.
type Request struct {
	Account string
	// Weight is the account's weight in fair queueing. A value that is not
	// positive and finite counts as 1.
	Weight float64
	// Priority orders requests; higher values run first.
	Priority int
	// MaxParallel bounds the account's requests that run or wait at once; 0
	// means no bound.
	MaxParallel int
	// Deadline is when the response must be complete.
	Deadline time.Time
}

// Admit waits until the request may run. If the error is nil, the returned
// function must be called when the request has ended. If the request is refused,
// the error is a *classifier.Error of kind RateLimited or DeadlineUnmet, and the
// function must not be called.
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
	a.notify(a.queue.Enqueue(ticket, request.MaxParallel, time.Now()))
	a.mu.Unlock()
	select {
	case err := <-ticket.result:
		return a.completeFunc(ticket), err
	case <-ctx.Done():
		return nil, a.cancel(ticket)
	}
}

// cancel removes a ticket whose context has ended and returns the error for its
// client. A request that was admitted at the same time is completed at once.
func (a *Admitter) cancel(ticket *Ticket) error {
	a.mu.Lock()
	removed := a.queue.Cancel(ticket)
	a.mu.Unlock()
	if !removed {
		if err := <-ticket.result; err == nil {
			a.completeFunc(ticket)()
		}
	}
	return classifier.New(classifier.DeadlineUnmet, "the request was cancelled or reached its deadline while it waited").WithRetryAfter(time.Second)
}

// completeFunc returns the function that ends a running request. Only its first
// call has an effect.
func (a *Admitter) completeFunc(ticket *Ticket) func() {
	startedAt := time.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			now := time.Now()
			a.notify(a.queue.Complete(ticket, now.Sub(startedAt), now))
		})
	}
}

// notify sends the results to the waiting requests. The lock is held; sends do
// not block, since each result channel has a buffer for its only result.
func (a *Admitter) notify(refused []Refusal, started []*Ticket) {
	for _, refusal := range refused {
		refusal.Ticket.result <- refusal.Err
	}
	for _, ticket := range started {
		ticket.result <- nil
	}
}

// SetCapacity changes the number of requests that may run at once and starts
// waiting requests if the new capacity allows it.
func (a *Admitter) SetCapacity(capacity int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetCapacity(capacity)
	a.notify(nil, a.queue.startWaiting())
}

// Load returns the number of running and of waiting requests.
func (a *Admitter) Load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Running(), a.queue.Waiting()
}
