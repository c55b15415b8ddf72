// Package loader generates a bounded open-loop load. Requests start at their
// planned times, whether or not earlier requests have completed. Latency is
// measured from the planned time, so that the delay of a stalled target is not
// hidden.
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

// Limits of a load. MaxRate is in requests per second.
const (
	MaxRate       = 5000
	MaxDuration   = 10 * time.Minute
	maxConcurrent = 2000
	// The range of the histograms in microseconds, and their precision in
	// significant decimal digits.
	minLatencyMicroseconds = 1
	maxLatencyMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits      = 3
)

// Plan describes a load. Rate is in requests per second.
type Plan struct {
	Targets  []netip.AddrPort
	APIKey   string
	Rate     float64
	Duration time.Duration
	// Service, Method and Path select calls of a plain service. If Service is
	// empty, the load consists of chat requests.
	Service string
	Method  string
	Path    string
	Stream  bool
	Seed    uint64
}

// Validate returns an error if the plan has no targets, exceeds a limit or has a
// target that is not a loopback address.
func (p Plan) Validate() error {
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

// Report is the result of a load. The histograms are in microseconds.
type Report struct {
	Sent      int
	Succeeded int
	// Skipped is the number of requests that were not sent because too many were
	// in flight.
	Skipped      int
	Errors       map[string]int
	FirstToken   *hdrhistogram.Histogram
	Total        *hdrhistogram.Histogram
	OutputTokens int
	Duration     time.Duration
}

// loadRun is the state of one running load.
type loadRun struct {
	plan    Plan
	clients []*caller.Client
	mu      sync.Mutex
	report  Report
}

// Run applies a load and returns its report, with an error if the plan is
// invalid or ctx ended. It writes a progress line to progress about once a
// second.
func Run(ctx context.Context, plan Plan, progress io.Writer) (Report, error) {
	if err := plan.Validate(); err != nil {
		return Report{}, err
	}
	transport := connector.NewTransport(connector.TCP{})
	defer transport.CloseIdleConnections()
	r := &loadRun{plan: plan, report: Report{
		Errors:     map[string]int{},
		FirstToken: hdrhistogram.New(minLatencyMicroseconds, maxLatencyMicroseconds, significantDigits),
		Total:      hdrhistogram.New(minLatencyMicroseconds, maxLatencyMicroseconds, significantDigits),
	}}
	for _, target := range plan.Targets {
		r.clients = append(r.clients, caller.New(&http.Client{Transport: transport}, target, plan.APIKey))
	}
	start := time.Now()
	r.sendAll(ctx, start, progress)
	r.report.Duration = time.Since(start)
	return r.report, ctx.Err()
}

func (r *loadRun) sendAll(ctx context.Context, start time.Time, progress io.Writer) {
	random := rand.New(rand.NewPCG(r.plan.Seed, 1))
	slots := make(chan struct{}, maxConcurrent)
	var group sync.WaitGroup
	plannedAt := start
	lastProgress := start
	for number := 0; plannedAt.Sub(start) < r.plan.Duration && ctx.Err() == nil; number++ {
		time.Sleep(time.Until(plannedAt))
		requestPlannedAt, client := plannedAt, r.clients[number%len(r.clients)]
		prompt := Prompt(random)
		select {
		case slots <- struct{}{}:
			group.Go(func() {
				defer func() { <-slots }()
				r.sendRequest(ctx, client, number, prompt, requestPlannedAt)
			})
		default:
			r.mu.Lock()
			r.report.Skipped++
			r.mu.Unlock()
		}
		plannedAt = plannedAt.Add(time.Duration(random.ExpFloat64() / r.plan.Rate * float64(time.Second)))
		if time.Since(lastProgress) >= time.Second {
			lastProgress = time.Now()
			r.printProgress(progress, time.Since(start))
		}
	}
	group.Wait()
}

func (r *loadRun) sendRequest(ctx context.Context, client *caller.Client, number int, prompt string, plannedAt time.Time) {
	var outputTokens int
	var err error
	firstToken := time.Duration(0)
	startDelay := time.Since(plannedAt)
	if r.plan.Service != "" {
		_, err = client.Call(ctx, caller.Call{
			Service: r.plan.Service,
			Method:  r.plan.Method,
			Path:    r.plan.Path,
			Key:     fmt.Sprintf("load-%d-%d-%d", r.plan.Seed, plannedAt.UnixNano(), number),
			Body:    []byte(`{}`),
		})
	} else {
		var response *caller.Answer
		response, err = client.Chat(ctx, caller.Chat{
			Messages: []caller.Message{{Role: "user", Content: prompt}},
			Stream:   r.plan.Stream,
			User:     fmt.Sprintf("person-%d", number%997),
		})
		if err == nil {
			firstToken, outputTokens = response.First+startDelay, response.Output
		}
	}
	r.record(err, firstToken, time.Since(plannedAt), outputTokens)
}

func (r *loadRun) record(err error, firstToken, total time.Duration, outputTokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	if err != nil {
		kind := "transport"
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = "connection refused"
		}
		if callerErr, ok := errors.Into[*caller.Error](err); ok {
			kind = callerErr.Kind
		}
		r.report.Errors[kind]++
		return
	}
	r.report.Succeeded++
	r.report.OutputTokens += outputTokens
	_ = r.report.Total.RecordValue(total.Microseconds())
	if firstToken > 0 {
		_ = r.report.FirstToken.RecordValue(firstToken.Microseconds())
	}
}

func (r *loadRun) printProgress(progress io.Writer, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(progress, "%4.0fs  sent %d  answered %d  skipped %d  p50 %s  p99 %s\n", elapsed.Seconds(),
		r.report.Sent, r.report.Succeeded, r.report.Skipped, Quantile(r.report.Total, 50), Quantile(r.report.Total, 99))
}

// Quantile returns a percentile, from 0 to 100, of a histogram of microseconds,
// rounded to 10 microseconds.
func Quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return (time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond).Round(10 * time.Microsecond)
}

var promptWords = strings.Fields("turn valve hour roster neighbour slot missed swap Tuesday night channel gate when which how explain summarise allotment water flow meter share evening list")

// Prompt returns a random prompt of 4 to 40 words.
func Prompt(random *rand.Rand) string {
	chosen := make([]string, 4+random.IntN(37))
	for i := range chosen {
		chosen[i] = promptWords[random.IntN(len(promptWords))]
	}
	return strings.Join(chosen, " ")
}
