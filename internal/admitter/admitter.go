// Package admitter implements admission control: it decides which requests run
// now, which wait and which are refused early. Waiting requests are ordered by
// priority and, within a priority, by weighted fair queueing over accounts.
// Under overload the requests of the lowest priority are refused first.
package admitter

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
)

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
	// StartBy is when the request should start at the latest, or zero for no bound. It is a reason
	// for a refusal only at the arrival, and only if others are ahead in the queue.
	StartBy time.Time
	// Kind groups requests that run for about the same time, such as those of a route.
	Kind string
	// Work is the expected work of the request, in any unit, or 0 if unknown. It counts
	// against the account's share and is no reason for a refusal.
	Work float64
	// Immediate is set if the request must neither wait nor be refused.
	Immediate bool
}

// weight returns the weight in fair queueing.
func (r Request) weight() float64 {
	if !(r.Weight > 0) || math.IsInf(r.Weight, 0) {
		return 1
	}
	return r.Weight
}

// Ticket is the queue entry of a request that waits or runs.
type Ticket struct {
	Request
	// virtualStart and virtualFinish are the virtual times of weighted fair queueing.
	virtualStart  float64
	virtualFinish float64
	// orderTime orders the requests of one priority. It is the virtual finish time of a request
	// of average work, so that a large request delays the next ones of its account and not itself.
	orderTime float64
	// accepted is set once the request has been let into the queue.
	accepted bool
	// result receives nil when the request may run, or the reason for refusal.
	result chan error
}

// NewTicket returns the ticket of a request.
func NewTicket(request Request) *Ticket {
	return &Ticket{Request: request, result: make(chan error, 1)}
}

// Options vary the decisions of a queue.
type Options struct {
	// MinServiceRatio is the least share of the requests of each priority, and of each kind,
	// that is started, in relation to that of all requests. With 0, lower priorities and
	// kinds with little time may get nothing.
	MinServiceRatio float64
	// RefuseOnlyWaiting is set if a request is refused only if it has to wait, and only once
	// the time that requests run is known.
	RefuseOnlyWaiting bool
}

// Queue makes the admission decisions and has no side effects: its caller
// starts or refuses the requests that it returns. It is not safe for concurrent
// use.
type Queue struct {
	options  Options
	capacity int
	// refusing is unset while no request may be refused.
	refusing         bool
	running          int
	runningByAccount map[string]int
	waiting          []*Ticket
	virtualTime      float64
	// lastFinish holds the virtual finish time of each account's newest request.
	lastFinish map[string]float64
	durations  *durations
	priorities *shares[int]
	kinds      *shares[string]
	// meanWork is the moving average of the work of requests.
	meanWork float64
}

const (
	// waitSafetyFactor scales up the predicted wait, since a response after the
	// deadline is useless.
	waitSafetyFactor = 1.1
	// workSmoothing is the weight of the newest request in the moving average of the work.
	workSmoothing = 0.05
	// maxWorkRatio bounds by how much the work of one request counts more, or less, than the
	// average, so that an account is not held up for long by its largest request.
	maxWorkRatio = 3
)

// NewQueue returns an empty queue that lets at most capacity requests run at
// once.
func NewQueue(capacity int, options Options) *Queue {
	return &Queue{
		options:          options,
		capacity:         capacity,
		refusing:         true,
		runningByAccount: map[string]int{},
		lastFinish:       map[string]float64{},
		durations:        newDurations(),
		priorities:       newShares[int](options.MinServiceRatio),
		kinds:            newShares[string](options.MinServiceRatio),
	}
}

// SetCapacity changes the number of requests that may run at once; the minimum
// is 1. It starts no waiting requests.
func (q *Queue) SetCapacity(capacity int) { q.capacity = max(1, capacity) }

// SetRefusing sets whether requests may be refused because of their deadlines.
func (q *Queue) SetRefusing(refusing bool) { q.refusing = refusing }

// Enqueue adds a request. It returns the tickets to refuse and those to start;
// the new ticket may be among either or remain in the queue. If the account
// already has its maximum of requests running or waiting, the new request is
// refused.
func (q *Queue) Enqueue(ticket *Ticket, now time.Time) (refused []Refusal, started []*Ticket) {
	if ticket.MaxParallel > 0 && q.runningByAccount[ticket.Account]+q.queuedFor(ticket.Account) >= ticket.MaxParallel {
		return []Refusal{{ticket, classifier.New(classifier.RateLimited, "the account already has its maximum of %d requests running or waiting", ticket.MaxParallel).WithRetryAfter(q.durations.mean)}}, nil
	}
	ticket.virtualStart = max(q.virtualTime, q.lastFinish[ticket.Account])
	ticket.virtualFinish = ticket.virtualStart + q.relativeWork(ticket.Work)/ticket.weight()
	ticket.orderTime = ticket.virtualStart + 1/ticket.weight()
	q.lastFinish[ticket.Account] = ticket.virtualFinish
	q.priorities.arrive(ticket.Priority)
	q.kinds.arrive(ticket.Kind)
	if ticket.Immediate {
		q.start(ticket)
		started = append(started, ticket)
	} else {
		q.insert(ticket)
	}
	refused, waited := q.Update(now)
	ticket.accepted = true
	return refused, append(started, waited...)
}

// relativeWork returns the work of a request as a multiple of the average.
func (q *Queue) relativeWork(work float64) float64 {
	if !(work > 0) || math.IsInf(work, 0) {
		return 1
	}
	if q.meanWork == 0 {
		q.meanWork = work
	}
	q.meanWork += workSmoothing * (work - q.meanWork)
	return min(maxWorkRatio, max(1./maxWorkRatio, work/q.meanWork))
}

// Refusal is a request that will not run, with the error for its client.
type Refusal struct {
	Ticket *Ticket
	Err    error
}

// Complete records that a request ended after it ran for the given time, or for 0 if
// it was not executed. It returns the tickets to refuse and those to start.
func (q *Queue) Complete(ticket *Ticket, took time.Duration, now time.Time) (refused []Refusal, started []*Ticket) {
	q.running--
	if q.runningByAccount[ticket.Account]--; q.runningByAccount[ticket.Account] == 0 {
		delete(q.runningByAccount, ticket.Account)
	}
	if took > 0 {
		q.durations.record(ticket.Kind, took)
	}
	return q.Update(now)
}

// Update decides again about the requests that wait, at a time. It returns the tickets to refuse
// and those to start.
func (q *Queue) Update(now time.Time) (refused []Refusal, started []*Ticket) {
	started = q.startDue()
	refused = q.shed(now)
	return refused, append(started, q.startWaiting()...)
}

// Cancel removes a waiting request. It returns false if the request was not
// waiting any more.
func (q *Queue) Cancel(ticket *Ticket) bool {
	if !q.remove(ticket) {
		return false
	}
	q.refund(ticket)
	return true
}

// remove takes a ticket out of the queue. It returns false if the ticket does not wait.
func (q *Queue) remove(ticket *Ticket) bool {
	i := slices.Index(q.waiting, ticket)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// refund gives an account back what its newest request, which will not run, counted against
// its share.
func (q *Queue) refund(ticket *Ticket) {
	if q.lastFinish[ticket.Account] == ticket.virtualFinish {
		q.lastFinish[ticket.Account] = ticket.virtualStart
	}
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of requests that are running.
func (q *Queue) Running() int { return q.running }

// MeanDuration returns the mean time that requests run, or 0 if none has completed.
func (q *Queue) MeanDuration() time.Duration {
	if !q.durations.known() {
		return 0
	}
	return q.durations.mean
}

func (q *Queue) queuedFor(account string) int {
	count := 0
	for _, queued := range q.waiting {
		if queued.Account == account {
			count++
		}
	}
	return count
}

// insert adds a ticket at its position: by priority, the highest first, then by orderTime.
func (q *Queue) insert(ticket *Ticket) {
	position := len(q.waiting)
	for position > 0 && before(ticket, q.waiting[position-1]) {
		position--
	}
	q.waiting = slices.Insert(q.waiting, position, ticket)
}

func before(a, b *Ticket) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.orderTime < b.orderTime
}

// shed removes and returns the requests that are predicted to complete after
// their deadlines. The wait is longest at the end of the queue. Under overload
// the requests there are those of the lowest priority and of the account that
// uses the most in proportion to its weight.
func (q *Queue) shed(now time.Time) []Refusal {
	if !q.refusing || q.options.RefuseOnlyWaiting && !q.durations.known() {
		return nil
	}
	var refused []Refusal
	remaining := q.waiting[:0]
	waiting := len(q.waiting)
	position := place{}
	for _, ticket := range q.waiting {
		position = position.next(ticket.Priority)
		wait := q.predictWait(position)
		if q.meetsTimes(ticket, position, wait, now) {
			remaining = append(remaining, ticket)
			position.ahead++
			position.aheadOfPriority++
			continue
		}
		refused = append(refused, Refusal{ticket, classifier.New(classifier.DeadlineUnmet, "the request is predicted to complete after its deadline; %d requests are waiting", waiting).WithRetryAfter(wait)})
	}
	clear(q.waiting[len(remaining):])
	q.waiting = remaining
	// An account gets back its newest request first, since each began where the one before ended.
	for _, refusal := range slices.Backward(refused) {
		q.refund(refusal.Ticket)
	}
	return refused
}

// meetsTimes reports whether a request that waits for a time at its place is predicted to complete
// before its deadline and, if it has just arrived, to start in time.
func (q *Queue) meetsTimes(ticket *Ticket, at place, wait time.Duration, now time.Time) bool {
	if q.options.RefuseOnlyWaiting && wait == 0 {
		return true
	}
	if !ticket.accepted && at.ahead > 0 && !ticket.StartBy.IsZero() && now.Add(wait).After(ticket.StartBy) {
		return false
	}
	return !now.Add(wait + q.durations.of(ticket.Kind)).After(ticket.Deadline)
}

// place is a place in the queue: the number of requests ahead of it, and that of those of its
// priority.
type place struct {
	priority        int
	ahead           int
	aheadOfPriority int
}

// next returns the place for a request of a priority.
func (p place) next(priority int) place {
	if p.ahead > 0 && p.priority == priority {
		return p
	}
	return place{priority: priority, ahead: p.ahead}
}

// predictWait returns the expected wait of a request at a place in the queue.
func (q *Queue) predictWait(at place) time.Duration {
	free := q.capacity - q.running
	if at.ahead < free {
		return 0
	}
	starts := startsUntil(q.priorities, at.priority, float64(at.ahead-max(0, free)), at.aheadOfPriority)
	return time.Duration(waitSafetyFactor * starts / float64(q.capacity) * float64(q.durations.mean))
}

// startDue starts the requests of priorities and kinds that have got less than their least share,
// whether or not there is free capacity, and returns them. They are few, since their number is a
// share of that of all requests.
func (q *Queue) startDue() []*Ticket {
	var started []*Ticket
	for ticket := q.due(); ticket != nil; ticket = q.due() {
		q.remove(ticket)
		q.start(ticket)
		started = append(started, ticket)
	}
	return started
}

// due returns the first request of a priority or kind that has got less than its least share, or
// nil if there is none.
func (q *Queue) due() *Ticket {
	for _, ticket := range q.waiting {
		if q.priorities.due(ticket.Priority) || q.kinds.due(ticket.Kind) {
			return ticket
		}
	}
	return nil
}

// startWaiting moves requests from the front of the queue into the free capacity
// and returns them. Once nothing runs or waits it resets the virtual time.
func (q *Queue) startWaiting() []*Ticket {
	var started []*Ticket
	for q.running < q.capacity && len(q.waiting) > 0 {
		ticket := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.start(ticket)
		started = append(started, ticket)
	}
	if len(q.waiting) == 0 && q.running == 0 {
		clear(q.lastFinish)
		q.virtualTime = 0
	}
	return started
}

// start counts a request as running.
func (q *Queue) start(ticket *Ticket) {
	q.running++
	q.runningByAccount[ticket.Account]++
	q.virtualTime = max(q.virtualTime, ticket.virtualStart)
	q.priorities.start(ticket.Priority)
	q.kinds.start(ticket.Kind)
}

// Admitter is a Queue for concurrent use.
type Admitter struct {
	mu    sync.Mutex
	queue *Queue
}

// New returns an admitter that lets at most capacity requests run at once.
func New(capacity int, options Options) *Admitter {
	return &Admitter{queue: NewQueue(capacity, options)}
}

// Admit waits until the request may run. If the error is nil, the returned
// function must be called when the request has ended, with whether it was executed. If the
// request is refused, the error is a *classifier.Error of kind RateLimited or DeadlineUnmet,
// and the function must not be called.
func (a *Admitter) Admit(ctx context.Context, request Request) (end func(executed bool), err error) {
	ticket := NewTicket(request)
	a.mu.Lock()
	a.notify(a.queue.Enqueue(ticket, time.Now()))
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
			a.completeFunc(ticket)(false)
		}
	}
	return classifier.New(classifier.DeadlineUnmet, "the request was cancelled or reached its deadline while it waited").WithRetryAfter(time.Second)
}

// completeFunc returns the function that ends a running request. Only its first
// call has an effect.
func (a *Admitter) completeFunc(ticket *Ticket) func(executed bool) {
	startedAt := time.Now()
	var once sync.Once
	return func(executed bool) {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			now := time.Now()
			took := time.Duration(0)
			if executed {
				took = now.Sub(startedAt)
			}
			a.notify(a.queue.Complete(ticket, took, now))
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

// SetLimit changes the number of requests that may run at once and whether requests may be
// refused because of their deadlines. It starts and refuses waiting requests accordingly.
func (a *Admitter) SetLimit(capacity int, refusing bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetCapacity(capacity)
	a.queue.SetRefusing(refusing)
	a.notify(a.queue.Update(time.Now()))
}

// MeanDuration returns the mean time that requests run, or 0 if none has completed.
func (a *Admitter) MeanDuration() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.MeanDuration()
}

// Load returns the number of running and of waiting requests.
func (a *Admitter) Load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Running(), a.queue.Waiting()
}
