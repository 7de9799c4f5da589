// Package promptcache estimates which engines still hold the beginning of a prompt in their
// KV cache, from the requests of this instance that began there. It exchanges no messages.
package promptcache

import (
	"github.com/cespare/xxhash/v2"

	"heatherrelay/internal/deployment"
)

// maxParts is how many leading parts of a prompt are looked at.
const maxParts = 16

// beginning is a prompt up to the end of one of its parts.
type beginning struct {
	// hash identifies the adapter and the parts in their order.
	hash uint64
	// tokens are those of all these parts.
	tokens int
}

// Prompt lists the beginnings of a request's prompt, the shortest first. The zero value is
// that of a request that states none. It does not change once made.
type Prompt struct {
	beginnings []beginning
	// shared is the number of beginnings that other requests may have too.
	shared int
	// adapted is set when the request names an adapter.
	adapted bool
}

// NewPrompt returns the beginnings of a prompt that consists of the given parts. The last
// part belongs to the request or its session alone.
func NewPrompt(adapter deployment.AdapterName, parts []string, tokens []int) Prompt {
	p := Prompt{shared: min(max(len(parts)-1, 0), maxParts), adapted: adapter.Adapter != ""}
	hash := xxhash.Sum64String(adapter.Model + "/" + adapter.Adapter)
	sum := 0
	for i := range min(len(parts), len(tokens), maxParts) {
		hash = chain(hash, parts[i])
		sum += tokens[i]
		p.beginnings = append(p.beginnings, beginning{hash: hash, tokens: sum})
	}
	p.shared = min(p.shared, len(p.beginnings))
	return p
}

// chain returns the hash of a beginning that is longer by a part.
func chain(hash uint64, part string) uint64 {
	const prime = 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>29) * prime
	return hash ^ xxhash.Sum64String(part)
}

// Shared returns the hash and the tokens of the longest beginning that other requests may
// have too; zero if there is none.
func (p *Prompt) Shared() (hash uint64, tokens int) {
	if p.shared == 0 {
		return 0, 0
	}
	b := p.beginnings[p.shared-1]
	return b.hash, b.tokens
}
