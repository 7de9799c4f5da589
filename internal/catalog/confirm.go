package catalog

import (
	"context"
	"time"

	"heatherrelay/internal/platformstore"
	"heatherrelay/internal/wait"
)

const (
	// confirmInterval is the least time between two reads of a follower for its callers.
	confirmInterval = 100 * time.Millisecond
	// confirmWatchWait is the wait of a watch that is to return at once.
	confirmWatchWait = time.Millisecond
)

// ConfirmTargets has the targets be those of a time or later; see Follower.Confirm.
func (c *Catalog) ConfirmTargets(ctx context.Context, since time.Time) bool {
	c.init()
	return c.targetsFollower.Confirm(ctx, since)
}

// TargetsRegainedAt returns when the targets were last read again after a time in which
// nothing was known of them; see Follower.RegainedAt.
func (c *Catalog) TargetsRegainedAt() time.Time {
	c.init()
	return c.targetsFollower.RegainedAt()
}

// Confirm returns true once a read of the store that was sent at a time or later, by this
// instance or a peer, has confirmed the replica. It reads the store if none has; concurrent
// calls share reads. It returns false if the read fails, or ctx ends before one.
// A read whose answer comes after a newer one confirms nothing, and is made again.
func (f *Follower) Confirm(ctx context.Context, since time.Time) bool {
	for f.State().ConfirmedAt.Before(since) {
		turn := f.turn()
		select {
		case <-ctx.Done():
			return false
		case last := <-turn:
			readAt, err := f.confirmNow(ctx, since, last)
			turn <- readAt
			if err != nil {
				return false
			}
		}
	}
	return true
}

// turn returns the channel that holds the time of the last read while nobody reads.
func (f *Follower) turn() chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmationTurn == nil {
		f.confirmationTurn = make(chan time.Time, 1)
		f.confirmationTurn <- time.Time{}
	}
	return f.confirmationTurn
}

// confirmNow reads the store, confirmInterval after the last such read at the earliest,
// unless the replica is confirmed by then. It returns when the last read was sent.
func (f *Follower) confirmNow(ctx context.Context, since, last time.Time) (time.Time, error) {
	if err := wait.Sleep(ctx, last.Add(confirmInterval).Sub(f.Now())); err != nil {
		return last, err
	}
	if !f.State().ConfirmedAt.Before(since) {
		return last, nil
	}
	sentAt, from := f.Now(), f.State().Position()
	if from == (platformstore.Position{}) || f.Store.Generation() > from.Generation {
		_, err := f.list(ctx, sentAt)
		return sentAt, err
	}
	page, err := f.Store.Watch(ctx, f.Kind, from.Revision, confirmWatchWait)
	if platformstore.ErrCompacted.Has(err) {
		_, err = f.list(ctx, sentAt)
		return sentAt, err
	}
	if err != nil {
		return sentAt, err
	}
	page.Objects = f.usable(page.Objects)
	f.update(sourceWatch, func(r *Replica) bool { return r.ApplyWatch(from, page, sentAt) })
	return sentAt, nil
}
