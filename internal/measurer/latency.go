package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/router"
)

// LatencyResult is the outcome of one load.
type LatencyResult struct {
	First50, First95, First99 time.Duration
	End50, End95, End99       time.Duration
	// Goodput is the number of answers a second within the deadline.
	Goodput float64
	// Refused is the share of requests that were refused, RefusedAfter the 99th
	// percentile of the time until the refusal.
	Refused      float64
	RefusedAfter time.Duration
	Failed       float64
	// Hits is the share of prompts whose prefix was cached.
	Hits float64
}

// SteadySpeed makes the capacity of an engine easy to compute: a full batch
// slows each request by half.
var SteadySpeed = faker.EngineSpeed{Prefill: 400 * time.Microsecond, Token: 15 * time.Millisecond, Crowding: 0.17}

// LoadSlots is the number of slots of each worker in load measurements.
const LoadSlots = 4

// meanAnswer is the mean time of an answer on a full engine: 38 tokens and a
// short prefill, slowed by the batch.
const meanAnswer = 860 * time.Millisecond

// Capacity returns the requests a second that the workers of a deployment can
// answer.
func Capacity(workers int) float64 {
	return float64(workers*LoadSlots) / meanAnswer.Seconds()
}

// Latency applies a load and measures it after a warm-up.
func Latency(ctx context.Context, setting Setting, load Load, warm time.Duration, disturb func(context.Context, *Fleet)) (LatencyResult, error) {
	s, err := Open(ctx, setting)
	if err != nil {
		return LatencyResult{}, err
	}
	defer Close(s)
	if disturb != nil {
		disturb(ctx, s)
	}
	requests := Send(ctx, s, load, setting.Seed)
	result := latencyOf(requests, warm, load.Duration)
	hits, misses := 0, 0
	for _, engine := range s.Engines {
		h, m := engine.CacheHits()
		hits, misses = hits+h, misses+m
	}
	if hits+misses > 0 {
		result.Hits = float64(hits) / float64(hits+misses)
	}
	return result, nil
}

func latencyOf(requests []Request, warm, duration time.Duration) LatencyResult {
	var first, end, refused []time.Duration
	total, failed := 0, 0
	for _, request := range requests {
		if request.At < warm {
			continue
		}
		total++
		switch {
		case request.Answer != nil:
			first = append(first, request.Answer.First)
			end = append(end, request.Took)
		case isRefusal(request.Kind):
			refused = append(refused, request.Took)
		default:
			failed++
		}
	}
	return LatencyResult{
		First50: Quantile(first, 0.5), First95: Quantile(first, 0.95), First99: Quantile(first, 0.99),
		End50: Quantile(end, 0.5), End95: Quantile(end, 0.95), End99: Quantile(end, 0.99),
		Goodput:      float64(len(end)) / (duration - warm).Seconds(),
		Refused:      float64(len(refused)) / float64(max(1, total)),
		RefusedAfter: Quantile(refused, 0.99),
		Failed:       float64(failed) / float64(max(1, total)),
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

// Cheapest pins the choice of version, so that only the choice of endpoint is
// measured.
func Cheapest(options router.Options) router.Options {
	options.Baseline = router.BaselineCheapest
	return options
}

const (
	prefixCount  = 160
	prefixLength = 600
)

// Prefixed returns prompts that start with one of many shared prefixes, the
// first ones more often.
func Prefixed(seed uint64) func(*rand.Rand, int) string {
	return func(random *rand.Rand, number int) string {
		rank := int(float64(prefixCount) * random.Float64() * random.Float64())
		prefix := fmt.Sprintf("instructions of customer %03d: ", rank)
		for len(prefix) < prefixLength {
			prefix += fmt.Sprintf("rule %d of %03d; ", len(prefix), rank)
		}
		return fmt.Sprintf("%s question %d of seed %d", prefix[:prefixLength], number, seed)
	}
}
