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
	s.applyNewest(snapshot, sentAt)
	return nil
}

// readPeerNewest applies the newest records from the peer. It returns false if the
// log must be read instead.
func (s *Subscriber) readPeerNewest(ctx context.Context) (ok bool) {
	if s.peer == nil {
		return false
	}
	sentAt := s.clock()
	snapshot, lag, err := s.peer.Newest(ctx, s.name)
	if err != nil {
		if !errors.Is(err, ErrNoPeer) {
			s.logger.Debug("cannot read all keys from peer; reading the log", "topic", s.name, "error", err)
		}
		return false
	}
	s.applyNewest(snapshot, sentAt-lag)
	s.afterPeer = true
	return true
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
