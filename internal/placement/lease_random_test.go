package placement_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherrelay/internal/placement"
	"heatherrelay/internal/platformstore"
)

// leaseProcess is one process of an instance that takes part in the random test.
type leaseProcess struct {
	*placement.Lease
	instance string
	stop     context.CancelFunc
	// cut lets the process's calls fail; killed stops them for good, so that the
	// process cannot release its lease either.
	cut, killed, losesAnswers atomic.Bool
	// seen is the generation of the last answer that the process got.
	seen atomic.Uint64
}

// store returns the store as the process reaches it.
func (p *leaseProcess) store(s *memoryStore) platformstore.Store {
	call := func(call func() (platformstore.Object, error)) (platformstore.Object, error) {
		if p.cut.Load() || p.killed.Load() {
			return platformstore.Object{}, platformstore.ErrRefused.New("cut off")
		}
		o, err := call()
		if p.losesAnswers.Load() {
			return platformstore.Object{}, platformstore.ErrUnavailable.New("answer lost")
		}
		p.seen.Store(s.seenGeneration())
		return o, err
	}
	return platformstore.Store{
		Get: func(ctx context.Context, kind platformstore.Kind, name string) (platformstore.Object, error) {
			return call(func() (platformstore.Object, error) { return s.get(ctx, kind, name) })
		},
		Create: func(ctx context.Context, kind platformstore.Kind, name string, value any) (platformstore.Object, error) {
			return call(func() (platformstore.Object, error) { return s.create(ctx, kind, name, value) })
		},
		Replace: func(ctx context.Context, kind platformstore.Kind, name string, revision uint64, value any) (platformstore.Object, error) {
			return call(func() (platformstore.Object, error) { return s.replace(ctx, kind, name, revision, value) })
		},
		SeenGeneration: p.seen.Load,
	}
}

// leaseFleet runs processes on one store and checks their orders.
type leaseFleet struct {
	t         *testing.T
	store     *memoryStore
	seed      uint64
	random    *rand.Rand
	processes []*leaseProcess
	copies    []copyOf
	starts    int
	// lastHolder, lastAt and lastFencing describe the last moment at which an order
	// could be sent.
	lastHolder  string
	lastAt      time.Time
	lastFencing uint64
	takeovers   int
}

// start starts a process of an instance, in place of its previous one.
func (f *leaseFleet) start(ctx context.Context, i int) {
	if previous := f.processes[i]; previous != nil {
		previous.killed.Store(true)
		previous.stop()
		synctest.Wait()
	}
	f.starts++
	p := &leaseProcess{instance: fmt.Sprint("instance-", i)}
	p.Lease = newLease(p.store(f.store), p.instance, fmt.Sprint(f.starts))
	runCtx, stop := context.WithCancel(ctx)
	p.stop = stop
	f.processes[i] = p
	go p.Run(runCtx)
}

// disturb does one random thing: it cuts a process off, lets its answers get lost,
// restarts it, or restores the store from one of the last copies.
func (f *leaseFleet) disturb(ctx context.Context) {
	i := f.random.IntN(len(f.processes))
	switch f.random.IntN(8) {
	case 0:
		f.processes[i].cut.Store(true)
	case 1, 2:
		for _, p := range f.processes {
			p.cut.Store(false)
			p.losesAnswers.Store(false)
		}
	case 3:
		f.processes[i].losesAnswers.Store(true)
	case 4:
		f.start(ctx, i)
	case 5, 6:
		f.store.restore(f.copies[max(len(f.copies)-1-f.random.IntN(8), 0)])
	}
}

// check fails the test if two instances may send orders at once or without the quiet
// time between them, or if a fencing number falls.
func (f *leaseFleet) check() {
	f.t.Helper()
	for _, p := range f.processes {
		fencing, ok := p.Held(time.Now())
		if !ok {
			continue
		}
		if fencing < f.lastFencing || fencing == f.lastFencing && p.instance != f.lastHolder {
			f.t.Fatalf("seed %d: fencing number %d of %s after %d of %s", f.seed, fencing, p.instance, f.lastFencing, f.lastHolder)
		}
		if gap := time.Since(f.lastAt); p.instance != f.lastHolder && f.lastHolder != "" && gap < testQuiet {
			f.t.Fatalf("seed %d: %s may send orders %s after %s", f.seed, p.instance, gap, f.lastHolder)
		}
		if p.instance != f.lastHolder {
			f.takeovers++
		}
		f.lastHolder, f.lastAt, f.lastFencing = p.instance, time.Now(), fencing
	}
}

// TestOneHolderOverRandomRestores guards against two holders at once, orders of two
// holders without the quiet time between them, and a fencing number that falls, while
// the store is restored from copies of the last seconds and instances are cut off,
// lose answers and are restarted.
func TestOneHolderOverRandomRestores(t *testing.T) {
	takeovers := 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			f := &leaseFleet{t: t, seed: seed, store: &memoryStore{generation: 1}, random: rand.New(rand.NewPCG(seed, 1)), processes: make([]*leaseProcess, 3)}
			ctx, cancel := context.WithCancel(context.Background())
			defer synctest.Wait()
			defer cancel()
			for i := range f.processes {
				f.start(ctx, i)
			}
			for step := range 6000 {
				if step%50 == 0 {
					f.copies = append(f.copies, f.store.snapshot())
				}
				if f.random.IntN(120) == 0 {
					f.disturb(ctx)
				}
				time.Sleep(20 * time.Millisecond)
				f.check()
			}
			takeovers += f.takeovers
		})
	}
	if takeovers < 60 {
		t.Errorf("only %d takeovers in all runs", takeovers)
	}
}
