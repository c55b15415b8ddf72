// Package loader is a bounded open-loop load tool: requests start at their
// planned times whether or not earlier ones have ended, and latency counts
// from the planned time, so that a stalled target does not hide its delay.
package loader

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
)

// Bounds of a load.
const (
	MaxRate     = 5000
	MaxDuration = 10 * time.Minute
	maxParallel = 2000
	// Range and precision of the histograms, in microseconds.
	lowest    = 1
	highest   = int64(10 * time.Minute / time.Microsecond)
	precision = 3
)

// Plan is a load.
type Plan struct {
	Targets  []netip.AddrPort
	Key      string
	Rate     float64
	Duration time.Duration
	// Service and Call make the load one of plain calls; empty means chats.
	Service string
	Method  string
	Path    string
	Stream  bool
	Seed    uint64
}

// Check reports what is wrong with a plan.
func (p Plan) Check() error {
	switch {
	case len(p.Targets) == 0:
		return errors.New("no target")
	case !(p.Rate > 0 && p.Rate <= MaxRate):
		return errors.Errorf("rate %g is not in (0, %d] requests a second", p.Rate, MaxRate)
	case p.Duration <= 0 || p.Duration > MaxDuration:
		return errors.Errorf("duration %s is not in (0, %s]", p.Duration, MaxDuration)
	}
	for _, target := range p.Targets {
		if !target.Addr().IsLoopback() {
			return errors.Errorf("target %s is not a loopback address", target)
		}
	}
	return nil
}

// Report is the result of a load.
type Report struct {
	Sent     int
	Answered int
	// Skipped requests found too many others running.
	Skipped int
	Errors  map[string]int
	First   *hdrhistogram.Histogram
	End     *hdrhistogram.Histogram
	Output  int
	Took    time.Duration
}

// run is one running load.
type run struct {
	plan    Plan
	clients []*caller.Client
	mu      sync.Mutex
	report  Report
}

// Run applies a load and returns its report. Progress lines go to progress.
func Run(ctx context.Context, plan Plan, progress io.Writer) (Report, error) {
	if err := plan.Check(); err != nil {
		return Report{}, err
	}
	transport := connector.NewTransport(connector.TCP{})
	defer transport.CloseIdleConnections()
	r := &run{plan: plan, report: Report{
		Errors: map[string]int{},
		First:  hdrhistogram.New(lowest, highest, precision),
		End:    hdrhistogram.New(lowest, highest, precision),
	}}
	for _, target := range plan.Targets {
		r.clients = append(r.clients, caller.New(&http.Client{Transport: transport}, target, plan.Key))
	}
	began := time.Now()
	r.send(ctx, began, progress)
	r.report.Took = time.Since(began)
	return r.report, ctx.Err()
}

func (r *run) send(ctx context.Context, began time.Time, progress io.Writer) {
	random := rand.New(rand.NewPCG(r.plan.Seed, 1))
	slots := make(chan struct{}, maxParallel)
	var group sync.WaitGroup
	planned := began
	shown := began
	for number := 0; planned.Sub(began) < r.plan.Duration && ctx.Err() == nil; number++ {
		time.Sleep(time.Until(planned))
		at, client := planned, r.clients[number%len(r.clients)]
		prompt := Prompt(random)
		select {
		case slots <- struct{}{}:
			group.Go(func() {
				defer func() { <-slots }()
				r.one(ctx, client, number, prompt, at)
			})
		default:
			r.mu.Lock()
			r.report.Skipped++
			r.mu.Unlock()
		}
		planned = planned.Add(time.Duration(random.ExpFloat64() / r.plan.Rate * float64(time.Second)))
		if time.Since(shown) >= time.Second {
			shown = time.Now()
			r.show(progress, time.Since(began))
		}
	}
	group.Wait()
}

func (r *run) one(ctx context.Context, client *caller.Client, number int, prompt string, planned time.Time) {
	var output int
	var err error
	first := time.Duration(0)
	late := time.Since(planned)
	if r.plan.Service != "" {
		_, err = client.Call(ctx, caller.Call{
			Service: r.plan.Service,
			Method:  r.plan.Method,
			Path:    r.plan.Path,
			Key:     fmt.Sprintf("load-%d-%d-%d", r.plan.Seed, planned.UnixNano(), number),
			Body:    []byte(`{}`),
		})
	} else {
		var answer *caller.Answer
		answer, err = client.Chat(ctx, caller.Chat{
			Messages: []caller.Message{{Role: "user", Content: prompt}},
			Stream:   r.plan.Stream,
			User:     fmt.Sprintf("person-%d", number%997),
		})
		if err == nil {
			first, output = answer.First+late, answer.Output
		}
	}
	r.record(err, first, time.Since(planned), output)
}

func (r *run) record(err error, first, took time.Duration, output int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	if err != nil {
		kind := "transport"
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = "connection refused"
		}
		if known, ok := errors.Into[*caller.Error](err); ok {
			kind = known.Kind
		}
		r.report.Errors[kind]++
		return
	}
	r.report.Answered++
	r.report.Output += output
	_ = r.report.End.RecordValue(took.Microseconds())
	if first > 0 {
		_ = r.report.First.RecordValue(first.Microseconds())
	}
}

func (r *run) show(progress io.Writer, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(progress, "%4.0fs  sent %d  answered %d  skipped %d  p50 %s  p99 %s\n", elapsed.Seconds(),
		r.report.Sent, r.report.Answered, r.report.Skipped, Quantile(r.report.End, 50), Quantile(r.report.End, 99))
}

// Quantile returns a quantile, in percent, of a histogram of microseconds.
func Quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return (time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond).Round(10 * time.Microsecond)
}

var words = strings.Fields("turn valve hour roster neighbour slot missed swap Tuesday night channel gate when which how explain summarise allotment water flow meter share evening list")

// Prompt returns a random question of 4 to 40 words.
func Prompt(random *rand.Rand) string {
	picked := make([]string, 4+random.IntN(37))
	for i := range picked {
		picked[i] = words[random.IntN(len(words))]
	}
	return strings.Join(picked, " ")
}
