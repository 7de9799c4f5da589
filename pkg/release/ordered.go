package release

import (
	"iter"
	"slices"
	"sort"
)

// maxChunkEntries bounds a chunk of an ordered map; a fuller one is split in two.
const maxChunkEntries = 256

// edit marks the chunks that one editor may change in place.
type edit struct{ _ byte }

// chunk is a sorted run of entries. It is shared by all maps made from it, and
// only the edit that made it may change it.
type chunk[V any] struct {
	keys   []string
	values []V
	owner  *edit
}

// ordered is a map sorted by key that shares its chunks with the maps that it
// was made from. A copy of the struct is a cheap snapshot: a change through an
// edit copies the list of chunks and the one chunk it touches, never the rest.
// Keys in chunks rise strictly, and no chunk is empty.
type ordered[V any] struct {
	chunks []*chunk[V]
	count  int
	owner  *edit
}

// find returns the chunk that holds key or would hold it; false when the map is empty.
func (o *ordered[V]) find(key string) (int, bool) {
	if len(o.chunks) == 0 {
		return 0, false
	}
	after := sort.Search(len(o.chunks), func(i int) bool { return o.chunks[i].keys[0] > key })
	return max(after-1, 0), true
}

// get returns the value under key.
func (o *ordered[V]) get(key string) (V, bool) {
	var none V
	i, ok := o.find(key)
	if !ok {
		return none, false
	}
	c := o.chunks[i]
	at, ok := slices.BinarySearch(c.keys, key)
	if !ok {
		return none, false
	}
	return c.values[at], true
}

// after iterates over the entries with keys greater than key, in order.
func (o *ordered[V]) after(key string) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		first, ok := o.find(key)
		if !ok {
			return
		}
		for _, c := range o.chunks[first:] {
			at, found := slices.BinarySearch(c.keys, key)
			if found {
				at++
			}
			for ; at < len(c.keys); at++ {
				if !yield(c.keys[at], c.values[at]) {
					return
				}
			}
		}
	}
}

// values returns all values in order of their keys.
func (o *ordered[V]) all() []V {
	values := make([]V, 0, o.count)
	for _, c := range o.chunks {
		values = append(values, c.values...)
	}
	return values
}

// own makes the list of chunks and chunk i changeable by e.
func (o *ordered[V]) own(e *edit, i int) *chunk[V] {
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
func (o *ordered[V]) set(e *edit, key string, value V) {
	i, ok := o.find(key)
	if !ok {
		o.chunks = []*chunk[V]{{keys: []string{key}, values: []V{value}, owner: e}}
		o.owner = e
		o.count = 1
		return
	}
	c := o.own(e, i)
	at, found := slices.BinarySearch(c.keys, key)
	if found {
		c.values[at] = value
		return
	}
	c.keys = slices.Insert(c.keys, at, key)
	c.values = slices.Insert(c.values, at, value)
	o.count++
	if len(c.keys) > maxChunkEntries {
		o.split(e, i)
	}
}

// split halves chunk i, which e owns.
func (o *ordered[V]) split(e *edit, i int) {
	c := o.chunks[i]
	half := len(c.keys) / 2
	upper := &chunk[V]{keys: slices.Clone(c.keys[half:]), values: slices.Clone(c.values[half:]), owner: e}
	clear(c.values[half:])
	c.keys, c.values = c.keys[:half], c.values[:half]
	o.chunks = slices.Insert(o.chunks, i+1, upper)
}

// remove takes key away and reports whether it was there.
func (o *ordered[V]) remove(e *edit, key string) bool {
	if _, ok := o.get(key); !ok {
		return false
	}
	i, _ := o.find(key)
	c := o.own(e, i)
	at, _ := slices.BinarySearch(c.keys, key)
	c.keys = slices.Delete(c.keys, at, at+1)
	c.values = slices.Delete(c.values, at, at+1)
	o.count--
	if len(c.keys) == 0 {
		o.chunks = slices.Delete(o.chunks, i, i+1)
	}
	return true
}
