package router

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/internal/assessor"
	"quetzalgrade.example/quetzalgrade/internal/biller"
	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/estimator"
	"quetzalgrade.example/quetzalgrade/internal/planner"
	"quetzalgrade.example/quetzalgrade/internal/pricer"
	"quetzalgrade.example/quetzalgrade/internal/sender"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// ChatRequest is a request to a language model.
type ChatRequest struct {
	Account *compiler.Account
	// ID is unique to the received request.
	ID string
	// Model is "model", "model@version", or empty for any allowed model.
	Model string
	// Conversation is a signed token or the client's own conversation id. It is
	// empty for a request without a conversation.
	Conversation string
	// EndUser is the client's id of the end user; empty when not given.
	EndUser string
	// Prompt is the text of all messages, and Prefix is the start of it that is
	// used for prefix affinity.
	Prompt string
	Prefix string
	// MaxOutput is the maximum number of output tokens; 0 when not given.
	MaxOutput int
	Fields    sender.Fields
	// Stream is false when the client wants the whole response at once. The
	// request can then be retried until the response is complete.
	Stream bool
}

// ResponseMeta holds the metadata of a response, known when the response starts.
type ResponseMeta struct {
	Version compiler.VersionID
	BillID  string
	// Conversation is the conversation token for the next turn.
	Conversation string
	Reason       string
}

// Sink receives a response.
type Sink interface {
	// Begin is called once, before any text.
	Begin(meta ResponseMeta) error
	// Text receives the next piece of the response.
	Text(text string) error
}

const (
	// bytesPerToken is the token length that is assumed when the number of input
	// tokens is estimated from a prompt.
	bytesPerToken = 4
	// inputReserveFactor multiplies the estimated number of input tokens when
	// spend is reserved, since the estimate may be too low.
	inputReserveFactor = 2
)

func (c *ChatRequest) inputTokens() int { return len(c.Prompt)/bytesPerToken + 1 }

func (c *ChatRequest) endUserID() string {
	switch {
	case c.EndUser != "":
		return c.EndUser
	case c.Conversation != "":
		return "conversation/" + c.Conversation
	default:
		return "request/" + c.ID
	}
}

// These prompt lengths are the boundaries between the classes.
const (
	briefPromptBytes = 200
	longPromptBytes  = 2000
)

// ClassifyPrompt returns the class of a prompt by its length: "brief", "normal"
// or "long".
func ClassifyPrompt(prompt string) estimator.Class {
	switch {
	case len(prompt) < briefPromptBytes:
		return "brief"
	case len(prompt) < longPromptBytes:
		return "normal"
	default:
		return "long"
	}
}

// Chat runs a request and writes its response to the sink. When it returns a nil
// error, all text was written to the sink and the bill is recorded. It doesn't
// end the response to the client.
func (r *Router) Chat(ctx context.Context, request *ChatRequest, sink Sink) (Receipt, error) {
	r.counters.Requests.Add(1)
	receipt, err := r.chat(ctx, request, sink)
	if err != nil {
		r.counters.Failed.Add(1)
		return receipt, err
	}
	r.counters.Completed.Add(1)
	return receipt, nil
}

func (r *Router) chat(ctx context.Context, request *ChatRequest, sink Sink) (Receipt, error) {
	if len(request.Account.Policy.Versions) == 0 {
		return Receipt{}, classifier.New(classifier.Forbidden, "the account is not allowed to use any model")
	}
	release, err := r.admit(ctx, request.Account)
	if err != nil {
		return Receipt{}, err
	}
	defer release()
	route, err := r.planRoute(ctx, request)
	if err != nil {
		return Receipt{}, err
	}
	receipt := Receipt{BillID: biller.ID(request.Account.Name, request.ID), Reason: route.plan.Reason}
	maxCost := r.worstCaseCost(request, route.plan)
	reservation, err := r.config.Limiter.Reserve(ctx, request.Account, maxCost)
	if err != nil {
		return receipt, err
	}
	if err := r.config.Biller.Reserve(); err != nil {
		r.config.Limiter.Settle(reservation, 0)
		return receipt, err
	}
	result, err := r.run(ctx, request, route, receipt, sink)
	if err != nil {
		r.config.Limiter.Settle(reservation, 0)
		r.config.Biller.Cancel()
		return receipt, err
	}
	r.config.Limiter.Settle(reservation, result.cost)
	receipt.Version, receipt.Cost, receipt.Usage = result.version, result.cost, result.usage
	r.config.Biller.Record(ctx, &schema.Bill{
		Id:      receipt.BillID,
		Account: request.Account.Name,
		Service: "chat",
		Version: result.version.String(),
		Input:   uint32(max(0, result.usage.Input)),
		Output:  uint32(max(0, result.usage.Output)),
		Amount:  int64(result.cost),
		Time:    timestamppb.Now(),
	})
	r.sampleRating(request, result)
	r.shadow(ctx, request, result)
	return receipt, nil
}

// chatResult is a complete response.
type chatResult struct {
	version compiler.VersionID
	// discardedVersion is the version whose response a cascade discarded; zero
	// for none.
	discardedVersion compiler.VersionID
	usage            sender.Usage
	cost             pricer.Money
	text             string
	// rated is set when the response was rated inline; score is that rating.
	rated bool
	score float64
}

func (r *Router) worstCaseCost(request *ChatRequest, plan planner.Plan) pricer.Money {
	sum := plan.First.Price.Charge(inputReserveFactor*request.inputTokens(), request.outputLimit(plan.First))
	if plan.Second != nil {
		sum += plan.Second.Price.Charge(inputReserveFactor*request.inputTokens(), request.outputLimit(plan.Second))
	}
	return sum
}

// outputLimit returns the maximum number of output tokens for a version.
func (c *ChatRequest) outputLimit(version *compiler.Version) int {
	if c.MaxOutput > 0 {
		return min(c.MaxOutput, version.MaxOutput)
	}
	return version.MaxOutput
}

// run executes a plan.
func (r *Router) run(ctx context.Context, request *ChatRequest, route route, receipt Receipt, sink Sink) (chatResult, error) {
	if route.plan.Second == nil {
		writer := &responseWriter{sink: sink, meta: r.meta(request, route, route.plan.First.ID, receipt), streaming: request.Stream}
		return r.runVersion(ctx, request, route.plan.First, writer)
	}
	return r.cascade(ctx, request, route, receipt, sink)
}

func (r *Router) meta(request *ChatRequest, route route, version compiler.VersionID, receipt Receipt) ResponseMeta {
	return ResponseMeta{
		Version:      version,
		BillID:       receipt.BillID,
		Conversation: r.config.Signer.Sign(request.Account.Name, route.conversation, version),
		Reason:       route.plan.Reason,
	}
}

// cascade runs the request on the first version, has the response rated, and
// escalates to the second version if the rating is below the plan's threshold.
// If the rater does not respond in time, the first response is sent.
func (r *Router) cascade(ctx context.Context, request *ChatRequest, route route, receipt Receipt, sink Sink) (chatResult, error) {
	r.counters.Cascades.Add(1)
	plan := route.plan
	buffer := &responseWriter{}
	first, err := r.runVersion(ctx, request, plan.First, buffer)
	if err != nil {
		return chatResult{}, err
	}
	rateCtx, cancel := context.WithTimeout(ctx, r.ratingTimeout(ctx))
	score, err := r.config.Assessor.Rate(rateCtx, assessor.Response{Version: plan.First.ID, Prompt: request.Prompt, Text: first.text})
	cancel()
	first.rated, first.score = err == nil, score
	if err != nil || score >= plan.Threshold {
		return first, writeAll(sink, r.meta(request, route, plan.First.ID, receipt), first.text)
	}
	r.counters.Escalations.Add(1)
	writer := &responseWriter{sink: sink, meta: r.meta(request, route, plan.Second.ID, receipt), streaming: request.Stream}
	second, err := r.runVersion(ctx, request, plan.Second, writer)
	if err != nil && !writer.started {
		// The second version failed before it sent any text. The first response
		// is complete, and a poor response is better than none.
		return first, writeAll(sink, r.meta(request, route, plan.First.ID, receipt), first.text)
	}
	second.discardedVersion = first.version
	second.cost += first.cost
	r.deliverDiscarded(request, first)
	return second, err
}

// ratingTimeoutFactor is the timeout of an inline rating as a multiple of the
// rater's usual latency.
const ratingTimeoutFactor = 3

func (r *Router) ratingTimeout(ctx context.Context) time.Duration {
	return min(ratingTimeoutFactor*r.config.Assessor.Latency()+time.Millisecond, timeLeft(ctx)/4)
}

func writeAll(sink Sink, meta ResponseMeta, text string) error {
	if err := sink.Begin(meta); err != nil {
		return err
	}
	return sink.Text(text)
}

const (
	// ratingsPerSecond is the rate at which a daemon requests background ratings,
	// and ratingBurst is the number that it may request at once.
	ratingsPerSecond = 5
	ratingBurst      = 5
)

// sampleRating requests background ratings of responses: of every response from
// a version that is being rolled out, and of as many others as the rate limit
// allows. An inline rating is recorded instead if there is one.
func (r *Router) sampleRating(request *ChatRequest, result chatResult) {
	response := assessor.Response{
		Account:          request.Account.Name,
		Version:          result.version,
		DiscardedVersion: result.discardedVersion,
		Class:            ClassifyPrompt(request.Prompt),
		Prompt:           request.Prompt,
		Text:             result.text,
		SampleWeight:     1,
	}
	if result.rated {
		r.config.Assessor.Deliver(assessor.Rating{Response: response, Score: result.score})
		return
	}
	weight, chosen := r.ratingSampler.choose(request.Account.Name, r.isRollingOut(result.version))
	if chosen {
		response.SampleWeight = weight
		r.config.Assessor.Enqueue(response)
	}
}

// isRollingOut reports whether a version is the new version of a running or
// paused rollout.
func (r *Router) isRollingOut(version compiler.VersionID) bool {
	rollout := r.config.State.Catalog().RolloutTo(version)
	return rollout != nil && (rollout.Running || rollout.Paused)
}

// ratingSampler chooses the responses to be rated, at a limited rate. It is safe
// for concurrent use.
type ratingSampler struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	// sinceChosen counts, by account, the responses since the last chosen one.
	sinceChosen map[string]int
}

func newRatingSampler() *ratingSampler {
	return &ratingSampler{limiter: rate.NewLimiter(ratingsPerSecond, ratingBurst), sinceChosen: map[string]int{}}
}

// choose reports whether a response is to be rated, and the number of responses
// that its rating represents. If always is set, the rate limit is not applied.
func (s *ratingSampler) choose(account string, always bool) (weight float64, chosen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sinceChosen[account]++
	if !s.limiter.Allow() && !always {
		return 0, false
	}
	weight = float64(s.sinceChosen[account])
	s.sinceChosen[account] = 0
	return weight, true
}

// deliverDiscarded reports the inline rating of a response that a cascade
// discarded.
func (r *Router) deliverDiscarded(request *ChatRequest, discarded chatResult) {
	r.config.Assessor.Deliver(assessor.Rating{
		Response: assessor.Response{Version: discarded.version, Class: ClassifyPrompt(request.Prompt)},
		Score:    discarded.score,
	})
}

// prefixKey returns the hash of a prompt's prefix, which is used for prefix
// affinity. It returns 0 if the prefix is blank.
func prefixKey(prefix string) uint64 {
	if strings.TrimSpace(prefix) == "" {
		return 0
	}
	return xxhash.Sum64String(prefix)
}
