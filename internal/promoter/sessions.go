package promoter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// seen is the newest run of a session.
type seen struct {
	version string
	at      time.Time
}

// maxSessions bounds the sessions that are remembered.
const maxSessions = 50_000

// Sessions remembers the version that each session ran on. It is not safe for
// concurrent use.
type Sessions struct {
	pause time.Duration
	runs  map[string]seen
}

// NewSessions returns a memory of sessions that end after the pause.
func NewSessions(pause time.Duration) *Sessions {
	return &Sessions{pause: pause, runs: map[string]seen{}}
}

// Ran records a run of a session.
func (s *Sessions) Ran(session, version string, now time.Time) {
	if session == "" || len(s.runs) >= maxSessions {
		return
	}
	s.runs[session] = seen{version, now}
}

// Version returns the version that the session ran on; empty when it has ended
// or is not known.
func (s *Sessions) Version(session string, now time.Time) string {
	known, ok := s.runs[session]
	if !ok || now.Sub(known.at) > s.pause {
		return ""
	}
	return known.version
}

// Ended records the end of a session's newest run: the pause counts from it.
func (s *Sessions) Ended(session string, now time.Time) {
	if known, ok := s.runs[session]; ok {
		s.runs[session] = seen{known.version, now}
	}
}

// Sweep forgets the sessions that have ended.
func (s *Sessions) Sweep(now time.Time) {
	for session, known := range s.runs {
		if now.Sub(known.at) > s.pause {
			delete(s.runs, session)
		}
	}
}

// Chosen reports whether a session is among the share that gets the new
// version. All daemons agree, and a larger share includes a smaller one.
func Chosen(session string, order Order, share float64) bool {
	digest := xxhash.New()
	_, _ = digest.WriteString(order.Target)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(session)
	const scale = 1 << 32
	return float64(digest.Sum64()%scale) < share*scale
}
