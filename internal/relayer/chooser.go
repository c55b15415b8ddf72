package relayer

import "net/netip"

// Record is who reads the log for a zone; the zero value is nobody.
type ZoneReader struct {
	Name    string
	Address netip.AddrPort
}

// Role is what a daemon does about the reads of its zone.
type Role int

// The roles.
const (
	// Alone daemons read the log and answer nobody.
	Alone Role = iota
	// Following daemons ask the zone's reader.
	Following
	// Reading daemons read the log and answer the others.
	Reading
	// Claiming daemons want to become the zone's reader.
	Claiming
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"alone", "following", "reading", "claiming"}[r]
}

// View is what the choice of a role depends on.
type RoleInputs struct {
	// Self is this daemon, Reader the zone's reader by the log.
	Self   ZoneReader
	Reader ZoneReader
	// Failed is the reader that has just failed this daemon.
	FailedReader ZoneReader
	// Leaving daemons are about to stop.
	Draining bool
}

// Choose returns the role that the daemon should take. Two readers in one zone
// cost reads and harm nothing else.
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
