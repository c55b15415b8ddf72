package relayer

import "net/netip"

// ZoneReader identifies the daemon that reads the log for a zone. The zero value
// means that the zone has none.
type ZoneReader struct {
	Name    string
	Address netip.AddrPort
}

// Role is a daemon's part in the log reads of its zone.
type Role int

// The roles.
const (
	// Alone daemons read the log and serve no other daemon.
	Alone Role = iota
	// Following daemons read from the zone reader.
	Following
	// Reading daemons are the zone reader. They read the log and serve the others.
	Reading
	// Claiming daemons try to become the zone reader.
	Claiming
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"alone", "following", "reading", "claiming"}[r]
}

// RoleInputs are the facts from which ChooseRole derives a role.
type RoleInputs struct {
	// Self is this daemon. Reader is the zone reader according to the log.
	Self   ZoneReader
	Reader ZoneReader
	// FailedReader is the zone reader that failed this daemon last.
	FailedReader ZoneReader
	// Draining is set when this daemon is about to stop.
	Draining bool
}

// ChooseRole returns the role that the daemon should take. Two readers in one
// zone cost additional reads of the log and have no other effect.
func ChooseRole(inputs RoleInputs) Role {
	switch {
	case inputs.Draining:
		return Alone
	case inputs.Reader == inputs.Self:
		return Reading
	case inputs.Reader == ZoneReader{} || inputs.Reader == inputs.FailedReader:
		return Claiming
	default:
		return Following
	}
}
