package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a part that requests had which were at a crashed endpoint.
type suspect struct {
	id uint64
	// place is the place of the part in the prompt, from 0.
	place int
	// crashes holds the times of the crashes by endpoint. begun are the endpoints that had
	// begun to respond.
	crashes map[string]time.Time
	begun   map[string]bool
	// servedBefore is set if requests with the part were served shortly before the first
	// crash.
	servedBefore bool
	quarantined  bool
	// onRecord is set while the part is known from records of the log alone.
	onRecord bool
	// causeSince is when the part was first taken for the cause of its crashes. It is zero
	// if it is not.
	causeSince time.Time
	// trialAt is when this daemon last sent a request with the part as a trial.
	trialAt time.Time
	// soundReportedAt is when this daemon last reported that the part is sound.
	soundReportedAt time.Time
}

// firstCrash and lastCrash return the times of the first and the last crash.
func (s *suspect) firstCrash() time.Time { return slices.MinFunc(s.times(), time.Time.Compare) }
func (s *suspect) lastCrash() time.Time  { return slices.MaxFunc(s.times(), time.Time.Compare) }

func (s *suspect) times() []time.Time {
	times := make([]time.Time, 0, len(s.crashes))
	for _, at := range s.crashes {
		times = append(times, at)
	}
	return times
}

// nextTrial returns when the next trial is due. The time between the first and the last
// crash grows with each trial that fails.
func (s *suspect) nextTrial() time.Time {
	last := s.lastCrash()
	due := last.Add(max(trialDelay, 2*last.Sub(s.firstCrash())))
	if tried := s.trialAt.Add(trialDelay); tried.After(due) {
		return tried
	}
	return due
}

// unexplained returns the moments of the crashes that are not in the set.
func (s *suspect) unexplained(explained map[string]bool) map[moment]bool {
	moments := map[moment]bool{}
	for endpoint, at := range s.crashes {
		if !explained[endpoint] {
			moments[momentOf(at)] = true
		}
	}
	return moments
}

// moment is a short time in which endpoints that crash count as one crash, since a fault of
// many endpoints, unlike a request, crashes them at once.
type moment int64

// momentLength is the length of a moment.
const momentLength = 100 * time.Millisecond

func momentOf(at time.Time) moment { return moment(at.UnixNano() / int64(momentLength)) }

// isDominated reports whether another part explains all crashes of this one, and more. An
// earlier part of the prompt may be in more crashes because other requests share it.
func (s *suspect) isDominated(other *suspect) bool {
	return !other.servedBefore && other.place >= s.place && len(other.crashes) > len(s.crashes) && len(other.begun) >= len(s.begun) && len(s.unexplained(asSet(other.crashes))) == 0
}

func asSet(crashes map[string]time.Time) map[string]bool {
	set := make(map[string]bool, len(crashes))
	for endpoint := range crashes {
		set[endpoint] = true
	}
	return set
}

// isRival reports whether another part may rather cause the crashes of this one: it is
// later in the prompt and in nearly as many of them.
func (s *suspect) isRival(other *suspect) bool {
	if other.place <= s.place || other.servedBefore {
		return false
	}
	shared, begun := 0, 0
	for endpoint := range s.crashes {
		if _, ok := other.crashes[endpoint]; ok {
			shared++
		}
		if other.begun[endpoint] {
			begun++
		}
	}
	return shared >= minCrashes-1 && begun > 0
}

// compareLikelihood orders the suspects, the likeliest causes first.
func compareLikelihood(a, b *suspect) int {
	return cmp.Or(
		compareBools(b.quarantined, a.quarantined),
		compareBools(a.servedBefore, b.servedBefore),
		cmp.Compare(b.place, a.place),
		cmp.Compare(len(b.begun), len(a.begun)),
		cmp.Compare(len(b.crashes), len(a.crashes)),
		cmp.Compare(a.id, b.id))
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
