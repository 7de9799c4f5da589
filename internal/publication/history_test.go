package publication_test

import (
	"context"
	"fmt"
	"testing"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/pkg/release"
)

// The design size: the number of adapters, and of notes in a day.
const (
	historyAdapters = 59_000
	historyNotes    = 14_000
)

// buildHistory writes notes to a store and returns the resulting state. The first
// notes add all adapters; each later one replaces one adapter by its next
// version.
func buildHistory(tb testing.TB, store objectstore.Store, notes int) *release.State {
	tb.Helper()
	const initialNotes = 59
	builder := (&release.State{}).Builder()
	for number := 1; number <= notes; number++ {
		var note release.Note
		if number <= initialNotes {
			for i := range historyAdapters / initialNotes {
				note.Adapters = append(note.Adapters, historyAdapter(i*initialNotes+number-1, 1))
			}
		} else {
			i := number * 7919 % historyAdapters
			note.Adapters = []release.Adapter{historyAdapter(i, 2)}
			note.Withdraw.Adapters = []string{historyAdapter(i, 1).ID()}
		}
		value, err := publication.StoredNote{PublishID: fmt.Sprint(number), Number: uint64(number), Note: note}.Encode()
		if err != nil {
			tb.Fatal(err)
		}
		if _, err := store.Put(context.Background(), publication.NoteKey(uint64(number)), value, 0); err != nil {
			tb.Fatal(err)
		}
		if err := builder.Apply(uint64(number), note); err != nil {
			tb.Fatal(err)
		}
	}
	return builder.State()
}

func historyAdapter(i, version int) release.Adapter {
	return release.Adapter{Name: fmt.Sprintf("adapter-%05d", i), Version: fmt.Sprint(version), BaseModel: "base-1", Teams: []string{"crews", "clerks"}}
}

// readCounter wraps a store and counts the reads and the bytes of the values
// read.
type readCounter struct {
	reads, bytes int
}

func (c *readCounter) wrap(store objectstore.Store) objectstore.Store {
	wrapped := store
	wrapped.Get = func(ctx context.Context, key string) (objectstore.Object, error) {
		o, err := store.Get(ctx, key)
		c.reads++
		c.bytes += len(o.Value)
		return o, err
	}
	wrapped.List = func(ctx context.Context, prefix string) (objectstore.Listing, error) {
		listing, err := store.List(ctx, prefix)
		c.reads++
		for _, o := range listing.Objects {
			c.bytes += len(o.Value)
		}
		return listing, err
	}
	return wrapped
}

// TestFreshInstanceAfterLongHistory checks that an instance that starts from a
// snapshot reaches the same state as one that replays all notes, that it needs
// few reads, and that every object fits into the platform.
func TestFreshInstanceAfterLongHistory(t *testing.T) {
	ctx := context.Background()
	var memory objectstore.Memory
	store := memory.Store()
	want := buildHistory(t, store, historyNotes)
	replayed := &publication.Follower{Store: store}
	if _, err := replayed.CatchUp(ctx); err != nil {
		t.Fatal(err)
	}
	writer := publication.SnapshotWriter{Store: store, State: replayed.State}
	if wrote, err := writer.Write(ctx); err != nil || !wrote {
		t.Fatalf("snapshot written: %v, error: %v", wrote, err)
	}
	var counter readCounter
	fresh := &publication.Follower{Store: counter.wrap(store)}
	if _, err := fresh.CatchUp(ctx); err != nil {
		t.Fatal(err)
	}
	compareStates(t, replayed.State(), want)
	compareStates(t, fresh.State(), want)
	t.Logf("a fresh instance reads %d times, %d bytes", counter.reads, counter.bytes)
	if counter.reads > 40 {
		t.Errorf("%d reads, want at most 40", counter.reads)
	}
	listing, err := store.List(ctx, "")
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range listing.Objects {
		if len(o.Value) > objectstore.MaxValueBytes {
			t.Errorf("%s has %d bytes, more than the platform stores", o.Key, len(o.Value))
		}
	}
}

func compareStates(t *testing.T, have, want *release.State) {
	t.Helper()
	if have.Number != want.Number || have.AdapterCount() != want.AdapterCount() {
		t.Fatalf("state %d with %d adapters, want %d with %d", have.Number, have.AdapterCount(), want.Number, want.AdapterCount())
	}
	a, b := have.AdaptersAfter("", historyAdapters*2, "crews"), want.AdaptersAfter("", historyAdapters*2, "crews")
	for i := range b {
		if a[i].ID() != b[i].ID() || a[i].BaseModel != b[i].BaseModel {
			t.Fatalf("adapter %s, want %s", a[i].ID(), b[i].ID())
		}
	}
}

// BenchmarkFreshInstance measures the start of an instance by replay of all notes
// and from a snapshot.
func BenchmarkFreshInstance(b *testing.B) {
	ctx := context.Background()
	var memory objectstore.Memory
	store := memory.Store()
	state := buildHistory(b, store, historyNotes)
	start := func(b *testing.B) {
		var counter readCounter
		for b.Loop() {
			counter = readCounter{}
			f := &publication.Follower{Store: counter.wrap(store)}
			if _, err := f.CatchUp(ctx); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(counter.reads), "reads")
		b.ReportMetric(float64(counter.bytes), "bytes")
	}
	b.Run("replay", start)
	writer := publication.SnapshotWriter{Store: store, State: func() *release.State { return state }}
	if _, err := writer.Write(ctx); err != nil {
		b.Fatal(err)
	}
	b.Run("snapshot", start)
}

// BenchmarkApply measures applying one note that changes one adapter of 59,000.
func BenchmarkApply(b *testing.B) {
	var memory objectstore.Memory
	state := buildHistory(b, memory.Store(), 59)
	b.ReportAllocs()
	for b.Loop() {
		next, err := state.Apply(state.Number+1, release.Note{Adapters: []release.Adapter{historyAdapter(int(state.Number)%historyAdapters, 1)}})
		if err != nil {
			b.Fatal(err)
		}
		state = next
	}
}
