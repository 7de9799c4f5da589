package origin

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/wait"
)

const (
	// readInterval is the least time between two readings of all records. It doubles with
	// each one that fails, up to maxReadInterval.
	readInterval    = time.Second
	maxReadInterval = 4 * time.Second
	// readTimeout bounds a reading.
	readTimeout = 2 * time.Second
)

// reader holds the records as last read from the store.
type reader struct {
	mu      sync.Mutex
	records map[uint64]binding
	// startedAt is when the last reading began, interval the least time until the next.
	startedAt time.Time
	interval  time.Duration
	// inFlight is closed when the present reading ends; nil without one.
	inFlight chan struct{}
	// failed is set if the last reading failed.
	failed bool
}

// Found is the result of a look-up in the store.
type Found struct {
	Record
	// OK is set if the store holds a record.
	OK bool
	// Read is set if the store was read when it last was to be.
	Read bool
}

// Find returns the record of a stream that the store holds. All records are read at once,
// one reading at a time and no more often than every readInterval, whichever ids are
// asked for: streams that have ended together are resumed together. A caller waits for a
// reading until ctx ends.
func (a *Archive) Find(ctx context.Context, requestID string) Found {
	return a.FindRarely(ctx, requestID, readInterval)
}

// FindRarely is Find with readings that begin no more often than an interval allows.
func (a *Archive) FindRarely(ctx context.Context, requestID string, interval time.Duration) Found {
	hash := hashOf(requestID)
	if b, ok := a.reader.get(hash); ok {
		return a.found(requestID, b)
	}
	if done := a.startReading(ctx, interval); done != nil {
		select {
		case <-ctx.Done():
			return Found{}
		case <-done:
		}
	}
	b, _ := a.reader.get(hash)
	return a.found(requestID, b)
}

// FindAtNextReading is Find that waits for a reading which begins after the call, if the
// store held no record when it was last read.
func (a *Archive) FindAtNextReading(ctx context.Context, requestID string) Found {
	askedAt := a.Now()
	for {
		found := a.Find(ctx, requestID)
		startedAt, dueAt := a.reader.times(readInterval)
		if found.OK || !startedAt.Before(askedAt) || wait.Sleep(ctx, dueAt.Sub(a.Now())) != nil {
			return found
		}
	}
}

// found returns what a reading brought of a stream, which is nothing if it is not bound.
func (a *Archive) found(requestID string, b binding) Found {
	if b == (binding{}) {
		return Found{Read: a.reader.read()}
	}
	return Found{Record: Record{RequestID: requestID, Service: b.service, Version: b.version, At: a.Now()}, OK: true, Read: true}
}

// startReading starts a reading if one is due and none is under way. It returns what is
// closed when the present reading ends, or nil without one. A reading serves many callers
// and does not end with the one that starts it.
func (a *Archive) startReading(ctx context.Context, interval time.Duration) <-chan struct{} {
	r, now := &a.reader, a.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight != nil {
		return r.inFlight
	}
	if !r.startedAt.IsZero() && now.Sub(r.startedAt) < max(r.interval, interval) {
		return nil
	}
	done := make(chan struct{})
	r.inFlight, r.startedAt = done, now
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
		defer cancel()
		records, err := a.read(ctx)
		if err != nil {
			a.Log.Info("origins of streams not read from the store", zap.Error(err))
		}
		r.finish(records, err == nil)
		close(done)
	}()
	return done
}

// read reads all records of the store.
func (a *Archive) read(ctx context.Context) (map[uint64]binding, error) {
	page, err := a.Store.List(ctx, a.Kind, false)
	if err != nil {
		return nil, err
	}
	records := map[uint64]binding{}
	for _, object := range page.Objects {
		s, err := decodeSegment(object.Value)
		if err != nil {
			a.Log.Warn("origins of streams cannot be decoded, skipped", zap.String("name", object.Name), zap.Error(err))
			continue
		}
		for hash, b := range s.records {
			if known, ok := records[hash]; ok && known != b {
				b = binding{}
			}
			records[hash] = b
		}
	}
	a.Log.Info("origins of streams read from the store", zap.Int("segments", len(page.Objects)), zap.Int("records", len(records)))
	return records, nil
}

func (r *reader) get(hash uint64) (binding, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.records[hash]
	return b, ok
}

// read reports whether the last reading, if any, did not fail.
func (r *reader) read() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failed
}

// times returns when the last reading began and when the next one may, by an interval.
func (r *reader) times(interval time.Duration) (startedAt, dueAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startedAt, r.startedAt.Add(max(r.interval, interval))
}

// finish ends a reading. One that failed leaves the records of the one before it.
func (r *reader) finish(records map[uint64]binding, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight, r.failed = nil, !ok
	if !ok {
		r.interval = min(max(2*r.interval, readInterval), maxReadInterval)
		return
	}
	r.records, r.interval = records, 0
}

// expire drops the records once they were read so long ago that streams have ended
// since.
func (r *reader) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.startedAt) > Retention {
		r.records = nil
	}
}
