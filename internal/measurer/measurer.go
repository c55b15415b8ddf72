// Package measurer runs the project's own daemons before stand-ins in virtual
// time and measures its decisions against baselines. `make measure` writes its
// tables to docs/MEASURES.md.
package measurer

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/router"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Request is one measured request.
type Request struct {
	Account string
	Person  string
	Prompt  string
	At      time.Duration
	Answer  *caller.Answer
	// Kind is the kind of the error; empty for an answer.
	Kind string
	Took time.Duration
}

// Setting is one fleet to measure.
type Setting struct {
	Deployment string
	Seed       uint64
	Router     router.Options
	Slots      uint32
	PerZone    int
	Speed      faker.EngineSpeed
	// Adjust changes the declaration.
	Adjust func(*schema.Declaration)
}

// Load is the traffic of a measurement.
type Load struct {
	Rate     float64
	Duration time.Duration
	Accounts []string
	// Prompt returns the prompt of a request.
	Prompt func(random *rand.Rand, number int) string
	Stream bool
}

// Open starts a fleet with its declaration in force, without limits of rate
// and spend. The caller closes it.
func Open(ctx context.Context, setting Setting) (*demonstrator.Simulation, error) {
	declaration, err := demonstrator.LoadDeployment(setting.Deployment)
	if err != nil {
		return nil, err
	}
	Unlimited(declaration)
	if setting.Slots > 0 {
		for _, service := range declaration.GetServices() {
			for _, worker := range service.GetWorkers() {
				worker.Slots = setting.Slots
			}
		}
	}
	if setting.Adjust != nil {
		setting.Adjust(declaration)
	}
	s, err := demonstrator.StartSimulation(demonstrator.Options{
		Declaration:    declaration,
		DaemonsPerZone: max(1, setting.PerZone),
		Qualities:      demonstrator.DemoQualities,
		Logger:         hclog.NewNullLogger(),
		Seed:           setting.Seed,
		Router:         setting.Router,
		EngineSpeed:    setting.Speed,
	})
	if err != nil {
		return nil, err
	}
	if err := s.Apply(ctx, s.Client, s.Declaration(), "measurer", "measure"); err != nil {
		return nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	return s, s.WaitReady(readyCtx, s.Client)
}

// Unlimited removes the limits that would hide what is measured.
func Unlimited(declaration *schema.Declaration) {
	for _, template := range declaration.GetTemplates() {
		for _, key := range []string{"rate", "spend", "parallel"} {
			template.Policy.Fields[key] = structpb.NewNumberValue(0)
		}
		template.Parameters = slices.DeleteFunc(template.Parameters, func(p string) bool { return p == "rate" || p == "spend" })
		delete(template.GetDefaults().GetFields(), "rate")
	}
	for _, account := range declaration.GetAccounts() {
		delete(account.GetParameters().GetFields(), "rate")
		delete(account.GetParameters().GetFields(), "spend")
	}
}

// Close ends a fleet and waits for what its stand-ins keep.
func Close(s *demonstrator.Simulation) {
	s.Close()
	time.Sleep(time.Minute)
}

// Send applies a load and returns its requests in order of their start.
func Send(ctx context.Context, s *demonstrator.Simulation, load Load, seed uint64) []Request {
	random := rand.New(rand.NewPCG(seed, 11))
	daemons := s.Daemons()
	began := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	var requests []Request
	for number := 0; time.Since(began) < load.Duration; number++ {
		request := Request{
			Account: load.Accounts[number%len(load.Accounts)],
			Person:  fmt.Sprintf("person-%d", number),
			Prompt:  load.Prompt(random, number),
			At:      time.Since(began),
		}
		daemon := daemons[random.IntN(len(daemons))]
		group.Go(func() {
			sendOne(ctx, s, daemon, &request, load.Stream)
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, request)
		})
		time.Sleep(time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second)))
	}
	group.Wait()
	slices.SortFunc(requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return requests
}

func sendOne(ctx context.Context, s *demonstrator.Simulation, daemon *demonstrator.Daemon, request *Request, stream bool) {
	sent := time.Now()
	answer, err := s.AccountClient(daemon, request.Account).Chat(ctx, caller.Chat{
		Messages: []caller.Message{{Role: "user", Content: request.Prompt}},
		Stream:   stream,
		User:     request.Person,
	})
	request.Took = time.Since(sent)
	if err == nil {
		request.Answer = answer
		return
	}
	request.Kind = "transport"
	if known, ok := errors.Into[*caller.Error](err); ok {
		request.Kind = known.Kind
	}
}

// Plain returns the usual prompt of a request.
func Plain(seed uint64) func(*rand.Rand, int) string {
	return func(_ *rand.Rand, number int) string { return fmt.Sprintf("question %d of seed %d", number, seed) }
}

// Declaration returns a copy that a setting may change.
func Declaration(s *demonstrator.Simulation) *schema.Declaration {
	return proto.CloneOf(s.Declaration())
}

// Quantile returns a quantile, in [0, 1], of durations.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Spread is the median of a figure over seeds with its least and greatest.
type Spread struct {
	Low    float64
	Median float64
	High   float64
}

// SpreadOf returns the spread of the values.
func SpreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return Spread{sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1]}
}

// Format writes the spread with a printf verb.
func (s Spread) Format(verb string) string {
	return fmt.Sprintf(verb+" ("+verb+" to "+verb+")", s.Median, s.Low, s.High)
}

// Table is one table of results.
type Table struct {
	Title   string
	Note    string
	Columns []string
	Rows    [][]string
}

// Markdown returns the table as text.
func (t Table) Markdown() string {
	var text strings.Builder
	fmt.Fprintf(&text, "## %s\n\n", t.Title)
	if t.Note != "" {
		fmt.Fprintf(&text, "%s\n\n", t.Note)
	}
	fmt.Fprintf(&text, "| %s |\n|%s\n", strings.Join(t.Columns, " | "), strings.Repeat(" --- |", len(t.Columns)))
	for _, row := range t.Rows {
		fmt.Fprintf(&text, "| %s |\n", strings.Join(row, " | "))
	}
	return text.String() + "\n"
}
