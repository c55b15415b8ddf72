package subscriber

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// readNewest reads the newest record of every key, from the peer if it has them.
func (s *Subscriber) readNewest(ctx context.Context) error {
	if s.readPeerNewest(ctx) {
		return nil
	}
	sentAt := s.clock()
	bounded, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	snapshot, err := s.source.Newest(bounded)
	if err != nil {
		return err
	}
	if err := s.checkEpoch(snapshot.Next.Epoch); errors.Is(err, errBeforeRestore) {
		return err
	}
	s.applyNewest(snapshot, sentAt)
	return nil
}

// readPeerNewest applies the newest records from the peer, or pauses if the peer has not read
// them since the log was restored. It returns false if the log must be read instead.
func (s *Subscriber) readPeerNewest(ctx context.Context) (ok bool) {
	if s.peer == nil {
		return false
	}
	sentAt := s.clock()
	snapshot, lag, err := s.peer.Newest(ctx, s.name)
	if err == nil {
		err = s.checkPeerSnapshot(snapshot)
	}
	if errors.Is(err, errBeforeRestore) && s.awaitPeer(ctx, err) {
		return true
	}
	if err != nil && !errors.Is(err, errRestored) {
		if !errors.Is(err, ErrNoPeer) {
			s.logger.Debug("cannot read all keys from peer; reading the log", "topic", s.name, "error", err)
		}
		return false
	}
	s.applyNewest(snapshot, sentAt-lag)
	s.afterPeer = true
	return true
}

// errPeerBehind is the error of a peer's snapshot that ends before this daemon's position.
var errPeerBehind = errors.New("peer has read less of the topic")

// checkPeerSnapshot returns an error unless the snapshot continues what has been read.
func (s *Subscriber) checkPeerSnapshot(snapshot Snapshot) error {
	if snapshot.Next.Epoch != 0 && snapshot.Next.Epoch == s.epoch && snapshot.Next.Offset < s.nextOffset {
		return errPeerBehind
	}
	return s.checkEpoch(snapshot.Next.Epoch)
}

// applyNewest passes the newest records of all keys to the handler. Every record
// appended before verifiedAt has been read.
func (s *Subscriber) applyNewest(snapshot Snapshot, verifiedAt time.Duration) {
	next := s.setNext(snapshot.Next)
	s.initialised = true
	s.handle(Change{Complete: true, Records: snapshot.Records, Next: next.Offset, Epoch: next.Epoch})
	s.recordVerifiedRead(verifiedAt, true)
	s.window.load(snapshot.Records, next, verifiedAt)
}
