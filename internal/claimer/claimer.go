package claimer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/journaler"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// maxOutcome is the largest answer body that a claim keeps, in bytes.
const maxOutcome = 8 << 10

// Right is the right to run one claimed request.
type Right struct {
	Key   Key
	Claim string
}

// Claimer claims keys through the log on behalf of one daemon.
type Claimer struct {
	holder   string
	newID    func() string
	appender *journaler.Appender
	follower *journaler.Follower

	mu      sync.Mutex
	table   *Table
	changed chan struct{}
}

// New returns a claimer for a daemon. The caller runs its appender and
// follower; newID returns unique record ids.
func New(holder string, newID func() string, appender *journaler.Appender, log journaler.Log, interval, window time.Duration) *Claimer {
	c := &Claimer{
		holder:   holder,
		newID:    newID,
		appender: appender,
		table:    NewTable(window),
		changed:  make(chan struct{}),
	}
	c.follower = journaler.NewFollower(log, Stream, interval, c.apply)
	return c
}

// Follower returns the follower of the claims stream.
func (c *Claimer) Follower() *journaler.Follower { return c.follower }

func (c *Claimer) apply(_ uint64, records []*schema.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range records {
		c.table.Apply(record)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// Acquire claims a key. It returns a right when the caller must run the
// request, or the recorded outcome of an earlier run. Every error is of a kind
// that says whether the request ran. The alive function tells whether the
// daemon that holds a claim may still finish it.
func (c *Claimer) Acquire(ctx context.Context, key Key, digest []byte, alive func(holder string) bool) (*Right, *schema.Outcome, error) {
	if !c.follower.CaughtUp() {
		return nil, nil, classifier.New(classifier.ClaimsUnavailable, "the claims stream has not been read yet")
	}
	result := c.lookup(key, "", digest)
	if result.State != Unclaimed {
		return c.conclude(ctx, key, "", digest, alive)
	}
	claim := c.newID()
	if err := c.submit(ctx, key, claim, digest); err != nil {
		return nil, nil, err
	}
	return c.conclude(ctx, key, claim, digest, alive)
}

// submit appends the claim and waits until it has been read back. When that
// does not happen in time the claim is withdrawn: nothing was dispatched, so
// the request certainly did not run.
func (c *Claimer) submit(ctx context.Context, key Key, claim string, digest []byte) error {
	ticket := c.appender.Submit(&schema.Record{Id: claim, Body: &schema.Record_Claim{Claim: &schema.Claim{
		Account: key.Account,
		Key:     key.Key,
		Digest:  digest,
		Holder:  c.holder,
		Time:    timestamppb.Now(),
	}}}, true)
	select {
	case <-ticket.Done():
		if err := c.follower.WaitHandled(ctx, ticket.Offset()); err == nil {
			return nil
		}
	case <-ctx.Done():
	}
	if !c.appender.Cancel(ticket) {
		c.Release(Right{Key: key, Claim: claim})
	}
	return classifier.New(classifier.ClaimsUnavailable, "the log did not take the claim in time")
}

// conclude maps what the table says to a right, an outcome or an error. It
// waits for a claim that runs at a live daemon.
func (c *Claimer) conclude(ctx context.Context, key Key, claim string, digest []byte, alive func(string) bool) (*Right, *schema.Outcome, error) {
	for {
		result, changed := c.watch(key, claim, digest)
		switch result.State {
		case Mine:
			return &Right{Key: key, Claim: claim}, nil, nil
		case Finished:
			return nil, result.Outcome, outcomeError(result.Outcome)
		case Lost:
			return nil, nil, classifier.New(classifier.OutcomeUnknown, "the first request with this key got no answer")
		case Reused:
			return nil, nil, classifier.New(classifier.KeyReused, "the key was used for a request with other content")
		case Unclaimed:
			return nil, nil, classifier.New(classifier.ClaimsUnavailable, "the claim was released")
		case Running:
			if result.Holder != c.holder && !alive(result.Holder) {
				return nil, nil, classifier.New(classifier.OutcomeUnknown, "the instance that ran the first request with this key is gone")
			}
		}
		c.follower.PollNow()
		timer := time.NewTimer(runningPoll)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, nil, classifier.New(classifier.InProgress, "the first request with this key has not ended").WithRetryAfter(time.Second)
		}
		timer.Stop()
	}
}

// runningPoll is how often the table is read while another claim runs.
const runningPoll = 100 * time.Millisecond

func outcomeError(outcome *schema.Outcome) error {
	if outcome.GetStatus() == 0 {
		return classifier.New(classifier.OutcomeTooLarge, "the request ran but its answer was too large to keep")
	}
	return nil
}

// Release gives back a right that was not used.
func (c *Claimer) Release(right Right) {
	c.appender.Submit(&schema.Record{Id: c.newID(), Body: &schema.Record_Release{Release: &schema.Release{
		Claim:   right.Claim,
		Account: right.Key.Account,
		Key:     right.Key.Key,
	}}}, true)
}

// Finish records the answer of a dispatched request. A status of 0 without
// unknown means that the answer was too large to keep.
func (c *Claimer) Finish(right Right, outcome *schema.Outcome) {
	outcome.Claim = right.Claim
	outcome.Account = right.Key.Account
	outcome.Key = right.Key.Key
	if len(outcome.GetBody()) > maxOutcome {
		outcome.Status = 0
		outcome.Body = nil
	}
	c.appender.Submit(&schema.Record{Id: c.newID(), Body: &schema.Record_Outcome{Outcome: outcome}}, true)
}

// Len returns the number of keys remembered.
func (c *Claimer) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}

func (c *Claimer) lookup(key Key, claim string, digest []byte) Result {
	result, _ := c.watch(key, claim, digest)
	return result
}

func (c *Claimer) watch(key Key, claim string, digest []byte) (Result, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Lookup(key, claim, digest), c.changed
}
