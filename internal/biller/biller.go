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
	copyAttempts = 3
	// adoptAge is the age at which a copy is appended although its maker lives.
	adoptAge = 10 * time.Minute
	// maxBatch bounds the bills of one message to a peer.
	maxBatch = 500
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
	Hold(ctx context.Context, holder string, bills []*schema.Bill, saved []string) error
}

// own is a bill made here.
type own struct {
	bill   *schema.Bill
	ticket *journaler.PendingRecord
}

// copied is a bill made at another daemon.
type copied struct {
	bill  *schema.Bill
	maker string
	at    time.Time
	// adopted is set while this daemon appends the bill.
	adopted *journaler.PendingRecord
}

// placement is a request to place a copy of a bill.
type placement struct {
	bill *schema.Bill
	done chan bool
}

// Counts are the counters of a biller.
type Counts struct {
	Made    uint64
	Single  uint64
	Adopted uint64
	Refused uint64
}

// Biller holds bills until the log has them.
type Biller struct {
	appender *journaler.Appender
	peers    Peers
	bound    int

	mu     sync.Mutex
	owned  map[string]own
	copies map[string]copied
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
func New(appender *journaler.Appender, peers Peers, bound int) *Biller {
	return &Biller{
		appender: appender,
		peers:    peers,
		bound:    bound,
		owned:    map[string]own{},
		copies:   map[string]copied{},
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
	if len(b.owned)+b.reserved >= b.bound {
		b.counts.Refused++
		return classifier.New(classifier.BillsFull, "%d bills wait for the log", len(b.owned)).WithRetryAfter(time.Second)
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
	b.counts.Made++
	b.owned[bill.GetId()] = own{bill: bill, ticket: ticket}
	b.mu.Unlock()
	request := placement{bill: bill, done: make(chan bool, 1)}
	select {
	case b.queue <- request:
	case <-ctx.Done():
		b.countSingle()
		return
	}
	select {
	case held := <-request.done:
		if !held {
			b.countSingle()
		}
	case <-ctx.Done():
		b.countSingle()
	}
}

// billRecord returns the record of a bill. It has no id beside the bill's own,
// by which readers drop copies.
func billRecord(bill *schema.Bill) *schema.Record {
	return &schema.Record{Body: &schema.Record_Bill{Bill: bill}}
}

func (b *Biller) countSingle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Single++
}

// Run places copies and releases saved ones until ctx ends.
func (b *Biller) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case first := <-b.queue:
			b.place(ctx, b.gather(first))
		case <-ticker.C:
			b.Settle()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *Biller) gather(first placement) []placement {
	batch := []placement{first}
	for len(batch) < maxBatch {
		select {
		case next := <-b.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (b *Biller) place(ctx context.Context, batch []placement) {
	bills := make([]*schema.Bill, len(batch))
	for i, request := range batch {
		bills[i] = request.bill
	}
	held := b.placeAt(ctx, bills)
	for _, request := range batch {
		request.done <- held
	}
}

// placeAt tries the holders in turn.
func (b *Biller) placeAt(ctx context.Context, bills []*schema.Bill) bool {
	for attempt, holder := range b.peers.Holders() {
		if attempt == copyAttempts {
			break
		}
		saved := b.takeSaved(holder)
		attemptCtx, cancel := context.WithTimeout(ctx, copyTimeout)
		err := b.peers.Hold(attemptCtx, holder, bills, saved)
		cancel()
		if err != nil {
			continue
		}
		b.mu.Lock()
		for _, bill := range bills {
			if _, unsaved := b.owned[bill.GetId()]; unsaved {
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
func (b *Biller) Settle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, known := range b.owned {
		if !isDone(known.ticket) {
			continue
		}
		delete(b.owned, id)
		if holder, ok := b.placed[id]; ok {
			delete(b.placed, id)
			b.saved[holder] = append(b.saved[holder], id)
		}
	}
	for id, known := range b.copies {
		if known.adopted != nil && isDone(known.adopted) {
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

// Hold keeps copies of a maker's bills and forgets the saved ones. It refuses
// at the bound, so that the maker tries another daemon.
func (b *Biller) Hold(maker string, bills []*schema.Bill, saved []string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range saved {
		delete(b.copies, id)
	}
	if len(b.copies)+len(bills) > b.bound {
		return classifier.New(classifier.BillsFull, "%d copies of bills are held", len(b.copies))
	}
	now := time.Now()
	for _, bill := range bills {
		if _, known := b.copies[bill.GetId()]; !known {
			b.copies[bill.GetId()] = copied{bill: bill, maker: maker, at: now}
		}
	}
	return nil
}

// Adopt appends the copies whose maker is gone or which have grown old.
func (b *Biller) Adopt(gone func(maker string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for id, known := range b.copies {
		if known.adopted != nil || (!gone(known.maker) && now.Sub(known.at) < adoptAge) {
			continue
		}
		known.adopted = b.appender.Submit(billRecord(known.bill), false)
		b.copies[id] = known
		b.counts.Adopted++
	}
}

// HandOver moves what is unsaved to a peer, for a daemon that stops while the
// log is down. It reports whether everything found a new holder.
func (b *Biller) HandOver(ctx context.Context) bool {
	b.Settle()
	b.mu.Lock()
	var bills []*schema.Bill
	for _, known := range b.owned {
		bills = append(bills, known.bill)
	}
	for _, known := range b.copies {
		bills = append(bills, known.bill)
	}
	b.mu.Unlock()
	for len(bills) > 0 {
		count := min(len(bills), maxBatch)
		if !b.placeAt(ctx, bills[:count]) {
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
	return len(b.owned)
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
type Fold struct {
	account string
	since   time.Time
	seen    map[string]struct{}
	sum     Statement
}

// NewFold returns a fold of one account's bills since a time.
func NewFold(account string, since time.Time) *Fold {
	return &Fold{account: account, since: since, seen: map[string]struct{}{}}
}

// Apply folds one bill.
func (f *Fold) Apply(bill *schema.Bill) {
	if f.account != "" && bill.GetAccount() != f.account {
		return
	}
	if bill.GetTime().AsTime().Before(f.since) {
		return
	}
	if _, repeated := f.seen[bill.GetId()]; repeated {
		return
	}
	f.seen[bill.GetId()] = struct{}{}
	f.sum.Amount += bill.GetAmount()
	f.sum.Requests++
	f.sum.Bills = append(f.sum.Bills, bill)
}

// Statement returns the sum so far.
func (f *Fold) Statement() Statement { return f.sum }
