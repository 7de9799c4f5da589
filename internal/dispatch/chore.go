package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"heatherrelay/internal/objectstore"
)

const (
	// choreItems bounds the intents that wait for the platform to come back.
	choreItems = 4096
	// choreAttempts bounds the tries at one of them.
	choreAttempts = 30
	chorePause    = time.Second
	// sweepShards is how many parts the intents are looked at in.
	sweepShards = 4096
	// sweepDeletes bounds the deletes of one look.
	sweepDeletes = 200
)

// choreKind says what is left to do with an intent.
type choreKind int

const (
	// choreKeep writes an outcome.
	choreKeep choreKind = iota
	// choreWithdraw deletes an intent that was never sent.
	choreWithdraw
)

// chore is what is left to do with one intent after its request was answered.
// A chore that is dropped costs a retry its answer, never its safety: the
// intent stays, and the call counts as one that may have run.
type chore struct {
	claim    claim
	kind     choreKind
	attempts int
}

// chores is the bounded ring between requests and Run.
type chores struct {
	once    sync.Once
	ring    chan chore
	dropped atomic.Uint64
}

func (cs *chores) channel() chan chore {
	cs.once.Do(func() { cs.ring = make(chan chore, choreItems) })
	return cs.ring
}

func (cs *chores) add(c chore) {
	select {
	case cs.channel() <- c:
	default:
		cs.dropped.Add(1)
	}
}

// DroppedChores returns how many outcomes and withdrawals were given up.
func (s *Sender) DroppedChores() uint64 { return s.chores.dropped.Load() }

// Run settles the intents that could not be settled while their requests ran,
// and deletes those past Retention, until ctx ends.
func (s *Sender) Run(ctx context.Context) error {
	sweep := make(<-chan time.Time)
	if s.SweepEvery > 0 && s.Retention > 0 {
		ticker := time.NewTicker(s.SweepEvery)
		defer ticker.Stop()
		sweep = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			s.SettleWaiting(context.WithoutCancel(ctx))
			return nil
		case c := <-s.chores.channel():
			if !s.settle(ctx, c) {
				s.pause(ctx, chorePause)
			}
		case <-sweep:
			s.Sweep(ctx, rand.IntN(sweepShards))
		}
	}
}

// SettleWaiting tries once at each intent that waits to be settled.
func (s *Sender) SettleWaiting(ctx context.Context) {
	for range len(s.chores.channel()) {
		s.settle(ctx, <-s.chores.channel())
	}
}

// settle tries at one chore, and queues it again when the platform is away.
func (s *Sender) settle(ctx context.Context, c chore) bool {
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout())
	defer cancel()
	var err error
	switch c.kind {
	case choreKeep:
		err = s.writeOutcome(ctx, c.claim)
	case choreWithdraw:
		err = s.withdrawAttempt(ctx, c.claim)
	}
	if err == nil {
		return true
	}
	if c.attempts++; c.attempts >= choreAttempts {
		s.chores.dropped.Add(1)
		return false
	}
	s.chores.add(c)
	return false
}

// withdrawAttempt deletes an intent if it is still the one of this attempt.
func (s *Sender) withdrawAttempt(ctx context.Context, mine claim) error {
	found, version, err := s.read(ctx, mine.key)
	if objectstore.ErrNotFound.Has(err) {
		return nil
	}
	if err != nil {
		return err
	}
	if found.Attempt != mine.intent.Attempt || found.State != intentSent {
		return nil
	}
	err = s.Store.Delete(ctx, mine.key, version)
	if objectstore.ErrUnavailable.Has(err) || objectstore.ErrThrottled.Has(err) {
		return err
	}
	return nil
}

// Sweep deletes the intents past Retention in one of the parts of all intents,
// from 0 to 4095. Each delete depends on the version seen, so a sweep by several
// instances at once does no harm.
func (s *Sender) Sweep(ctx context.Context, shard int) {
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout())
	defer cancel()
	listing, err := s.Store.List(ctx, fmt.Sprintf("%s%03x", intentPrefix, shard%sweepShards))
	if err != nil {
		return
	}
	deletes := 0
	for _, object := range listing.Objects {
		found, err := decodeIntent(object.Value)
		if err != nil || !found.expired(s.now(), s.Retention) {
			continue
		}
		if deletes++; deletes > sweepDeletes || ctx.Err() != nil {
			return
		}
		if err := s.Store.Delete(ctx, object.Key, object.Version); objectstore.ErrThrottled.Has(err) {
			return
		}
	}
}
