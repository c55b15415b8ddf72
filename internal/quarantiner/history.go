package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxPartHistories bounds the parts of which a daemon that starts must learn. Parts that crash
	// endpoints are few; sound ones are served between two crashes.
	maxPartHistories = 64
	// minHistoryCrashes is the number of crashes from which on a part has a history. One that is in
	// fewer may be a rival of one that is in more.
	minHistoryCrashes = minCrashes - 1
)

// Subject is what may crash endpoints: a part of a prompt by its id, or a request as a whole by its
// digest.
type Subject struct {
	ID    uint64
	Whole bool
}

// History is what is known of a subject.
type History struct {
	Subject
	Crashes []Crash
	// Trials holds when a daemon sent the request as a trial, by daemon.
	Trials map[string]time.Time
}

// Histories returns what daemons must still know after all of them have started anew: that of the
// quarantined requests and parts, and of the parts that a few more crashes may quarantine.
func (q *Quarantine) Histories() []History {
	q.mu.Lock()
	defer q.mu.Unlock()
	var histories []History
	for _, r := range q.requests {
		if r.quarantined {
			histories = append(histories, r.history())
		}
	}
	for _, s := range q.gravestSuspects() {
		histories = append(histories, s.history())
	}
	return histories
}

// gravestSuspects returns the parts that are quarantined or in several crashes, at most
// maxPartHistories: the quarantined ones first, then those with the most crashes.
func (q *Quarantine) gravestSuspects() []*suspect {
	var grave []*suspect
	for _, s := range q.suspects {
		if s.quarantined || len(s.crashes) >= minHistoryCrashes {
			grave = append(grave, s)
		}
	}
	slices.SortFunc(grave, func(a, b *suspect) int {
		return cmp.Or(compareBools(b.quarantined, a.quarantined), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.id, b.id))
	})
	return grave[:min(len(grave), maxPartHistories)]
}

func (r *request) history() History {
	history := History{Subject: Subject{ID: r.digest, Whole: true}, Trials: maps.Clone(r.trials)}
	for endpoint, at := range r.crashes {
		history.Crashes = append(history.Crashes, Crash{Part: r.digest, Whole: true, Known: true, Endpoint: endpoint, At: at})
	}
	return history
}

func (s *suspect) history() History {
	history := History{Subject: Subject{ID: s.id}}
	record := &Record{Quarantined: s.quarantined, ServedBefore: s.servedBefore}
	for endpoint, at := range s.crashes {
		history.Crashes = append(history.Crashes, Crash{Part: s.id, Place: s.place, Endpoint: endpoint, Begun: s.begun[endpoint], At: at, Record: record})
	}
	return history
}
