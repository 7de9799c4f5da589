package standin

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the prompt-prefix cache and of its event log. Every
// lostEventInterval-th event is lost.
const (
	prefixBlockTokens = 16
	maxPrefixBlocks   = 4096
	maxCacheEvents    = 1024
	lostEventInterval = 7
)

// prefixCache holds the blocks of prompts that were stored last, identified by
// a hash of the model and of the prompt up to the end of the block.
type prefixCache struct {
	blocks         map[uint64]struct{}
	insertionOrder []uint64
	events         []CacheEvent
	sequence       uint64
}

// CacheEvent reports that a block of a prompt was stored or removed.
type CacheEvent struct {
	Sequence uint64    `json:"sequence"`
	At       time.Time `json:"at"`
	Block    uint64    `json:"block"`
	Removed  bool      `json:"removed"`
}

// insert stores the blocks of a prompt, and returns the number of tokens at its
// start that were cached before.
func (c *prefixCache) insert(model, prompt string, now time.Time) int {
	if c.blocks == nil {
		c.blocks = map[uint64]struct{}{}
	}
	const blockBytes = prefixBlockTokens * BytesPerToken
	cached, prefixCached := 0, true
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		block := xxhash.Sum64String(model + "\x00" + prompt[:end])
		if _, ok := c.blocks[block]; ok {
			if prefixCached {
				cached += prefixBlockTokens
			}
			continue
		}
		prefixCached = false
		c.insertBlock(block, now)
	}
	return cached
}

// insertBlock stores a block, and removes the oldest one if the cache is full.
func (c *prefixCache) insertBlock(block uint64, now time.Time) {
	c.blocks[block] = struct{}{}
	c.insertionOrder = append(c.insertionOrder, block)
	c.appendEvent(CacheEvent{At: now, Block: block})
	if len(c.insertionOrder) > maxPrefixBlocks {
		delete(c.blocks, c.insertionOrder[0])
		c.appendEvent(CacheEvent{At: now, Block: c.insertionOrder[0], Removed: true})
		c.insertionOrder = c.insertionOrder[1:]
	}
}

// appendEvent numbers an event and appends it to the event log. Every
// lostEventInterval-th event is numbered but dropped, so that readers see gaps.
func (c *prefixCache) appendEvent(event CacheEvent) {
	c.sequence++
	if c.sequence%lostEventInterval == 0 {
		return
	}
	event.Sequence = c.sequence
	c.events = append(c.events, event)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// CacheEvents is the body of the answer to GET /v1/events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after")
	if err != nil {
		writeEngineError(w, err)
		return
	}
	newest := time.Now().Add(-e.EventLag)
	answer := CacheEvents{Events: []CacheEvent{}}
	e.mu.Lock()
	for _, event := range e.cache.events {
		if event.Sequence > after && !event.At.After(newest) {
			answer.Events = append(answer.Events, event)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}
