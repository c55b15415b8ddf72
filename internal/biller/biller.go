// Package biller keeps the bill of each request until the log has it. A bill
// is held by two daemons before the end of its answer is sent; the daemon that
// made it appends it in batches, and the holder of the copy appends it when
// that daemon dies. Readers of the log drop copies by bill id.
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

// Stream is the log stream of bills.
const Stream = "bills"

const (
	// copyTimeout bounds one attempt to place a copy at a peer.
	copyTimeout = 300 * time.Millisecond
	// copyAttempts is the number of peers tried.
	maxCopyAttempts = 3
	// adoptAge is the age at which a copy is appended although its maker lives.
	adoptAge = 10 * time.Minute
	// maxBatch bounds the bills of one message to a peer.
	maxBatchBills = 500
)

// ID returns the bill id of a request, which is the same each time it is
// computed: an account's key identifies a keyed request, and the id that the
// daemon gave identifies any other.
func ID(account, request string) string {
	digest := sha256.Sum256([]byte(account + "\x00" + request))
	return hex.EncodeToString(digest[:16])
}

// Peers places copies of bills at other daemons.
type Peers interface {
	// Holders returns the daemons to try, best first.
	Holders() []string
	// Hold sends bills to a daemon, with the ids of bills that it may forget.
	SendCopies(ctx context.Context, holder string, bills []*schema.Bill, saved []string) error
}

// own is a bill made here.
type pendingBill struct {
	bill   *schema.Bill
	ticket *journaler.Ticket
}

// copied is a bill made at another daemon.
type billCopy struct {
	bill       *schema.Bill
	creator    string
	receivedAt time.Time
	// adopted is set while this daemon appends the bill.
	adopted *journaler.Ticket
}

// placement is a request to place a copy of a bill.
type placement struct {
	bill *schema.Bill
	done chan bool
}

// Counts are the counters of a biller.
type Counts struct {
	Created      uint64
	Unreplicated uint64
	Adopted      uint64
	Refused      uint64
}

// Biller holds bills until the log has them.
type Biller struct {
	appender *journaler.Appender
	peers    Peers
	limit    int

	mu      sync.Mutex
	pending map[string]pendingBill
	copies  map[string]billCopy
	// saved lists, by holder, the ids whose copies it may forget.
	saved  map[string][]string
	placed map[string]string
	counts Counts
	// reserved counts running requests, each of which will make a bill.
	reserved int
	queue    chan placement
}

// queueLength bounds the placements that wait for one message.
const queueLength = 1024

// New returns a biller that holds at most bound unsaved bills.
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

// Reserve makes room for the bill of a request that is about to be dispatched.
// At the bound it refuses, since a request that cannot be billed must not run.
func (b *Biller) Reserve() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+b.reserved >= b.limit {
		b.counts.Refused++
		return classifier.New(classifier.BillsFull, "%d bills wait for the log", len(b.pending)).WithRetryAfter(time.Second)
	}
	b.reserved++
	return nil
}

// Cancel gives up a reservation whose request made no bill.
func (b *Biller) Cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
}

// Record takes the bill of a reserved request. It returns when a second daemon
// holds a copy, or when no peer could take one in time; the bill is then held
// here alone until the log has it.
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
	case held := <-queued.done:
		if !held {
			b.countUnreplicated()
		}
	case <-ctx.Done():
		b.countUnreplicated()
	}
}

// billRecord returns the record of a bill. It has no id beside the bill's own,
// by which readers drop copies.
func billRecord(bill *schema.Bill) *schema.Record {
	return &schema.Record{Body: &schema.Record_Bill{Bill: bill}}
}

func (b *Biller) countUnreplicated() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Unreplicated++
}

// Run places copies and releases saved ones until ctx ends.
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
	held := b.placeCopies(ctx, bills)
	for _, queued := range batch {
		queued.done <- held
	}
}

// placeAt tries the holders in turn.
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

// Settle forgets the bills that the log has acknowledged.
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

func isDone(ticket *journaler.Ticket) bool {
	select {
	case <-ticket.Done():
		return true
	default:
		return false
	}
}

// Hold keeps copies of a maker's bills and forgets the saved ones. It refuses
// at the bound, so that the maker tries another daemon.
func (b *Biller) StoreCopies(creator string, bills []*schema.Bill, saved []string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range saved {
		delete(b.copies, id)
	}
	if len(b.copies)+len(bills) > b.limit {
		return classifier.New(classifier.BillsFull, "%d copies of bills are held", len(b.copies))
	}
	now := time.Now()
	for _, bill := range bills {
		if _, exists := b.copies[bill.GetId()]; !exists {
			b.copies[bill.GetId()] = billCopy{bill: bill, creator: creator, receivedAt: now}
		}
	}
	return nil
}

// Adopt appends the copies whose maker is gone or which have grown old.
func (b *Biller) Adopt(isGone func(maker string) bool) {
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

// HandOver moves what is unsaved to a peer, for a daemon that stops while the
// log is down. It reports whether everything found a new holder.
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

// Unsaved returns the number of bills made here that the log does not have.
func (b *Biller) Unsaved() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// Copies returns the number of copies held for others.
func (b *Biller) Copies() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.copies)
}

// Counts returns the counters.
func (b *Biller) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Statement is the sum of an account's bills.
type Statement struct {
	Amount   int64
	Requests int
	Bills    []*schema.Bill
}

// Fold sums the bills of an account, dropping copies by id. An empty account
// sums all.
type StatementBuilder struct {
	account   string
	since     time.Time
	seen      map[string]struct{}
	statement Statement
}

// NewFold returns a fold of one account's bills since a time.
func NewStatementBuilder(account string, since time.Time) *StatementBuilder {
	return &StatementBuilder{account: account, since: since, seen: map[string]struct{}{}}
}

// Apply folds one bill.
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

// Statement returns the sum so far.
func (b *StatementBuilder) Statement() Statement { return b.statement }
