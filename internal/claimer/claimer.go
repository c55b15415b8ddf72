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
const maxOutcomeBytes = 8 << 10

// Right is the right to run one claimed request.
type Claim struct {
	Key Key
	ID  string
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
func (c *Claimer) Acquire(ctx context.Context, key Key, digest []byte, isAlive func(holder string) bool) (*Claim, *schema.Outcome, error) {
	if !c.follower.Caught() {
		return nil, nil, classifier.New(classifier.ClaimsUnavailable, "the claims stream has not been read yet")
	}
	result := c.lookup(key, "", digest)
	if result.State != Unclaimed {
		return c.awaitResult(ctx, key, "", digest, isAlive)
	}
	claimID := c.newID()
	if err := c.submitClaim(ctx, key, claimID, digest); err != nil {
		return nil, nil, err
	}
	return c.awaitResult(ctx, key, claimID, digest, isAlive)
}

// submit appends the claim and waits until it has been read back. When that
// does not happen in time the claim is withdrawn: nothing was dispatched, so
// the request certainly did not run.
func (c *Claimer) submitClaim(ctx context.Context, key Key, claimID string, digest []byte) error {
	ticket := c.appender.Submit(&schema.Record{Id: claimID, Body: &schema.Record_Claim{Claim: &schema.Claim{
		Account: key.Account,
		Key:     key.Key,
		Digest:  digest,
		Holder:  c.holder,
		Time:    timestamppb.Now(),
	}}}, true)
	select {
	case <-ticket.Done():
		if err := c.follower.WaitPast(ctx, ticket.Offset()); err == nil {
			return nil
		}
	case <-ctx.Done():
	}
	if !c.appender.Cancel(ticket) {
		c.Release(Claim{Key: key, ID: claimID})
	}
	return classifier.New(classifier.ClaimsUnavailable, "the log did not take the claim in time")
}

// conclude maps what the table says to a right, an outcome or an error. It
// waits for a claim that runs at a live daemon.
func (c *Claimer) awaitResult(ctx context.Context, key Key, claimID string, digest []byte, isAlive func(string) bool) (*Claim, *schema.Outcome, error) {
	for {
		result, changed := c.watch(key, claimID, digest)
		switch result.State {
		case Owned:
			return &Claim{Key: key, ID: claimID}, nil, nil
		case Finished:
			return nil, result.Outcome, outcomeError(result.Outcome)
		case OutcomeUnknown:
			return nil, nil, classifier.New(classifier.OutcomeUnknown, "the first request with this key got no answer")
		case Reused:
			return nil, nil, classifier.New(classifier.KeyReused, "the key was used for a request with other content")
		case Unclaimed:
			return nil, nil, classifier.New(classifier.ClaimsUnavailable, "the claim was released")
		case Running:
			if result.Holder != c.holder && !isAlive(result.Holder) {
				return nil, nil, classifier.New(classifier.OutcomeUnknown, "the instance that ran the first request with this key is gone")
			}
		}
		c.follower.Nudge()
		timer := time.NewTimer(pollInterval)
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
const pollInterval = 100 * time.Millisecond

func outcomeError(outcome *schema.Outcome) error {
	if outcome.GetStatus() == 0 {
		return classifier.New(classifier.OutcomeTooLarge, "the request ran but its answer was too large to keep")
	}
	return nil
}

// Release gives back a right that was not used.
func (c *Claimer) Release(claim Claim) {
	c.appender.Submit(&schema.Record{Id: c.newID(), Body: &schema.Record_Release{Release: &schema.Release{
		Claim:   claim.ID,
		Account: claim.Key.Account,
		Key:     claim.Key.Key,
	}}}, true)
}

// Finish records the answer of a dispatched request. A status of 0 without
// unknown means that the answer was too large to keep.
func (c *Claimer) RecordOutcome(claim Claim, outcome *schema.Outcome) {
	outcome.Claim = claim.ID
	outcome.Account = claim.Key.Account
	outcome.Key = claim.Key.Key
	if len(outcome.GetBody()) > maxOutcomeBytes {
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

func (c *Claimer) lookup(key Key, claimID string, digest []byte) LookupResult {
	result, _ := c.watch(key, claimID, digest)
	return result
}

func (c *Claimer) watch(key Key, claimID string, digest []byte) (LookupResult, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Lookup(key, claimID, digest), c.changed
}
