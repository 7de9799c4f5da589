package release

import (
	"iter"
	"slices"
	"sort"
)

// maxChunkEntries is the most entries that a chunk of an orderedMap holds; a
// chunk that exceeds it is split in two.
const maxChunkEntries = 256

// editToken identifies one editor, which may change in place the chunks that have
// its token as their owner. It is not empty, so that two tokens never have the
// same address.
type editToken struct{ _ byte }

// chunk is a sorted run of entries. Maps that derive from one another share it,
// and only the editor that created it may change it.
type chunk[V any] struct {
	keys   []string
	values []V
	owner  *editToken
}

// orderedMap is a map sorted by key that shares its chunks with the maps from
// which it derives. A copy of the struct is a cheap snapshot: an editor copies
// the list of chunks and each chunk that it changes, never the rest. Keys
// increase strictly within a chunk and from chunk to chunk, and no chunk is
// empty.
type orderedMap[V any] struct {
	chunks []*chunk[V]
	count  int
	owner  *editToken
}

// findChunk returns the index of the chunk that holds key or would hold it; false
// when the map is empty.
func (o *orderedMap[V]) findChunk(key string) (int, bool) {
	if len(o.chunks) == 0 {
		return 0, false
	}
	after := sort.Search(len(o.chunks), func(i int) bool { return o.chunks[i].keys[0] > key })
	return max(after-1, 0), true
}

// get returns the value of key.
func (o *orderedMap[V]) get(key string) (V, bool) {
	var zero V
	i, ok := o.findChunk(key)
	if !ok {
		return zero, false
	}
	c := o.chunks[i]
	pos, ok := slices.BinarySearch(c.keys, key)
	if !ok {
		return zero, false
	}
	return c.values[pos], true
}

// after iterates over the entries with keys greater than key, in order.
func (o *orderedMap[V]) after(key string) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		first, ok := o.findChunk(key)
		if !ok {
			return
		}
		for _, c := range o.chunks[first:] {
			pos, found := slices.BinarySearch(c.keys, key)
			if found {
				pos++
			}
			for ; pos < len(c.keys); pos++ {
				if !yield(c.keys[pos], c.values[pos]) {
					return
				}
			}
		}
	}
}

// all returns all values in the order of their keys.
func (o *orderedMap[V]) all() []V {
	values := make([]V, 0, o.count)
	for _, c := range o.chunks {
		values = append(values, c.values...)
	}
	return values
}

// mutableChunk returns chunk i for changes by e. It first copies the list of
// chunks and the chunk, each if another editor owns it.
func (o *orderedMap[V]) mutableChunk(e *editToken, i int) *chunk[V] {
	if o.owner != e {
		o.chunks = slices.Clone(o.chunks)
		o.owner = e
	}
	c := o.chunks[i]
	if c.owner != e {
		c = &chunk[V]{keys: slices.Clone(c.keys), values: slices.Clone(c.values), owner: e}
		o.chunks[i] = c
	}
	return c
}

// set stores value under key.
func (o *orderedMap[V]) set(e *editToken, key string, value V) {
	i, ok := o.findChunk(key)
	if !ok {
		o.chunks = []*chunk[V]{{keys: []string{key}, values: []V{value}, owner: e}}
		o.owner = e
		o.count = 1
		return
	}
	c := o.mutableChunk(e, i)
	pos, found := slices.BinarySearch(c.keys, key)
	if found {
		c.values[pos] = value
		return
	}
	c.keys = slices.Insert(c.keys, pos, key)
	c.values = slices.Insert(c.values, pos, value)
	o.count++
	if len(c.keys) > maxChunkEntries {
		o.split(e, i)
	}
}

// split divides chunk i, which e owns, in two halves.
func (o *orderedMap[V]) split(e *editToken, i int) {
	c := o.chunks[i]
	half := len(c.keys) / 2
	upper := &chunk[V]{keys: slices.Clone(c.keys[half:]), values: slices.Clone(c.values[half:]), owner: e}
	clear(c.values[half:])
	c.keys, c.values = c.keys[:half], c.values[:half]
	o.chunks = slices.Insert(o.chunks, i+1, upper)
}

// remove deletes key and reports whether it was present.
func (o *orderedMap[V]) remove(e *editToken, key string) bool {
	if _, ok := o.get(key); !ok {
		return false
	}
	i, _ := o.findChunk(key)
	c := o.mutableChunk(e, i)
	pos, _ := slices.BinarySearch(c.keys, key)
	c.keys = slices.Delete(c.keys, pos, pos+1)
	c.values = slices.Delete(c.values, pos, pos+1)
	o.count--
	if len(c.keys) == 0 {
		o.chunks = slices.Delete(o.chunks, i, i+1)
	}
	return true
}
