// Package subscriber follows a topic of keyed records and keeps the newest
// record of each key. It tracks the time of its last verified read, that is the
// last read that reached the end of the topic.
package subscriber

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/sleeper"
)

// Clock returns the time since a fixed moment. It keeps counting while the host
// is suspended.
type Clock func() time.Duration

const (
	// DefaultSlack is how long a response may take beyond the requested wait, if the
	// timing does not say. A silent connection is detected after this time.
	DefaultSlack = 700 * time.Millisecond
	// newestTimeout bounds one read of all keys.
	newestTimeout = 1500 * time.Millisecond
	// unreadPause is the pause after a read for which the peer was not ready, maxUnread
	// the number of such reads in a row before the log is read.
	unreadPause = 300 * time.Millisecond
	maxUnread   = 3
	// minBackoff and maxBackoff bound the pause after a failed read.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// maxFollowedPause bounds the pause of a topic after a failed read while reads of the
	// topic that it follows fail too, recoveryInterval is how often it looks whether they
	// still do.
	maxFollowedPause = 2 * time.Second
	recoveryInterval = 50 * time.Millisecond
)

// Subscriber follows one topic. It is safe for concurrent use, except that only
// one call of Run may be active.
type Subscriber struct {
	name   string
	source Source
	timing ReadTiming
	clock  Clock
	handle func(Change)
	logger hclog.Logger
	// peer is read before the source. It is nil if there is none.
	peer   Peer
	window *window

	// followed is the topic whose reads show for this one, too, when the log is back. It is
	// nil if there is none.
	followed *Subscriber

	// unreadCount is the number of reads in a row for which the peer was not ready.
	// Only Run uses it.
	unreadCount int
	// afterPeer is set while the latest read was from the peer. Only Run uses it.
	afterPeer bool
	// recheck makes a read from the peer that is in progress be backed by one of the log.
	recheck chan struct{}
	// gaps tells how far records are usually apart. Only Run uses it.
	gaps recordGaps
	// initialised is set once all keys have been read and nextOffset is valid. Only
	// Run uses it.
	initialised bool
	// hasRead is set once all keys have been read for the first time. Only Run uses it.
	hasRead bool
	// lost holds the keys of which the log has lost the newest record in a restore, holdUntil
	// is when the log counts as it stands for them, or 0 if there are none. Only Run uses them.
	lost      map[string]bool
	holdUntil time.Duration
	lostCount atomic.Int64
	// onSilence is called when reads begin to fail because no response comes. It is nil if
	// there is nothing to do.
	onSilence func()

	mu sync.Mutex
	// nextOffset is the offset of the next read, epoch that of the log.
	nextOffset int64
	epoch      Epoch
	// verifiedAt is the time of the last verified read: everything appended before
	// it has been read. It is valid if verified is set.
	verifiedAt time.Duration
	verified   bool
	// failing is set while the latest read has failed.
	failing bool
	// failedAt is when reads began to fail. It is valid if failing is set.
	failedAt time.Duration
	reads    uint64
	// recoveredAt is the time of the first read that succeeded after the last failed
	// one. It is valid if hasRecovered is set.
	recoveredAt  time.Duration
	hasRecovered bool
	// restoredAt is when the log's last restore was noticed, by this daemon or, if it has started
	// since, by its peer. It is valid if hasRestored is set.
	restoredAt  time.Duration
	hasRestored bool
	// interrupt ends the read that is waiting for records. It is nil if there is none.
	interrupt context.CancelCauseFunc
}

// ReadTiming configures the timing of a subscriber's reads.
type ReadTiming struct {
	// Wait is how long a read waits for records.
	Wait time.Duration
	// BatchDelay is the pause after a read that returned records, so that the
	// records of many writers share one read. Without it, each record would cost
	// one read by every subscriber.
	BatchDelay time.Duration
	// ConfirmAfter is the time after which a waiting read is backed by a second
	// read that does not wait; 0 disables it. A read that reaches the log while a
	// record is being appended may miss that record until its wait is over.
	ConfirmAfter time.Duration
	// ConfirmEvery is the time between further such reads, which are made only while records
	// usually come more often: a read that waits for so long may hang. 0 disables them.
	ConfirmEvery time.Duration
	// Slack is how long a response may take beyond the requested wait; 0 means
	// DefaultSlack.
	Slack time.Duration
}

// slack returns how long a response may take beyond the requested wait. Reads that do not
// wait are repeated after a failure, so a shorter time would only make more of them.
func (t ReadTiming) slack(wait time.Duration) time.Duration {
	if t.Slack > 0 && wait > 0 {
		return t.Slack
	}
	return DefaultSlack
}

// maxLag returns the largest lag of a peer that reads without failures: a read that
// returned records counts from when it was sent, and the batch delay follows it.
func (t ReadTiming) maxLag() time.Duration { return t.Wait + t.BatchDelay + t.slack(t.Wait) }

// New returns a subscriber of the named topic. Run calls handle with one change
// at a time.
func New(name string, source Source, timing ReadTiming, clock Clock, handle func(Change), logger hclog.Logger) *Subscriber {
	return &Subscriber{name: name, source: source, timing: timing, clock: clock, handle: handle, logger: logger, window: newWindow(), recheck: make(chan struct{}, 1)}
}

// SetPeer makes the subscriber read from a peer first, and from the log only if
// the peer fails or is stale. It must be called before Run.
func (s *Subscriber) SetPeer(peer Peer) { s.peer = peer }

// OnSilence sets a function that is called when reads begin to fail because no response comes,
// other than by Interrupt. It must be called before Run.
func (s *Subscriber) OnSilence(handle func()) { s.onSilence = handle }

// FollowOutages lets another topic's reads show when the log is back: while its reads and this
// topic's fail, this topic is read less often. In an outage of the log all daemons would otherwise
// read all topics again and again. It must be called before Run.
func (s *Subscriber) FollowOutages(of *Subscriber) { s.followed = of }

// errInterrupted is the error of a read that Interrupt has ended.
var errInterrupted = errors.New("reads of another topic get no response; the connection may be silent")

// Interrupt ends a read of the log that is waiting for records, as a failure. When reads of
// another topic get no response, that to this one may never come either, and it would be missed
// only after the whole wait.
func (s *Subscriber) Interrupt() {
	s.mu.Lock()
	interrupt := s.interrupt
	s.mu.Unlock()
	if interrupt != nil {
		interrupt(errInterrupted)
	}
}

func (s *Subscriber) setInterrupt(interrupt context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupt = interrupt
}

// Name returns the name of the topic.
func (s *Subscriber) Name() string { return s.name }

// RecordsFrom returns the records that the subscriber has read from a position
// on, and the age of its last verified read. It waits until there are records,
// a newer verified read, or the wait is over. It returns ErrUnread, ErrFailing
// or ErrExpired if it cannot serve the records, and the error of ctx if that ends
// first.
func (s *Subscriber) RecordsFrom(ctx context.Context, from Position, wait time.Duration) (Page, time.Duration, error) {
	page, verifiedAt, err := s.window.recordsFrom(ctx, from, wait)
	return page, s.clock() - verifiedAt, err
}

// Snapshot returns the newest records of all keys that the subscriber has read. It
// waits until it has read them, but not longer than the given time. It returns
// ErrUnread or ErrFailing if it cannot serve them, and the error of ctx if that ends
// first.
func (s *Subscriber) Snapshot(ctx context.Context, wait time.Duration) (Snapshot, error) {
	snapshot, err := s.window.snapshot(ctx, wait)
	snapshot.SinceRestore = s.sinceRestore()
	return snapshot, err
}

// CoversFrom reports whether RecordsFrom can serve the records from a position on.
func (s *Subscriber) CoversFrom(from Position) bool { return s.window.coversFrom(from) }

// Run follows the topic until ctx ends, and returns the error of ctx.
func (s *Subscriber) Run(ctx context.Context) error {
	defer s.window.markUnread()
	backoff := minBackoff
	for ctx.Err() == nil {
		received, err := s.readOnce(ctx)
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errPeerUnready) {
			backoff = minBackoff
			continue
		}
		s.recordResult(err)
		if err == nil {
			backoff = minBackoff
			if received && s.timing.BatchDelay > 0 {
				sleeper.Sleep(ctx, s.timing.BatchDelay)
			}
			continue
		}
		sleeper.Sleep(ctx, s.failurePause(backoff))
		s.awaitRecovery(ctx)
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

// failurePause returns the pause after a failed read: a random part of the backoff, but so that a
// read is made graceRead after reads began to fail.
func (s *Subscriber) failurePause(backoff time.Duration) time.Duration {
	pause := time.Duration((0.5 + rand.Float64()/2) * float64(backoff))
	if untilRead := graceRead - s.sinceFailure(); untilRead > 0 {
		pause = min(pause, untilRead)
	}
	return pause
}

// awaitRecovery waits while reads of the followed topic fail, for maxFollowedPause at most: they
// may fail for a reason of their own.
func (s *Subscriber) awaitRecovery(ctx context.Context) {
	if s.followed == nil {
		return
	}
	for startedAt := s.clock(); s.followed.isFailing() && s.clock()-startedAt < maxFollowedPause && ctx.Err() == nil; {
		sleeper.Sleep(ctx, recoveryInterval)
	}
}

// errPeerUnready is the error of a read for which the peer was not ready. It has paused, and is to be
// repeated. It says nothing about the log.
var errPeerUnready = errors.New("peer is not ready yet")

// readOnce makes one read. It reports whether records were received that should
// be followed by the batch delay.
func (s *Subscriber) readOnce(ctx context.Context) (received bool, err error) {
	if !s.initialised || s.isHolding() && !s.holds() {
		return true, s.readNewest(ctx)
	}
	if done, err := s.readPeer(ctx); done {
		return false, err
	}
	sentAt := s.clock()
	wait := s.timing.Wait
	if s.isFailing() || s.afterPeer {
		// The first read after a failure, or after those of the peer, does not wait, so
		// that it becomes a verified read at once.
		wait = 0
	}
	if s.isHolding() {
		// The hold may have ended during the read from the peer.
		wait = max(0, min(wait, s.holdUntil-s.clock()))
	}
	s.afterPeer = false
	page, waited, err := s.readSource(ctx, wait)
	if errors.Is(err, ErrExpired) {
		s.logger.Info("records expired before they were read; reading all keys", "topic", s.name, "offset", s.nextOffset)
		s.initialised = false
		return false, nil
	}
	if err == nil {
		err = s.checkEpoch(page.Epoch)
	}
	if errors.Is(err, errRestored) {
		s.initialised = false
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if len(page.Records) == 0 && waited && s.clock()-sentAt >= wait {
		// An empty response after the full wait shows that no record was appended
		// during the wait.
		sentAt += wait
	}
	s.applyPage(page, sentAt)
	return len(page.Records) > 0, nil
}

// readPeer applies a page from the peer. It returns false if the log must be
// read instead, and errPeerUnready if the peer is not ready.
func (s *Subscriber) readPeer(ctx context.Context) (done bool, err error) {
	if s.peer == nil {
		return false, nil
	}
	sentAt := s.clock()
	wait := MaxPeerWait
	if s.isFailing() {
		// As for a read of the log: the failure would last until the wait is over.
		wait = 0
	}
	page, lag, checked, err := s.readPeerChecked(ctx, wait)
	if checked {
		return true, nil
	}
	if err == nil {
		err = s.checkEpoch(page.Epoch)
	}
	if errors.Is(err, ErrExpired) || errors.Is(err, errRestored) {
		// The peer has all keys, but no longer the records since this position.
		s.initialised = false
		return true, nil
	}
	if s.awaitPeer(ctx, err) {
		return true, errPeerUnready
	}
	if err != nil {
		if !errors.Is(err, ErrNoPeer) {
			s.logger.Debug("cannot read topic from peer; reading the log", "topic", s.name, "error", err)
		}
		return false, nil
	}
	if lag > s.timing.maxLag() {
		s.logger.Warn("peer's last verified read is too old; reading the log", "topic", s.name, "lag", noter.FormatDuration(lag))
		return false, nil
	}
	s.applyPage(page, sentAt-lag)
	s.afterPeer = true
	return true, nil
}

// awaitPeer pauses if the peer is not ready: it has just started, follows the topic a moment later
// or shorter than this daemon, or does not know yet that the log was restored. It returns false if
// the peer is ready, has failed or was not ready too often.
func (s *Subscriber) awaitPeer(ctx context.Context, err error) bool {
	isUnready := errors.Is(err, ErrUnread) || errors.Is(err, errBeforeRestore)
	if !isUnready || s.unreadCount >= maxUnread {
		s.unreadCount = 0
		return false
	}
	s.unreadCount++
	sleeper.Sleep(ctx, unreadPause)
	return true
}

// applyPage passes the records of a page to the handler. If the page reaches
// the end of the topic, every record appended before verifiedAt has been read.
func (s *Subscriber) applyPage(page Page, verifiedAt time.Duration) {
	next := s.setNext(Position{Epoch: page.Epoch, Offset: page.Next})
	s.gaps.add(len(page.Records), s.clock())
	for _, err := range page.Invalid {
		s.logger.Warn("invalid record in topic", "topic", s.name, "error", err)
	}
	stampEpoch(page.Records, next.Epoch)
	s.recordRewritten(page.Records)
	if len(page.Records) > 0 {
		s.handle(Change{Records: page.Records, Next: next.Offset, Epoch: next.Epoch})
	}
	atEnd := page.Next >= page.End
	s.recordVerifiedRead(verifiedAt, atEnd)
	if atEnd {
		s.window.appendRecords(page.Records, next, verifiedAt)
	} else {
		s.window.skipTo(page.Records, next, verifiedAt)
	}
}

// readSource makes one read of the source, backed by a second read that does not
// wait. It returns waited as false if the page is from the second read.
func (s *Subscriber) readSource(ctx context.Context, wait time.Duration) (page Page, waited bool, err error) {
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	if wait > 0 {
		s.setInterrupt(interrupt)
		defer s.setInterrupt(nil)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+s.timing.slack(wait))
	defer cancel()
	if s.timing.ConfirmAfter <= 0 || wait <= s.timing.ConfirmAfter {
		page, err = s.source.Read(ctx, s.nextOffset, wait)
		waited = true
	} else {
		page, waited, err = s.readConfirmed(ctx, cancel, wait)
	}
	return page, waited, interruption(ctx, err)
}

// interruption returns errInterrupted in place of an error that Interrupt has caused.
func interruption(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errInterrupted) {
		return errInterrupted
	}
	return err
}

// readConfirmed makes a read that waits, and others that do not while the first one waits: one soon, and
// one after each ConfirmEvery. If one of them has records, is of another epoch or gets no response, it
// ends the first one, by cancel.
func (s *Subscriber) readConfirmed(ctx context.Context, cancel context.CancelFunc, wait time.Duration) (page Page, waited bool, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		page, err = s.source.Read(ctx, s.nextOffset, wait)
	}()
	timer := time.NewTimer(s.timing.ConfirmAfter)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return page, true, err
		case <-timer.C:
		}
		confirmSentAt := s.clock()
		confirmed, confirmErr := s.confirm(ctx)
		if isSilence(confirmErr) || len(confirmed.Records) > 0 || confirmErr == nil && s.checkEpoch(confirmed.Epoch) != nil {
			cancel()
			<-done
			return confirmed, false, confirmErr
		}
		if confirmErr == nil {
			// The waiting read counts only from its own start, so other daemons would take
			// this one for outdated during a long wait.
			s.applyPage(confirmed, confirmSentAt)
		}
		if !s.gaps.isUnusual(s.timing.ConfirmEvery, s.clock()) {
			<-done
			return page, true, err
		}
		timer.Reset(s.timing.ConfirmEvery)
	}
}

// confirm makes a read that does not wait.
func (s *Subscriber) confirm(ctx context.Context) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.slack(0))
	defer cancel()
	return s.source.Read(ctx, s.nextOffset, 0)
}

// setNext sets the position of the next read and returns it. Its epoch stays if the response
// named none, as those of daemons of an earlier version do.
func (s *Subscriber) setNext(next Position) Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextOffset, s.epoch = next.Offset, max(s.epoch, next.Epoch)
	return Position{Epoch: s.epoch, Offset: s.nextOffset}
}

// Next returns the position after the last record that was handled.
func (s *Subscriber) Next() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Position{Epoch: s.epoch, Offset: s.nextOffset}
}
