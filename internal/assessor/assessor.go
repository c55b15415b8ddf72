// Package assessor requests ratings of responses from the platform's rating
// service: inline for cascades, and in the background for a sample of the
// responses.
package assessor

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/estimator"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

const (
	// queueLength is the maximum number of responses that wait for a background
	// rating. Further ones are dropped.
	queueLength = 256
	// backgroundWorkers is the number of concurrent background ratings.
	backgroundWorkers = 4
	// backgroundTimeout is the timeout of one background rating.
	backgroundTimeout = 30 * time.Second
	// breakerFailures is the number of consecutive failures that open the circuit
	// breaker. While it is open no inline ratings are offered.
	breakerFailures = 3
	// breakerOpenDuration is how long the circuit breaker stays open.
	breakerOpenDuration = 10 * time.Second
	// initialLatency is the assumed latency of a rating before the first one.
	initialLatency = 200 * time.Millisecond
	// latencySmoothing is the weight of the newest latency in the moving average.
	latencySmoothing = 0.1
)

// Response is a response of a model that is to be rated.
type Response struct {
	Account string
	// Version is the version that produced the response.
	Version compiler.VersionID
	// DiscardedVersion is the version whose response a cascade discarded before
	// this one; zero for none.
	DiscardedVersion compiler.VersionID
	Class            estimator.Class
	Prompt           string
	Text             string
	// SampleWeight is the number of responses that this sampled one stands for.
	SampleWeight float64
}

// Rating is a response with its score in [0, 1].
type Rating struct {
	Response Response
	Score    float64
}

// Assessor requests ratings. It is safe for concurrent use.
type Assessor struct {
	ratingService schemaconnect.RatingServiceClient
	queue         chan Response
	// deliver receives the ratings of the workers and of Deliver.
	deliver func(Rating)
	dropped atomic.Uint64

	mu sync.Mutex
	// meanLatency is the moving average of the latency of successful ratings.
	meanLatency         time.Duration
	consecutiveFailures int
	breakerOpenUntil    time.Time
}

// New returns an assessor that uses the rating service at addr. It passes
// background ratings to deliver, which may be called concurrently.
func New(client *http.Client, addr netip.AddrPort, deliver func(Rating)) *Assessor {
	return &Assessor{
		ratingService: schemaconnect.NewRatingServiceClient(client, "http://"+addr.String()),
		queue:         make(chan Response, queueLength),
		deliver:       deliver,
		meanLatency:   initialLatency,
	}
}

// Enqueue queues a response for a background rating. It never blocks; when the
// queue is full the response is dropped.
func (a *Assessor) Enqueue(response Response) {
	select {
	case a.queue <- response:
	default:
		a.dropped.Add(1)
	}
}

// Dropped returns the number of responses that were not rated because the queue
// was full.
func (a *Assessor) Dropped() uint64 { return a.dropped.Load() }

// Latency returns the expected latency of an inline rating, or 0 while the circuit
// breaker is open.
func (a *Assessor) Latency() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().Before(a.breakerOpenUntil) {
		return 0
	}
	return a.meanLatency
}

// Rate requests a rating of a response and waits for it. It returns an error if
// the rating service fails or if the score is not in [0, 1].
func (a *Assessor) Rate(ctx context.Context, response Response) (float64, error) {
	sentAt := time.Now()
	result, err := a.ratingService.Rate(ctx, connect.NewRequest(&schema.RateRequest{
		Version: response.Version.String(),
		Prompt:  response.Prompt,
		Answer:  response.Text,
	}))
	a.recordAttempt(time.Since(sentAt), err)
	if err != nil {
		return 0, errors.Wrap(err, "rate response")
	}
	score := result.Msg.GetScore()
	if !(score >= 0 && score <= 1) {
		return 0, errors.Errorf("invalid rating: score %v is not in [0, 1]", score)
	}
	return score, nil
}

// recordAttempt updates the circuit breaker and the mean latency with the result
// of one request for a rating.
func (a *Assessor) recordAttempt(latency time.Duration, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if a.consecutiveFailures++; a.consecutiveFailures >= breakerFailures {
			a.breakerOpenUntil = time.Now().Add(breakerOpenDuration)
		}
		return
	}
	a.consecutiveFailures = 0
	a.meanLatency += time.Duration(latencySmoothing * float64(latency-a.meanLatency))
}

// Run rates the queued responses until ctx ends. It returns the error of ctx.
func (a *Assessor) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for range backgroundWorkers {
		group.Go(func() { a.rateQueued(ctx) })
	}
	group.Wait()
	return ctx.Err()
}

// rateQueued rates queued responses one after another until ctx ends. Responses
// whose rating fails are skipped.
func (a *Assessor) rateQueued(ctx context.Context) {
	for {
		select {
		case response := <-a.queue:
			rateCtx, cancel := context.WithTimeout(ctx, backgroundTimeout)
			score, err := a.Rate(rateCtx, response)
			cancel()
			if err == nil {
				a.deliver(Rating{Response: response, Score: score})
			}
		case <-ctx.Done():
			return
		}
	}
}

// Deliver passes an inline rating to the receiver of background ratings.
func (a *Assessor) Deliver(rating Rating) { a.deliver(rating) }
