package subscriber

import (
	"net"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/noter"
)

// recordVerifiedRead records that everything appended before sentAt has been
// read, if the read reached the end of the topic.
func (s *Subscriber) recordVerifiedRead(sentAt time.Duration, atEnd bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if atEnd {
		// A peer's verified read may be older than one of this daemon's own.
		s.verifiedAt = max(s.verifiedAt, sentAt)
		s.verified = true
	}
}

// SinceOutage returns the time since reads succeed again, and zero while they
// fail. It returns false if no read has failed. The first read of an epoch counts as the end of a
// failure.
func (s *Subscriber) SinceOutage() (elapsed time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return 0, true
	}
	return s.clock() - s.recoveredAt, s.hasRecovered
}

// endOutage counts the given time as the end of an outage: after a restore of the log, as after an
// outage, endpoints write their registrations again.
func (s *Subscriber) endOutage(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recoveredAt, s.hasRecovered = at, true
}

func (s *Subscriber) isFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing
}

// sinceFailure returns the time since reads began to fail. It is called only while they fail.
func (s *Subscriber) sinceFailure() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock() - s.failedAt
}

// recordResult records the result of a read. It logs when reads begin to fail
// and when they succeed again.
func (s *Subscriber) recordResult(err error) {
	if s.updateFailing(err) && isSilence(err) && !errors.Is(err, errInterrupted) && s.onSilence != nil {
		s.onSilence()
	}
}

// updateFailing reports whether reads begin to fail.
func (s *Subscriber) updateFailing(err error) (begins bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	failing := err != nil
	if failing == s.failing {
		return false
	}
	s.failing = failing
	if failing {
		s.failedAt = s.clock()
		s.window.markFailing(isSilence(err))
		s.logger.Warn("cannot read topic from the log", "topic", s.name, "error", err, "proof_age", noter.FormatDuration(s.clock()-s.verifiedAt))
		return true
	}
	s.recoveredAt, s.hasRecovered = s.clock(), true
	s.logger.Info("reads of topic succeed again", "topic", s.name, "offset", s.nextOffset)
	return false
}

// isSilence reports whether a read failed because no response came, so that the next one may
// also take long to fail.
func isSilence(err error) bool {
	timeout, ok := errors.Into[net.Error](err)
	return ok && timeout.Timeout() || errors.Is(err, errInterrupted)
}

// VerifiedAge returns the time since the last verified read. It returns false if
// there has been none.
func (s *Subscriber) VerifiedAge() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock() - s.verifiedAt, s.verified
}

// Failing reports whether the latest read failed.
func (s *Subscriber) Failing() bool { return s.isFailing() }

// Reads returns the number of reads, including failed ones.
func (s *Subscriber) Reads() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}
