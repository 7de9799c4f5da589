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

// TestNotesNeverRevert drives operators that race, lost and delayed answers,
// instances that start during an outage or from an older copy, gaps in watches,
// snapshots in between, and partitions, and compares with a naive fold of the
// notes that stand in the platform (invariants 6 and 7).
func TestNotesNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		ctx := context.Background()
		some := func() *instance {
			if len(w.instances) == 0 {
				t.Skip("no instance")
			}
			return rapid.SampledFrom(w.instances).Draw(t, "instance")
		}
		// running picks an instance and boots it unless it is ready.
		running := func() *instance {
			n := some()
			if !n.Ready() {
				w.boot(n)
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { w.check() },
			"publish": func(*rapid.T) {
				w.publish()
			},
			"resume": func(*rapid.T) { w.resume() },
			"start": func(*rapid.T) {
				if len(w.instances) >= 5 {
					t.Skip("enough")
				}
				w.start(rapid.IntRange(0, zoneCount-1).Draw(t, "zone"))
			},
			"kill": func(*rapid.T) {
				n := some()
				w.instances = remove(w.instances, n)
			},
			"catch up": func(*rapid.T) {
				n := running()
				if version, err := n.CatchUp(ctx); err == nil {
					n.version = version
				}
			},
			"watch": func(*rapid.T) {
				n := running()
				if version, err := n.WatchOnce(ctx, n.version, time.Second); err == nil {
					n.version = version
				}
			},
			"ask peers": func(*rapid.T) { running().AskAllPeers(ctx) },
			"snapshot": func(*rapid.T) {
				w.snapshot(running())
			},
			"partition": func(*rapid.T) {
				w.peersCut = rapid.Bool().Draw(t, "peers cut")
				for i := range w.platformCut {
					w.platformCut[i] = rapid.Bool().Draw(t, "platform cut")
				}
			},
			"fail writes": func(*rapid.T) {
				w.loseAnswers = rapid.IntRange(0, 2).Draw(t, "lose")
				w.delayWrites = rapid.IntRange(0, 2).Draw(t, "delay")
			},
			"delayed writes": func(*rapid.T) { w.flush() },
		})
		w.heal()
	})
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), staleAllowed: rapid.Bool().Draw(t, "stale allowed")}
	for range 3 {
		w.keys = append(w.keys, key.Generate())
	}
	for i := range rapid.SampledFrom([]uint64{0, 98, 99, 199}).Draw(t, "history") {
		stored := publication.Stored{PublishID: fmt.Sprint(i), Number: i + 1}
		value, err := stored.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.memory.Store().Put(context.Background(), publication.NoteKey(i+1), value, 0); err != nil {
			t.Fatal(err)
		}
	}
	w.observe()
	return w
}

// resume takes up an attempt whose outcome the operator does not know.
func (w *world) resume() {
	for _, a := range w.attempts {
		if publication.ErrUncertain.Has(a.err) {
			w.try(a, func(ctx context.Context, p publication.Publisher) (publication.Attempt, error) {
				return p.Resume(ctx, a.Attempt, a.note)
			})
			return
		}
	}
	w.t.Skip("none is open")
}

func (w *world) flush() {
	for _, write := range w.delayed {
		write()
	}
	w.delayed = nil
}

// heal ends all failures and checks that everything comes into force everywhere,
// in a zone without the platform through peers alone, and that what operators
// were told holds for good.
func (w *world) heal() {
	w.loseAnswers, w.delayWrites, w.staleAllowed, w.peersCut = 0, 0, false, false
	w.platformCut = [zoneCount]bool{false, true}
	w.nested = true
	w.flush()
	for range w.attempts {
		for _, a := range w.attempts {
			if publication.ErrUncertain.Has(a.err) {
				w.resume()
			}
		}
	}
	w.start(0)
	w.start(1)
	for range 2 {
		for _, n := range w.instances {
			w.boot(n)
		}
	}
	for range 2 {
		for _, n := range w.instances {
			w.boot(n)
		}
	}
	w.nested = false
	w.check()
	w.checkNothingReplaced()
	for _, n := range w.instances {
		if n.State().Number != uint64(len(w.notes)) || !n.Ready() {
			w.t.Fatalf("%s in zone %d ends at %d of %d, ready %v", n.id, n.zone, n.State().Number, len(w.notes), n.Ready())
		}
	}
	for _, a := range w.attempts {
		if publication.ErrUncertain.Has(a.err) {
			w.t.Fatalf("%s stays open: %v", a.PublishID, a.err)
		}
	}
	if head, shards := w.shardsOf(); len(shards) < head.Shards {
		w.t.Fatalf("head names %d shards, %d stand", head.Shards, len(shards))
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

// TestFollowerRunSurvivesBlindWatch checks that a watch that tells of nothing
// holds no note back for good.
func TestFollowerRunSurvivesBlindWatch(t *testing.T) {
	var memory objectstore.Memory
	store := memory.Store()
	blind := store
	blind.Watch = func(_ context.Context, _ string, after uint64, _ time.Duration) (objectstore.Changes, error) {
		return objectstore.Changes{Version: after}, nil
	}
	f := &publication.Follower{Store: blind, Recheck: time.Millisecond, PeerInterval: time.Millisecond}
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
		t.Errorf("at %d, ready %v", f.State().Number, f.Ready())
	}
	cancel()
	<-done
}

// TestAdoptNeverGoesBack checks that a snapshot read slowly, while peers told of
// later notes, changes nothing.
func TestAdoptNeverGoesBack(t *testing.T) {
	var r publication.Replica
	r.Offer([]publication.Stored{{Number: 1}, {Number: 2}, {Number: 3}})
	for number := range uint64(4) {
		if r.Adopt(release.FromParts(number, nil)) || r.State().Number != 3 {
			t.Errorf("adopted %d, now at %d", number, r.State().Number)
		}
	}
	if !r.Adopt(release.FromParts(9, nil)) || r.State().Number != 9 {
		t.Errorf("did not adopt 9, now at %d", r.State().Number)
	}
}

// TestNotReadyBeforePeersAreKnown checks that an instance which has read an
// older copy of the platform waits until it can ask its peers.
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
		PullPeer: func(context.Context, string, uint64) (publication.Pulled, error) {
			return publication.Pulled{Latest: 1, Notes: []publication.Stored{{Number: 1}}}, nil
		},
	}
	if _, err := f.CatchUp(ctx); err != nil {
		t.Fatal(err)
	}
	f.AskAllPeers(ctx)
	if f.Ready() {
		t.Error("ready before the peers are known")
	}
	known = true
	f.AskAllPeers(ctx)
	if !f.Ready() || f.State().Number != 1 {
		t.Errorf("ready %v at %d", f.Ready(), f.State().Number)
	}
}
