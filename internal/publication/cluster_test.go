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

// testCluster is a fleet in two zones with one platform, on a virtual clock. The
// property test switches failures on and off.
type testCluster struct {
	t      *rapid.T
	memory objectstore.Memory
	keys   []key.Key

	// nowMu guards now, since peers are called concurrently.
	nowMu sync.Mutex
	now   time.Time
	// platformPartitioned and peersPartitioned are the current network
	// partitions: between a zone and the platform, and between the zones.
	platformPartitioned [zoneCount]bool
	peersPartitioned    bool
	// staleAllowed lets reads return an older state of the store.
	staleAllowed bool
	// loseAnswers and delayWrites count the next writes whose answer is lost, and
	// those that are delayed until flushDelayedWrites.
	loseAnswers int
	delayWrites int
	delayed     []func()
	// nested is set while another actor acts inside a store call.
	nested bool

	instances []*instance
	started   int
	// inForceEverywhere is the highest number that was in force on all instances.
	// It includes instances that are starting, since they hold a lease before
	// they read.
	inForceEverywhere uint64
	attempts          []*attempt
	// notes and acceptedAt are the oracle: each note as first seen in the
	// platform, by number from 1 on, and the time at which it was seen.
	notes      []publication.StoredNote
	acceptedAt []time.Time
}

// instance is a follower and what the oracle records about it.
type instance struct {
	*publication.Follower
	id      string
	zone    int
	version uint64
	highest uint64
	// fresh is set when the last read of the platform returned its current state.
	fresh bool
	// informed is set when the instance has made a fresh read, or could reach an
	// informed peer when it started; without either it cannot know of the latest
	// notes.
	informed bool
}

// attempt is one publication and the outcome last reported to the operator.
type attempt struct {
	publication.Attempt
	note release.Note
	err  error
}

// tick advances the clock by a millisecond and returns the new time.
func (c *testCluster) tick() time.Time {
	c.nowMu.Lock()
	defer c.nowMu.Unlock()
	c.now = c.now.Add(time.Millisecond)
	return c.now
}

// store returns the platform as seen from a zone; zone -1 stands for the
// operators, who are never partitioned.
func (c *testCluster) store(zone int, caller *instance) objectstore.Store {
	backing := c.memory.Store()
	unreachable := func() bool { return zone >= 0 && c.platformPartitioned[zone] }
	store := backing
	store.Get = func(ctx context.Context, key string) (objectstore.Object, error) {
		c.interleave("before get", caller)
		if unreachable() {
			return objectstore.Object{}, objectstore.ErrUnavailable.New("partitioned")
		}
		return backing.Get(ctx, key)
	}
	store.List = func(ctx context.Context, prefix string) (objectstore.Listing, error) {
		c.interleave("before list", caller)
		if unreachable() {
			return objectstore.Listing{}, objectstore.ErrUnavailable.New("partitioned")
		}
		listing, err := backing.List(ctx, prefix)
		if c.staleAllowed && caller != nil && rapid.Bool().Draw(c.t, "stale") {
			asOf := rapid.Uint64Range(0, listing.Version).Draw(c.t, "version")
			listing.Version = asOf
			listing.Objects = slices.DeleteFunc(listing.Objects, func(o objectstore.Object) bool { return o.Version > asOf })
			caller.fresh = false
		} else if caller != nil {
			caller.fresh = true
		}
		c.interleave("after list", caller)
		return listing, err
	}
	store.Watch = func(ctx context.Context, prefix string, after uint64, _ time.Duration) (objectstore.Changes, error) {
		if unreachable() {
			return objectstore.Changes{}, objectstore.ErrUnavailable.New("partitioned")
		}
		changes, err := backing.Watch(ctx, prefix, after, 0)
		if len(changes.Events) > 0 && rapid.Bool().Draw(c.t, "gap") {
			lost := rapid.IntRange(0, len(changes.Events)-1).Draw(c.t, "lost event")
			changes.Events = slices.Delete(changes.Events, lost, lost+1)
		}
		return changes, err
	}
	store.Put = func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
		c.interleave("before put", nil)
		if unreachable() {
			return 0, objectstore.ErrUnavailable.New("partitioned")
		}
		if c.delayWrites > 0 {
			c.delayWrites--
			c.delayed = append(c.delayed, func() { _, _ = backing.Put(ctx, key, value, ifVersion) })
			return 0, objectstore.ErrUnavailable.New("timed out")
		}
		version, err := backing.Put(ctx, key, value, ifVersion)
		if c.loseAnswers > 0 {
			c.loseAnswers--
			return 0, objectstore.ErrUnavailable.New("answer lost")
		}
		return version, err
	}
	store.Get = c.staleGet(store.Get, caller)
	return store
}

// staleGet wraps get so that an instance's read of a note may not find it, as in an
// older state of the store, and other actors may run after the read.
func (c *testCluster) staleGet(get func(context.Context, string) (objectstore.Object, error), caller *instance) func(context.Context, string) (objectstore.Object, error) {
	return func(ctx context.Context, key string) (objectstore.Object, error) {
		if caller == nil || !strings.HasPrefix(key, publication.NotePrefix) {
			return get(ctx, key)
		}
		caller.fresh = !c.staleAllowed || rapid.Bool().Draw(c.t, "fresh")
		if !caller.fresh {
			return objectstore.Object{}, objectstore.ErrNotFound.New("an older state")
		}
		o, err := get(ctx, key)
		caller.fresh = err == nil || objectstore.ErrNotFound.Has(err)
		c.interleave("after get", caller)
		return o, err
	}
}

// interleave sometimes lets another operator, another snapshot writer or the
// caller's own pull from its peers run in the middle of a store call.
func (c *testCluster) interleave(where string, caller *instance) {
	if c.nested || rapid.IntRange(0, 5).Draw(c.t, where) > 0 {
		return
	}
	c.nested = true
	defer func() { c.nested = false }()
	switch kind := rapid.IntRange(0, 3).Draw(c.t, "intruder"); {
	case kind == 0 && caller != nil:
		caller.PullFromAllPeers(context.Background())
	case kind == 1 && len(c.instances) > 0:
		c.snapshot(rapid.SampledFrom(c.instances).Draw(c.t, "writer"))
	default:
		c.publish()
	}
}

// snapshot lets an instance write a snapshot if one is due.
func (c *testCluster) snapshot(n *instance) {
	writer := publication.SnapshotWriter{Store: c.store(n.zone, nil), State: n.State, NotesPerSnapshot: 2}
	_, _ = writer.Write(context.Background())
}

// boot lets an instance read from the platform and pull from its peers, in either
// order.
func (c *testCluster) boot(n *instance) {
	ctx := context.Background()
	n.informed = n.informed || slices.ContainsFunc(c.reachable(n), func(p *instance) bool { return p.informed })
	if rapid.Bool().Draw(c.t, "peers first") {
		n.PullFromAllPeers(ctx)
		c.check()
		_, _ = n.CatchUp(ctx)
		return
	}
	_, _ = n.CatchUp(ctx)
	c.check()
	n.PullFromAllPeers(ctx)
}

// publish lets an operator publish a note that grants or withdraws a key.
func (c *testCluster) publish() {
	k := rapid.IntRange(0, len(c.keys)-1).Draw(c.t, "key")
	note := release.Note{Withdraw: release.Withdraw{Keys: []string{c.keys[k].ID}}}
	if rapid.Bool().Draw(c.t, "grant") {
		note = release.Note{Keys: []release.Key{{ID: c.keys[k].ID, Hash: c.keys[k].Hash(), Team: "crews"}}}
	}
	a := &attempt{note: note}
	c.attempts = append(c.attempts, a)
	c.runAttempt(a, func(ctx context.Context, p publication.Publisher) (publication.Attempt, error) {
		return p.Publish(ctx, note)
	})
}

// runAttempt runs a call of the publisher, which gives up at its second retry,
// and records the outcome.
func (c *testCluster) runAttempt(a *attempt, call func(context.Context, publication.Publisher) (publication.Attempt, error)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	retries := 0
	p := publication.Publisher{Store: c.store(-1, nil), Now: c.tick, RetryWait: func(context.Context) {
		if retries++; retries > 1 {
			cancel()
		}
	}}
	a.Attempt, a.err = call(ctx, p)
	c.updateOracle()
}

// updateOracle adds the notes accepted since the last call to the oracle.
func (c *testCluster) updateOracle() {
	for {
		number := uint64(len(c.notes) + 1)
		o, err := c.memory.Store().Get(context.Background(), publication.NoteKey(number))
		if objectstore.ErrNotFound.Has(err) {
			return
		}
		stored, err := publication.Decode(o.Key, o.Value)
		if err != nil {
			c.t.Fatal(err)
		}
		c.notes = append(c.notes, stored)
		c.acceptedAt = append(c.acceptedAt, c.tick())
	}
}

// checkNothingReplaced checks that the platform holds exactly the notes of the
// oracle, each as first seen.
func (c *testCluster) checkNothingReplaced() {
	listing, err := c.memory.Store().List(context.Background(), publication.NotePrefix)
	if err != nil || len(listing.Objects) != len(c.notes) {
		c.t.Fatalf("the platform holds %d notes, %d were seen: %v", len(listing.Objects), len(c.notes), err)
	}
	for i, o := range listing.Objects {
		stored, err := publication.Decode(o.Key, o.Value)
		if err != nil || stored.PublishID != c.notes[i].PublishID {
			c.t.Fatalf("%s was replaced, or cannot be decoded: %v", o.Key, err)
		}
	}
}

// grantedKeys applies the notes of the oracle up to number one by one and returns
// the keys that they grant.
func (c *testCluster) grantedKeys(number uint64) map[string]bool {
	granted := map[string]bool{}
	for _, s := range c.notes[:number] {
		for _, id := range s.Note.Withdraw.Keys {
			delete(granted, id)
		}
		for _, k := range s.Note.Keys {
			granted[k.ID] = true
		}
	}
	return granted
}

// addInstance adds an instance that is not yet ready.
func (c *testCluster) addInstance(zone int) {
	c.started++
	n := &instance{id: fmt.Sprintf("i%d", c.started), zone: zone}
	n.Follower = &publication.Follower{Store: c.store(zone, n), Now: c.tick}
	n.RecentNotes = 3
	n.Peers = func() []string {
		var ids []string
		for _, p := range c.reachable(n) {
			ids = append(ids, p.id)
		}
		return ids
	}
	n.PullPeer = func(_ context.Context, id string, after uint64) (publication.PullResponse, error) {
		for _, p := range c.reachable(n) {
			if p.id == id {
				return encodeAndDecode(p.Pull(after, c.tick()))
			}
		}
		return publication.PullResponse{}, objectstore.ErrUnavailable.New("partitioned")
	}
	c.instances = append(c.instances, n)

}

// encodeAndDecode converts a response to a message of the peer protocol and back.
func encodeAndDecode(p publication.PullResponse, err error) (publication.PullResponse, error) {
	if err != nil {
		return p, err
	}
	m, err := p.Message()
	if err != nil {
		return p, err
	}
	return publication.PullResponseFromMessage(m)
}

// reachable returns the ready instances that n can call.
func (c *testCluster) reachable(n *instance) []*instance {
	var peers []*instance
	for _, p := range c.instances {
		if p != n && p.Ready() && (p.zone == n.zone || !c.peersPartitioned) {
			peers = append(peers, p)
		}
	}
	return peers
}

// headAndShards returns the snapshot head and the keys of its shards in the
// platform.
func (c *testCluster) headAndShards() (publication.Head, []string) {
	listing, err := c.memory.Store().List(context.Background(), "snapshot/")
	if err != nil {
		c.t.Fatal(err)
	}
	var head publication.Head
	keys := map[string]bool{}
	for _, o := range listing.Objects {
		if o.Key == publication.SnapshotHeadKey {
			if err := json.Unmarshal(o.Value, &head); err != nil {
				c.t.Fatal(err)
			}
			continue
		}
		if strings.Contains(o.Key, head.SnapshotID) || head.SnapshotID == "" {
			keys[o.Key] = true
		}
	}
	return head, slices.Sorted(maps.Keys(keys))
}
