package objectstore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// watchHistoryEvents is the maximum number of events that Memory keeps for
// watches.
const watchHistoryEvents = 20_000

// Memory is an in-memory store. The stand-in platform serves it over HTTP, and
// tests use it in place of a platform. Each write or deletion increases the
// version by one; a failed conditional write changes nothing. The zero value is
// ready for use.
type Memory struct {
	mu               sync.Mutex
	version          uint64
	objects          map[string]Object
	history          []Event
	compactedVersion uint64
	changed          chan struct{}
	instances        []InstanceEntry
	targets          []TargetEntry
}

// Store returns a Store whose calls operate on m.
func (m *Memory) Store() Store {
	return Store{
		Get:       m.get,
		Put:       m.put,
		Delete:    m.delete,
		List:      m.list,
		Watch:     m.watch,
		Instances: func(context.Context) ([]InstanceEntry, error) { return m.listInstances(), nil },
		Targets:   func(context.Context) ([]TargetEntry, error) { return m.listTargets(), nil },
	}
}

// SetInstances replaces the platform's list of instances.
func (m *Memory) SetInstances(entries []InstanceEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = slices.Clone(entries)
}

// SetTargets replaces the platform's list of targets.
func (m *Memory) SetTargets(entries []TargetEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets = slices.Clone(entries)
}

func (m *Memory) listInstances() []InstanceEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.instances)
}

func (m *Memory) listTargets() []TargetEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.targets)
}

func (m *Memory) get(_ context.Context, key string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[key]
	if !ok {
		return Object{}, ErrNotFound.New("%s", key)
	}
	return object, nil
}

func (m *Memory) put(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge.New("%s: %d bytes", key, len(value))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.objects[key].Version; current != ifVersion {
		return 0, ErrConflict.New("%s: version %d, want %d", key, current, ifVersion)
	}
	if m.objects == nil {
		m.objects = map[string]Object{}
	}
	m.version++
	object := Object{Key: key, Version: m.version, Value: slices.Clone(value)}
	m.objects[key] = object
	m.record(Event{Object: object})
	return object.Version, nil
}

func (m *Memory) delete(_ context.Context, key string, ifVersion uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, ok := m.objects[key]
	if !ok {
		return ErrNotFound.New("%s", key)
	}
	if current.Version != ifVersion {
		return ErrConflict.New("%s: version %d, want %d", key, current.Version, ifVersion)
	}
	delete(m.objects, key)
	m.version++
	m.record(Event{Object: Object{Key: key, Version: m.version}, Deleted: true})
	return nil
}

func (m *Memory) list(_ context.Context, prefix string) (Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listing := Listing{Version: m.version}
	for _, key := range slices.Sorted(maps.Keys(m.objects)) {
		if strings.HasPrefix(key, prefix) {
			listing.Objects = append(listing.Objects, m.objects[key])
		}
	}
	return listing, nil
}

func (m *Memory) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := m.changesAfter(prefix, after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return Changes{}, ErrUnavailable.Wrap(ctx.Err())
		}
	}
}

// changesAfter returns the events under prefix that are newer than after, and a
// channel that is closed when the next event of any key is recorded.
func (m *Memory) changesAfter(prefix string, after uint64) (Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.compactedVersion {
		return Changes{}, nil, ErrCompacted.New("history starts at %d, want %d", m.compactedVersion, after)
	}
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	first, _ := slices.BinarySearchFunc(m.history, after+1, func(e Event, version uint64) int {
		return int(int64(e.Version) - int64(version))
	})
	changes := Changes{Version: max(m.version, after)}
	for _, e := range m.history[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			changes.Events = append(changes.Events, e)
		}
	}
	return changes, m.changed, nil
}

// record appends an event to the history and wakes all watches. When the history
// is full it drops the older half. The caller holds mu.
func (m *Memory) record(e Event) {
	m.history = append(m.history, e)
	if len(m.history) > watchHistoryEvents {
		dropped := len(m.history) - watchHistoryEvents/2
		m.compactedVersion = m.history[dropped-1].Version
		m.history = slices.Clone(m.history[dropped:])
	}
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}
