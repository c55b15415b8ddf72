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
	"quetzalgrade.example/quetzalgrade/internal/sleeper"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Workload describes the traffic that clients send.
type Workload struct {
	// ChatRate is in conversations a second and BookingRate in bookings a
	// second, over all daemons.
	ChatRate    float64
	BookingRate float64
	// ChatAccounts send the chat requests in turn; BookingAccount sends the
	// bookings.
	ChatAccounts   []string
	BookingAccount string
	Service        string
	Path           string
	// Turns is the number of turns of each conversation. With 0 or 1, chat
	// requests belong to no conversation.
	Turns int
	// ReturnTokens makes clients send back the conversation token of the last
	// response. Otherwise they send a conversation id of their own.
	ReturnTokens bool
	Stream       bool
	Seed         uint64
	// Deadline limits each request; with 0, the account's default applies.
	Deadline time.Duration
	// BookingRetries is the number of times that a client retries a failed
	// booking.
	BookingRetries int
	// DuplicateBookings makes clients send each booking twice at the same time,
	// each time to a daemon chosen at random.
	DuplicateBookings bool
}

// DerwentWorkload and MekongWorkload are the default workloads of the two
// deployments.
var (
	DerwentWorkload = Workload{
		ChatRate: 4, BookingRate: 2, ChatAccounts: []string{"valley-growers", "rota-office", "ouse-allotments"},
		BookingAccount: "rota-office", Service: "turn-ledger", Path: "/turns",
		Turns: 2, ReturnTokens: true, Stream: true, Seed: 1, BookingRetries: 3,
	}
	MekongWorkload = Workload{
		ChatRate: 4, BookingRate: 2, ChatAccounts: []string{"can-tho-depot", "booking-staff", "vinh-long-depot"},
		BookingAccount: "booking-staff", Service: "booking-desk", Path: "/deposits",
		Turns: 2, ReturnTokens: true, Stream: true, Seed: 1, BookingRetries: 3,
	}
)

// Driver sends a workload to a simulation and records what clients observe.
type Driver struct {
	simulation *Simulation
	workload   Workload
	History    *checker.History
	requests   sync.WaitGroup
	mu         sync.Mutex
	random     *rand.Rand
	lastNumber int
	// excluded holds the names of the daemons that the load balancer skips.
	excluded map[string]bool
}

// NewDriver returns a driver that sends nothing until Start or Run is called.
func NewDriver(s *Simulation, workload Workload) *Driver {
	return &Driver{
		simulation: s,
		workload:   workload,
		History:    &checker.History{},
		random:     rand.New(rand.NewPCG(workload.Seed, 7)),
		excluded:   map[string]bool{},
	}
}

// Run sends the workload for the duration and waits for the last response.
func (d *Driver) Run(ctx context.Context, duration time.Duration) {
	d.Start(ctx, duration)
	d.Wait()
}

// Start sends the workload in the background for the duration.
func (d *Driver) Start(ctx context.Context, duration time.Duration) {
	d.requests.Go(func() { d.sendAtRandomTimes(ctx, duration, d.workload.ChatRate, d.sendConversation) })
	d.requests.Go(func() { d.sendAtRandomTimes(ctx, duration, d.workload.BookingRate, d.sendBooking) })
	d.requests.Go(func() { d.sampleRevisions(ctx, duration) })
}

// Wait waits until all requests have ended.
func (d *Driver) Wait() { d.requests.Wait() }

// SetExcluded removes a daemon from the load balancer or adds it again.
func (d *Driver) SetExcluded(daemon string, excluded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excluded[daemon] = excluded
}

// sendAtRandomTimes calls send with a new number at exponentially distributed
// intervals, on average rate times a second, until the duration is over.
func (d *Driver) sendAtRandomTimes(ctx context.Context, duration time.Duration, rate float64, send func(context.Context, int)) {
	if rate <= 0 {
		return
	}
	end := time.Now().Add(duration)
	for {
		d.mu.Lock()
		gap := time.Duration(d.random.ExpFloat64() / rate * float64(time.Second))
		d.lastNumber++
		number := d.lastNumber
		d.mu.Unlock()
		sleeper.Sleep(ctx, gap)
		if ctx.Err() != nil || !time.Now().Before(end) {
			return
		}
		d.requests.Go(func() { send(ctx, number) })
	}
}

// pickDaemon chooses a random daemon that is not excluded, as a load balancer
// does. It waits while there is none and returns nil when ctx ends.
func (d *Driver) pickDaemon(ctx context.Context) *Daemon {
	for {
		var candidates []*Daemon
		for _, daemon := range d.simulation.Daemons() {
			d.mu.Lock()
			isExcluded := d.excluded[daemon.Name]
			d.mu.Unlock()
			if !isExcluded {
				candidates = append(candidates, daemon)
			}
		}
		if len(candidates) > 0 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return candidates[d.random.IntN(len(candidates))]
		}
		if ctx.Err() != nil {
			return nil
		}
		sleeper.Sleep(ctx, 100*time.Millisecond)
	}
}

func (d *Driver) sendConversation(ctx context.Context, number int) {
	account := d.workload.ChatAccounts[number%len(d.workload.ChatAccounts)]
	name := ""
	if d.workload.Turns > 1 {
		name = fmt.Sprintf("talk-%d", number)
	}
	token := ""
	if !d.workload.ReturnTokens {
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
		daemon := d.pickDaemon(ctx)
		if daemon == nil {
			return
		}
		chat.Response, chat.Err = d.simulation.AccountClient(daemon, account).Chat(ctx, caller.Chat{
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
		if d.workload.ReturnTokens {
			token = chat.Response.Conversation
		}
	}
}

func (d *Driver) sendBooking(ctx context.Context, number int) {
	if d.workload.DuplicateBookings {
		d.requests.Go(func() { _ = d.attemptBooking(ctx, number) })
	}
	for range 1 + d.workload.BookingRetries {
		err := d.attemptBooking(ctx, number)
		if err == nil {
			return
		}
		if callerErr, ok := errors.Into[*caller.Error](err); ok && !callerErr.Retry {
			return
		}
		sleeper.Sleep(ctx, time.Second)
	}
}

func (d *Driver) attemptBooking(ctx context.Context, number int) error {
	daemon := d.pickDaemon(ctx)
	if daemon == nil {
		return ctx.Err()
	}
	attempt := checker.BookingAttempt{
		Account: d.workload.BookingAccount,
		Service: d.workload.Service,
		Key:     fmt.Sprintf("key-%d", number),
		Body:    fmt.Sprintf(`{"booking":%d}`, number),
		Start:   time.Now(),
	}
	attempt.Result, attempt.Err = d.simulation.AccountClient(daemon, attempt.Account).Call(ctx, caller.Call{
		Service:  attempt.Service,
		Method:   http.MethodPost,
		Path:     d.workload.Path,
		Key:      attempt.Key,
		Body:     []byte(attempt.Body),
		Deadline: d.workload.Deadline,
	})
	d.History.AddBookingAttempt(attempt)
	return attempt.Err
}

// sampleRevisions records every second the revision that each daemon has in force.
func (d *Driver) sampleRevisions(ctx context.Context, duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		for _, daemon := range d.simulation.Daemons() {
			d.History.AddRevisionObservation(checker.RevisionObservation{Daemon: daemon.ID(), Revision: daemon.Server.Revision(), At: time.Now()})
		}
		sleeper.Sleep(ctx, time.Second)
	}
}

// CheckerInput collects the data that the checker reads.
func (d *Driver) CheckerInput() checker.Input {
	input := checker.Input{
		Declaration: d.simulation.Declaration(),
		History:     d.History,
		Runs:        checker.EndpointRuns{Engines: map[string][]faker.Execution{}, Services: map[string][]faker.ExecutedCall{}},
	}
	for address, engine := range d.simulation.Engines {
		input.Runs.Engines[address] = engine.Executions()
	}
	for name, ledger := range d.simulation.Ledgers {
		input.Runs.Services[name] = ledger.ExecutedCalls()
	}
	input.Bills = BillsInLog(d.simulation.Platform.Log)
	return input
}

// BillsInLog returns the bills in a log, in log order and including duplicates.
// It skips batches that do not decode.
func BillsInLog(log *faker.Log) []*schema.Bill {
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
