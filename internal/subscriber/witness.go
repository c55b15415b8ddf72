package subscriber

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/sleeper"
)

const (
	// witnessWait is how long a read beside the peer waits for records: the longest that the log
	// allows, so that it adds few calls.
	witnessWait = 30 * time.Second
	// witnessPause is the pause after such a read that failed, and the time for which a daemon
	// must be the witness before the first one: after a start, many daemons know too few others.
	witnessPause = 5 * time.Second
	// witnessInterval is how often a daemon looks whether it is the witness.
	witnessInterval = time.Second
	// witnessGrace is how much longer than a peer's pause after records the peer may take to pass
	// on what the log has.
	witnessGrace = 100 * time.Millisecond
	// behindGrace is how long a read may go on after another daemon has read more, behindSlack
	// bounds the read that follows it.
	behindGrace = 100 * time.Millisecond
	behindSlack = 300 * time.Millisecond
	// positionInterval is how often the position is compared with that of the log.
	positionInterval = 50 * time.Millisecond
)

// Witness reads the log beside the peer while isWitness returns true, until ctx ends, and returns
// the error of ctx. A peer whose reads of this topic alone get no response looks like one that has
// nothing to pass on. If the peer does not pass on what the log has, the next read is from the log,
// and the one after it tells the peer, which then knows that its own read hangs.
func (s *Subscriber) Witness(ctx context.Context, isWitness func() bool) error {
	for ctx.Err() == nil {
		if !s.awaitWitness(ctx, isWitness) {
			continue
		}
		for ctx.Err() == nil && isWitness() {
			if !s.witnessOnce(ctx) {
				sleeper.Sleep(ctx, witnessPause)
			}
		}
	}
	return ctx.Err()
}

// awaitWitness reports whether this daemon is the witness for witnessPause.
func (s *Subscriber) awaitWitness(ctx context.Context, isWitness func() bool) bool {
	for startedAt := s.clock(); s.clock()-startedAt < witnessPause; {
		sleeper.Sleep(ctx, witnessInterval)
		if ctx.Err() != nil || !isWitness() {
			return false
		}
	}
	return true
}

// witnessOnce makes one read of the log and compares what the peer passes on with it. It returns
// false if the read tells nothing.
func (s *Subscriber) witnessOnce(ctx context.Context) bool {
	from := s.Next()
	if !s.CoversFrom(from) {
		return false
	}
	sentAt := s.clock()
	bounded, cancel := context.WithTimeout(ctx, witnessWait+defaultSlack)
	defer cancel()
	page, err := s.source.Read(bounded, from.Offset, witnessWait)
	if err != nil || page.Epoch != from.Epoch {
		return false
	}
	if page.Next <= from.Offset {
		return s.clock()-sentAt >= witnessWait
	}
	seenAt := s.clock()
	if s.awaitPosition(ctx, Position{Epoch: page.Epoch, Offset: page.Next}) {
		return true
	}
	s.logger.Warn("zone reader does not pass on what the log has; reading the log", "topic", s.name, "offset", from.Offset, "log_offset", page.Next, "waited", noter.FormatDuration(s.clock()-seenAt))
	s.skipPeer()
	return false
}

// awaitPosition reports whether all records before a position are read in the time that a peer
// may take to pass them on.
func (s *Subscriber) awaitPosition(ctx context.Context, position Position) bool {
	deadline := s.clock() + s.timing.BatchDelay + witnessGrace
	for s.Next().isBehind(position) && s.clock() < deadline && ctx.Err() == nil {
		sleeper.Sleep(ctx, positionInterval)
	}
	return !s.Next().isBehind(position) || ctx.Err() != nil
}

// isBehind reports whether the position is before another one of the same epoch.
func (p Position) isBehind(other Position) bool {
	return p.Epoch == other.Epoch && p.Offset < other.Offset
}

// skipPeer makes the next read one of the log, and ends a read from the peer.
func (s *Subscriber) skipPeer() {
	s.mu.Lock()
	s.peerSkipped = true
	endRead := s.endPeerRead
	s.mu.Unlock()
	if endRead != nil {
		endRead()
	}
}

// setPeerRead sets the function that ends the read from the peer, or nil if there is none. It
// returns false if the peer must be skipped.
func (s *Subscriber) setPeerRead(end context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endPeerRead = end
	return !s.peerSkipped
}

// takePeerSkip reports whether the peer is skipped, and ends that.
func (s *Subscriber) takePeerSkip() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	skipped := s.peerSkipped
	s.peerSkipped = false
	return skipped
}

// errBehind is the error of a read that was ended because another daemon has read more.
var errBehind = errors.New("another daemon has read more; the read may hang")

// interruptBehind ends a read of the log that is waiting if another daemon has read more: the
// records should have ended it. It does so once for each position, because the log may have lost
// the records.
func (s *Subscriber) interruptBehind(other Position) {
	s.mu.Lock()
	interrupt := s.interrupt
	isDue := interrupt != nil && s.position().isBehind(other) && (s.behind.Epoch != other.Epoch || s.behind.isBehind(other))
	if isDue {
		s.behind = other
	}
	s.mu.Unlock()
	if isDue {
		interrupt(errBehind)
	}
}

// readBehind makes the read that follows one that was ended by errBehind. It does not wait, so no
// response shows that reads of this topic hang.
func (s *Subscriber) readBehind(ctx context.Context) (Page, error) {
	s.logger.Info("another daemon has read more; reading again", "topic", s.name, "offset", s.nextOffset)
	return s.readNow(ctx, behindSlack)
}
