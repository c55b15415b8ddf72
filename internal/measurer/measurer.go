// Package measurer simulates daemons in virtual time, with fakes for the systems
// around them, and compares their decisions with baselines. `make measure`
// writes its tables to docs/MEASURES.md.
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

// RequestResult is the outcome of one measured request.
type RequestResult struct {
	Account     string
	User        string
	Prompt      string
	StartOffset time.Duration
	Response    *caller.Answer
	// ErrorKind is the kind of the error, or empty if there was a response.
	ErrorKind string
	Duration  time.Duration
}

// SimulationConfig describes a simulated fleet of daemons.
type SimulationConfig struct {
	Deployment string
	Seed       uint64
	Router     router.Options
	Slots      uint32
	PerZone    int
	Speed      faker.EngineSpeed
	// EditDeclaration, if not nil, modifies the declaration before the start.
	EditDeclaration func(*schema.Declaration)
}

// Load describes the traffic of a measurement. Rate is in requests per second.
type Load struct {
	Rate     float64
	Duration time.Duration
	Accounts []string
	// NewPrompt returns the prompt of the request with the given number.
	NewPrompt func(random *rand.Rand, number int) string
	Stream    bool
}

// StartSimulation starts a fleet without rate, spend and parallelism limits and
// waits until its declaration is in force and its daemons are ready. The caller
// must call CloseSimulation.
func StartSimulation(ctx context.Context, config SimulationConfig) (*demonstrator.Simulation, error) {
	declaration, err := demonstrator.LoadDeployment(config.Deployment)
	if err != nil {
		return nil, err
	}
	RemoveLimits(declaration)
	if config.Slots > 0 {
		for _, service := range declaration.GetServices() {
			for _, worker := range service.GetWorkers() {
				worker.Slots = config.Slots
			}
		}
	}
	if config.EditDeclaration != nil {
		config.EditDeclaration(declaration)
	}
	simulation, err := demonstrator.StartSimulation(demonstrator.Options{
		Declaration:    declaration,
		DaemonsPerZone: max(1, config.PerZone),
		Qualities:      demonstrator.DemoQualities,
		Logger:         hclog.NewNullLogger(),
		Seed:           config.Seed,
		Router:         config.Router,
		EngineSpeed:    config.Speed,
	})
	if err != nil {
		return nil, err
	}
	if err := simulation.Apply(ctx, simulation.Client, simulation.Declaration(), "measurer", "measure"); err != nil {
		return nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	return simulation, simulation.WaitReady(readyCtx, simulation.Client)
}

// RemoveLimits removes the rate, spend and parallelism limits, which would
// distort a measurement.
func RemoveLimits(declaration *schema.Declaration) {
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

// CloseSimulation stops a fleet and waits until the timers of its fakes have
// expired.
func CloseSimulation(simulation *demonstrator.Simulation) {
	simulation.Close()
	time.Sleep(time.Minute)
}

// ApplyLoad sends the requests of a load and returns their results in order of
// start time.
func ApplyLoad(ctx context.Context, simulation *demonstrator.Simulation, load Load, seed uint64) []RequestResult {
	random := rand.New(rand.NewPCG(seed, 11))
	daemons := simulation.Daemons()
	start := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	var requests []RequestResult
	for number := 0; time.Since(start) < load.Duration; number++ {
		request := RequestResult{
			Account:     load.Accounts[number%len(load.Accounts)],
			User:        fmt.Sprintf("person-%d", number),
			Prompt:      load.NewPrompt(random, number),
			StartOffset: time.Since(start),
		}
		daemon := daemons[random.IntN(len(daemons))]
		group.Go(func() {
			sendRequest(ctx, simulation, daemon, &request, load.Stream)
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, request)
		})
		time.Sleep(time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second)))
	}
	group.Wait()
	slices.SortFunc(requests, func(a, b RequestResult) int { return cmp.Compare(a.StartOffset, b.StartOffset) })
	return requests
}

func sendRequest(ctx context.Context, simulation *demonstrator.Simulation, daemon *demonstrator.Daemon, request *RequestResult, stream bool) {
	sent := time.Now()
	response, err := simulation.AccountClient(daemon, request.Account).Chat(ctx, caller.Chat{
		Messages: []caller.Message{{Role: "user", Content: request.Prompt}},
		Stream:   stream,
		User:     request.User,
	})
	request.Duration = time.Since(sent)
	if err == nil {
		request.Response = response
		return
	}
	request.ErrorKind = "transport"
	if callerErr, ok := errors.Into[*caller.Error](err); ok {
		request.ErrorKind = callerErr.Kind
	}
}

// UniquePrompts returns a generator of short prompts that differ for each
// request and seed.
func UniquePrompts(seed uint64) func(*rand.Rand, int) string {
	return func(_ *rand.Rand, number int) string { return fmt.Sprintf("question %d of seed %d", number, seed) }
}

// CloneDeclaration returns a copy of the simulation's declaration that may be
// modified.
func CloneDeclaration(simulation *demonstrator.Simulation) *schema.Declaration {
	return proto.CloneOf(simulation.Declaration())
}

// Quantile returns the quantile q, in [0, 1], of the durations, or 0 if there
// are none.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Spread is the median, minimum and maximum of a value over several seeds.
type Spread struct {
	Min    float64
	Median float64
	Max    float64
}

// NewSpread returns the spread of the values.
func NewSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return Spread{sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1]}
}

// Format formats the spread, with a printf verb for each of its values.
func (s Spread) Format(verb string) string {
	return fmt.Sprintf(verb+" ("+verb+" to "+verb+")", s.Median, s.Min, s.Max)
}

// Table is a table of results.
type Table struct {
	Title   string
	Note    string
	Columns []string
	Rows    [][]string
}

// Markdown returns the title, the note and the table in Markdown.
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
