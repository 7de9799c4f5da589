package placement

import (
	"context"
	"encoding/json"
	"maps"
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
	// confirmDelay is the time from reading the own lease back to its next renewal.
	confirmDelay = 100 * time.Millisecond
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
	// Generation is the store's generation in which the lease was written.
	Generation uint64 `json:"generation,omitempty"`
	// Quiet is set when the holder was still in its quiet time.
	Quiet bool `json:"quiet,omitempty"`
}

// Lease is the right to order the engines of one zone. It is an object in the
// store that the holder renews. Another instance takes it over once it has seen
// the object unchanged for the whole term. It measures the term by its own clock,
// which keeps running while the machine is suspended. The position of the write
// that acquired the lease gives the fencing number. After a takeover from another
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
	// Usable reports whether this instance can send orders. While it cannot, it holds no
	// lease. If nil, it always can.
	Usable func() bool
	Now    func() time.Time
	Log    *zap.Logger

	mu         sync.Mutex
	revision   uint64
	generation uint64
	renewals   uint64
	// sentAt holds when each renewal that is not confirmed yet was sent.
	sentAt        map[uint64]time.Time
	fencingNumber uint64
	validUntil    time.Time
	quietUntil    time.Time
	// other is the last position read of a lease that this instance does not hold,
	// and otherSeenAt is when it was first read.
	other       platformstore.Position
	otherSeenAt time.Time
	// lowestGeneration is the lowest generation of the store that the lease was read
	// in, if hasRead is set.
	lowestGeneration uint64
	hasRead          bool
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
	holds, generation := l.revision > 0, l.generation
	l.mu.Unlock()
	usable := l.Usable == nil || l.Usable()
	switch {
	case holds && !usable:
		l.release()
		return wantedPollInterval
	case !usable:
		return wantedPollInterval
	case holds && l.Store.Generation() > generation:
		return l.regain(ctx)
	case holds:
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
	generation, revision, sent := l.generation, l.revision, l.Now()
	value := l.value(generation, false)
	l.recordSent(sent)
	l.mu.Unlock()
	written, err := l.Store.Replace(ctx, l.Kind, l.Name, revision, value)
	switch {
	case err == nil && written.Generation == generation:
		l.extend(written.Revision, sent)
	case err == nil, platformstore.ErrConflict.Has(err) && l.Store.Generation() > generation, platformstore.ErrNotFound.Has(err) && l.Store.Generation() > generation:
		return l.regain(ctx)
	case platformstore.ErrConflict.Has(err), platformstore.ErrNotFound.Has(err):
		l.suspend()
		return l.readBack(ctx)
	case platformstore.ErrUnavailable.Has(err):
		l.Log.Warn("lease renewal unanswered", zap.String("lease", l.Name), zap.Error(err))
		return l.readBack(ctx)
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

// recordSent records when the present renewal was sent. The caller holds the lock.
func (l *Lease) recordSent(at time.Time) {
	if l.sentAt == nil {
		l.sentAt = map[uint64]time.Time{}
	}
	maps.DeleteFunc(l.sentAt, func(_ uint64, earlier time.Time) bool { return at.Sub(earlier) > leaseTerm })
	l.sentAt[l.renewals] = at
}

// readBack reads the lease after a renewal that was refused or not answered, and
// keeps or gives up the lease accordingly. It returns the delay until the next step.
func (l *Lease) readBack(ctx context.Context) time.Duration {
	o, err := l.read(ctx)
	if err != nil {
		return takeoverPollInterval / 4
	}
	l.mu.Lock()
	restored := o.Generation != l.generation
	l.mu.Unlock()
	stored := decodeLease(o)
	switch {
	case restored:
		return l.regainFrom(ctx, o)
	case l.isOwn(stored):
		// Of several renewals without an answer the store may have carried out only
		// an early one, and others count the term from that.
		l.mu.Lock()
		sent := l.sentAt[stored.Renewals]
		l.mu.Unlock()
		l.extend(o.Revision, sent)
		return confirmDelay
	}
	l.lose("another instance holds the lease", o)
	return takeoverPollInterval
}

// isOwn reports whether this process wrote a lease and has not released it.
func (l *Lease) isOwn(stored storedLease) bool {
	return stored.Holder == l.Holder && stored.Incarnation == l.Incarnation && !stored.Released
}

// read returns the stored lease. Without one it returns an object of revision zero
// with the store's generation.
func (l *Lease) read(ctx context.Context) (platformstore.Object, error) {
	o, err := l.Store.Get(ctx, l.Kind, l.Name)
	if platformstore.ErrNotFound.Has(err) {
		o, err = platformstore.Object{Generation: l.Store.Generation()}, nil
	}
	if err == nil && (!l.hasRead || o.Generation < l.lowestGeneration) {
		l.hasRead, l.lowestGeneration = true, o.Generation
	}
	return o, err
}

// lose gives up the lease and remembers the position of the stored one.
func (l *Lease) lose(reason string, stored platformstore.Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision, l.validUntil = 0, time.Time{}
	l.other, l.otherSeenAt = stored.Position(), l.Now()
	l.Log.Info("placement lease lost", zap.String("lease", l.Name), zap.String("reason", reason), zap.Uint64("revision", stored.Revision))
}

// tryTakeOver acquires the lease if no other instance holds it any longer. It
// returns the delay until the next step.
func (l *Lease) tryTakeOver(ctx context.Context) time.Duration {
	readStart := l.Now()
	o, err := l.read(ctx)
	if err != nil {
		return takeoverPollInterval
	}
	if l.otherSeenAt.IsZero() || o.Position() != l.other {
		l.other, l.otherSeenAt = o.Position(), l.Now()
	}
	stored := decodeLease(o)
	switch {
	case l.mayLackLastHolder(o):
		// Only the term shows that the last holder sends no more orders.
	case stored.Released && stored.Holder != l.Holder, stored.Holder == l.Holder && stored.Quiet:
		return l.acquire(ctx, o, l.QuietTime)
	case o.Revision == 0, stored.Holder == l.Holder:
		// There was no holder, or it was an earlier process of this instance, which
		// has ended.
		return l.acquire(ctx, o, 0)
	}
	if readStart.Sub(l.otherSeenAt) >= leaseTerm {
		return l.acquire(ctx, o, l.QuietTime)
	}
	return takeoverPollInterval
}

// acquire writes the lease for this instance, over the previous object if there is
// one. No order is sent until quietTime after the write. It returns the delay until
// the next step. A write that the store answers in another generation than it was read
// in does not count: the revision that it depends on is not the one that was read.
func (l *Lease) acquire(ctx context.Context, previous platformstore.Object, quietTime time.Duration) time.Duration {
	sent := l.Now()
	l.mu.Lock()
	l.quietUntil = sent.Add(quietTime)
	l.mu.Unlock()
	written, err := l.write(ctx, previous)
	if err != nil || written.Generation != previous.Generation {
		return takeoverPollInterval / 2
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold(written, sent)
	l.quietUntil = l.Now().Add(quietTime)
	l.Log.Info("placement lease acquired", zap.String("lease", l.Name), zap.Uint64("fencing_number", l.fencingNumber), zap.Duration("quiet", quietTime))
	return renewInterval
}

// write writes the lease for this instance, over the previous object if there is one.
func (l *Lease) write(ctx context.Context, previous platformstore.Object) (platformstore.Object, error) {
	l.mu.Lock()
	l.renewals++
	value := l.value(previous.Generation, false)
	l.recordSent(l.Now())
	l.mu.Unlock()
	if previous.Revision == 0 {
		return l.Store.Create(ctx, l.Kind, l.Name, value)
	}
	return l.Store.Replace(ctx, l.Kind, l.Name, previous.Revision, value)
}

// hold records a write, sent at the given time, that acquired the lease. The caller
// holds the lock.
func (l *Lease) hold(written platformstore.Object, sent time.Time) {
	l.revision, l.generation = written.Revision, written.Generation
	l.fencingNumber = fencingNumber(written.Position())
	l.validUntil = sent.Add(leaseTerm - leaseMargin)
}

// value returns the value to store in a generation. The caller holds the lock.
func (l *Lease) value(generation uint64, released bool) storedLease {
	return storedLease{Holder: l.Holder, Incarnation: l.Incarnation, Renewals: l.renewals, Released: released, Generation: generation, Quiet: l.Now().Before(l.quietUntil)}
}

// releaseTimeout limits the write that releases the lease.
const releaseTimeout = 500 * time.Millisecond

// release releases the lease. No order is sent afterwards.
func (l *Lease) release() {
	l.mu.Lock()
	revision := l.revision
	l.revision, l.validUntil = 0, time.Time{}
	l.renewals++
	value := l.value(l.generation, true)
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
