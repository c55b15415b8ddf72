// Package apportioner divides the request rate that an endpoint accepts, because of a limit that it
// names or because it is cold, among the daemons.
// Each daemon computes its own part, so that none has to be asked: the daemons that may send
// to an endpoint come first in an order that is the same everywhere, and few of them change
// when a daemon starts or stops.
package apportioner

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// extraMembers is the number of daemons, beyond one for each request per second, that share
// an endpoint. A daemon may send one request at once, so their number bounds the requests
// that may arrive at the same time.
const extraMembers = 2

// MinPerSecond is the least rate that the daemons send to an endpoint, so that its responses
// show when the limit ends.
const MinPerSecond = 0.2

// Share returns the requests per second that a daemon may send to an endpoint which accepts
// a rate from all members together. It is 0 for most daemons of a large fleet. A daemon that
// is not among the members gets no share.
func Share(endpoint string, perSecond float64, self string, members []string) float64 {
	perSecond = max(perSecond, MinPerSecond)
	size := 1.0
	if perSecond >= 1 {
		size = min(float64(len(members)), math.Floor(perSecond)+extraMembers)
	}
	place, isMember := rank(endpoint, self, members)
	if !isMember || float64(place) >= size {
		return 0
	}
	return perSecond / size
}

// rank returns the place of a daemon in the order of the members for an endpoint, from 0. It
// returns false if the daemon is not among them.
func rank(endpoint, self string, members []string) (place int, isMember bool) {
	selfScore := score(endpoint, self)
	for _, member := range members {
		switch {
		case member == self:
			isMember = true
		case score(endpoint, member) > selfScore:
			place++
		}
	}
	return place, isMember
}

// score orders the members for an endpoint by rendezvous hashing.
func score(endpoint, member string) uint64 {
	return xxhash.Sum64String(endpoint + "\x00" + member)
}
