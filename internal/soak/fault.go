package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"heatherrelay/platform/platformtest"
)

// fault is one way to break things; it returns after it has healed.
type fault struct {
	name   string
	inject func(w *World, random *rand.Rand)
}

const (
	shortest = 100 * time.Millisecond
	longest  = 4 * time.Second
	// faultPause is the mean time between the starts of two faults; they overlap.
	faultPause = 350 * time.Millisecond
)

func span(random *rand.Rand) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

func (w *World) someProcess(random *rand.Rand) *Process {
	return w.Processes[random.IntN(len(w.Processes))]
}

func (w *World) someTarget(random *rand.Rand) *platformtest.Target {
	return w.targets[random.IntN(len(w.targets))]
}

var faults = []fault{
	{"kill an instance", func(w *World, random *rand.Rand) {
		p := w.someProcess(random)
		p.Signal(syscall.SIGKILL)
		p.Await(time.Second)
		time.Sleep(span(random) / 2)
		w.restart(p)
	}},
	{"stop an instance by SIGTERM", func(w *World, random *rand.Rand) {
		p := w.someProcess(random)
		p.Signal(syscall.SIGTERM)
		p.Await(2 * longest)
		w.restart(p)
	}},
	{"pause an instance", func(w *World, random *rand.Rand) {
		p := w.someProcess(random)
		p.Signal(syscall.SIGSTOP)
		time.Sleep(span(random))
		p.Signal(syscall.SIGCONT)
	}},
	{"SIGHUP to an instance", func(w *World, random *rand.Rand) { w.someProcess(random).Signal(syscall.SIGHUP) }},
	{"a fault between an instance and the store", func(w *World, random *rand.Rand) {
		w.breakProxy(w.stores[random.IntN(len(w.stores))], random)
	}},
	{"a fault before a target", func(w *World, random *rand.Rand) {
		w.breakProxy(w.proxies[random.IntN(len(w.proxies))], random)
	}},
	{"the store refuses", func(w *World, random *rand.Rand) {
		w.store.Fail([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[random.IntN(2)])
		time.Sleep(span(random))
		w.store.Fail(0)
	}},
	{"answers of the store are lost", func(w *World, random *rand.Rand) { w.store.LoseAnswers(1 + random.IntN(4)) }},
	{"the store forgets its history", func(w *World, _ *rand.Rand) { w.store.Compact() }},
	{"a target refuses", func(w *World, random *rand.Rand) {
		w.someTarget(random).Inject(func(t *platformtest.Target) { t.RefuseNext = 5 })
	}},
	{"a target loses answers", func(w *World, random *rand.Rand) {
		w.someTarget(random).Inject(func(t *platformtest.Target) { t.LoseNext = 4 })
	}},
	{"an engine breaks a stream off", func(w *World, random *rand.Rand) {
		w.targets[random.IntN(engineCount)].Inject(func(t *platformtest.Target) { t.BreakAfter = 1 + random.IntN(eventCount-1) })
	}},
	{"a key is withdrawn", func(w *World, random *rand.Rand) { w.revoke(random) }},
}

// restart starts a process again; one that cannot start shows in the checks.
func (w *World) restart(p *Process) {
	if err := p.Start(); err != nil {
		w.say("%s did not start: %v", p.ID, err)
	}
}

func (w *World) breakProxy(p *Proxy, random *rand.Rand) {
	p.Set([]Fault{Delayed, Silent, OneWay, Refusing}[random.IntN(4)])
	time.Sleep(span(random))
	p.Set(Healthy)
}

// revoke withdraws a key; the time counts from when the store has it.
func (w *World) revoke(random *rand.Rand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.config.Keys) < 3 {
		return
	}
	keys := map[string]string{}
	drop := random.IntN(len(w.config.Keys))
	for key, team := range w.config.Keys {
		if drop == 0 {
			w.revoked[key] = time.Now()
		} else {
			keys[key] = team
		}
		drop--
	}
	w.config.Keys = keys
	w.config.Version++
	w.config.Publish(w.store)
}

// injectFaults starts faults that overlap, and waits until all have healed.
func (w *World) injectFaults(random *rand.Rand) {
	var group sync.WaitGroup
	for end := time.Now().Add(w.Faulty); time.Now().Before(end); {
		f := faults[random.IntN(len(faults))]
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		w.say("%s", f.name)
		group.Go(func() { f.inject(w, own) })
		time.Sleep(time.Duration(random.Int64N(int64(2 * faultPause))))
	}
	group.Wait()
}

// heal ends all faults.
func (w *World) heal() {
	w.store.Fail(0)
	w.store.LoseAnswers(0)
	for _, p := range append(append([]*Proxy{}, w.stores...), w.proxies...) {
		p.Set(Healthy)
	}
	for _, t := range w.targets {
		t.Inject(func(t *platformtest.Target) { t.RefuseNext, t.LoseNext, t.BreakAfter = 0, 0, 0 })
	}
	for _, p := range w.Processes {
		p.Signal(syscall.SIGCONT)
		w.restart(p)
	}
}
