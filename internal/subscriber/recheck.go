package subscriber

import (
	"context"
	"time"
)

// Recheck makes a read from the peer that is in progress be backed by one of the log that does not wait:
// the peer may have failed, and what it has not passed on is missed until that is certain.
func (s *Subscriber) Recheck() {
	select {
	case s.recheck <- struct{}{}:
	default:
	}
}

// peerRead is the result of a read from the peer.
type peerRead struct {
	page Page
	lag  time.Duration
	err  error
}

// readPeerChecked makes a read from the peer. If a recheck is asked for meanwhile and finds the log ahead
// of this daemon, it ends the read and applies the records; checked is set then.
func (s *Subscriber) readPeerChecked(ctx context.Context, wait time.Duration) (page Page, lag time.Duration, checked bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan peerRead, 1)
	go func() {
		page, lag, err := s.peer.Read(ctx, s.name, s.Next(), wait)
		done <- peerRead{page, lag, err}
	}()
	for {
		select {
		case read := <-done:
			return read.page, read.lag, false, read.err
		case <-s.recheck:
		}
		sentAt := s.clock()
		confirmed, err := s.confirm(ctx)
		if err != nil || s.checkEpoch(confirmed.Epoch) != nil {
			// The peer's failure, or the restore, is noticed as usual.
			continue
		}
		if confirmed.Next == s.Next().Offset {
			s.applyPage(confirmed, sentAt)
			// If the peer fails now, the log has just been read.
			s.afterPeer = false
			continue
		}
		cancel()
		<-done
		s.logger.Info("the log is ahead of the peer", "topic", s.name, "records", len(confirmed.Records))
		s.applyPage(confirmed, sentAt)
		s.afterPeer = false
		return Page{}, 0, true, nil
	}
}
