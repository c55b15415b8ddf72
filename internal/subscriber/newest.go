package subscriber

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// readNewest reads the newest record of every key, from the peer if it has them.
func (s *Subscriber) readNewest(ctx context.Context) error {
	if done, err := s.readPeerNewest(ctx); done {
		return err
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

// readPeerNewest applies the newest records from the peer. It returns false if the log must be read
// instead, and errPeerUnready if the peer has not read them since the log was restored.
func (s *Subscriber) readPeerNewest(ctx context.Context) (done bool, err error) {
	if s.peer == nil {
		return false, nil
	}
	sentAt := s.clock()
	snapshot, lag, err := s.peer.Newest(ctx, s.name)
	if err == nil {
		err = s.checkPeerSnapshot(snapshot)
	}
	if errors.Is(err, errBeforeRestore) && s.awaitPeer(ctx, err) {
		return true, errPeerUnready
	}
	if err != nil && !errors.Is(err, errRestored) {
		if !errors.Is(err, ErrNoPeer) {
			s.logger.Debug("cannot read all keys from peer; reading the log", "topic", s.name, "error", err)
		}
		return false, nil
	}
	s.applyNewest(snapshot, sentAt-lag)
	s.afterPeer = true
	return true, nil
}

// Errors of a peer's snapshot that is not applied.
var (
	// errPeerBehind is the error of one that ends before this daemon's position.
	errPeerBehind = errors.New("peer has read less of the topic")
	// errHeldTooLong is the error of one that holds what the log has lost although the hold is
	// over. It lacks what the log shows instead.
	errHeldTooLong = errors.New("peer still holds what the log has lost")
)

// checkPeerSnapshot returns an error unless the snapshot continues what has been read.
func (s *Subscriber) checkPeerSnapshot(snapshot Snapshot) error {
	if snapshot.Next.Epoch != 0 && snapshot.Next.Epoch == s.epoch && snapshot.Next.Offset < s.nextOffset {
		return errPeerBehind
	}
	if !s.hasRead && snapshot.SinceRestore >= holdTime && len(lostKeys(snapshot.Records, snapshot.Next.Epoch)) > 0 {
		return errHeldTooLong
	}
	return s.checkEpoch(snapshot.Next.Epoch)
}

// applyNewest applies the newest records of all keys. Every record appended before verifiedAt has
// been read. After a restore of the log they are merged with what is known until the hold is over.
func (s *Subscriber) applyNewest(snapshot Snapshot, verifiedAt time.Duration) {
	from := s.Next()
	isRestored := from.Epoch.before(snapshot.Next.Epoch)
	snapshot.Next.Epoch = max(from.Epoch, snapshot.Next.Epoch)
	stampEpoch(snapshot.Records, snapshot.Next.Epoch)
	s.initialised = true
	lost := lostKeys(snapshot.Records, snapshot.Next.Epoch)
	switch {
	case !s.hasRead:
		s.loadFirst(snapshot, lost, verifiedAt)
	case isRestored || s.holds() || !s.isHolding() && len(lost) > 0:
		s.mergeNewest(from, snapshot, verifiedAt)
	case len(lost) > 0:
		// The log counts from now on, but the peer does not show it yet.
		s.holdUntil = s.clock() + holdRetry
	default:
		s.loadNewest(snapshot, verifiedAt)
		s.endHold()
	}
}

// stampEpoch sets the epoch of records that have none.
func stampEpoch(records []Record, epoch Epoch) {
	for i := range records {
		if records[i].Epoch == 0 {
			records[i].Epoch = epoch
		}
	}
}

// loadNewest passes the newest records of all keys to the handler, in place of all that was known.
func (s *Subscriber) loadNewest(snapshot Snapshot, verifiedAt time.Duration) {
	s.hasRead = true
	s.setNext(snapshot.Next)
	// A peer's snapshot holds deletions for some time after a restore.
	records := slices.DeleteFunc(slices.Clone(snapshot.Records), func(record Record) bool { return len(record.Value) == 0 })
	s.handle(Change{Complete: true, Records: records, Next: snapshot.Next.Offset, Epoch: snapshot.Next.Epoch})
	s.recordVerifiedRead(verifiedAt, true)
	s.window.load(byKey(snapshot.Records), snapshot.Next, verifiedAt)
}

// mergeNewest passes what is new in the newest records of all keys to the handler.
func (s *Subscriber) mergeNewest(from Position, snapshot Snapshot, verifiedAt time.Duration) {
	merged := s.window.merge(snapshot)
	s.setNext(snapshot.Next)
	isRestored := from.Epoch != snapshot.Next.Epoch
	if isRestored {
		s.logger.Info("log was restored from an older copy; what it has lost stays for a while", "topic", s.name, "epoch", uint64(snapshot.Next.Epoch), "epoch_before", uint64(from.Epoch),
			"offset", snapshot.Next.Offset, "offset_before", from.Offset, "new", len(merged.changed), "lost", len(merged.lost))
		restoredAt := s.clock()
		s.endOutage(restoredAt)
		s.recordRestore(restoredAt)
	}
	s.setLost(merged.lost, isRestored)
	s.handle(Change{Records: merged.changed, Next: snapshot.Next.Offset, Epoch: snapshot.Next.Epoch, Lost: merged.lost})
	s.recordVerifiedRead(verifiedAt, true)
	s.window.load(merged.newest, snapshot.Next, verifiedAt)
}

// loadFirst loads the first newest records of a daemon that starts. If its peer shows what the log
// has lost, the daemon's hold ends with that of the peer: daemons that start one after the other
// would otherwise hold it on and on.
func (s *Subscriber) loadFirst(snapshot Snapshot, lost []string, verifiedAt time.Duration) {
	restoredAt := s.clock() - snapshot.SinceRestore
	if snapshot.SinceRestore > 0 || len(lost) > 0 {
		s.recordRestore(restoredAt)
	}
	s.loadNewest(snapshot, verifiedAt)
	if len(lost) == 0 {
		return
	}
	s.endOutage(restoredAt)
	s.setLost(lost, true)
	s.holdUntil = restoredAt + holdTime
	s.handle(Change{Next: snapshot.Next.Offset, Epoch: snapshot.Next.Epoch, Lost: lost})
}
