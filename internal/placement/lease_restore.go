package placement

import (
	"context"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/platformstore"
)

// fencingRevisionBits is the number of bits of a fencing number that hold the revision.
// The generation is above them. Up to generation 8,191 the number is below 2^53, so
// that an engine may read it as a floating-point number.
const fencingRevisionBits = 40

// fencingNumber returns the fencing number of the write at a position. Later positions
// have higher numbers, also after the store was restored from a copy.
func fencingNumber(p platformstore.Position) uint64 {
	return p.Generation<<fencingRevisionBits + p.Revision
}

// regain reads the lease after the store was restored from a copy and writes it again.
// It returns the delay until the next step.
func (l *Lease) regain(ctx context.Context) time.Duration {
	o, err := l.read(ctx)
	if err != nil {
		return takeoverPollInterval / 4
	}
	return l.regainFrom(ctx, o)
}

// regainFrom writes the lease again over the stored object, which may be older than
// the last renewal, or missing. Until the end of the term of the last confirmed renewal
// no other instance can have acquired the lease, since it waits for a whole term after
// the restore. It returns the delay until the next step.
func (l *Lease) regainFrom(ctx context.Context, o platformstore.Object) time.Duration {
	stored, sent := decodeLease(o), l.Now()
	l.mu.Lock()
	expired := !sent.Before(l.validUntil)
	l.mu.Unlock()
	if expired || stored.Generation == o.Generation && o.Revision > 0 && !l.isOwn(stored) {
		l.lose("the store was restored from a copy", o)
		return takeoverPollInterval
	}
	written, err := l.write(ctx, o)
	if err != nil || written.Generation != o.Generation {
		return takeoverPollInterval / 4
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold(written, sent)
	l.Log.Info("placement lease written again to a restored store", zap.String("lease", l.Name), zap.Uint64("fencing_number", l.fencingNumber))
	return renewInterval
}

// mayLackLastHolder reports whether the stored lease, or that there is none, may be the
// state of a copy that the store was restored from, which says nothing about who held
// the lease last.
func (l *Lease) mayLackLastHolder(o platformstore.Object) bool {
	if o.Revision > 0 {
		return decodeLease(o).Generation != o.Generation
	}
	// The first generation of a store is 1, or 0 if it counts none.
	return o.Generation > 1 || o.Generation > l.lowestGeneration
}
