package publication_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/key"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/pkg/release"
)

const zoneCount = 2

// world is a fleet in two zones before one platform, on a virtual clock, with
// failures switched on and off by the state machine.
type world struct {
	t      *rapid.T
	memory objectstore.Memory
	keys   []key.Key

	// clock guards now, since peers are asked at the same time.
	clock sync.Mutex
	now   time.Time
	// platformCut and peersCut are the network partitions now.
	platformCut [zoneCount]bool
	peersCut    bool
	// staleAllowed lets listings show an older copy of the store.
	staleAllowed bool
	loseAnswers  int
	delayWrites  int
	delayed      []func()
	// nested is set while another operator acts inside a store call.
	nested bool

	instances []*instance
	started   int
	// floor is the highest number that was in force on all instances, those that
	// are starting among them, since they hold a lease before they read.
	floor    uint64
	attempts []*attempt
	// notes and acceptedAt are the oracle: each note as it was first seen in the
	// platform, by number from 1 on, and when.
	notes      []publication.Stored
	acceptedAt []time.Time
}

// instance is one follower and what the oracle knows of it.
type instance struct {
	*publication.Follower
	id      string
	zone    int
	version uint64
	highest uint64
	// fresh says that the platform's last listing was no older copy.
	fresh bool
	// informed says that it has read a fresh listing or could ask an informed
	// peer when it started; without either nobody could know of the latest notes.
	informed bool
}

// attempt is one act of publishing and what the operator was told last.
type attempt struct {
	publication.Attempt
	note release.Note
	err  error
}

// tick returns a time later than all before it.
func (w *world) tick() time.Time {
	w.clock.Lock()
	defer w.clock.Unlock()
	w.now = w.now.Add(time.Millisecond)
	return w.now
}

// store returns the platform as a zone sees it; zone -1 is the operators' place.
func (w *world) store(zone int, caller *instance) objectstore.Store {
	real := w.memory.Store()
	away := func() bool { return zone >= 0 && w.platformCut[zone] }
	store := real
	store.Get = func(ctx context.Context, key string) (objectstore.Object, error) {
		w.intrude("before get", caller)
		if away() {
			return objectstore.Object{}, objectstore.ErrUnavailable.New("cut")
		}
		return real.Get(ctx, key)
	}
	store.List = func(ctx context.Context, prefix string) (objectstore.Listing, error) {
		w.intrude("before list", caller)
		if away() {
			return objectstore.Listing{}, objectstore.ErrUnavailable.New("cut")
		}
		listing, err := real.List(ctx, prefix)
		if w.staleAllowed && caller != nil && rapid.Bool().Draw(w.t, "stale") {
			cut := rapid.Uint64Range(0, listing.Version).Draw(w.t, "version")
			listing.Version = cut
			listing.Objects = slices.DeleteFunc(listing.Objects, func(o objectstore.Object) bool { return o.Version > cut })
			caller.fresh = false
		} else if caller != nil {
			caller.fresh = true
		}
		w.intrude("after list", caller)
		return listing, err
	}
	store.Watch = func(ctx context.Context, prefix string, after uint64, _ time.Duration) (objectstore.Changes, error) {
		if away() {
			return objectstore.Changes{}, objectstore.ErrUnavailable.New("cut")
		}
		changes, err := real.Watch(ctx, prefix, after, 0)
		if len(changes.Events) > 0 && rapid.Bool().Draw(w.t, "gap") {
			at := rapid.IntRange(0, len(changes.Events)-1).Draw(w.t, "lost event")
			changes.Events = slices.Delete(changes.Events, at, at+1)
		}
		return changes, err
	}
	store.Put = func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
		w.intrude("before put", nil)
		if away() {
			return 0, objectstore.ErrUnavailable.New("cut")
		}
		if w.delayWrites > 0 {
			w.delayWrites--
			w.delayed = append(w.delayed, func() { _, _ = real.Put(ctx, key, value, ifVersion) })
			return 0, objectstore.ErrUnavailable.New("timed out")
		}
		version, err := real.Put(ctx, key, value, ifVersion)
		if w.loseAnswers > 0 {
			w.loseAnswers--
			return 0, objectstore.ErrUnavailable.New("answer lost")
		}
		return version, err
	}
	store.Get = w.agedGet(store.Get, caller)
	return store
}

// agedGet lets an instance's question for a note be answered from an older copy,
// and others act in between.
func (w *world) agedGet(get func(context.Context, string) (objectstore.Object, error), caller *instance) func(context.Context, string) (objectstore.Object, error) {
	return func(ctx context.Context, key string) (objectstore.Object, error) {
		if caller == nil || !strings.HasPrefix(key, publication.NotePrefix) {
			return get(ctx, key)
		}
		caller.fresh = !w.staleAllowed || rapid.Bool().Draw(w.t, "fresh")
		if !caller.fresh {
			return objectstore.Object{}, objectstore.ErrNotFound.New("an older copy")
		}
		o, err := get(ctx, key)
		caller.fresh = err == nil || objectstore.ErrNotFound.Has(err)
		w.intrude("after get", caller)
		return o, err
	}
}

// intrude lets another operator, another snapshot writer or the caller's other
// duty act in the middle of a call, sometimes.
func (w *world) intrude(where string, caller *instance) {
	if w.nested || rapid.IntRange(0, 5).Draw(w.t, where) > 0 {
		return
	}
	w.nested = true
	defer func() { w.nested = false }()
	switch kind := rapid.IntRange(0, 3).Draw(w.t, "intruder"); {
	case kind == 0 && caller != nil:
		caller.AskAllPeers(context.Background())
	case kind == 1 && len(w.instances) > 0:
		w.snapshot(rapid.SampledFrom(w.instances).Draw(w.t, "writer"))
	default:
		w.publish()
	}
}

// snapshot lets an instance write a snapshot.
func (w *world) snapshot(n *instance) {
	writer := publication.SnapshotWriter{Store: w.store(n.zone, nil), State: n.State, Notes: 2}
	_, _ = writer.Write(context.Background())
}

// boot lets an instance that is not ready read from the platform and its peers.
func (w *world) boot(n *instance) {
	ctx := context.Background()
	n.informed = n.informed || slices.ContainsFunc(w.reachable(n), func(p *instance) bool { return p.informed })
	if rapid.Bool().Draw(w.t, "peers first") {
		n.AskAllPeers(ctx)
		w.check()
		_, _ = n.CatchUp(ctx)
		return
	}
	_, _ = n.CatchUp(ctx)
	w.check()
	n.AskAllPeers(ctx)
}

// publish lets an operator publish a note that grants or withdraws a key.
func (w *world) publish() {
	k := rapid.IntRange(0, len(w.keys)-1).Draw(w.t, "key")
	note := release.Note{Withdraw: release.Withdraw{Keys: []string{w.keys[k].ID}}}
	if rapid.Bool().Draw(w.t, "grant") {
		note = release.Note{Keys: []release.Key{{ID: w.keys[k].ID, Hash: w.keys[k].Hash(), Team: "crews"}}}
	}
	a := &attempt{note: note}
	w.attempts = append(w.attempts, a)
	w.try(a, func(ctx context.Context, p publication.Publisher) (publication.Attempt, error) {
		return p.Publish(ctx, note)
	})
}

func (w *world) try(a *attempt, act func(context.Context, publication.Publisher) (publication.Attempt, error)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pauses := 0
	p := publication.Publisher{Store: w.store(-1, nil), Now: w.tick, Pause: func(context.Context) {
		if pauses++; pauses > 1 {
			cancel()
		}
	}}
	a.Attempt, a.err = act(ctx, p)
	w.observe()
}

// observe brings the oracle up to what stands in the platform.
func (w *world) observe() {
	for {
		number := uint64(len(w.notes) + 1)
		o, err := w.memory.Store().Get(context.Background(), publication.NoteKey(number))
		if objectstore.ErrNotFound.Has(err) {
			return
		}
		stored, err := publication.Decode(o.Key, o.Value)
		if err != nil {
			w.t.Fatal(err)
		}
		w.notes = append(w.notes, stored)
		w.acceptedAt = append(w.acceptedAt, w.tick())
	}
}

// checkNothingReplaced checks at the end that the notes stand as first seen,
// and no others.
func (w *world) checkNothingReplaced() {
	listing, err := w.memory.Store().List(context.Background(), publication.NotePrefix)
	if err != nil || len(listing.Objects) != len(w.notes) {
		w.t.Fatalf("%d notes stand, %d were seen: %v", len(listing.Objects), len(w.notes), err)
	}
	for i, o := range listing.Objects {
		stored, err := publication.Decode(o.Key, o.Value)
		if err != nil || stored.PublishID != w.notes[i].PublishID {
			w.t.Fatalf("%s was replaced: %v", o.Key, err)
		}
	}
}

// granted folds the first notes naively and returns the keys then granted.
func (w *world) granted(number uint64) map[string]bool {
	granted := map[string]bool{}
	for _, s := range w.notes[:number] {
		for _, id := range s.Note.Withdraw.Keys {
			delete(granted, id)
		}
		for _, k := range s.Note.Keys {
			granted[k.ID] = true
		}
	}
	return granted
}

// start adds an instance that has yet to become ready.
func (w *world) start(zone int) {
	w.started++
	n := &instance{id: fmt.Sprintf("i%d", w.started), zone: zone}
	n.Follower = &publication.Follower{Store: w.store(zone, n), Now: w.tick}
	n.RecentNotes = 3
	n.Peers = func() []string {
		var ids []string
		for _, p := range w.reachable(n) {
			ids = append(ids, p.id)
		}
		return ids
	}
	n.PullPeer = func(_ context.Context, id string, after uint64) (publication.Pulled, error) {
		for _, p := range w.reachable(n) {
			if p.id == id {
				return overWire(p.Pull(after, w.tick()))
			}
		}
		return publication.Pulled{}, objectstore.ErrUnavailable.New("cut")
	}
	w.instances = append(w.instances, n)

}

// overWire sends an answer through the peer protocol's message.
func overWire(p publication.Pulled, err error) (publication.Pulled, error) {
	if err != nil {
		return p, err
	}
	m, err := p.Message()
	if err != nil {
		return p, err
	}
	return publication.PulledFrom(m)
}

// reachable returns the ready instances that n can ask.
func (w *world) reachable(n *instance) []*instance {
	var peers []*instance
	for _, p := range w.instances {
		if p != n && p.Ready() && (p.zone == n.zone || !w.peersCut) {
			peers = append(peers, p)
		}
	}
	return peers
}

// shardsOf returns the keys of shards that stand and the head.
func (w *world) shardsOf() (publication.Head, []string) {
	listing, err := w.memory.Store().List(context.Background(), "snapshot/")
	if err != nil {
		w.t.Fatal(err)
	}
	var head publication.Head
	keys := map[string]bool{}
	for _, o := range listing.Objects {
		if o.Key == publication.SnapshotHeadKey {
			if err := json.Unmarshal(o.Value, &head); err != nil {
				w.t.Fatal(err)
			}
			continue
		}
		if strings.Contains(o.Key, head.SnapshotID) || head.SnapshotID == "" {
			keys[o.Key] = true
		}
	}
	return head, slices.Sorted(maps.Keys(keys))
}
