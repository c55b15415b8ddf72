package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/sizer"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

const (
	// maxAnswer bounds an answer that is held as a whole.
	maxAnswer = 8 << 20
	// maxSends bounds how often one request is offered, refusals included.
	maxSends = 10
	// pieceBytes is the size of the buffer that a stream is read into.
	pieceBytes = 4 << 10
)

// verdict says what to do after an attempt.
type verdict int

const (
	// done: the answer has been passed on.
	done verdict = iota
	// unrun: the endpoint has not run the request.
	unrun
	// failed: the endpoint may have run it, and nothing usable came.
	failed
	// dropped: the answer is left for one of a larger model.
	dropped
)

// run offers the request to endpoints until one has answered.
func (c *call) run(ctx context.Context) *classifier.Error {
	budget := c.Budgets.Of(c.route.Service)
	budget.Request()
	c.after = c.After
	c.size = sizer.FirstSize(c.costs())
	var held *answer
	last := classifier.New(classifier.NoEndpoint, "no endpoint of service %q takes work", c.route.Service)
	for sends := 0; sends < maxSends; sends++ {
		// Only what has reached an endpoint makes the next one a repeat.
		if c.reached > 0 && !c.paid && !budget.Spend() {
			last = classifier.Wrap(last.Kind, last, "no more repeats are allowed now")
			break
		}
		c.paid = false
		choice, ok := c.pick()
		if !ok {
			break
		}
		if sends > 0 {
			c.Counters.Repeats.Inc()
		}
		outcome, got, err := c.try(ctx, choice)
		if outcome == done {
			return nil
		}
		if got != nil {
			held = got
		}
		if err != nil {
			last = err
		}
		if ctx.Err() != nil || !c.mayRepeat(outcome) {
			break
		}
	}
	if held != nil && !c.begun {
		c.pass(held)
		return nil
	}
	return last
}

// mayRepeat reports whether another endpoint may get the request.
func (c *call) mayRepeat(outcome verdict) bool {
	if outcome == unrun || outcome == dropped {
		return true
	}
	return c.route.Repeats() && c.runs < c.route.Attempts
}

func (c *call) pick() (*tracker.Choice, bool) {
	return c.Tracker.Pick(c.query(c.model()))
}

// query returns what the choice of an endpoint for a model depends on.
func (c *call) query(model string) tracker.Query {
	subject, shared := c.subject()
	constraint := c.Believer.Version(Question{Service: c.route.Service, Session: c.Session, Request: c.ID, Failed: c.suspect})
	return tracker.Query{
		Service:       c.route.Service,
		OnlyVersion:   constraint.Only,
		ExceptVersion: constraint.Except,
		SubsetShare:   constraint.Subset,
		Model:         model,
		PrefixKey:     subject,
		SharedTokens:  shared,
		PromptTokens:  c.Prompt,
		Tried:         c.tried,
	}
}

// ran records a result of the endpoint's version.
func (c *call) ran(choice *tracker.Choice, ending Ending, first, pace time.Duration) {
	c.suspect = c.suspect || ending == Failed || ending == Broken
	c.Believer.Ran(Result{
		Service:  c.route.Service,
		Version:  choice.Version,
		Endpoint: choice.ID,
		Route:    c.route.Name,
		Model:    c.model(),
		Ending:   ending,
		Expected: choice.ExpectedTTFT(),
		First:    first,
		Pace:     pace,
	})
}

// model returns the size of model to run the request on; empty to leave the
// client's choice.
func (c *call) model() string {
	if !c.ModelFree || len(c.route.Sizes) == 0 {
		return ""
	}
	return c.route.Sizes[c.size]
}

// subject returns what identifies the parts of the prompt that the request
// shares with others, and their length in tokens.
func (c *call) subject() (id uint64, tokens int) {
	if !c.route.Affine || len(c.PromptParts) < 2 {
		return 0, 0
	}
	shared := c.PromptParts[:len(c.PromptParts)-1]
	for _, part := range shared {
		tokens += part.Tokens
	}
	return shared[len(shared)-1].ID, tokens
}

// answer is an answer that is held as a whole.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// try offers the request to one endpoint. An answer that is returned is the
// endpoint's failure, to be passed on if nothing better comes.
func (c *call) try(ctx context.Context, choice *tracker.Choice) (verdict, *answer, *classifier.Error) {
	c.Counters.Attempts.Inc()
	c.tried = append(c.tried, choice.ID)
	began := time.Now()
	attempt := Attempt{
		Left:     c.left(),
		Endpoint: choice.ID,
		Model:    c.model(),
		Priority: c.rank(),
		After:    c.after,
	}
	if c.account != nil {
		attempt.Account = c.account.Name
	}
	reply, failure := c.Exchanger.Do(ctx, choice.Address, &exchanger.Request{
		Method: c.http.Method,
		Target: c.http.RequestURI,
		Host:   c.http.Host,
		Header: c.Codec.Encode(c.http.Header, attempt),
		Body:   c.body,
	})
	if failure != nil {
		return c.unanswered(ctx, choice, failure)
	}
	defer reply.Close()
	notes := c.Codec.Notes(reply.Status, reply.Header)
	if notes.HasLoad {
		choice.ReportLoad(notes.Running, notes.Waiting)
	}
	c.reached++
	if notes.Refused {
		return c.refused(choice, reply, notes)
	}
	c.runs++
	c.headed = time.Since(began)
	choice.ResponseStarted(c.headed)
	if reply.Status == http.StatusOK && c.route.Kind == matcher.Stream {
		return c.stream(ctx, choice, reply, notes)
	}
	return c.whole(ctx, choice, reply, notes)
}

// unanswered handles an attempt without an answer.
func (c *call) unanswered(ctx context.Context, choice *tracker.Choice, failure *exchanger.Failure) (verdict, *answer, *classifier.Error) {
	outcome, ending, blame := failed, Broken, tracker.Failure
	if failure.Stage == exchanger.Unsent {
		outcome, ending, blame = unrun, Unreached, tracker.ConnectFailed
	} else {
		c.reached++
		c.runs++
	}
	if failure.Unreachable() {
		blame = tracker.Unreachable
	}
	if ctx.Err() != nil {
		blame = tracker.Neutral
	} else {
		c.ran(choice, ending, 0, 0)
	}
	choice.End(blame, 0)
	c.log("attempt without answer", c.about(choice, "error", failure.Err, "sent", failure.Stage == exchanger.Sent)...)
	kind := classifier.EndpointFailed
	if outcome == unrun {
		kind = classifier.NoEndpoint
	}
	return outcome, nil, classifier.Wrap(kind, failure, "no answer of endpoint %s", choice.ID)
}

// refused handles an endpoint that did not run the request.
func (c *call) refused(choice *tracker.Choice, reply *exchanger.Response, notes Notes) (verdict, *answer, *classifier.Error) {
	_, _ = io.Copy(io.Discard, io.LimitReader(reply, maxAnswer))
	choice.End(tracker.Neutral, 0)
	if notes.Elsewhere {
		choice.ReportMisdirected()
	}
	c.log("endpoint refused", c.about(choice, "status", reply.Status, "running", notes.Running, "waiting", notes.Waiting)...)
	return unrun, nil, classifier.New(classifier.EndpointRefused, "endpoint %s refused with status %d", choice.ID, reply.Status).After(notReadyPause)
}

// about returns the fields of an attempt for a log line.
func (c *call) about(choice *tracker.Choice, args ...any) []any {
	return append(args, "endpoint", choice.ID, "address", choice.Address, "version", choice.Version, "model", c.model(),
		"load", choice.Load, "backlog", noter.FormatDuration(choice.Backlog), "expected", noter.FormatDuration(choice.ExpectedTTFT()), "sends", len(c.tried))
}

// whole reads an answer to its end and passes it on.
func (c *call) whole(ctx context.Context, choice *tracker.Choice, reply *exchanger.Response, notes Notes) (verdict, *answer, *classifier.Error) {
	body, err := io.ReadAll(io.LimitReader(reply, maxAnswer))
	took := c.headed
	if err == nil {
		err = sound(reply.Status, notes)
	}
	if err != nil {
		blame := tracker.Failure
		if ctx.Err() != nil {
			blame = tracker.Neutral
		}
		if blame == tracker.Failure {
			c.ran(choice, Broken, 0, 0)
		}
		choice.End(blame, 0)
		c.log("answer is spoilt", c.about(choice, "error", err, "status", reply.Status)...)
		return failed, nil, classifier.Wrap(classifier.EndpointFailed, err, "the answer of endpoint %s is spoilt", choice.ID)
	}
	got := &answer{status: reply.Status, header: c.Codec.Reply(reply.Header), body: body}
	ending := Answered
	if reply.Status >= http.StatusInternalServerError {
		ending = Failed
	}
	c.ran(choice, ending, took, 0)
	if ending == Failed {
		choice.End(tracker.Failure, 0)
		c.log("endpoint failed", c.about(choice, "status", reply.Status)...)
		return failed, got, classifier.New(classifier.EndpointFailed, "endpoint %s failed with status %d", choice.ID, reply.Status)
	}
	choice.End(tracker.Success, 0)
	reply.Close()
	c.pass(got)
	c.log("request served", c.about(choice, "status", reply.Status, "took", noter.FormatDuration(took))...)
	return done, nil, nil
}

// sound reports why an answer cannot be the endpoint's own.
func sound(status int, notes Notes) error {
	if status >= http.StatusOK && status < http.StatusMultipleChoices && !notes.Signed {
		return errors.New("a success without a signature")
	}
	if notes.Encoded {
		return errors.New("an encoded body that nobody asked for")
	}
	return nil
}

// pass writes an answer to the client.
func (c *call) pass(got *answer) {
	c.begun = true
	c.Counters.Served.Inc()
	c.Counters.Whole.UpdateDuration(c.arrived)
	header := c.writer.Header()
	for name, values := range got.header {
		header[name] = values
	}
	c.writer.WriteHeader(got.status)
	_, _ = c.writer.Write(got.body)
}
