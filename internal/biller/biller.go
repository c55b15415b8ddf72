// Package biller holds the bill of each request until the log acknowledges it.
//
// A second daemon stores a copy of the bill before the end of the response is
// sent to the client. The daemon that created the bill appends it to the log in
// batches, and the holder of the copy appends it if the creator dies. A bill can
// therefore appear in the log more than once, and readers drop duplicates by
// bill ID.
package biller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/journaler"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Stream is the name of the log stream that contains the bills.
const Stream = "bills"

const (
	// copyTimeout limits one attempt to send copies to a peer.
	copyTimeout = 300 * time.Millisecond
	// maxCopyAttempts is the number of peers that are tried for one batch.
	maxCopyAttempts = 3
	// adoptAge is the age at which a copy is appended to the log even though
	// its creator is still alive.
	adoptAge = 10 * time.Minute
	// maxBatchBills is the largest number of bills in one message to a peer.
	maxBatchBills = 500
)

// ID returns the bill ID of a request. The ID is deterministic: it is derived
// from the client account and a string that identifies the request within it.
// That string contains the idempotency key if the request has one, and
// otherwise the request ID that the daemon assigned.
func ID(account, request string) string {
	digest := sha256.Sum256([]byte(account + "\x00" + request))
	return hex.EncodeToString(digest[:16])
}

// Peers sends copies of bills to other daemons.
type Peers interface {
	// Holders returns the names of the daemons that can store copies, in order
	// of preference.
	Holders() []string
	// SendCopies sends bills to a daemon, together with the IDs of bills whose
	// copies the daemon can delete because the log has them. It returns an
	// error unless the daemon stored all the bills.
	SendCopies(ctx context.Context, holder string, bills []*schema.Bill, saved []string) error
}

// pendingBill is a bill that this daemon created and the log has not
// acknowledged.
type pendingBill struct {
	bill   *schema.Bill
	ticket *journaler.PendingRecord
}

// billCopy is a copy of a bill that another daemon created.
type billCopy struct {
	bill       *schema.Bill
	creator    string
	receivedAt time.Time
	// adopted is set once this daemon has taken over appending the bill.
	adopted *journaler.PendingRecord
}

// placement is a queued request to store a copy of a bill at a peer. The
// result, which is sent to done, reports whether a peer stored the copy.
type placement struct {
	bill *schema.Bill
	done chan bool
}

// Counts are the counters of a Biller since its start.
type Counts struct {
	// Created counts the bills that this daemon created.
	Created uint64
	// Unreplicated counts the created bills without a confirmed copy at a peer.
	Unreplicated uint64
	// Adopted counts the copies that this daemon appended for their creators.
	Adopted uint64
	// Refused counts the failed calls of Reserve.
	Refused uint64
}

// Biller holds bills until the log acknowledges them. It is safe for concurrent
// use.
type Biller struct {
	appender *journaler.Appender
	peers    Peers
	limit    int

	mu      sync.Mutex
	pending map[string]pendingBill
	copies  map[string]billCopy
	// saved lists, by holder, the IDs of bills that are in the log, so that
	// the holder can delete its copies.
	saved map[string][]string
	// placed contains the holder of the copy, by bill ID.
	placed map[string]string
	counts Counts
	// reserved counts the running requests, each of which can create a bill.
	reserved int
	queue    chan placement
}

// queueLength is the largest number of placements that wait to be sent.
const queueLength = 1024

// New returns a Biller that holds at most limit unacknowledged bills of its own
// and at most limit copies for other daemons. The appender must write to Stream.
func New(appender *journaler.Appender, peers Peers, limit int) *Biller {
	return &Biller{
		appender: appender,
		peers:    peers,
		limit:    limit,
		pending:  map[string]pendingBill{},
		copies:   map[string]billCopy{},
		saved:    map[string][]string{},
		placed:   map[string]string{},
		queue:    make(chan placement, queueLength),
	}
}

// Reserve reserves space for the bill of a request that is about to be
// dispatched. At the limit it returns an error of kind classifier.BillsFull,
// because a request that cannot be billed must not run.
func (b *Biller) Reserve() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+b.reserved >= b.limit {
		b.counts.Refused++
		return classifier.New(classifier.BillsFull, "the log has not acknowledged %d bills", len(b.pending)).WithRetryAfter(time.Second)
	}
	b.reserved++
	return nil
}

// Cancel releases the reservation of a request that created no bill.
func (b *Biller) Cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
}

// Record submits the bill of a request for which Reserve succeeded, and uses up
// the reservation. It returns when a peer has stored a copy, or when no peer
// could store one in time or ctx has ended. Unless a peer stored a copy,
// only this daemon holds the bill until the log acknowledges it.
func (b *Biller) Record(ctx context.Context, bill *schema.Bill) {
	ticket := b.appender.Submit(billRecord(bill), false)
	b.mu.Lock()
	b.reserved--
	b.counts.Created++
	b.pending[bill.GetId()] = pendingBill{bill: bill, ticket: ticket}
	b.mu.Unlock()
	queued := placement{bill: bill, done: make(chan bool, 1)}
	select {
	case b.queue <- queued:
	case <-ctx.Done():
		b.countUnreplicated()
		return
	}
	select {
	case placed := <-queued.done:
		if !placed {
			b.countUnreplicated()
		}
	case <-ctx.Done():
		b.countUnreplicated()
	}
}

// billRecord returns the log record of a bill. The record has no ID because
// readers drop duplicates by the ID of the bill.
func billRecord(bill *schema.Bill) *schema.Record {
	return &schema.Record{Body: &schema.Record_Bill{Bill: bill}}
}

func (b *Biller) countUnreplicated() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Unreplicated++
}

// Run sends copies to peers and removes acknowledged bills until ctx ends. It
// returns the error of ctx.
func (b *Biller) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case first := <-b.queue:
			b.placeBatch(ctx, b.collectBatch(first))
		case <-ticker.C:
			b.RemoveSaved()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *Biller) collectBatch(first placement) []placement {
	batch := []placement{first}
	for len(batch) < maxBatchBills {
		select {
		case next := <-b.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (b *Biller) placeBatch(ctx context.Context, batch []placement) {
	bills := make([]*schema.Bill, len(batch))
	for i, queued := range batch {
		bills[i] = queued.bill
	}
	placed := b.placeCopies(ctx, bills)
	for _, queued := range batch {
		queued.done <- placed
	}
}

// placeCopies sends the bills to the first holder that accepts them, and reports
// whether one did.
func (b *Biller) placeCopies(ctx context.Context, bills []*schema.Bill) bool {
	for attempt, holder := range b.peers.Holders() {
		if attempt == maxCopyAttempts {
			break
		}
		saved := b.takeSaved(holder)
		attemptCtx, cancel := context.WithTimeout(ctx, copyTimeout)
		err := b.peers.SendCopies(attemptCtx, holder, bills, saved)
		cancel()
		if err != nil {
			b.restoreSaved(holder, saved)
			continue
		}
		b.mu.Lock()
		for _, bill := range bills {
			if _, unsaved := b.pending[bill.GetId()]; unsaved {
				b.placed[bill.GetId()] = holder
			}
		}
		b.mu.Unlock()
		return true
	}
	return false
}

func (b *Biller) takeSaved(holder string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved := b.saved[holder]
	delete(b.saved, holder)
	return saved
}

// restoreSaved keeps the ids of saved bills that could not be sent to a holder.
func (b *Biller) restoreSaved(holder string, saved []string) {
	if len(saved) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved[holder] = append(saved, b.saved[holder]...)
}

// RemoveSaved removes the bills and the adopted copies that the log has
// acknowledged.
func (b *Biller) RemoveSaved() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, pending := range b.pending {
		if !isDone(pending.ticket) {
			continue
		}
		delete(b.pending, id)
		if holder, ok := b.placed[id]; ok {
			delete(b.placed, id)
			b.saved[holder] = append(b.saved[holder], id)
		}
	}
	for id, copied := range b.copies {
		if copied.adopted != nil && isDone(copied.adopted) {
			delete(b.copies, id)
		}
	}
}

func isDone(ticket *journaler.PendingRecord) bool {
	select {
	case <-ticket.Done():
		return true
	default:
		return false
	}
}

// StoreCopies stores copies of the bills of another daemon, the creator, and
// deletes the copies whose IDs are in saved. At the limit it returns an error of
// kind classifier.BillsFull, so that the creator tries another daemon.
func (b *Biller) StoreCopies(creator string, bills []*schema.Bill, saved []string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range saved {
		delete(b.copies, id)
	}
	if len(b.copies)+len(bills) > b.limit {
		return classifier.New(classifier.BillsFull, "this daemon already holds %d bill copies", len(b.copies))
	}
	now := time.Now()
	for _, bill := range bills {
		if _, exists := b.copies[bill.GetId()]; !exists {
			b.copies[bill.GetId()] = billCopy{bill: bill, creator: creator, receivedAt: now}
		}
	}
	return nil
}

// Adopt appends the copies whose creator is gone, and those that are older than
// adoptAge, to the log.
func (b *Biller) Adopt(isGone func(creator string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for id, copied := range b.copies {
		if copied.adopted != nil || (!isGone(copied.creator) && now.Sub(copied.receivedAt) < adoptAge) {
			continue
		}
		copied.adopted = b.appender.Submit(billRecord(copied.bill), false)
		b.copies[id] = copied
		b.counts.Adopted++
	}
}

// HandOver sends all unacknowledged bills and copies to peers. A daemon that
// stops while the log is unavailable uses it. It reports whether peers stored
// all of them.
func (b *Biller) HandOver(ctx context.Context) bool {
	b.RemoveSaved()
	b.mu.Lock()
	var bills []*schema.Bill
	for _, pending := range b.pending {
		bills = append(bills, pending.bill)
	}
	for _, copied := range b.copies {
		bills = append(bills, copied.bill)
	}
	b.mu.Unlock()
	for len(bills) > 0 {
		count := min(len(bills), maxBatchBills)
		if !b.placeCopies(ctx, bills[:count]) {
			return false
		}
		bills = bills[count:]
	}
	return true
}

// Unsaved returns the number of bills that this daemon created and still holds
// because the log has not acknowledged them.
func (b *Biller) Unsaved() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// Copies returns the number of copies that this daemon holds for others.
func (b *Biller) Copies() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.copies)
}

// Counts returns the current values of the counters.
func (b *Biller) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Statement is the total of a client account's bills.
type Statement struct {
	// Amount is the total charge, in millionths of the currency unit.
	Amount   int64
	Requests int
	Bills    []*schema.Bill
}

// StatementBuilder adds up the bills of a client account and skips duplicates by
// bill ID. With an empty account it adds up the bills of all accounts.
type StatementBuilder struct {
	account   string
	since     time.Time
	seen      map[string]struct{}
	statement Statement
}

// NewStatementBuilder returns a StatementBuilder for the bills of an account. It
// skips bills from before since.
func NewStatementBuilder(account string, since time.Time) *StatementBuilder {
	return &StatementBuilder{account: account, since: since, seen: map[string]struct{}{}}
}

// Apply adds one bill to the statement.
func (b *StatementBuilder) Apply(bill *schema.Bill) {
	if b.account != "" && bill.GetAccount() != b.account {
		return
	}
	if bill.GetTime().AsTime().Before(b.since) {
		return
	}
	if _, duplicate := b.seen[bill.GetId()]; duplicate {
		return
	}
	b.seen[bill.GetId()] = struct{}{}
	b.statement.Amount += bill.GetAmount()
	b.statement.Requests++
	b.statement.Bills = append(b.statement.Bills, bill)
}

// Statement returns the total of the bills applied so far.
func (b *StatementBuilder) Statement() Statement { return b.statement }
