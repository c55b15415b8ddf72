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

// maxOutcomeBytes is the largest response body that is recorded with an outcome.
const maxOutcomeBytes = 8 << 10

// Claim is the right to run one non-idempotent request.
type Claim struct {
	Key Key
	// ID is the record ID of the claim in the log.
	ID string
}

// Claimer claims keys through the log on behalf of one daemon. It is safe for
// concurrent use.
type Claimer struct {
	holder   string
	newID    func() string
	appender *journaler.Appender
	follower *journaler.Follower

	mu    sync.Mutex
	table *Table
	// changed is closed and replaced after each change of the table.
	changed chan struct{}
}

// New returns a Claimer for the daemon named holder. The function newID returns
// unique record IDs. The follower reads the log at the given interval, and keys
// are remembered for the window. The appender must write to Stream, and the
// caller of New must run it and the follower.
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

// Acquire claims a key for a request whose content has the given digest. It
// returns either a claim, in which case the caller must run the request, or the
// recorded outcome of an earlier run. The kind of the error says whether the
// request ran. The function isAlive reports whether the daemon that holds a
// claim can still finish the request.
func (c *Claimer) Acquire(ctx context.Context, key Key, digest []byte, isAlive func(holder string) bool) (*Claim, *schema.Outcome, error) {
	if !c.follower.CaughtUp() {
		return nil, nil, classifier.New(classifier.ClaimsUnavailable, "the claims stream has not been read to its end yet")
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

// submitClaim appends the claim and waits until it has been read back from the
// log. If that does not happen before ctx ends, submitClaim withdraws the claim
// and returns an error of kind classifier.ClaimsUnavailable. Nothing has been
// dispatched at this point, so the request certainly did not run.
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
		if err := c.follower.WaitHandled(ctx, ticket.Offset()); err == nil {
			return nil
		}
	case <-ctx.Done():
	}
	if !c.appender.Cancel(ticket) {
		c.Release(Claim{Key: key, ID: claimID})
	}
	return classifier.New(classifier.ClaimsUnavailable, "the claim was not read back from the log in time")
}

// awaitResult converts the state of the key in the table to a claim, an outcome
// or an error. While another claim is running at a live daemon, it waits until
// that claim ends or ctx ends.
func (c *Claimer) awaitResult(ctx context.Context, key Key, claimID string, digest []byte, isAlive func(string) bool) (*Claim, *schema.Outcome, error) {
	for {
		result, changed := c.watch(key, claimID, digest)
		switch result.State {
		case Owned:
			return &Claim{Key: key, ID: claimID}, nil, nil
		case Finished:
			return nil, result.Outcome, outcomeError(result.Outcome)
		case OutcomeUnknown:
			return nil, nil, classifier.New(classifier.OutcomeUnknown, "the outcome of the first request with this key is unknown")
		case Reused:
			return nil, nil, classifier.New(classifier.KeyReused, "the key was already used for a request with different content")
		case Unclaimed:
			return nil, nil, classifier.New(classifier.ClaimsUnavailable, "the claim was released")
		case Running:
			if result.Holder != c.holder && !isAlive(result.Holder) {
				return nil, nil, classifier.New(classifier.OutcomeUnknown, "the instance that claimed the first request with this key is no longer alive")
			}
		}
		c.follower.PollNow()
		timer := time.NewTimer(pollInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, nil, classifier.New(classifier.InProgress, "the first request with this key is still in progress").WithRetryAfter(time.Second)
		}
		timer.Stop()
	}
}

// pollInterval is the interval between lookups while another claim is running.
const pollInterval = 100 * time.Millisecond

func outcomeError(outcome *schema.Outcome) error {
	if outcome.GetStatus() == 0 {
		return classifier.New(classifier.OutcomeTooLarge, "the request ran but its response was too large to record")
	}
	return nil
}

// Release gives up a claim whose request was not dispatched, so that the key can
// be claimed again.
func (c *Claimer) Release(claim Claim) {
	c.appender.Submit(&schema.Record{Id: c.newID(), Body: &schema.Record_Release{Release: &schema.Release{
		Claim:   claim.ID,
		Account: claim.Key.Account,
		Key:     claim.Key.Key,
	}}}, true)
}

// RecordOutcome appends the outcome of a dispatched request to the log. It sets
// the claim, account and key of the outcome. If the body is larger than
// maxOutcomeBytes, it clears the body and sets the status to 0. A status of 0
// without the unknown flag means that the response was too large to record.
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

// Len returns the number of keys in the table.
func (c *Claimer) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}

func (c *Claimer) lookup(key Key, claimID string, digest []byte) LookupResult {
	result, _ := c.watch(key, claimID, digest)
	return result
}

// watch looks up a key and returns a channel that is closed at the next change of
// the table.
func (c *Claimer) watch(key Key, claimID string, digest []byte) (LookupResult, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Lookup(key, claimID, digest), c.changed
}
