package promptcache_test

import "slices"

// lruCache keeps parts of prompts under their keys; the least recently used ones yield.
type lruCache struct {
	capacity int
	// order has the keys that are kept, the most recently used last.
	order  []string
	tokens map[string]int
}

// held returns the tokens of the leading parts that are kept.
func (c *lruCache) held(keys []string, tokens []int) (sum int) {
	for i, key := range keys {
		if _, ok := c.tokens[key]; !ok {
			break
		}
		sum += tokens[i]
	}
	return sum
}

// read keeps all parts of a prompt in what running requests leave.
func (c *lruCache) read(keys []string, tokens []int, running int) {
	if c.tokens == nil {
		c.tokens = map[string]int{}
	}
	for i, key := range slices.Backward(keys) {
		if at := slices.Index(c.order, key); at >= 0 {
			c.order = slices.Delete(c.order, at, at+1)
		}
		c.order = append(c.order, key)
		c.tokens[key] = tokens[i]
	}
	used := running
	for _, n := range c.tokens {
		used += n
	}
	for used > c.capacity && len(c.order) > 0 {
		used -= c.tokens[c.order[0]]
		delete(c.tokens, c.order[0])
		c.order = c.order[1:]
	}
}
