package standin

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The size of the prompt-prefix cache and its events.
const (
	prefixBlockTokens = 16
	maxPrefixBlocks   = 4096
	maxCacheEvents    = 1024
	eventGap          = 7
)

// prefixCache holds the most recently stored blocks of prompts.
type prefixCache struct {
	blocks   map[uint64]struct{}
	order    []uint64
	events   []CacheEvent
	sequence uint64
}

// CacheEvent says that a block of a prompt was stored or removed.
type CacheEvent struct {
	Sequence uint64    `json:"sequence"`
	At       time.Time `json:"at"`
	Block    uint64    `json:"block"`
	Removed  bool      `json:"removed"`
}

// take stores a prompt's blocks and returns how many of its first tokens the
// cache held already.
func (c *prefixCache) take(model, prompt string, now time.Time) int {
	if c.blocks == nil {
		c.blocks = map[uint64]struct{}{}
	}
	const blockBytes = prefixBlockTokens * BytesPerToken
	cached, matching := 0, true
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		block := xxhash.Sum64String(model + "\x00" + prompt[:end])
		if _, ok := c.blocks[block]; ok {
			if matching {
				cached += prefixBlockTokens
			}
			continue
		}
		matching = false
		c.store(block, now)
	}
	return cached
}

func (c *prefixCache) store(block uint64, now time.Time) {
	c.blocks[block] = struct{}{}
	c.order = append(c.order, block)
	c.publish(CacheEvent{At: now, Block: block})
	if len(c.order) > maxPrefixBlocks {
		delete(c.blocks, c.order[0])
		c.publish(CacheEvent{At: now, Block: c.order[0], Removed: true})
		c.order = c.order[1:]
	}
}

// publish numbers an event; every eventGap-th is lost.
func (c *prefixCache) publish(event CacheEvent) {
	c.sequence++
	if c.sequence%eventGap == 0 {
		return
	}
	event.Sequence = c.sequence
	c.events = append(c.events, event)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// CacheEvents is the answer to a call for events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, err := number(r, "after")
	if err != nil {
		writeEngineError(w, err)
		return
	}
	published := time.Now().Add(-e.EventLag)
	answer := CacheEvents{Events: []CacheEvent{}}
	e.mu.Lock()
	for _, event := range e.cache.events {
		if event.Sequence > after && !event.At.After(published) {
			answer.Events = append(answer.Events, event)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}
