package team

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/wait"
)

// The times of the duties. LevelInterval is the time between looks at slices
// that run low.
const (
	tickInterval      = 250 * time.Millisecond
	LevelInterval     = 250 * time.Millisecond
	reconcileInterval = 20 * time.Second
	stepInterval      = 20 * time.Millisecond
	minRetry          = 200 * time.Millisecond
	maxRetry          = 3 * time.Second
	watchWait         = 25 * time.Second
	leaveTimeout      = 2 * time.Second
)

// Run keeps the claim until ctx ends, and then hands it on. Without a store the
// instance is alone and owns everything.
func (a *Allowances) Run(ctx context.Context) error {
	a.mu.Lock()
	a.epoch = newEpoch()
	if a.Log == nil {
		a.Log = zap.NewNop()
	}
	a.share.Tick(a.now())
	a.updateRates(a.now())
	a.ownAll(a.now())
	a.mu.Unlock()
	changed := make(chan struct{}, 1)
	var duties conc.WaitGroup
	duties.Go(func() { a.tick(ctx, changed) })
	duties.Go(func() { a.level(ctx) })
	if !a.alone() {
		duties.Go(func() { a.keep(ctx, changed) })
		duties.Go(func() { a.watch(ctx, changed) })
	}
	duties.Wait()
	return nil
}

// alone says that there is no platform to share through.
func (a *Allowances) alone() bool { return a.Store.Get == nil }

// ownAll claims everything for an instance that is alone. After a pause it
// starts empty.
func (a *Allowances) ownAll(now time.Time) {
	if !a.alone() || a.share.Claim().Teams > 0 {
		return
	}
	first := !a.started
	a.started = true
	readAt := now.Add(1)
	a.share.Resize(readAt, readAt, Claim{Teams: 1, Loads: 1, Since: a.share.Number()})
	if first {
		a.share.Deposit(readAt, Grant{Teams: TotalParts, Loads: TotalParts})
	}
}

// signal wakes the keeper; a full channel means that it will wake anyway.
func signal(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}

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
		had := a.share.Claim()
		running := a.share.Tick(a.now())
		if !running && had.Teams > 0 {
			a.counters.ClaimInterruptions++
		}
		a.updateRates(a.now())
		a.ownAll(a.now())
		a.mu.Unlock()
		if !running {
			signal(changed)
		}
	}
}

func (a *Allowances) keep(ctx context.Context, changed <-chan struct{}) {
	k := a.keeper()
	retry := minRetry
	for ctx.Err() == nil {
		delay, err := k.Reconcile(ctx)
		if err != nil {
			a.Log.Debug("allowance ledger not reconciled", zap.Error(err))
			delay = retry
			retry = min(2*retry, maxRetry)
		} else {
			retry = minRetry
		}
		if delay == 0 {
			a.pause(ctx, reconcileInterval, changed)
		} else {
			a.pause(ctx, delay, nil)
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := leave(ctx, k); err != nil {
		a.Log.Warn("allowances not handed on", zap.Error(err))
	}
}

// leave hands the claim on and tries again until ctx ends.
func leave(ctx context.Context, k *Keeper) error {
	k.StartLeaving()
	delay := LentTerm
	for {
		if err := wait.Sleep(ctx, delay); err != nil {
			return err
		}
		err := k.FinishLeaving(ctx)
		if err == nil {
			return nil
		}
		delay = stepInterval
	}
}

// pause waits for a time or until the ledgers have changed.
func (a *Allowances) pause(ctx context.Context, delay time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}

func (a *Allowances) keeper() *Keeper {
	return &Keeper{
		Zone:       a.Zone,
		InstanceID: a.InstanceID,
		Epoch:      a.epoch,
		Store:      a.Store,
		Now:        a.now,
		Gone:       a.gone,
		Spend: func(readAt time.Time, claim Claim) Handed {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.share.Resize(a.now(), readAt, claim)
		},
		Deposit: func(g Grant) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.share.Deposit(a.now(), g)
		},
		GiveUp: func() Handed {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.share.Release(a.now())
		},
		Release: func() uint64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.share.Number()
		},
	}
}

func (a *Allowances) gone(instanceID string) bool {
	return a.Gone != nil && a.Gone(instanceID)
}

// watch wakes the keeper when the ledgers of this zone or the root change.
func (a *Allowances) watch(ctx context.Context, changed chan<- struct{}) {
	after := uint64(0)
	for ctx.Err() == nil {
		changes, err := a.Store.Watch(ctx, ledgerPrefix, after, watchWait)
		if err != nil {
			listing, listErr := a.Store.List(ctx, rootKey)
			if listErr != nil {
				_ = wait.Sleep(ctx, maxRetry)
				continue
			}
			after = listing.Version
			signal(changed)
			continue
		}
		after = changes.Version
		for _, e := range changes.Events {
			if a.concerns(e) {
				signal(changed)
			}
		}
	}
}

// concerns reports whether a changed ledger leaves this instance a step to
// take. Deleted and unreadable ledgers do.
func (a *Allowances) concerns(e objectstore.Event) bool {
	id := a.Zone
	switch e.Key {
	case rootKey:
	case ledgerPrefix + a.Zone:
		id = memberID(a.InstanceID, a.epoch)
	default:
		return false
	}
	l, err := ParseLedger(e.Value)
	return e.Deleted || err != nil || l.Concerns(id)
}
