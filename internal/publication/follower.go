package publication

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"heatherrelay/internal/objectstore"
)

// The defaults of a follower.
const (
	DefaultRecheck      = 8 * time.Second
	DefaultPeerInterval = time.Second
	DefaultCallTimeout  = 3 * time.Second
	startPause          = 50 * time.Millisecond
)

// Follower keeps a replica up to date from the platform and from peers. The
// platform is watched and, since a watch may miss changes, listed now and then.
// Peers are asked in turn, so that an instance that reaches no platform learns
// of notes through any peer that does. Set the exported fields before Run.
type Follower struct {
	Replica
	Store objectstore.Store
	// Peers returns the instances that can be asked now; nil means none.
	Peers func() []string
	// PullPeer asks one peer for the notes after a number.
	PullPeer func(ctx context.Context, peer string, after uint64) (Pulled, error)
	// PeersKnown reports whether Peers can be relied on: until then an empty
	// answer does not say that there are none. Nil means always.
	PeersKnown func() bool
	// Recheck is the time between listings; zero is DefaultRecheck.
	Recheck time.Duration
	// PeerInterval is the time between questions to a peer; zero is DefaultPeerInterval.
	PeerInterval time.Duration
	// Failed hears of calls that failed; may be nil.
	Failed func(error)
	// Now is the clock; nil is time.Now.
	Now func() time.Time

	platformTried, platformRead atomic.Bool
	peersTried, peerAnswered    atomic.Bool
	// askedAfterRead says that the peers were asked after the platform was read.
	askedAfterRead atomic.Bool
}

// Ready reports whether the instance may serve: it has read the platform and
// then asked its peers, in case that it read an older copy; or, failing the
// platform, a peer has answered. Once true it stays true.
func (f *Follower) Ready() bool {
	if f.Peers == nil {
		return f.platformRead.Load()
	}
	byPlatform := f.platformRead.Load() && f.askedAfterRead.Load()
	byPeers := f.platformTried.Load() && f.peersTried.Load() && f.peerAnswered.Load()
	return byPlatform || byPeers
}

// Run follows the platform and the peers until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	if f.Recheck == 0 {
		f.Recheck = DefaultRecheck
	}
	if f.PeerInterval == 0 {
		f.PeerInterval = DefaultPeerInterval
	}
	var duties conc.WaitGroup
	duties.Go(func() { f.followPlatform(ctx) })
	duties.Go(func() { f.followPeers(ctx) })
	duties.Wait()
}

func (f *Follower) followPlatform(ctx context.Context) {
	var backoff objectstore.Backoff
	for ctx.Err() == nil {
		version, err := f.CatchUp(ctx)
		if err == nil && !f.Gap() {
			backoff.Reset()
			err = f.watch(ctx, version)
		}
		if err != nil {
			f.fail(ctx, err)
		}
		if err != nil || f.Gap() {
			backoff.Sleep(ctx)
		}
	}
}

// watch applies the notes that the platform tells of until the next listing is
// due or a note is missing.
func (f *Follower) watch(ctx context.Context, version uint64) error {
	due := f.now().Add(f.Recheck)
	for ctx.Err() == nil && !f.Gap() {
		left := due.Sub(f.now())
		if left <= 0 {
			return nil
		}
		next, err := f.WatchOnce(ctx, version, left)
		if err != nil {
			return err
		}
		version = next
	}
	return nil
}

// WatchOnce waits for notes after a version of the store, applies them, and
// returns the version to go on from.
func (f *Follower) WatchOnce(ctx context.Context, version uint64, wait time.Duration) (uint64, error) {
	changes, err := f.Store.Watch(ctx, NotePrefix, version, wait)
	if err != nil {
		return 0, err
	}
	var notes []Stored
	for _, e := range changes.Events {
		if e.Deleted {
			continue
		}
		stored, err := Decode(e.Key, e.Value)
		if err != nil {
			return 0, err
		}
		notes = append(notes, stored)
	}
	f.Offer(notes)
	return changes.Version, nil
}

// CatchUp reads all that the platform has and this replica has not. It returns
// a version of the store from which a watch misses nothing.
func (f *Follower) CatchUp(ctx context.Context) (uint64, error) {
	version, err := f.catchUp(ctx)
	if err == nil {
		f.platformRead.Store(true)
	}
	f.platformTried.Store(true)
	return version, err
}

func (f *Follower) catchUp(ctx context.Context) (uint64, error) {
	version, err := f.loadSnapshot(ctx)
	if err != nil {
		return 0, err
	}
	for {
		asked := f.now()
		next := f.State().Number + 1
		object, err := f.Store.Get(ctx, NoteKey(next))
		if objectstore.ErrNotFound.Has(err) {
			// Whatever was accepted before the question has been applied, unless
			// the answer is older than a note that waits for this one.
			if !f.Gap() {
				f.Confirm(asked)
			}
			return version, nil
		}
		if err != nil {
			return 0, err
		}
		if err := f.readBlock(ctx, object, next); err != nil {
			return 0, err
		}
	}
}

// readBlock applies the note in first and those after it in its block, which
// take one listing.
func (f *Follower) readBlock(ctx context.Context, first objectstore.Object, next uint64) error {
	listing, err := f.Store.List(ctx, blockPrefix(next))
	if err != nil {
		return err
	}
	listing.Objects = append(listing.Objects, first)
	notes, err := decodeFrom(listing, next)
	if err != nil {
		return err
	}
	f.Offer(notes)
	return nil
}

// decodeFrom returns the notes of a listing from number next on.
func decodeFrom(listing objectstore.Listing, next uint64) ([]Stored, error) {
	var notes []Stored
	for _, object := range listing.Objects {
		if object.Key < NoteKey(next) {
			continue
		}
		stored, err := Decode(object.Key, object.Value)
		if err != nil {
			return nil, err
		}
		notes = append(notes, stored)
	}
	return notes, nil
}

func (f *Follower) followPeers(ctx context.Context) {
	f.AskAllPeers(ctx)
	for ctx.Err() == nil {
		pause := f.PeerInterval/2 + rand.N(f.PeerInterval)
		if !f.peersTried.Load() || f.platformRead.Load() && !f.askedAfterRead.Load() {
			pause = startPause
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		f.AskPeer(ctx)
	}
}

// AskAllPeers asks each peer once, at the same time, and waits for the answers.
func (f *Follower) AskAllPeers(ctx context.Context) {
	known := f.PeersKnown == nil || f.PeersKnown()
	afterRead := known && f.platformRead.Load()
	var asking conc.WaitGroup
	var answers atomic.Int64
	for _, peer := range f.peers() {
		asking.Go(func() {
			if f.ask(ctx, peer) {
				answers.Add(1)
			}
		})
	}
	asking.Wait()
	if answers.Load() > 0 {
		f.peerAnswered.Store(true)
	}
	f.peersTried.Store(known || f.peersTried.Load())
	f.askedAfterRead.Store(afterRead || f.askedAfterRead.Load())
}

// AskPeer asks one peer picked at random, or all while none has answered yet
// and the platform has not been read.
func (f *Follower) AskPeer(ctx context.Context) {
	if !f.Ready() {
		f.AskAllPeers(ctx)
		return
	}
	if peers := f.peers(); len(peers) > 0 {
		f.ask(ctx, peers[rand.IntN(len(peers))])
	}
}

func (f *Follower) ask(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithTimeout(ctx, DefaultCallTimeout)
	defer cancel()
	asked := f.now()
	pulled, err := f.PullPeer(ctx, peer, f.State().Number)
	if err != nil {
		f.fail(ctx, err)
		return false
	}
	f.Take(pulled, asked)
	return true
}

func (f *Follower) peers() []string {
	if f.Peers == nil || f.PullPeer == nil {
		return nil
	}
	return f.Peers()
}

func (f *Follower) fail(ctx context.Context, err error) {
	if f.Failed != nil && ctx.Err() == nil {
		f.Failed(err)
	}
}

func (f *Follower) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return time.Now()
}
