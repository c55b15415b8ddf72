package admitter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/admitter"
	"quetzalgrade.example/quetzalgrade/internal/repeater"
)

// harness drives a queue and records what becomes of each ticket.
type harness struct {
	queue    *admitter.Queue
	now      time.Time
	waiting  map[*admitter.Ticket]bool
	running  []*admitter.Ticket
	decided  map[*admitter.Ticket]int
	arrivals map[int]int
	starts   map[int]int
}

func newHarness(capacity int, options admitter.Options) *harness {
	return &harness{queue: admitter.NewQueue(capacity, options), now: time.Unix(0, 0), waiting: map[*admitter.Ticket]bool{},
		decided: map[*admitter.Ticket]int{}, arrivals: map[int]int{}, starts: map[int]int{}}
}

func (h *harness) enqueue(request admitter.Request) {
	ticket := admitter.NewTicket(request)
	h.waiting[ticket] = true
	h.arrivals[request.Priority]++
	h.record(h.queue.Enqueue(ticket, h.now))
}

// complete ends the running request at the index.
func (h *harness) complete(index int) {
	ticket := h.running[index]
	h.running = append(h.running[:index], h.running[index+1:]...)
	h.record(h.queue.Complete(ticket, time.Second, h.now))
}

func (h *harness) cancel(ticket *admitter.Ticket) {
	if h.queue.Cancel(ticket) {
		h.decided[ticket]++
		delete(h.waiting, ticket)
	}
}

func (h *harness) record(refused []admitter.Refusal, started []*admitter.Ticket) {
	for _, refusal := range refused {
		h.decided[refusal.Ticket]++
		delete(h.waiting, refusal.Ticket)
	}
	for _, ticket := range started {
		h.decided[ticket]++
		h.starts[ticket.Priority]++
		delete(h.waiting, ticket)
		h.running = append(h.running, ticket)
	}
}

// soonest returns the waiting ticket with the first deadline, or nil if there is none.
func (h *harness) soonest() *admitter.Ticket {
	var soonest *admitter.Ticket
	for ticket := range h.waiting {
		if soonest == nil || ticket.Deadline.Before(soonest.Deadline) {
			soonest = ticket
		}
	}
	return soonest
}

func drawRequest(rt *rapid.T, now time.Time) admitter.Request {
	return admitter.Request{
		Account:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "account"),
		Priority:  -rapid.IntRange(0, 2).Draw(rt, "priority"),
		Deadline:  now.Add(time.Duration(rapid.IntRange(1, 30).Draw(rt, "deadline")) * time.Second),
		Work:      rapid.Float64Range(0, 1e5).Draw(rt, "work"),
		Immediate: rapid.IntRange(0, 9).Draw(rt, "immediate") == 0,
	}
}

// TestEachRequestIsDecidedOnce guards against requests that are lost in the queue, or started and
// refused, under any sequence of arrivals, ends, cancellations and changes of the limit.
func TestEachRequestIsDecidedOnce(t *testing.T) {
	repeater.Check(t, func(rt *rapid.T) {
		h := newHarness(rapid.IntRange(1, 4).Draw(rt, "capacity"), admitter.Options{MinServiceRatio: 1. / 3, RefuseOnlyWaiting: true})
		var tickets int
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "milliseconds")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1, 2:
				tickets++
				h.enqueue(drawRequest(rt, h.now))
			case 3:
				if len(h.running) > 0 {
					h.complete(rapid.IntRange(0, len(h.running)-1).Draw(rt, "index"))
				}
			case 4:
				if ticket := h.soonest(); ticket != nil {
					h.cancel(ticket)
				}
			case 5:
				h.queue.SetCapacity(rapid.IntRange(1, 6).Draw(rt, "limit"))
				h.queue.SetRefusing(rapid.Bool().Draw(rt, "refusing"))
				h.record(h.queue.Update(h.now))
			}
			if h.queue.Waiting() != len(h.waiting) || h.queue.Running() != len(h.running) {
				rt.Fatalf("waiting and running got %d and %d, want %d and %d", h.queue.Waiting(), h.queue.Running(), len(h.waiting), len(h.running))
			}
		}
		for len(h.running) > 0 {
			h.complete(0)
		}
		if len(h.waiting) != 0 || len(h.decided) != tickets {
			rt.Fatalf("decided got %d and waiting %d, want %d and 0", len(h.decided), len(h.waiting), tickets)
		}
		for ticket, decisions := range h.decided {
			if decisions != 1 {
				rt.Fatalf("decisions of %+v got %d, want 1", ticket.Request, decisions)
			}
		}
	})
}

// TestOrderByUrgency guards against a less urgent request that is started before a more urgent
// one, or an account that overtakes another of the same priority with less than it.
func TestOrderByUrgency(t *testing.T) {
	repeater.Check(t, func(rt *rapid.T) {
		h := newHarness(1, admitter.Options{RefuseOnlyWaiting: true})
		for range rapid.IntRange(2, 40).Draw(rt, "requests") {
			request := drawRequest(rt, h.now)
			request.Immediate = false
			request.Deadline = h.now.Add(time.Hour)
			h.enqueue(request)
		}
		for len(h.running) > 0 {
			h.complete(0)
			if len(h.running) == 0 {
				break
			}
			for ticket := range h.waiting {
				if ticket.Priority > h.running[0].Priority {
					rt.Fatalf("started priority got %d while %d waits", h.running[0].Priority, ticket.Priority)
				}
			}
		}
	})
}

// TestAccountsShareEqually guards against an account that is held up by the surge of another one.
func TestAccountsShareEqually(t *testing.T) {
	repeater.Check(t, func(rt *rapid.T) {
		h := newHarness(1, admitter.Options{RefuseOnlyWaiting: true})
		surge := rapid.IntRange(10, 60).Draw(rt, "surge")
		others := rapid.IntRange(1, 10).Draw(rt, "others")
		for range surge {
			h.enqueue(admitter.Request{Account: "surging", Deadline: h.now.Add(time.Hour)})
		}
		for range others {
			h.enqueue(admitter.Request{Account: "other", Deadline: h.now.Add(time.Hour)})
		}
		completed := map[string]int{}
		for completed["other"] < others {
			completed[h.running[0].Account]++
			h.complete(0)
		}
		if got, most := completed["surging"], others+1; got > most {
			rt.Fatalf("requests of the surging account before the last other one got %d, want at most %d", got, most)
		}
	})
}

// TestNoPriorityStarves guards against a priority that gets nothing while more urgent requests
// take all capacity: of its requests, a third of the share of all is started.
func TestNoPriorityStarves(t *testing.T) {
	const minRatio = 1. / 3
	repeater.Check(t, func(rt *rapid.T) {
		h := newHarness(2, admitter.Options{MinServiceRatio: minRatio, RefuseOnlyWaiting: true})
		total := rapid.IntRange(10, 60).Draw(rt, "requests")
		for range total {
			request := drawRequest(rt, h.now)
			request.Deadline = h.now.Add(time.Hour)
			h.enqueue(request)
			if rapid.Bool().Draw(rt, "end") {
				h.complete(0)
			}
			starts, arrivals := 0, 0
			for priority, count := range h.arrivals {
				arrivals += count
				starts += h.starts[priority]
			}
			for priority, count := range h.arrivals {
				least := minRatio * float64(starts) / float64(arrivals) * float64(count)
				if got := float64(h.starts[priority]); got < least-1 {
					rt.Fatalf("starts of priority %d got %.0f of %d, want at least %.1f", priority, got, count, least)
				}
			}
		}
	})
}

// TestRefusalAtArrival guards against a queue in which all requests become late, against one that
// refuses the next request to start, and against durations of requests that were not executed,
// after which nothing seems to take time.
func TestRefusalAtArrival(t *testing.T) {
	h := newHarness(1, admitter.Options{RefuseOnlyWaiting: true})
	soon := admitter.Request{Account: "a", Deadline: h.now.Add(time.Hour), StartBy: h.now.Add(500 * time.Millisecond)}
	h.enqueue(soon)
	h.complete(0)
	h.enqueue(soon)
	h.record(h.queue.Complete(h.running[0], 0, h.now))
	h.running = nil
	if got := h.queue.MeanDuration(); got != time.Second {
		t.Errorf("MeanDuration() got %s, want 1s", got)
	}
	h.enqueue(soon)
	h.enqueue(soon)
	if got := h.queue.Waiting(); got != 1 {
		t.Errorf("waiting requests got %d, want 1: the next one to start", got)
	}
	h.enqueue(soon)
	if got := h.queue.Waiting(); got != 1 {
		t.Errorf("waiting requests got %d, want 1 without the one that would start too late", got)
	}
}

// TestOvertakenRequestIsRefusedAtArrival guards against a less urgent request that waits until
// shortly before its deadline and is refused then, because the more urgent ones that keep
// arriving overtake it.
func TestOvertakenRequestIsRefusedAtArrival(t *testing.T) {
	h := newHarness(1, admitter.Options{MinServiceRatio: 1. / 3, RefuseOnlyWaiting: true})
	urgent := admitter.Request{Account: "a", Deadline: h.now.Add(time.Hour)}
	less := admitter.Request{Account: "b", Priority: -1, Deadline: h.now.Add(4 * time.Second)}
	for range 8 {
		h.enqueue(urgent)
		h.complete(0)
	}
	h.enqueue(less)
	h.complete(0)
	h.enqueue(urgent)
	h.enqueue(urgent)
	h.enqueue(less)
	if got := h.queue.Waiting(); got != 1 {
		t.Errorf("waiting requests got %d, want 1 without the less urgent one", got)
	}
}
