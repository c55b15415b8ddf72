package subscriber

import "time"

const (
	// holdTime is how long what the log has lost in a restore stays known unless it is written
	// again. Operators and endpoints do so within a few seconds.
	holdTime = 10 * time.Second
	// holdRetry is the time until all keys are read again if a peer still holds lost ones.
	holdRetry = time.Second
)

// isHolding reports whether keys are lost.
func (s *Subscriber) isHolding() bool { return len(s.lost) > 0 }

// holds reports whether keys are lost and stay known.
func (s *Subscriber) holds() bool { return s.isHolding() && s.clock() < s.holdUntil }

// recordRestore records when the log's restore was noticed.
func (s *Subscriber) recordRestore(at time.Duration) {
	s.mu.Lock()
	s.restoredAt, s.hasRestored = at, true
	s.mu.Unlock()
	s.window.keepDeletions(at + holdTime)
}

// sinceRestore returns the time since the log's last restore was noticed, or 0 if none is known.
func (s *Subscriber) sinceRestore() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasRestored {
		return 0
	}
	return s.clock() - s.restoredAt
}

// setLost sets the lost keys. A hold begins, or begins again, if there are some.
func (s *Subscriber) setLost(lost []string, again bool) {
	wasHolding := s.isHolding()
	s.lost = map[string]bool{}
	for _, key := range lost {
		s.lost[key] = true
	}
	s.countLost()
	switch {
	case len(lost) == 0 && wasHolding:
		s.endHold()
	case len(lost) > 0 && (again || !wasHolding):
		s.holdUntil = s.clock() + holdTime
	}
}

// endHold ends the hold if there is one.
func (s *Subscriber) endHold() {
	if s.holdUntil == 0 {
		return
	}
	s.logger.Info("hold after the log's restore is over", "topic", s.name, "epoch", uint64(s.Epoch()), "offset", s.nextOffset, "still_lost", len(s.lost))
	s.lost, s.holdUntil = nil, 0
	s.countLost()
}

// recordRewritten records that records were written in the current epoch. The hold is over once no
// key is lost.
func (s *Subscriber) recordRewritten(records []Record) {
	if !s.isHolding() {
		return
	}
	for _, record := range records {
		delete(s.lost, record.Key)
	}
	s.countLost()
	if len(s.lost) == 0 {
		s.endHold()
	}
}

func (s *Subscriber) countLost() { s.lostCount.Store(int64(len(s.lost))) }

// LostKeys returns the number of keys of which the log has lost the newest record.
func (s *Subscriber) LostKeys() int { return int(s.lostCount.Load()) }

// Epoch returns the epoch of the log in which the topic was last read, or 0 if it is unknown.
func (s *Subscriber) Epoch() Epoch { return s.Next().Epoch }
