package demonstrator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/biller"
	"quetzalgrade.example/quetzalgrade/internal/checker"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/journaler"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Workload is the traffic of callers.
type Workload struct {
	// ChatRate and BookingRate are in requests a second over all daemons.
	ChatRate    float64
	BookingRate float64
	// ChatAccounts and BookingAccount send the requests.
	ChatAccounts   []string
	BookingAccount string
	Service        string
	Path           string
	// Turns is the number of turns of each conversation; 0 or 1 for none.
	Turns int
	// Tokens makes callers return the token of a conversation; otherwise they
	// send their own id.
	Tokens bool
	Stream bool
	Seed   uint64
	// Deadline bounds each request; 0 leaves it to the account.
	Deadline time.Duration
	// Repeats is how often a caller repeats a booking that failed.
	Repeats int
	// Twice makes each booking go to two daemons at the same moment.
	Twice bool
}

// DerwentWorkload and MekongWorkload are usual loads of the deployments.
var (
	DerwentWorkload = Workload{
		ChatRate: 4, BookingRate: 2, ChatAccounts: []string{"valley-growers", "rota-office", "ouse-allotments"},
		BookingAccount: "rota-office", Service: "turn-ledger", Path: "/turns",
		Turns: 2, Tokens: true, Stream: true, Seed: 1, Repeats: 3,
	}
	MekongWorkload = Workload{
		ChatRate: 4, BookingRate: 2, ChatAccounts: []string{"can-tho-depot", "booking-staff", "vinh-long-depot"},
		BookingAccount: "booking-staff", Service: "booking-desk", Path: "/deposits",
		Turns: 2, Tokens: true, Stream: true, Seed: 1, Repeats: 3,
	}
)

// Driver sends a workload to a simulation and records what callers see.
type Driver struct {
	s        *Simulation
	workload Workload
	History  *checker.History
	group    sync.WaitGroup
	mu       sync.Mutex
	random   *rand.Rand
	number   int
	// Avoid names daemons that the balancer does not choose.
	avoid map[string]bool
}

// NewDriver returns a driver without traffic.
func NewDriver(s *Simulation, workload Workload) *Driver {
	return &Driver{
		s:        s,
		workload: workload,
		History:  &checker.History{},
		random:   rand.New(rand.NewPCG(workload.Seed, 7)),
		avoid:    map[string]bool{},
	}
}

// Run sends the workload for a time and waits for the last answer.
func (d *Driver) Run(ctx context.Context, duration time.Duration) {
	d.Start(ctx, duration)
	d.Wait()
}

// Start sends the workload for a time in the background.
func (d *Driver) Start(ctx context.Context, duration time.Duration) {
	d.group.Go(func() { d.arrivals(ctx, duration, d.workload.ChatRate, d.conversation) })
	d.group.Go(func() { d.arrivals(ctx, duration, d.workload.BookingRate, d.booking) })
	d.group.Go(func() { d.observe(ctx, duration) })
}

// Wait returns after the last answer.
func (d *Driver) Wait() { d.group.Wait() }

// Avoid takes a daemon out of the balancer, or puts it back.
func (d *Driver) Avoid(daemon string, avoid bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoid[daemon] = avoid
}

// arrivals starts requests at random times.
func (d *Driver) arrivals(ctx context.Context, duration time.Duration, rate float64, request func(context.Context, int)) {
	if rate <= 0 {
		return
	}
	end := time.Now().Add(duration)
	for {
		d.mu.Lock()
		gap := time.Duration(d.random.ExpFloat64() / rate * float64(time.Second))
		d.number++
		number := d.number
		d.mu.Unlock()
		wait(ctx, gap)
		if ctx.Err() != nil || !time.Now().Before(end) {
			return
		}
		d.group.Go(func() { request(ctx, number) })
	}
}

// pick chooses a daemon as a balancer does: any that says it is ready.
func (d *Driver) pick(ctx context.Context) *Daemon {
	for {
		var ready []*Daemon
		for _, daemon := range d.s.Daemons() {
			d.mu.Lock()
			avoided := d.avoid[daemon.Name]
			d.mu.Unlock()
			if !avoided {
				ready = append(ready, daemon)
			}
		}
		if len(ready) > 0 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return ready[d.random.IntN(len(ready))]
		}
		if ctx.Err() != nil {
			return nil
		}
		wait(ctx, 100*time.Millisecond)
	}
}

func (d *Driver) conversation(ctx context.Context, number int) {
	account := d.workload.ChatAccounts[number%len(d.workload.ChatAccounts)]
	name := ""
	if d.workload.Turns > 1 {
		name = fmt.Sprintf("talk-%d", number)
	}
	token := ""
	if !d.workload.Tokens {
		token = name
	}
	for turn := range max(1, d.workload.Turns) {
		chat := checker.Chat{
			Account:      account,
			Person:       fmt.Sprintf("person-%d", number%211),
			Prompt:       fmt.Sprintf("question %d turn %d of seed %d", number, turn, d.workload.Seed),
			Conversation: name,
			Start:        time.Now(),
		}
		daemon := d.pick(ctx)
		if daemon == nil {
			return
		}
		chat.Answer, chat.Err = d.s.Caller(daemon, account).Chat(ctx, caller.Chat{
			Messages:     []caller.Message{{Role: "user", Content: chat.Prompt}},
			Stream:       d.workload.Stream,
			User:         chat.Person,
			Conversation: token,
			Deadline:     d.workload.Deadline,
		})
		d.History.AddChat(chat)
		if chat.Err != nil {
			return
		}
		if d.workload.Tokens {
			token = chat.Answer.Conversation
		}
	}
}

func (d *Driver) booking(ctx context.Context, number int) {
	if d.workload.Twice {
		d.group.Go(func() { _ = d.bookOnce(ctx, number) })
	}
	for range 1 + d.workload.Repeats {
		err := d.bookOnce(ctx, number)
		if err == nil {
			return
		}
		if failure, ok := errors.Into[*caller.Error](err); ok && !failure.Retry {
			return
		}
		wait(ctx, time.Second)
	}
}

func (d *Driver) bookOnce(ctx context.Context, number int) error {
	daemon := d.pick(ctx)
	if daemon == nil {
		return ctx.Err()
	}
	booking := checker.Booking{
		Account: d.workload.BookingAccount,
		Service: d.workload.Service,
		Key:     fmt.Sprintf("key-%d", number),
		Body:    fmt.Sprintf(`{"booking":%d}`, number),
		Start:   time.Now(),
	}
	booking.Result, booking.Err = d.s.Caller(daemon, booking.Account).Call(ctx, caller.Call{
		Service:  booking.Service,
		Method:   http.MethodPost,
		Path:     d.workload.Path,
		Key:      booking.Key,
		Body:     []byte(booking.Body),
		Deadline: d.workload.Deadline,
	})
	d.History.AddBooking(booking)
	return booking.Err
}

// observe samples the revision that each daemon has in force.
func (d *Driver) observe(ctx context.Context, duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		for _, daemon := range d.s.Daemons() {
			d.History.AddSighting(checker.Sighting{Daemon: daemon.ID(), Revision: daemon.Server.Revision(), At: time.Now()})
		}
		wait(ctx, time.Second)
	}
}

// Facts gathers what the checker reads.
func (d *Driver) Facts() checker.Facts {
	facts := checker.Facts{
		Declaration: d.s.Declaration(),
		History:     d.History,
		Runs:        checker.Runs{Engines: map[string][]faker.Execution{}, Services: map[string][]faker.ExecutedCall{}},
	}
	for address, engine := range d.s.Engines {
		facts.Runs.Engines[address] = engine.Executions()
	}
	for name, ledger := range d.s.Ledgers {
		facts.Runs.Services[name] = ledger.ExecutedCalls()
	}
	facts.Bills = Bills(d.s.Platform.Log)
	return facts
}

// Bills returns the bills that a log holds, in order and with copies.
func Bills(log *faker.Log) []*schema.Bill {
	var bills []*schema.Bill
	for _, data := range log.Records(biller.Stream) {
		records, err := journaler.Decode(data)
		if err != nil {
			continue
		}
		for _, record := range records {
			if bill := record.GetBill(); bill != nil {
				bills = append(bills, bill)
			}
		}
	}
	return bills
}
