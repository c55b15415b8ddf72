// Package assessor asks the platform's rating service about answers: inline
// for cascades, and in the background for a sample of the answers.
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
	// queueLength bounds the ratings that wait; more are dropped.
	queueLength = 256
	// workers is the number of background ratings at once.
	backgroundWorkers = 4
	// backgroundTimeout bounds one background rating.
	backgroundTimeout = 30 * time.Second
	// breakerFailures is the number of failures in a row after which inline
	// ratings are not offered.
	breakerFailures = 3
	// breakerPause is how long they are not offered.
	breakerOpenDuration = 10 * time.Second
	// initialLatency is the assumed time of a rating before any has come.
	initialLatency   = 200 * time.Millisecond
	latencySmoothing = 0.1
)

// Answer is what is rated.
type Response struct {
	Account string
	Version compiler.VersionID
	// First is the version whose answer was discarded by a cascade; zero for
	// none.
	DiscardedVersion compiler.VersionID
	Class            estimator.Class
	Prompt           string
	Text             string
	// Weight is the number of answers that this one was chosen among.
	SampleWeight float64
}

// Rated is an answer with its rating in [0, 1].
type Rating struct {
	Response Response
	Score    float64
}

// Assessor asks for ratings.
type Assessor struct {
	ratingService schemaconnect.RatingServiceClient
	queue         chan Response
	// deliver receives background ratings.
	deliver func(Rating)
	dropped atomic.Uint64

	mu                  sync.Mutex
	meanLatency         time.Duration
	consecutiveFailures int
	breakerOpenUntil    time.Time
}

// New returns an assessor that hands background ratings to deliver.
func New(client *http.Client, addr netip.AddrPort, deliver func(Rating)) *Assessor {
	return &Assessor{
		ratingService: schemaconnect.NewRatingServiceClient(client, "http://"+addr.String()),
		queue:         make(chan Response, queueLength),
		deliver:       deliver,
		meanLatency:   initialLatency,
	}
}

// Offer queues an answer for a background rating; it never waits.
func (a *Assessor) Enqueue(response Response) {
	select {
	case a.queue <- response:
	default:
		a.dropped.Add(1)
	}
}

// Dropped returns the number of answers that were not rated for lack of room.
func (a *Assessor) Dropped() uint64 { return a.dropped.Load() }

// Latency returns the expected time of an inline rating, or 0 while the rating
// service does not answer.
func (a *Assessor) Latency() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().Before(a.breakerOpenUntil) {
		return 0
	}
	return a.meanLatency
}

// Rate asks for a rating and waits for it.
func (a *Assessor) Rate(ctx context.Context, response Response) (float64, error) {
	sentAt := time.Now()
	result, err := a.ratingService.Rate(ctx, connect.NewRequest(&schema.RateRequest{
		Version: response.Version.String(),
		Prompt:  response.Prompt,
		Answer:  response.Text,
	}))
	a.recordAttempt(time.Since(sentAt), err)
	if err != nil {
		return 0, errors.Wrap(err, "rate answer")
	}
	score := result.Msg.GetScore()
	if !(score >= 0 && score <= 1) {
		return 0, errors.Errorf("rating %v is not in [0, 1]", score)
	}
	return score, nil
}

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

// Run rates the queued answers until ctx ends.
func (a *Assessor) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for range backgroundWorkers {
		group.Go(func() { a.rateQueued(ctx) })
	}
	group.Wait()
	return ctx.Err()
}

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

// Deliver passes on a rating that was made inline.
func (a *Assessor) Deliver(rating Rating) { a.deliver(rating) }
