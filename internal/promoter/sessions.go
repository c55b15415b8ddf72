package promoter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// seen is the newest run of a session.
type seen struct {
	version string
	// at is the newest start or end of a run.
	at      time.Time
	running int
}

func (s seen) over(now time.Time, pause time.Duration) bool {
	return s.running == 0 && now.Sub(s.at) > pause
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

// SetVersion records the version that a session's request is to run on.
func (s *Sessions) SetVersion(session, version string, now time.Time) {
	known, ok := s.runs[session]
	if session == "" || !ok && len(s.runs) >= maxSessions {
		return
	}
	s.runs[session] = seen{version, now, known.running}
}

// RequestStarted records that a session's request has come, Left that it has ended: the
// pause counts from there.
func (s *Sessions) RequestStarted(session string, now time.Time) { s.count(session, 1, now) }

// RequestEnded records that a session's request has ended.
func (s *Sessions) RequestEnded(session string, now time.Time) { s.count(session, -1, now) }

func (s *Sessions) count(session string, change int, now time.Time) {
	known, ok := s.runs[session]
	if session == "" || !ok && (change < 0 || len(s.runs) >= maxSessions) {
		return
	}
	s.runs[session] = seen{known.version, now, max(0, known.running+change)}
}

// Version returns the version that the session ran on; empty when it has ended
// or is not known.
func (s *Sessions) Version(session string, now time.Time) string {
	known, ok := s.runs[session]
	if !ok || known.over(now, s.pause) {
		return ""
	}
	return known.version
}

// Sweep forgets the sessions that have ended.
func (s *Sessions) Sweep(now time.Time) {
	for session, known := range s.runs {
		if known.over(now, s.pause) {
			delete(s.runs, session)
		}
	}
}

// OldVersionDigests returns the digests of the sessions that are among the share but run on
// another version than the order's.
func (s *Sessions) OldVersionDigests(order Order, share float64, now time.Time) []uint64 {
	var held []uint64
	for session, known := range s.runs {
		if known.version != order.Target && !known.over(now, s.pause) && InShare(session, order, share) {
			held = append(held, Digest(session))
		}
	}
	return held
}

// Digest identifies a session in reports.
func Digest(session string) uint64 { return xxhash.Sum64String(session) }

// InShare reports whether a session is among the share that gets the new
// version. All daemons agree, and a larger share includes a smaller one.
func InShare(session string, order Order, share float64) bool {
	digest := xxhash.New()
	_, _ = digest.WriteString(order.Target)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(session)
	const scale = 1 << 32
	return float64(digest.Sum64()%scale) < share*scale
}
