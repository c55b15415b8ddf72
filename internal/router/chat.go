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
	// Model is "model", "model@version", or empty for any allowed one.
	Model string
	// Conversation is a token or the caller's own id; empty for none.
	Conversation string
	// Person is the caller's name for the end user; empty when not given.
	Person string
	// Prompt is the text of all messages, Prefix that of the first ones.
	Prompt string
	Prefix string
	// MaxOutput bounds the output tokens; 0 when not given.
	MaxOutput int
	Fields    sender.Fields
	// Stream is false when the caller wants the whole answer at once, which
	// allows a restart until the answer is complete.
	Stream bool
}

// Meta is what is known when an answer starts.
type Meta struct {
	Version compiler.VersionID
	Bill    string
	// Conversation is the token for the next turn.
	Conversation string
	Reason       string
}

// Sink receives an answer.
type Sink interface {
	// Begin is called once, before any text.
	Begin(meta Meta) error
	// Text receives the next piece of the answer.
	Text(text string) error
}

const (
	// bytesPerToken is the length of a token in the estimate of a prompt.
	bytesPerToken = 4
	// inputMargin scales the estimate of a prompt when spend is reserved.
	inputMargin = 2
)

func (c *ChatRequest) inputTokens() int { return len(c.Prompt)/bytesPerToken + 1 }

func (c *ChatRequest) person() string {
	switch {
	case c.Person != "":
		return c.Person
	case c.Conversation != "":
		return "conversation/" + c.Conversation
	default:
		return "request/" + c.ID
	}
}

// Prompt lengths in bytes that divide the classes.
const (
	briefPrompt = 200
	longPrompt  = 2000
)

// Classify returns the class of a prompt.
func Classify(prompt string) estimator.Class {
	switch {
	case len(prompt) < briefPrompt:
		return "brief"
	case len(prompt) < longPrompt:
		return "normal"
	default:
		return "long"
	}
}

// Chat answers a request through the sink. When it returns nil the answer is
// complete and its bill is held; the caller then ends the answer.
func (r *Router) Chat(ctx context.Context, request *ChatRequest, sink Sink) (Receipt, error) {
	r.counts.Requests.Add(1)
	receipt, err := r.chat(ctx, request, sink)
	if err != nil {
		r.counts.Failed.Add(1)
		return receipt, err
	}
	r.counts.Answered.Add(1)
	return receipt, nil
}

func (r *Router) chat(ctx context.Context, request *ChatRequest, sink Sink) (Receipt, error) {
	if len(request.Account.Policy.Versions) == 0 {
		return Receipt{}, classifier.New(classifier.Forbidden, "the account may not use any model")
	}
	end, err := r.admit(ctx, request.Account)
	if err != nil {
		return Receipt{}, err
	}
	defer end()
	route, err := r.plan(ctx, request)
	if err != nil {
		return Receipt{}, err
	}
	receipt := Receipt{Bill: biller.ID(request.Account.Name, request.ID), Reason: route.plan.Reason}
	worst := r.worst(request, route.plan)
	reservation, err := r.parts.Limiter.Reserve(ctx, request.Account, worst)
	if err != nil {
		return receipt, err
	}
	if err := r.parts.Biller.Reserve(); err != nil {
		r.parts.Limiter.Settle(reservation, 0)
		return receipt, err
	}
	result, err := r.run(ctx, request, route, receipt, sink)
	if err != nil {
		r.parts.Limiter.Settle(reservation, 0)
		r.parts.Biller.Cancel()
		return receipt, err
	}
	r.parts.Limiter.Settle(reservation, result.cost)
	receipt.Version, receipt.Cost, receipt.Usage = result.version, result.cost, result.usage
	r.parts.Biller.Record(ctx, &schema.Bill{
		Id:      receipt.Bill,
		Account: request.Account.Name,
		Service: "chat",
		Version: result.version.String(),
		Input:   uint32(max(0, result.usage.Input)),
		Output:  uint32(max(0, result.usage.Output)),
		Amount:  int64(result.cost),
		Time:    timestamppb.Now(),
	})
	r.sample(request, result)
	r.shadow(ctx, request, result)
	return receipt, nil
}

// result is a complete answer.
type result struct {
	version compiler.VersionID
	// first is the version whose answer a cascade discarded; zero for none.
	first compiler.VersionID
	usage sender.Usage
	cost  pricer.Money
	text  string
	// rated is set when the answer was rated inline.
	rated bool
	score float64
}

func (r *Router) worst(request *ChatRequest, plan planner.Plan) pricer.Money {
	sum := plan.First.Price.Charge(inputMargin*request.inputTokens(), request.limit(plan.First))
	if plan.Second != nil {
		sum += plan.Second.Price.Charge(inputMargin*request.inputTokens(), request.limit(plan.Second))
	}
	return sum
}

// limit returns the bound on output tokens for a version.
func (c *ChatRequest) limit(version *compiler.Version) int {
	if c.MaxOutput > 0 {
		return min(c.MaxOutput, version.MaxOutput)
	}
	return version.MaxOutput
}

// run executes a plan.
func (r *Router) run(ctx context.Context, request *ChatRequest, route route, receipt Receipt, sink Sink) (result, error) {
	if route.plan.Second == nil {
		delivery := &delivery{sink: sink, meta: r.meta(request, route, route.plan.First.ID, receipt), live: request.Stream}
		return r.answer(ctx, request, route.plan.First, delivery)
	}
	return r.cascade(ctx, request, route, receipt, sink)
}

func (r *Router) meta(request *ChatRequest, route route, version compiler.VersionID, receipt Receipt) Meta {
	return Meta{
		Version:      version,
		Bill:         receipt.Bill,
		Conversation: r.parts.Signer.Sign(request.Account.Name, route.conversation, version),
		Reason:       route.plan.Reason,
	}
}

// cascade asks the first version, has its answer rated, and asks the second
// one when the rating is low. A rater that does not answer in time leaves the
// first answer as it is.
func (r *Router) cascade(ctx context.Context, request *ChatRequest, route route, receipt Receipt, sink Sink) (result, error) {
	r.counts.Cascades.Add(1)
	plan := route.plan
	hidden := &delivery{}
	first, err := r.answer(ctx, request, plan.First, hidden)
	if err != nil {
		return result{}, err
	}
	rateCtx, cancel := context.WithTimeout(ctx, r.ratingTime(ctx))
	score, err := r.parts.Assessor.Rate(rateCtx, assessor.Response{Version: plan.First.ID, Prompt: request.Prompt, Text: first.text})
	cancel()
	first.rated, first.score = err == nil, score
	if err != nil || score >= plan.Threshold {
		return first, flush(sink, r.meta(request, route, plan.First.ID, receipt), first.text)
	}
	r.counts.Escalations.Add(1)
	delivery := &delivery{sink: sink, meta: r.meta(request, route, plan.Second.ID, receipt), live: request.Stream}
	second, err := r.answer(ctx, request, plan.Second, delivery)
	if err != nil && !delivery.begun {
		// The first answer is complete; a poor answer is better than none.
		return first, flush(sink, r.meta(request, route, plan.First.ID, receipt), first.text)
	}
	second.first = first.version
	second.cost += first.cost
	r.learn(request, first)
	return second, err
}

// maxRatingWait bounds the wait for an inline rating, as a multiple of its
// usual time.
const maxRatingWait = 3

func (r *Router) ratingTime(ctx context.Context) time.Duration {
	return min(maxRatingWait*r.parts.Assessor.Latency()+time.Millisecond, timeLeft(ctx)/4)
}

func flush(sink Sink, meta Meta, text string) error {
	if err := sink.Begin(meta); err != nil {
		return err
	}
	return sink.Text(text)
}

const (
	// ratingRate is the number of background ratings a second that a daemon asks
	// for, and ratingBurst how many it may ask for at once.
	ratingRate  = 5
	ratingBurst = 5
)

// sample has answers rated in the background: each one of a version that is
// being rolled out, and of the others as many as the rate allows.
func (r *Router) sample(request *ChatRequest, result result) {
	answer := assessor.Response{
		Account:          request.Account.Name,
		Version:          result.version,
		DiscardedVersion: result.first,
		Class:            Classify(request.Prompt),
		Prompt:           request.Prompt,
		Text:             result.text,
		SampleWeight:     1,
	}
	if result.rated {
		r.parts.Assessor.Deliver(assessor.Rating{Response: answer, Score: result.score})
		return
	}
	weight, chosen := r.ratings.choose(request.Account.Name, r.onTrial(result.version))
	if chosen {
		answer.SampleWeight = weight
		r.parts.Assessor.Enqueue(answer)
	}
}

// onTrial reports whether a version is the new one of a roll-out under way.
func (r *Router) onTrial(version compiler.VersionID) bool {
	rollout := r.parts.Views.Catalog().RolloutTo(version)
	return rollout != nil && (rollout.Running || rollout.Paused)
}

// sampler chooses answers to be rated at a bounded rate. It is safe for
// concurrent use.
type sampler struct {
	mu     sync.Mutex
	budget *rate.Limiter
	// passed counts the answers of each account since its last chosen one.
	passed map[string]int
}

func newSampler() *sampler {
	return &sampler{budget: rate.NewLimiter(ratingRate, ratingBurst), passed: map[string]int{}}
}

// choose reports whether an answer is to be rated, and the number of answers
// that its rating stands for.
func (s *sampler) choose(account string, always bool) (weight float64, chosen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passed[account]++
	if !s.budget.Allow() && !always {
		return 0, false
	}
	weight = float64(s.passed[account])
	s.passed[account] = 0
	return weight, true
}

// learn passes on the inline rating of an answer that a cascade discarded.
func (r *Router) learn(request *ChatRequest, discarded result) {
	r.parts.Assessor.Deliver(assessor.Rating{
		Response: assessor.Response{Version: discarded.version, Class: Classify(request.Prompt)},
		Score:    discarded.score,
	})
}

// prefixHash identifies the start of a prompt for the prefix cache.
func prefixHash(prefix string) uint64 {
	if strings.TrimSpace(prefix) == "" {
		return 0
	}
	return xxhash.Sum64String(prefix)
}
