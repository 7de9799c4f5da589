package publication

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"heatherrelay/internal/objectstore"
)

// The defaults of a follower, and the intervals that are not configurable.
const (
	DefaultRelistInterval = 8 * time.Second
	DefaultPullInterval   = time.Second
	// pullTimeout limits one pull from a peer.
	pullTimeout = 3 * time.Second
	// startupPullInterval is the time between pulls from peers until the pulls
	// that Ready depends on have been attempted.
	startupPullInterval = 50 * time.Millisecond
)

// Follower keeps a replica up to date from the platform and from peers. It
// watches the platform and, since a watch may miss changes, also reads it every
// RelistInterval. It pulls notes from peers in random order as well, so that an
// instance that cannot reach the platform receives them through any peer that
// can. Set the exported fields before Run.
type Follower struct {
	Replica
	Store objectstore.Store
	// Peers returns the ids of the instances that can be called now. A nil func
	// means that there are no peers.
	Peers func() []string
	// PullPeer requests from one peer the notes after a number.
	PullPeer func(ctx context.Context, peer string, after uint64) (PullResponse, error)
	// PeersKnown reports whether the list of Peers can be relied on; until then
	// an empty list does not mean that there are no peers. A nil func means
	// always.
	PeersKnown func() bool
	// RelistInterval is the time between reads of the platform that do not rely
	// on the watch; zero means DefaultRelistInterval.
	RelistInterval time.Duration
	// PullInterval is the mean time between pulls from peers; zero means
	// DefaultPullInterval.
	PullInterval time.Duration
	// OnError is called with the error of each call that failed; may be nil.
	OnError func(error)
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	platformTried, platformRead atomic.Bool
	peersTried, peerAnswered    atomic.Bool
	// pulledAfterRead is set once a pull from all peers has been attempted after
	// the platform was read.
	pulledAfterRead atomic.Bool
}

// Ready reports whether the instance may serve. Without Peers it is ready once it
// has read the platform. With Peers it must also have attempted to pull from them
// after that read, because the read may have returned an older state. If the
// platform cannot be read, an answer from a peer is enough once both have been
// tried. Once true it stays true.
func (f *Follower) Ready() bool {
	if f.Peers == nil {
		return f.platformRead.Load()
	}
	byPlatform := f.platformRead.Load() && f.pulledAfterRead.Load()
	byPeers := f.platformTried.Load() && f.peersTried.Load() && f.peerAnswered.Load()
	return byPlatform || byPeers
}

// Run follows the platform and the peers until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	if f.RelistInterval == 0 {
		f.RelistInterval = DefaultRelistInterval
	}
	if f.PullInterval == 0 {
		f.PullInterval = DefaultPullInterval
	}
	var tasks conc.WaitGroup
	tasks.Go(func() { f.followPlatform(ctx) })
	tasks.Go(func() { f.followPeers(ctx) })
	tasks.Wait()
}

// followPlatform alternates between catching up and watching until ctx is done.
// It backs off after an error and while a note is missing.
func (f *Follower) followPlatform(ctx context.Context) {
	var backoff objectstore.Backoff
	for ctx.Err() == nil {
		version, err := f.CatchUp(ctx)
		if err == nil && !f.HasGap() {
			backoff.Reset()
			err = f.watch(ctx, version)
		}
		if err != nil {
			f.reportError(ctx, err)
		}
		if err != nil || f.HasGap() {
			backoff.Sleep(ctx)
		}
	}
}

// watch applies the notes that the platform reports until the next relisting is
// due, a note is missing or a call fails.
func (f *Follower) watch(ctx context.Context, version uint64) error {
	relistAt := f.now().Add(f.RelistInterval)
	for ctx.Err() == nil && !f.HasGap() {
		remaining := relistAt.Sub(f.now())
		if remaining <= 0 {
			return nil
		}
		next, err := f.WatchOnce(ctx, version, remaining)
		if err != nil {
			return err
		}
		version = next
	}
	return nil
}

// WatchOnce waits for notes after a version of the store, applies them, and
// returns the version from which to continue.
func (f *Follower) WatchOnce(ctx context.Context, version uint64, wait time.Duration) (uint64, error) {
	changes, err := f.Store.Watch(ctx, NotePrefix, version, wait)
	if err != nil {
		return 0, err
	}
	var notes []StoredNote
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
	f.ApplyNotes(notes)
	return changes.Version, nil
}

// CatchUp reads all notes that the platform has and this replica lacks. It
// returns a version of the store; a watch from that version on misses no note.
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
		requestedAt := f.now()
		next := f.State().Number + 1
		object, err := f.Store.Get(ctx, NoteKey(next))
		if objectstore.ErrNotFound.Has(err) {
			// Every note accepted before requestedAt has been applied, unless
			// this read returned a state older than a note that is pending
			// because this one is missing.
			if !f.HasGap() {
				f.Confirm(requestedAt)
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

// readBlock applies first, which is note number next, and the later notes of its
// block, which it reads in one listing.
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
	f.ApplyNotes(notes)
	return nil
}

// decodeFrom decodes the notes of a listing that have number next or a higher
// one.
func decodeFrom(listing objectstore.Listing, next uint64) ([]StoredNote, error) {
	var notes []StoredNote
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

// followPeers pulls from all peers once and then from a random one at random
// intervals, until ctx is done.
func (f *Follower) followPeers(ctx context.Context) {
	f.PullFromAllPeers(ctx)
	for ctx.Err() == nil {
		delay := f.PullInterval/2 + rand.N(f.PullInterval)
		if !f.peersTried.Load() || f.platformRead.Load() && !f.pulledAfterRead.Load() {
			delay = startupPullInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		f.PullFromRandomPeer(ctx)
	}
}

// PullFromAllPeers pulls from every peer once, concurrently, and waits until all
// calls have ended.
func (f *Follower) PullFromAllPeers(ctx context.Context) {
	peersKnown := f.PeersKnown == nil || f.PeersKnown()
	readBefore := peersKnown && f.platformRead.Load()
	var pulls conc.WaitGroup
	var answered atomic.Int64
	for _, peer := range f.peers() {
		pulls.Go(func() {
			if f.pullFrom(ctx, peer) {
				answered.Add(1)
			}
		})
	}
	pulls.Wait()
	if answered.Load() > 0 {
		f.peerAnswered.Store(true)
	}
	f.peersTried.Store(peersKnown || f.peersTried.Load())
	f.pulledAfterRead.Store(readBefore || f.pulledAfterRead.Load())
}

// PullFromRandomPeer pulls from one peer picked at random, or from all peers
// while the instance is not ready.
func (f *Follower) PullFromRandomPeer(ctx context.Context) {
	if !f.Ready() {
		f.PullFromAllPeers(ctx)
		return
	}
	if peers := f.peers(); len(peers) > 0 {
		f.pullFrom(ctx, peers[rand.IntN(len(peers))])
	}
}

// pullFrom pulls from one peer, applies its answer and reports whether the call
// succeeded.
func (f *Follower) pullFrom(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	requestedAt := f.now()
	response, err := f.PullPeer(ctx, peer, f.State().Number)
	if err != nil {
		f.reportError(ctx, err)
		return false
	}
	f.ApplyPullResponse(response, requestedAt)
	return true
}

func (f *Follower) peers() []string {
	if f.Peers == nil || f.PullPeer == nil {
		return nil
	}
	return f.Peers()
}

func (f *Follower) reportError(ctx context.Context, err error) {
	if f.OnError != nil && ctx.Err() == nil {
		f.OnError(err)
	}
}

func (f *Follower) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return time.Now()
}
