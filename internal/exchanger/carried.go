package exchanger

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried bounds the requests that a connection carries, because it must not forget an id.
const maxCarried = 512

// idHash is the hash of a request's id. Two ids may have one hash: a connection that has carried one
// of them then counts as having carried both, which costs a new one.
type idHash uint64

func hashID(id string) idHash { return idHash(xxhash.Sum64String(id)) }

// carriedIDs remembers the ids of the requests that a connection has carried.
type carriedIDs []idHash

// add adds the id of a request.
func (c *carriedIDs) add(id idHash) { *c = append(*c, id) }

// contains reports whether the connection has carried a request with the id.
func (c carriedIDs) contains(id idHash) bool { return slices.Contains(c, id) }

// full reports whether no further id can be remembered.
func (c carriedIDs) full() bool { return len(c) >= maxCarried }
