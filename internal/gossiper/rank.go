package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the serving members in the order of preference for a key. The
// order comes from rendezvous hashing, so that each daemon computes the same order
// and a change of the membership moves few keys.
func Rank(key string, members []Member) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	var list []scored
	for _, member := range members {
		if member.Serving() {
			list = append(list, scored{member, xxhash.Sum64String(key + "\x00" + member.Name)})
		}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]Member, len(list))
	for i, entry := range list {
		ranked[i] = entry.member
	}
	return ranked
}
