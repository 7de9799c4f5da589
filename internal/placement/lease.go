package placement

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/platformstore"
	"heatherrelay/internal/wait"
)

// Timing of a lease.
const (
	// leaseTerm is how long a lease object must stay unchanged before another
	// instance may take it over.
	leaseTerm = 6 * time.Second
	// leaseMargin is how long before the end of the term the holder stops.
	leaseMargin = 700 * time.Millisecond
	// renewInterval is the time between renewals.
	renewInterval = 1500 * time.Millisecond
	// takeoverPollInterval is the time between reads of another instance's lease.
	takeoverPollInterval = 2 * time.Second
	// wantedPollInterval is the time between calls of Wanted while it reports false.
	wantedPollInterval = 400 * time.Millisecond
)

// storedLease is the stored value of a lease object.
type storedLease struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Renewals    uint64 `json:"renewals"`
	// Released is set when the holder released the lease and sends no more orders.
	Released bool `json:"released,omitempty"`
}

// Lease is the right to order the engines of one zone. It is an object in the
// store that the holder renews. Another instance takes it over once it has seen
// the object unchanged for the whole term. It measures the term by its own clock,
// which keeps running while the machine is suspended. The revision of the write
// that acquired the lease is the fencing number. After a takeover from another
// instance no order is sent until QuietTime after the last moment at which the
// previous holder may have sent one. Set the exported fields before Run.
type Lease struct {
	Store platformstore.Store
	Kind  platformstore.Kind
	Name  string
	// Holder is the id of this instance, Incarnation that of this run of its process.
	Holder      string
	Incarnation string
	// QuietTime is the minimum time between orders of two holders.
	QuietTime time.Duration
	// Wanted reports whether this instance should hold the lease. If nil, it always
	// should.
	Wanted func() bool
	Now    func() time.Time
	Log    *zap.Logger

	mu            sync.Mutex
	revision      uint64
	renewals      uint64
	fencingNumber uint64
	validUntil    time.Time
	quietUntil    time.Time
	// otherRevision is the last revision read of another instance's lease, and
	// otherSeenAt is when it was first read.
	otherRevision uint64
	otherSeenAt   time.Time
}

// Held returns the fencing number if orders may be sent from now until at least
// the given time, and false otherwise.
func (l *Lease) Held(until time.Time) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.Before(l.validUntil) && !l.Now().Before(l.quietUntil) {
		return l.fencingNumber, true
	}
	return 0, false
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if wait.Sleep(ctx, l.step(ctx)) != nil {
			break
		}
	}
	l.release()
}

// step renews the lease, or tries to acquire it. It returns the delay until the
// next step.
func (l *Lease) step(ctx context.Context) time.Duration {
	l.mu.Lock()
	holds := l.revision > 0
	l.mu.Unlock()
	if holds {
		return l.renew(ctx)
	}
	if l.Wanted != nil && !l.Wanted() {
		return wantedPollInterval
	}
	return l.tryTakeOver(ctx)
}

// renew extends the lease with a write. It returns the delay until the next step.
func (l *Lease) renew(ctx context.Context) time.Duration {
	l.mu.Lock()
	l.renewals++
	value, revision, sent := l.value(false), l.revision, l.Now()
	l.mu.Unlock()
	written, err := l.Store.Replace(ctx, l.Kind, l.Name, revision, value)
	switch {
	case err == nil:
		l.extend(written.Revision, sent)
	case platformstore.ErrConflict.Has(err), platformstore.ErrNotFound.Has(err):
		l.suspend()
		return l.readBack(ctx, sent)
	case platformstore.ErrUnavailable.Has(err):
		l.Log.Warn("lease renewal unanswered", zap.String("lease", l.Name), zap.Error(err))
		return l.readBack(ctx, sent)
	default:
		l.Log.Warn("lease renewal failed", zap.String("lease", l.Name), zap.Error(err))
		return takeoverPollInterval / 4
	}
	return renewInterval
}

// suspend ends the right to order until the lease has been read back, after a
// renewal was refused because another instance wrote the object.
func (l *Lease) suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = time.Time{}
}

// extend records a write of the lease. The term counts from when the write was sent,
// since other instances may have seen it from then on.
func (l *Lease) extend(revision uint64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = revision
	l.validUntil = sent.Add(leaseTerm - leaseMargin)
}

// readBack reads the lease after a renewal that was refused or not answered, and
// keeps or gives up the lease accordingly. It returns the delay until the next step.
func (l *Lease) readBack(ctx context.Context, sent time.Time) time.Duration {
	o, err := l.Store.Get(ctx, l.Kind, l.Name)
	if err != nil {
		return takeoverPollInterval / 4
	}
	stored := decodeLease(o)
	if stored.Holder == l.Holder && stored.Incarnation == l.Incarnation && !stored.Released {
		l.extend(o.Revision, sent)
		return renewInterval
	}
	l.lose("another instance holds the lease", o.Revision)
	return takeoverPollInterval
}

// lose gives up the lease and remembers the revision of the other instance's lease.
func (l *Lease) lose(reason string, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision, l.validUntil = 0, time.Time{}
	l.otherRevision, l.otherSeenAt = revision, l.Now()
	l.Log.Info("placement lease lost", zap.String("lease", l.Name), zap.String("reason", reason), zap.Uint64("revision", revision))
}

// tryTakeOver acquires the lease if no other instance holds it any longer. It
// returns the delay until the next step.
func (l *Lease) tryTakeOver(ctx context.Context) time.Duration {
	readStart := l.Now()
	o, err := l.Store.Get(ctx, l.Kind, l.Name)
	if platformstore.ErrNotFound.Has(err) {
		return l.acquire(ctx, platformstore.Object{}, 0)
	}
	if err != nil {
		return takeoverPollInterval
	}
	stored := decodeLease(o)
	if stored.Holder == l.Holder {
		// The lease is from an earlier process of this instance, which has ended.
		return l.acquire(ctx, o, 0)
	}
	if o.Revision != l.otherRevision {
		l.otherRevision, l.otherSeenAt = o.Revision, l.Now()
	}
	if stored.Released {
		return l.acquire(ctx, o, l.QuietTime)
	}
	if readStart.Sub(l.otherSeenAt) >= leaseTerm {
		return l.acquire(ctx, o, l.QuietTime)
	}
	return takeoverPollInterval
}

// acquire writes the lease for this instance, over the previous object if there is
// one. No order is sent until quietTime after the write. It returns the delay until
// the next step.
func (l *Lease) acquire(ctx context.Context, previous platformstore.Object, quietTime time.Duration) time.Duration {
	l.mu.Lock()
	l.renewals++
	value, sent := l.value(false), l.Now()
	l.mu.Unlock()
	var written platformstore.Object
	var err error
	if previous.Revision == 0 {
		written, err = l.Store.Create(ctx, l.Kind, l.Name, value)
	} else {
		written, err = l.Store.Replace(ctx, l.Kind, l.Name, previous.Revision, value)
	}
	if err != nil {
		return takeoverPollInterval / 2
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision, l.fencingNumber = written.Revision, written.Revision
	l.validUntil = sent.Add(leaseTerm - leaseMargin)
	l.quietUntil = l.Now().Add(quietTime)
	l.Log.Info("placement lease acquired", zap.String("lease", l.Name), zap.Uint64("fencing_number", l.fencingNumber), zap.Duration("quiet", quietTime))
	return renewInterval
}

// value returns the value to store. The caller holds the lock.
func (l *Lease) value(released bool) storedLease {
	return storedLease{Holder: l.Holder, Incarnation: l.Incarnation, Renewals: l.renewals, Released: released}
}

// releaseTimeout limits the write that releases the lease.
const releaseTimeout = 500 * time.Millisecond

// release releases the lease. No order is sent afterwards.
func (l *Lease) release() {
	l.mu.Lock()
	revision := l.revision
	l.revision, l.validUntil = 0, time.Time{}
	l.renewals++
	value := l.value(true)
	l.mu.Unlock()
	if revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := l.Store.Replace(ctx, l.Kind, l.Name, revision, value)
	l.Log.Info("placement lease released", zap.String("lease", l.Name), zap.Error(err))
}

// decodeLease decodes a lease. An unreadable one has no holder and expires.
func decodeLease(o platformstore.Object) storedLease {
	var stored storedLease
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		return storedLease{}
	}
	return stored
}
