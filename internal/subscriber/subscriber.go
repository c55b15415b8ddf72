// Package subscriber follows a topic of keyed records and keeps the newest
// record of each key. It knows how old the proof is that it has read to the
// topic's end.
package subscriber

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/noter"
)

// ErrExpired is returned by a source whose records from the offset on are gone.
var ErrExpired = errors.New("records have expired")

// ErrOffsetConflict is returned by an append on condition that the topic ends at another
// offset.
var ErrOffsetConflict = errors.New("the topic has moved on")

// Record is a record; an empty value drops its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is the answer to one read.
type Page struct {
	Records []Record
	// Next is the offset after the last item, End that of the next append.
	Next int64
	End  int64
}

// Source is one keyed topic.
type Source interface {
	// Newest returns the newest record of each key and an offset from which
	// Read returns everything that is newer.
	Newest(ctx context.Context) ([]Record, int64, error)
	// Read returns the records from an offset on. It waits for one at most the
	// given time. The error is ErrExpired when they are gone.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
}

// Peer is another daemon that has read the topic.
type Peer interface {
	// Read returns the records from an offset on, and by how much older than the
	// moment of the call the proof is that nothing is missing; negative when it is
	// newer. The page always reaches the end that the peer knows.
	Read(ctx context.Context, topic string, from int64) (page Page, lag time.Duration, err error)
}

// ErrNoPeer is returned by a peer that has nothing to tell now.
var ErrNoPeer = errors.New("no other daemon tells what it has read")

// Change is what a subscriber hands on.
type Change struct {
	// Complete is set when the items are all records of the topic: keys that are
	// missing are gone.
	Complete bool
	Records  []Record
}

// Clock returns the time since some fixed moment. It goes on while the machine
// is suspended.
type Clock func() time.Duration

const (
	// answerSlack is how long an answer may take beyond the wait asked for. A
	// connection that went silent is noticed after it.
	answerSlack = 700 * time.Millisecond
	// newestTimeout bounds one read of all keys.
	newestTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// Subscriber follows one topic.
type Subscriber struct {
	name   string
	source Source
	times  ReadTiming
	clock  Clock
	handle func(Change)
	logger hclog.Logger
	// peer is asked before the source; nil for none.
	peer   Peer
	window *window

	// known is set when next is; it is used by Run alone.
	known bool

	mu sync.Mutex
	// next is the offset to read from.
	next    int64
	proof   time.Duration
	proven  bool
	failing bool
	calls   uint64
	// failedAt is the time of the last failure if hurt is set.
	failedAt time.Duration
	hurt     bool
}

// ReadTiming are those of a subscriber's reads.
type ReadTiming struct {
	// Wait is how long a read waits for records.
	Wait time.Duration
	// BatchDelay is the pause after records have come. Many writers' records then share
	// a read: without it each record would cost one read of every subscriber.
	BatchDelay time.Duration
	// ConfirmAfter, when set, is the time after which a read that waits is backed by one
	// that does not: a read that reaches the log as a record is appended may sleep
	// through it until its wait is over.
	ConfirmAfter time.Duration
}

// New returns a subscriber. The handler is called from Run, one change at a
// time.
func New(name string, source Source, times ReadTiming, clock Clock, handle func(Change), logger hclog.Logger) *Subscriber {
	return &Subscriber{name: name, source: source, times: times, clock: clock, handle: handle, logger: logger, window: newWindow()}
}

// SetPeer makes the subscriber ask a peer before it reads the log. It must be
// called before Run.
func (s *Subscriber) SetPeer(peer Peer) { s.peer = peer }

// Name returns the topic's name.
func (s *Subscriber) Name() string { return s.name }

// RecordsFrom returns what the subscriber has read from an offset on, and the age of
// the proof that nothing is missing. It waits for records or a newer proof.
func (s *Subscriber) RecordsFrom(ctx context.Context, from int64, wait time.Duration) (Page, time.Duration, error) {
	page, proof, err := s.window.after(ctx, from, wait)
	return page, s.clock() - proof, err
}

// Run follows the topic until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	defer s.window.forget()
	backoff := minBackoff
	for ctx.Err() == nil {
		came, err := s.step(ctx)
		if ctx.Err() != nil {
			break
		}
		s.note(err)
		if err == nil {
			backoff = minBackoff
			if came && s.times.BatchDelay > 0 {
				sleep(ctx, s.times.BatchDelay)
			}
			continue
		}
		sleep(ctx, time.Duration((0.5+rand.Float64()/2)*float64(backoff)))
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// step makes one read; it reports whether records came that others may follow at
// once.
func (s *Subscriber) step(ctx context.Context) (came bool, err error) {
	if !s.known {
		return true, s.readAll(ctx)
	}
	if s.askPeer(ctx) {
		return false, nil
	}
	asked := s.clock()
	wait := s.times.Wait
	if s.failed() {
		// A source that comes back is asked for what it has, so that the proof is
		// fresh at once.
		wait = 0
	}
	page, waited, err := s.read(ctx, wait)
	if errors.Is(err, ErrExpired) {
		s.logger.Info("records expired unread; reading all keys", "topic", s.name, "offset", s.next)
		s.known = false
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if len(page.Records) == 0 && waited && s.clock()-asked >= wait {
		// An empty page says that nothing came during the whole wait.
		asked += wait
	}
	s.take(page, asked)
	return len(page.Records) > 0, nil
}

// askPeer takes a page from the peer; ok is false when the log is to be read.
func (s *Subscriber) askPeer(ctx context.Context) (ok bool) {
	if s.peer == nil {
		return false
	}
	asked := s.clock()
	page, lag, err := s.peer.Read(ctx, s.name, s.NextOffset())
	if err != nil {
		if !errors.Is(err, ErrNoPeer) {
			s.logger.Debug("peer tells nothing", "topic", s.name, "error", err)
		}
		return false
	}
	if lag > s.times.Wait+answerSlack {
		s.logger.Warn("what a peer has read is too old", "topic", s.name, "lag", noter.Brief(lag))
		return false
	}
	s.take(page, asked-lag)
	return true
}

// take hands on the records of a page. It proves that everything written before
// the time was read if the page reaches the topic's end.
func (s *Subscriber) take(page Page, proof time.Duration) {
	s.advance(page.Next)
	if len(page.Records) > 0 {
		s.handle(Change{Records: page.Records})
	}
	atEnd := page.Next >= page.End
	s.prove(proof, atEnd)
	if atEnd {
		s.window.extend(page.Records, page.Next, proof)
	} else {
		s.window.reset(page.Next, proof)
		s.window.fail()
	}
}

// read makes one read, backed by one that does not wait; waited is false for the
// answer of that one.
func (s *Subscriber) read(ctx context.Context, wait time.Duration) (page Page, waited bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	if s.times.ConfirmAfter <= 0 || wait <= s.times.ConfirmAfter {
		page, err = s.source.Read(ctx, s.next, wait)
		return page, true, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		page, err = s.source.Read(ctx, s.next, wait)
	}()
	timer := time.NewTimer(s.times.ConfirmAfter)
	defer timer.Stop()
	select {
	case <-done:
		return page, true, err
	case <-timer.C:
	}
	confirmed, confirmErr := s.source.Read(ctx, s.next, 0)
	if confirmErr == nil && len(confirmed.Records) > 0 {
		cancel()
		<-done
		return confirmed, false, nil
	}
	<-done
	return page, true, err
}

// advance sets the offset to read from.
func (s *Subscriber) advance(next int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = next
}

// NextOffset returns the offset after the last record that was handled.
func (s *Subscriber) NextOffset() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

func (s *Subscriber) readAll(ctx context.Context) error {
	asked := s.clock()
	bounded, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	items, next, err := s.source.Newest(bounded)
	if err != nil {
		return err
	}
	s.advance(next)
	s.known = true
	s.handle(Change{Complete: true, Records: items})
	s.prove(asked, true)
	s.window.reset(next, asked)
	return nil
}

// prove records that everything written before the time was read.
func (s *Subscriber) prove(asked time.Duration, atEnd bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if atEnd {
		// A peer's proof may be older than one of the daemon's own.
		s.proof = max(s.proof, asked)
		s.proven = true
	}
}

// FailedWithin reports whether a read has failed within the time.
func (s *Subscriber) FailedWithin(within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing || s.hurt && s.clock()-s.failedAt < within
}

func (s *Subscriber) failed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing
}

// note records the result of a read and logs when the source is lost or back.
func (s *Subscriber) note(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if err != nil {
		s.hurt = true
		s.failedAt = s.clock()
	}
	failing := err != nil
	if failing == s.failing {
		return
	}
	s.failing = failing
	if failing {
		s.window.fail()
		s.logger.Warn("log cannot be read", "topic", s.name, "error", err, "proof_age", noter.Brief(s.clock()-s.proof))
		return
	}
	s.logger.Info("log can be read again", "topic", s.name, "offset", s.next)
}

// VerifiedAge returns how old the proof is that everything was read; ok is false
// before the first.
func (s *Subscriber) VerifiedAge() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock() - s.proof, s.proven
}

// Failing reports whether the latest read failed.
func (s *Subscriber) Failing() bool { return s.failed() }

// Reads returns the number of reads.
func (s *Subscriber) Reads() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
