// Package origin records which software version of a service's targets began each
// stream. What targets of two versions generate does not fit together, so a stream may
// go on only at the version that began it.
package origin

import (
	"sync"
	"time"
)

const (
	// Retention is how long a record is kept after the last request for its stream, and
	// how long a version counts after its last target was removed. It is longer than a
	// stream lasts.
	Retention = 30 * time.Second
	// maxRecords bounds the records of a Table. Further ones are dropped.
	maxRecords = 100_000
)

// Record states which software version began a stream.
type Record struct {
	// RequestID is the id of the request that brought the stream's first event.
	RequestID string
	Service   string
	Version   string
	// At is when the stream began or was last resumed.
	At time.Time
}

// Table holds the records of the streams that this instance began, and of those that
// other instances asked it to hold. Set Now before the first use. It is safe for
// concurrent use.
type Table struct {
	Now func() time.Time

	mu      sync.Mutex
	records map[string]Record
}

// Put stores a record, unless the table has a younger one of the same stream or is
// full.
func (t *Table) Put(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = map[string]Record{}
	}
	current, known := t.records[r.RequestID]
	if known && current.At.After(r.At) || !known && len(t.records) >= maxRecords {
		return
	}
	t.records[r.RequestID] = r
}

// Get returns the record of the stream that a request began, and false if there is none.
func (t *Table) Get(requestID string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[requestID]
	return r, ok
}

// All returns the records of the services that satisfy match.
func (t *Table) All(match func(service string) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var matching []Record
	for _, r := range t.records {
		if match(r.Service) {
			matching = append(matching, r)
		}
	}
	return matching
}

// RemoveExpired removes the records that are older than Retention.
func (t *Table) RemoveExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for id, r := range t.records {
		if now.Sub(r.At) > Retention {
			delete(t.records, id)
		}
	}
}
