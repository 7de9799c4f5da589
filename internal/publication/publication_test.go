package publication_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/key"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/pkg/release"
)

// TestNotesNeverRevert runs concurrent operators, lost answers, delayed writes,
// instances that start during an outage or read an older state, watches that miss
// events, snapshots and partitions in random order. It compares each instance's
// state with one built by applying the notes stored in the platform one by one
// (invariants 6 and 7).
func TestNotesNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(t)
		ctx := context.Background()
		anyInstance := func() *instance {
			if len(c.instances) == 0 {
				t.Skip("no instance")
			}
			return rapid.SampledFrom(c.instances).Draw(t, "instance")
		}
		// readyInstance picks an instance and lets it read from the platform and
		// its peers if it is not ready.
		readyInstance := func() *instance {
			n := anyInstance()
			if !n.Ready() {
				c.boot(n)
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { c.check() },
			"publish": func(*rapid.T) {
				c.publish()
			},
			"resume": func(*rapid.T) { c.resume() },
			"start": func(*rapid.T) {
				if len(c.instances) >= 5 {
					t.Skip("enough")
				}
				c.addInstance(rapid.IntRange(0, zoneCount-1).Draw(t, "zone"))
			},
			"kill": func(*rapid.T) {
				n := anyInstance()
				c.instances = remove(c.instances, n)
			},
			"catch up": func(*rapid.T) {
				n := readyInstance()
				if version, err := n.CatchUp(ctx); err == nil {
					n.version = version
				}
			},
			"watch": func(*rapid.T) {
				n := readyInstance()
				if version, err := n.WatchOnce(ctx, n.version, time.Second); err == nil {
					n.version = version
				}
			},
			"ask peers": func(*rapid.T) { readyInstance().PullFromAllPeers(ctx) },
			"snapshot": func(*rapid.T) {
				c.snapshot(readyInstance())
			},
			"partition": func(*rapid.T) {
				c.peersPartitioned = rapid.Bool().Draw(t, "peers partitioned")
				for i := range c.platformPartitioned {
					c.platformPartitioned[i] = rapid.Bool().Draw(t, "platform partitioned")
				}
			},
			"fail writes": func(*rapid.T) {
				c.loseAnswers = rapid.IntRange(0, 2).Draw(t, "lose")
				c.delayWrites = rapid.IntRange(0, 2).Draw(t, "delay")
			},
			"delayed writes": func(*rapid.T) { c.flushDelayedWrites() },
		})
		c.recoverAndCheck()
	})
}

func newTestCluster(t *rapid.T) *testCluster {
	c := &testCluster{t: t, now: time.Unix(1_000_000, 0), staleAllowed: rapid.Bool().Draw(t, "stale allowed")}
	for range 3 {
		c.keys = append(c.keys, key.Generate())
	}
	for i := range rapid.SampledFrom([]uint64{0, 98, 99, 199}).Draw(t, "history") {
		stored := publication.StoredNote{PublishID: fmt.Sprint(i), Number: i + 1}
		value, err := stored.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.memory.Store().Put(context.Background(), publication.NoteKey(i+1), value, 0); err != nil {
			t.Fatal(err)
		}
	}
	c.updateOracle()
	return c
}

// resume resumes the first attempt whose outcome the operator does not know.
func (c *testCluster) resume() {
	for _, a := range c.attempts {
		if publication.ErrUncertain.Has(a.err) {
			c.runAttempt(a, func(ctx context.Context, p publication.Publisher) (publication.Attempt, error) {
				return p.Resume(ctx, a.Attempt, a.note)
			})
			return
		}
	}
	c.t.Skip("no attempt with an unknown outcome")
}

// flushDelayedWrites executes the writes whose callers have seen a timeout.
func (c *testCluster) flushDelayedWrites() {
	for _, write := range c.delayed {
		write()
	}
	c.delayed = nil
}

// recoverAndCheck ends all failures but one: zone 1 still cannot reach the
// platform. It checks that all notes come into force everywhere, in zone 1
// through peers alone, and that the outcomes reported to operators hold.
func (c *testCluster) recoverAndCheck() {
	c.loseAnswers, c.delayWrites, c.staleAllowed, c.peersPartitioned = 0, 0, false, false
	c.platformPartitioned = [zoneCount]bool{false, true}
	c.nested = true
	c.flushDelayedWrites()
	for range c.attempts {
		for _, a := range c.attempts {
			if publication.ErrUncertain.Has(a.err) {
				c.resume()
			}
		}
	}
	c.addInstance(0)
	c.addInstance(1)
	for range 2 {
		for _, n := range c.instances {
			c.boot(n)
		}
	}
	for range 2 {
		for _, n := range c.instances {
			c.boot(n)
		}
	}
	c.nested = false
	c.check()
	c.checkNothingReplaced()
	for _, n := range c.instances {
		if n.State().Number != uint64(len(c.notes)) || !n.Ready() {
			c.t.Fatalf("%s in zone %d ends at note %d of %d, ready %v", n.id, n.zone, n.State().Number, len(c.notes), n.Ready())
		}
	}
	for _, a := range c.attempts {
		if publication.ErrUncertain.Has(a.err) {
			c.t.Fatalf("the outcome of %s stays unknown: %v", a.PublishID, a.err)
		}
	}
	if head, shards := c.headAndShards(); len(shards) < head.Shards {
		c.t.Fatalf("the head names %d shards, the platform holds %d", head.Shards, len(shards))
	}
}

func remove(instances []*instance, n *instance) []*instance {
	var rest []*instance
	for _, other := range instances {
		if other != n {
			rest = append(rest, other)
		}
	}
	return rest
}

// TestFollowerRunRelistsWhenWatchMissesEvents checks that notes come into force
// although the watch never returns an event.
func TestFollowerRunRelistsWhenWatchMissesEvents(t *testing.T) {
	var memory objectstore.Memory
	store := memory.Store()
	eventless := store
	eventless.Watch = func(_ context.Context, _ string, after uint64, _ time.Duration) (objectstore.Changes, error) {
		return objectstore.Changes{Version: after}, nil
	}
	f := &publication.Follower{Store: eventless, RelistInterval: time.Millisecond, PullInterval: time.Millisecond}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	p := publication.Publisher{Store: store}
	for i := range 3 {
		note := release.Note{Targets: []release.Target{{ID: fmt.Sprintf("t%d", i)}}}
		attempt, err := p.Publish(ctx, note)
		if err != nil {
			t.Fatal(err)
		}
		for f.State().Number < attempt.Number && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	if f.State().Number != 3 || !f.Ready() {
		t.Errorf("at note %d, ready %v, want 3 and true", f.State().Number, f.Ready())
	}
	cancel()
	<-done
}

// TestInstallStateNeverGoesBack checks that a snapshot has no effect when later
// notes arrived from peers while it was read.
func TestInstallStateNeverGoesBack(t *testing.T) {
	var r publication.Replica
	r.ApplyNotes([]publication.StoredNote{{Number: 1}, {Number: 2}, {Number: 3}})
	for number := range uint64(4) {
		if r.InstallState(release.StateFromParts(number, nil)) || r.State().Number != 3 {
			t.Errorf("installed state %d, now at %d, want 3", number, r.State().Number)
		}
	}
	if !r.InstallState(release.StateFromParts(9, nil)) || r.State().Number != 9 {
		t.Errorf("did not install state 9, now at %d", r.State().Number)
	}
}

// TestNotReadyBeforePeersAreKnown checks that an instance that has read the
// platform is not ready before it could pull from its peers. Its read may have
// returned an older state, and an empty peer list that is not yet loaded must not
// count as having no peers.
func TestNotReadyBeforePeersAreKnown(t *testing.T) {
	ctx := context.Background()
	var memory objectstore.Memory
	known := false
	f := &publication.Follower{
		Store:      memory.Store(),
		PeersKnown: func() bool { return known },
		Peers: func() []string {
			if !known {
				return nil
			}
			return []string{"peer"}
		},
		PullPeer: func(context.Context, string, uint64) (publication.PullResponse, error) {
			return publication.PullResponse{Latest: 1, Notes: []publication.StoredNote{{Number: 1}}}, nil
		},
	}
	if _, err := f.CatchUp(ctx); err != nil {
		t.Fatal(err)
	}
	f.PullFromAllPeers(ctx)
	if f.Ready() {
		t.Error("ready before the peers are known")
	}
	known = true
	f.PullFromAllPeers(ctx)
	if !f.Ready() || f.State().Number != 1 {
		t.Errorf("ready %v at note %d, want true and 1", f.Ready(), f.State().Number)
	}
}
