package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"heatherrelay/platform/platformtest"
)

// The sizes and times of a run.
const (
	engineCount  = 3
	plainCount   = 2
	eventCount   = 6
	eventGap     = 15 * time.Millisecond
	loadTime     = 100 * time.Millisecond
	readyLimit   = 20 * time.Second
	keyLimit     = 4 * time.Second
	recoverTime  = 10 * time.Second
	measuredTime = 3 * time.Second
	// leastServed is the part of the requests that must succeed after the faults.
	leastServed = 0.7
)

// World is a platform of stand-ins with instances in front of it.
type World struct {
	// Seed decides the faults and when they come.
	Seed uint64
	// Binary is the program heatherrelay; Folder takes settings and logs.
	Binary, Folder string
	// Instances and Clients are how many run; Faulty is how long faults come.
	Instances, Clients int
	Faulty             time.Duration
	// Say is told of each fault; may be nil.
	Say func(string)

	Processes []*Process
	store     *platformtest.Store
	stores    []*Proxy
	targets   []*platformtest.Target
	proxies   []*Proxy
	journal   journal

	mu      sync.Mutex
	config  platformtest.Config
	revoked map[string]time.Time
}

func (w *World) say(format string, args ...any) {
	if w.Say != nil {
		w.Say(fmt.Sprintf(format, args...))
	}
}

// Run starts everything, injects faults, and returns what was broken.
func (w *World) Run() ([]string, error) {
	defer w.end()
	if err := w.start(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(w.Seed, 1))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range w.Clients {
		c := &client{world: w, random: rand.New(rand.NewPCG(w.Seed, uint64(2+i))), http: &http.Client{Timeout: 2 * askDeadline, Transport: &http.Transport{}}}
		clients.Go(func() { c.run(stop) })
	}
	w.injectFaults(random)
	w.heal()
	time.Sleep(recoverTime)
	recovered := time.Now()
	time.Sleep(measuredTime)
	close(stop)
	clients.Wait()
	return w.check(recovered), nil
}

func (w *World) start() error {
	w.store = platformtest.NewStore()
	w.revoked = map[string]time.Time{}
	w.config = platformtest.Config{Version: 1, Routes: platformtest.StandardRoutes(), Rate: 10_000_000, Burst: 10_000_000, Keys: map[string]string{}}
	for i := range 6 {
		w.config.Keys[fmt.Sprintf("key-%d", i)] = fmt.Sprintf("team-%d", i%2)
	}
	w.config.Publish(w.store)
	for i := range engineCount + plainCount {
		if err := w.startTarget(i); err != nil {
			return err
		}
	}
	for i := range w.Instances {
		proxy, err := NewProxy(w.store.Address())
		if err != nil {
			return err
		}
		w.stores = append(w.stores, proxy)
		p, err := newProcess(w.Binary, w.Folder, fmt.Sprintf("instance-%d", i), fmt.Sprintf("zone-%d", i%engineCount), proxy.Address(), keyLimit)
		if err != nil {
			return err
		}
		w.Processes = append(w.Processes, p)
		if err := p.Start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(readyLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if w.allReady() {
			return nil
		}
	}
	return fmt.Errorf("the instances did not get ready within %s", readyLimit)
}

func (w *World) allReady() bool {
	for _, p := range w.Processes {
		if !p.IsReady() {
			return false
		}
	}
	return true
}

func (w *World) startTarget(i int) error {
	t := &platformtest.Target{ID: fmt.Sprintf("target-%d", i), Zone: fmt.Sprintf("zone-%d", i%engineCount), Service: platformtest.PlainService}
	if i < engineCount {
		t.Service, t.Model, t.Places, t.LoadTime = platformtest.ModelService, platformtest.Model, platformtest.AdapterPlaces, loadTime
		t.Events, t.EventGap = eventCount, eventGap
	}
	t.Start()
	proxy, err := NewProxy(t.Address())
	if err != nil {
		return err
	}
	t.AdvertisedAddress = proxy.Address()
	t.Register(w.store, "ready")
	w.targets, w.proxies = append(w.targets, t), append(w.proxies, proxy)
	return nil
}

// end stops just what this run started.
func (w *World) end() {
	for _, p := range w.Processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
		p.Await(time.Second)
	}
	for _, p := range append(w.stores, w.proxies...) {
		p.Close()
	}
	for _, t := range w.targets {
		t.Close()
	}
	if w.store != nil {
		w.store.Close()
	}
}

// aKey returns a key that is in force, or sometimes one that was withdrawn.
func (w *World) aKey(random *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.revoked) > 0 && random.IntN(6) == 0 {
		for key := range w.revoked {
			return key
		}
	}
	for key := range w.config.Keys {
		return key
	}
	return ""
}
