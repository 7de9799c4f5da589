package origin

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// segmentSpan is the time in which the records of one segment are written.
	segmentSpan = 5 * time.Second
	// segmentCount is the number of segments of a shard. Each is written anew after all
	// others, so that records stay for longer than Retention.
	segmentCount = 9
	// maxSegmentRecords keeps a segment below what the store takes as one value.
	maxSegmentRecords = 50_000
	// maxMergedRecords bounds a segment when the records of others are added to it, so
	// that there is room for further ones.
	maxMergedRecords = maxSegmentRecords / 2
	// hashBytes is the length of the hash of a request id.
	hashBytes = 8
)

// binding is a service with the software version that began a stream of it.
type binding struct{ service, version string }

// segment holds the records that a shard got within segmentSpan, by the hash of the
// request id. A hash that stands for streams of two versions is bound to none.
type segment struct {
	records map[uint64]binding
}

// storedSegment is the value of a segment's object in the store.
type storedSegment struct {
	Bindings []storedBinding `json:"bindings"`
}

// storedBinding lists the streams that one version of a service began.
type storedBinding struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Hashes holds hashBytes for each stream, in ascending order.
	Hashes []byte `json:"hashes"`
}

func hashOf(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// put adds a record. It returns false if there is no room for it.
func (s *segment) put(hash uint64, b binding) bool {
	if s.records == nil {
		s.records = map[uint64]binding{}
	}
	known, ok := s.records[hash]
	if !ok && len(s.records) >= maxSegmentRecords {
		return false
	}
	if ok && known != b {
		b = binding{}
	}
	s.records[hash] = b
	return true
}

// merge adds the records of what the store holds under the segment's name, as far as there
// is room beside those of this turn. They may be of an earlier turn. It reports whether
// the store lacks a record.
func (s *segment) merge(stored segment) (lacking bool) {
	for hash, b := range stored.records {
		if _, known := s.records[hash]; known || len(s.records) < maxMergedRecords {
			s.put(hash, b)
		}
	}
	return !containsAll(stored.records, s.records)
}

// containsAll reports whether records holds all others.
func containsAll(records, others map[uint64]binding) bool {
	for hash, b := range others {
		if known, ok := records[hash]; !ok || known != b {
			return false
		}
	}
	return true
}

// stored returns the segment as the store holds it.
func (s *segment) stored() storedSegment {
	hashes := map[binding][]uint64{}
	for hash, b := range s.records {
		hashes[b] = append(hashes[b], hash)
	}
	value := storedSegment{Bindings: []storedBinding{}}
	for b, list := range hashes {
		slices.Sort(list)
		packed := make([]byte, 0, len(list)*hashBytes)
		for _, hash := range list {
			packed = binary.BigEndian.AppendUint64(packed, hash)
		}
		value.Bindings = append(value.Bindings, storedBinding{Service: b.service, Version: b.version, Hashes: packed})
	}
	return value
}

// decodeSegment returns the segment that the store holds as value.
func decodeSegment(value json.RawMessage) (segment, error) {
	var stored storedSegment
	if err := json.Unmarshal(value, &stored); err != nil {
		return segment{}, err
	}
	s := segment{records: map[uint64]binding{}}
	for _, b := range stored.Bindings {
		for packed := range slices.Chunk(b.Hashes, hashBytes) {
			if len(packed) == hashBytes {
				s.put(binary.BigEndian.Uint64(packed), binding{service: b.Service, version: b.Version})
			}
		}
	}
	return s, nil
}
