package exchanger

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// carriedIDs remembers the ids of the requests that a connection has carried, as hashes. An id
// that was not carried may be taken for one that was, but never the other way round.
type carriedIDs []uint64

// add adds the id of a request.
func (c *carriedIDs) add(id string) { *c = append(*c, xxhash.Sum64String(id)) }

// contains reports whether the connection has carried a request with the id.
func (c carriedIDs) contains(id string) bool { return slices.Contains(c, xxhash.Sum64String(id)) }
