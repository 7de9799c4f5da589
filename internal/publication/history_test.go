package publication_test

import (
	"context"
	"fmt"
	"testing"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/pkg/release"
)

// The size to design for: adapters, and notes in a day.
const (
	historyAdapters = 59_000
	historyNotes    = 14_000
)

// bigHistory fills a store with a first part of notes that add all adapters and
// then notes that each change one, and returns the state that follows.
func bigHistory(tb testing.TB, store objectstore.Store, notes int) *release.State {
	tb.Helper()
	const first = 59
	builder := (&release.State{}).Builder()
	for number := 1; number <= notes; number++ {
		var note release.Note
		if number <= first {
			for i := range historyAdapters / first {
				note.Adapters = append(note.Adapters, historyAdapter(i*first+number-1, 1))
			}
		} else {
			i := number * 7919 % historyAdapters
			note.Adapters = []release.Adapter{historyAdapter(i, 2)}
			note.Withdraw.Adapters = []string{historyAdapter(i, 1).ID()}
		}
		value, err := publication.Stored{PublishID: fmt.Sprint(number), Number: uint64(number), Note: note}.Encode()
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

// counting wraps a store and counts the reads and the bytes of their values.
type counting struct {
	reads, bytes int
}

func (c *counting) wrap(store objectstore.Store) objectstore.Store {
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

// TestFreshInstanceAfterLongHistory checks that an instance which starts from a
// snapshot has the same state as one that replays all notes, with few reads,
// and that every object fits the platform.
func TestFreshInstanceAfterLongHistory(t *testing.T) {
	ctx := context.Background()
	var memory objectstore.Memory
	store := memory.Store()
	want := bigHistory(t, store, historyNotes)
	replayed := &publication.Follower{Store: store}
	if _, err := replayed.CatchUp(ctx); err != nil {
		t.Fatal(err)
	}
	writer := publication.SnapshotWriter{Store: store, State: replayed.State}
	if wrote, err := writer.Write(ctx); err != nil || !wrote {
		t.Fatalf("wrote %v: %v", wrote, err)
	}
	var count counting
	fresh := &publication.Follower{Store: count.wrap(store)}
	if _, err := fresh.CatchUp(ctx); err != nil {
		t.Fatal(err)
	}
	compareStates(t, replayed.State(), want)
	compareStates(t, fresh.State(), want)
	t.Logf("a fresh instance reads %d times, %d bytes", count.reads, count.bytes)
	if count.reads > 40 {
		t.Errorf("%d reads", count.reads)
	}
	listing, err := store.List(ctx, "")
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range listing.Objects {
		if len(o.Value) > objectstore.MaxValueBytes {
			t.Errorf("%s has %d bytes", o.Key, len(o.Value))
		}
	}
}

func compareStates(t *testing.T, have, want *release.State) {
	t.Helper()
	if have.Number != want.Number || have.AdapterCount() != want.AdapterCount() {
		t.Fatalf("note %d with %d adapters, want %d with %d", have.Number, have.AdapterCount(), want.Number, want.AdapterCount())
	}
	a, b := have.AdaptersAfter("", historyAdapters*2, "crews"), want.AdaptersAfter("", historyAdapters*2, "crews")
	for i := range b {
		if a[i].ID() != b[i].ID() || a[i].BaseModel != b[i].BaseModel {
			t.Fatalf("%s, want %s", a[i].ID(), b[i].ID())
		}
	}
}

// BenchmarkFreshInstance measures the start of an instance with a snapshot and
// by replay of all notes.
func BenchmarkFreshInstance(b *testing.B) {
	ctx := context.Background()
	var memory objectstore.Memory
	store := memory.Store()
	state := bigHistory(b, store, historyNotes)
	start := func(b *testing.B) {
		var count counting
		for b.Loop() {
			count = counting{}
			f := &publication.Follower{Store: count.wrap(store)}
			if _, err := f.CatchUp(ctx); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(count.reads), "reads")
		b.ReportMetric(float64(count.bytes), "bytes")
	}
	b.Run("replay", start)
	writer := publication.SnapshotWriter{Store: store, State: func() *release.State { return state }}
	if _, err := writer.Write(ctx); err != nil {
		b.Fatal(err)
	}
	b.Run("snapshot", start)
}

// BenchmarkApply measures one note that changes one adapter of 59,000.
func BenchmarkApply(b *testing.B) {
	var memory objectstore.Memory
	state := bigHistory(b, memory.Store(), 59)
	b.ReportAllocs()
	for b.Loop() {
		next, err := state.Apply(state.Number+1, release.Note{Adapters: []release.Adapter{historyAdapter(int(state.Number)%historyAdapters, 1)}})
		if err != nil {
			b.Fatal(err)
		}
		state = next
	}
}
