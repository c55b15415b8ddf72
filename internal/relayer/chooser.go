package relayer

import "net/netip"

// Record is who reads the log for a zone; the zero value is nobody.
type Record struct {
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
type View struct {
	// Self is this daemon, Reader the zone's reader by the log.
	Self   Record
	Reader Record
	// Failed is the reader that has just failed this daemon.
	Failed Record
	// Leaving daemons are about to stop.
	Leaving bool
}

// Choose returns the role that the daemon should take. Two readers in one zone
// cost reads and harm nothing else.
func Choose(v View) Role {
	switch {
	case v.Leaving:
		return Alone
	case v.Reader == v.Self:
		return Reading
	case v.Reader == Record{} || v.Reader == v.Failed:
		return Claiming
	default:
		return Following
	}
}
