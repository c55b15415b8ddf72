package promoter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// sessionState is the latest request of a session.
type sessionState struct {
	version string
	// at is the latest start or end of a request.
	at      time.Time
	running int
}

func (s sessionState) ended(now time.Time, pause time.Duration) bool {
	return s.running == 0 && now.Sub(s.at) > pause
}

// maxSessions bounds the number of tracked sessions, which bounds memory.
const maxSessions = 50_000

// Sessions tracks the version that each session runs on. It is not safe for
// concurrent use.
type Sessions struct {
	pause  time.Duration
	states map[string]sessionState
}

// NewSessions returns an empty set. A session ends after it was idle for longer
// than the pause.
func NewSessions(pause time.Duration) *Sessions {
	return &Sessions{pause: pause, states: map[string]sessionState{}}
}

// SetVersion records the version that a session's request is to run on.
func (s *Sessions) SetVersion(session, version string, now time.Time) {
	state, ok := s.states[session]
	if session == "" || !ok && len(s.states) >= maxSessions {
		return
	}
	s.states[session] = sessionState{version, now, state.running}
}

// RequestStarted records that a session's request has started.
func (s *Sessions) RequestStarted(session string, now time.Time) { s.count(session, 1, now) }

// RequestEnded records that a session's request has ended. The pause counts from
// then.
func (s *Sessions) RequestEnded(session string, now time.Time) { s.count(session, -1, now) }

func (s *Sessions) count(session string, change int, now time.Time) {
	state, ok := s.states[session]
	if session == "" || !ok && (change < 0 || len(s.states) >= maxSessions) {
		return
	}
	s.states[session] = sessionState{state.version, now, max(0, state.running+change)}
}

// Version returns the version that the session runs on. It is empty when the
// session has ended or is unknown.
func (s *Sessions) Version(session string, now time.Time) string {
	state, ok := s.states[session]
	if !ok || state.ended(now, s.pause) {
		return ""
	}
	return state.version
}

// Sweep removes the sessions that have ended.
func (s *Sessions) Sweep(now time.Time) {
	for session, state := range s.states {
		if state.ended(now, s.pause) {
			delete(s.states, session)
		}
	}
}

// OldVersionDigests returns the digests of the sessions that are within the share
// but run on another version than the order's target.
func (s *Sessions) OldVersionDigests(order Order, share float64, now time.Time) []uint64 {
	var digests []uint64
	for session, state := range s.states {
		if state.version != order.Target && !state.ended(now, s.pause) && InShare(session, order, share) {
			digests = append(digests, Digest(session))
		}
	}
	return digests
}

// Digest identifies a session in reports.
func Digest(session string) uint64 { return xxhash.Sum64String(session) }

// InShare reports whether a session is within the share that gets the new version.
// All daemons agree, and a larger share includes a smaller one.
func InShare(session string, order Order, share float64) bool {
	digest := xxhash.New()
	_, _ = digest.WriteString(order.Target)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(session)
	const scale = 1 << 32
	return float64(digest.Sum64()%scale) < share*scale
}
