package upstream

import (
	"hash/maphash"
	"slices"
)

// maxCarriedRequests is how many requests a connection carries before it is closed. It
// bounds what is remembered of each, and is so high that few connections are opened for it.
const maxCarriedRequests = 256

// carriedRequests remembers the ids of the requests that a connection has carried, since no
// id may be sent twice on one connection: a target may write its first answer once more,
// which names the request, and which nothing then tells from the second. It holds hashes;
// a collision costs another connection.
type carriedRequests []uint64

var idSeed = maphash.MakeSeed()

func (c *carriedRequests) add(id string) { *c = append(*c, maphash.String(idSeed, id)) }

func (c *carriedRequests) has(id string) bool {
	return slices.Contains(*c, maphash.String(idSeed, id))
}

// first reports whether the connection carries its first request.
func (c *carriedRequests) first() bool { return len(*c) == 1 }

// full reports whether the connection carries no further request.
func (c *carriedRequests) full() bool { return len(*c) >= maxCarriedRequests }
