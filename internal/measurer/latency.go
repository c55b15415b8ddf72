package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/router"
)

// LatencyResult holds the latencies and error rates under one load. The shares
// are fractions in [0, 1].
type LatencyResult struct {
	FirstTokenP50, FirstTokenP95, FirstTokenP99 time.Duration
	TotalP50, TotalP95, TotalP99                time.Duration
	// Goodput is the number of responses per second within the deadline.
	Goodput float64
	// RefusedShare is the share of requests that were refused, and RefusalP99 is
	// the 99th percentile of the time until a refusal.
	RefusedShare float64
	RefusalP99   time.Duration
	FailedShare  float64
	// CacheHitShare is the share of prompts whose prefix was in an engine's cache.
	CacheHitShare float64
}

// LoadEngineSpeed is the engine speed in latency measurements. It makes the
// capacity of an engine easy to compute, because a full batch makes each request
// take half as long again.
var LoadEngineSpeed = faker.EngineSpeed{PrefillPerToken: 400 * time.Microsecond, DecodePace: 15 * time.Millisecond, BatchSlowdown: 0.17}

// SlotsPerWorker is the number of slots of each worker in latency measurements.
const SlotsPerWorker = 4

// meanResponseTime is the mean time to generate a response on a full engine: 38
// tokens and a short prefill at the reduced speed of a full batch.
const meanResponseTime = 860 * time.Millisecond

// Capacity returns the number of requests per second that the given number of
// workers can serve.
func Capacity(workers int) float64 {
	return float64(workers*SlotsPerWorker) / meanResponseTime.Seconds()
}

// MeasureLatency applies a load and measures the requests that start after the
// warm-up. If injectFaults is not nil, it is called before the load starts.
func MeasureLatency(ctx context.Context, config SimulationConfig, load Load, warmUp time.Duration, injectFaults func(context.Context, *Simulation)) (LatencyResult, error) {
	simulation, err := StartSimulation(ctx, config)
	if err != nil {
		return LatencyResult{}, err
	}
	defer CloseSimulation(simulation)
	if injectFaults != nil {
		injectFaults(ctx, simulation)
	}
	requests := ApplyLoad(ctx, simulation, load, config.Seed)
	result := summariseLatencies(requests, warmUp, load.Duration)
	hits, misses := 0, 0
	for _, engine := range simulation.Engines {
		h, m := engine.CacheHits()
		hits, misses = hits+h, misses+m
	}
	if hits+misses > 0 {
		result.CacheHitShare = float64(hits) / float64(hits+misses)
	}
	return result, nil
}

func summariseLatencies(requests []RequestResult, warmUp, duration time.Duration) LatencyResult {
	var firstToken, total, refusals []time.Duration
	count, failed := 0, 0
	for _, request := range requests {
		if request.StartOffset < warmUp {
			continue
		}
		count++
		switch {
		case request.Response != nil:
			firstToken = append(firstToken, request.Response.First)
			total = append(total, request.Duration)
		case isRefusal(request.ErrorKind):
			refusals = append(refusals, request.Duration)
		default:
			failed++
		}
	}
	return LatencyResult{
		FirstTokenP50: Quantile(firstToken, 0.5), FirstTokenP95: Quantile(firstToken, 0.95), FirstTokenP99: Quantile(firstToken, 0.99),
		TotalP50: Quantile(total, 0.5), TotalP95: Quantile(total, 0.95), TotalP99: Quantile(total, 0.99),
		Goodput:      float64(len(total)) / (duration - warmUp).Seconds(),
		RefusedShare: float64(len(refusals)) / float64(max(1, count)),
		RefusalP99:   Quantile(refusals, 0.99),
		FailedShare:  float64(failed) / float64(max(1, count)),
	}
}

func isRefusal(kind string) bool {
	switch kind {
	case "deadline_unmet", "rate_limited", "no_endpoint", "endpoint_refused":
		return true
	default:
		return false
	}
}

// WithCheapestVersion returns options that always choose the cheapest version,
// so that only the choice of endpoint affects the measurement.
func WithCheapestVersion(options router.Options) router.Options {
	options.Baseline = router.BaselineCheapest
	return options
}

const (
	sharedPrefixCount = 160
	sharedPrefixBytes = 600
)

// SharedPrefixPrompts returns a generator of prompts that start with one of
// several shared prefixes. Prefixes with a low number are drawn more often.
func SharedPrefixPrompts(seed uint64) func(*rand.Rand, int) string {
	return func(random *rand.Rand, number int) string {
		rank := int(float64(sharedPrefixCount) * random.Float64() * random.Float64())
		prefix := fmt.Sprintf("instructions of customer %03d: ", rank)
		for len(prefix) < sharedPrefixBytes {
			prefix += fmt.Sprintf("rule %d of %03d; ", len(prefix), rank)
		}
		return fmt.Sprintf("%s question %d of seed %d", prefix[:sharedPrefixBytes], number, seed)
	}
}
