package team

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/wait"
)

// Intervals and timeouts of the background tasks. RebalanceInterval is the time
// between two checks for low slices.
const (
	tickInterval      = 250 * time.Millisecond
	RebalanceInterval = 250 * time.Millisecond
	reconcileInterval = 20 * time.Second
	stepInterval      = 20 * time.Millisecond
	initialBackoff    = 200 * time.Millisecond
	maxBackoff        = 3 * time.Second
	watchTimeout      = 25 * time.Second
	handOverTimeout   = 2 * time.Second
)

// Run maintains the claim until ctx ends, and then hands it over to the pool.
// Without a store the instance owns everything.
func (a *Allowances) Run(ctx context.Context) error {
	a.mu.Lock()
	a.epoch = newEpoch()
	if a.Log == nil {
		a.Log = zap.NewNop()
	}
	a.share.Tick(a.now())
	a.updateRates(a.now())
	a.claimAll(a.now())
	a.mu.Unlock()
	changed := make(chan struct{}, 1)
	var tasks conc.WaitGroup
	tasks.Go(func() { a.tick(ctx, changed) })
	tasks.Go(func() { a.rebalanceLoop(ctx) })
	if !a.standalone() {
		tasks.Go(func() { a.reconcileLoop(ctx, changed) })
		tasks.Go(func() { a.watchLedgers(ctx, changed) })
	}
	tasks.Wait()
	return nil
}

// standalone reports whether there is no platform to share allowances through.
func (a *Allowances) standalone() bool { return a.Store.Get == nil }

// claimAll claims everything for a standalone instance. After a pause the
// balances start at zero.
func (a *Allowances) claimAll(now time.Time) {
	if !a.standalone() || a.share.Claim().Teams > 0 {
		return
	}
	firstClaim := !a.started
	a.started = true
	// ApplyClaim ignores a claim that was not read after the last pause.
	readAt := now.Add(1)
	a.share.ApplyClaim(readAt, readAt, Claim{Teams: 1, Loads: 1, HeldThrough: a.share.ReleaseNumber()})
	if firstClaim {
		a.share.Deposit(readAt, Parts{Teams: TotalParts, Loads: TotalParts})
	}
}

// notify wakes the reconciler. If the channel is full a wake-up is already
// pending.
func notify(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}

// tick records that the instance runs, detects pauses and applies new releases.
// It wakes the reconciler while the claim is invalid.
func (a *Allowances) tick(ctx context.Context, changed chan<- struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		previous := a.share.Claim()
		claimValid := a.share.Tick(a.now())
		if !claimValid && previous.Teams > 0 {
			a.counters.ClaimInterruptions++
		}
		a.updateRates(a.now())
		a.claimAll(a.now())
		a.mu.Unlock()
		if !claimValid {
			notify(changed)
		}
	}
}

// reconcileLoop reconciles the ledgers until ctx ends and then hands over the
// claim.
func (a *Allowances) reconcileLoop(ctx context.Context, changed <-chan struct{}) {
	r := a.newReconciler()
	backoff := initialBackoff
	for ctx.Err() == nil {
		delay, err := r.Reconcile(ctx)
		if err != nil {
			a.Log.Debug("failed to reconcile the allowance ledgers", zap.Error(err))
			delay = backoff
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = initialBackoff
		}
		if delay == 0 {
			a.waitForChange(ctx, reconcileInterval, changed)
		} else {
			a.waitForChange(ctx, delay, nil)
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	if err := handOver(ctx, r); err != nil {
		a.Log.Warn("failed to hand over the allowance claim at shutdown", zap.Error(err))
	}
}

// handOver returns the claim to the pool and retries until ctx ends.
func handOver(ctx context.Context, r *Reconciler) error {
	r.StartLeaving()
	delay := GrantedTerm
	for {
		if err := wait.Sleep(ctx, delay); err != nil {
			return err
		}
		err := r.FinishLeaving(ctx)
		if err == nil {
			return nil
		}
		delay = stepInterval
	}
}

// waitForChange waits for the delay, for a change of the ledgers, or until ctx
// ends. A nil channel never reports a change.
func (a *Allowances) waitForChange(ctx context.Context, delay time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}

func (a *Allowances) newReconciler() *Reconciler {
	return &Reconciler{
		Zone:       a.Zone,
		InstanceID: a.InstanceID,
		Epoch:      a.epoch,
		Store:      a.Store,
		Now:        a.now,
		Gone:       a.instanceGone,
		ApplyClaim: func(readAt time.Time, claim Claim) CarryOver {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.share.ApplyClaim(a.now(), readAt, claim)
		},
		Deposit: func(p Parts) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.share.Deposit(a.now(), p)
		},
		DropClaim: func() CarryOver {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.share.DropClaim(a.now())
		},
		ReleaseNumber: func() uint64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.share.ReleaseNumber()
		},
	}
}

func (a *Allowances) instanceGone(instanceID string) bool {
	return a.Gone != nil && a.Gone(instanceID)
}

// watchLedgers wakes the reconciler when this zone's ledger or the root ledger
// changes. After a failed watch it continues from the store's current version
// and wakes the reconciler as well, since changes may have been missed.
func (a *Allowances) watchLedgers(ctx context.Context, changed chan<- struct{}) {
	after := uint64(0)
	for ctx.Err() == nil {
		changes, err := a.Store.Watch(ctx, ledgerPrefix, after, watchTimeout)
		if err != nil {
			listing, listErr := a.Store.List(ctx, rootKey)
			if listErr != nil {
				_ = wait.Sleep(ctx, maxBackoff)
				continue
			}
			after = listing.Version
			notify(changed)
			continue
		}
		after = changes.Version
		for _, e := range changes.Events {
			if a.needsReconcile(e) {
				notify(changed)
			}
		}
	}
}

// needsReconcile reports whether a changed ledger gives this instance a step to
// take. Deleted and unreadable ledgers always do.
func (a *Allowances) needsReconcile(e objectstore.Event) bool {
	member := a.Zone
	switch e.Key {
	case rootKey:
	case ledgerPrefix + a.Zone:
		member = memberID(a.InstanceID, a.epoch)
	default:
		return false
	}
	l, err := ParseLedger(e.Value)
	return e.Deleted || err != nil || l.NeedsAction(member)
}
