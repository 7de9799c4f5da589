package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// brittleWorkers is the number of workers. They are brittle all the time, and bear
	// maxRejections in a second. allowedFalls is how often they may fall over: 2, and a tenth
	// of their number, rounded down.
	brittleWorkers = 3
	maxRejections  = 6
	allowedFalls   = 2
	// brittleWork is how long a worker works on a request, maxWaiting how many wait there.
	brittleWork = 200 * time.Millisecond
	maxWaiting  = 2
	// silence is how long a worker sends nothing and reads nothing, silenceGap the time from
	// one to the next, and silenceCount their number.
	silence      = time.Second
	silenceGap   = 6 * time.Second
	silenceCount = 8
	// loadGap is the time between two requests: some more than the workers bear.
	loadGap = 7 * time.Millisecond
	// settleTime is the time from the first request to the first silence.
	settleTime = 6 * time.Second
)

// brittleWorker is a worker that falls over when it has to reject too many requests.
type brittleWorker struct {
	*worker

	mu          sync.Mutex
	silentUntil time.Time
	// runs holds the incarnations by their ids.
	runs  map[string]*brittleRun
	falls int
}

// brittleRun is an incarnation of a brittle worker. The worker's lock guards it.
type brittleRun struct {
	running, waiting int
	freed            *sync.Cond
	rejections       []time.Time
	// down is set once the incarnation has fallen over.
	down bool
}

func newBrittleWorker(w *worker) *brittleWorker {
	b := &brittleWorker{worker: w, runs: map[string]*brittleRun{}}
	w.serve = b.serve
	return b
}

// run returns an incarnation. The caller holds the lock.
func (b *brittleWorker) run(id string) *brittleRun {
	r, ok := b.runs[id]
	if !ok {
		r = &brittleRun{freed: sync.NewCond(&b.mu)}
		b.runs[id] = r
	}
	return r
}

// fallSilent has the worker stand still for a time.
func (b *brittleWorker) fallSilent(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silentUntil = time.Now().Add(d)
	b.log.add("%s falls silent for %s", b.name, d)
}

// awaitSilence returns once the worker goes on.
func (b *brittleWorker) awaitSilence() {
	for {
		b.mu.Lock()
		left := time.Until(b.silentUntil)
		b.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// serve runs a request, after others if all slots are taken, or rejects it.
func (b *brittleWorker) serve(id string, response http.ResponseWriter, r *http.Request, _ string) {
	b.awaitSilence()
	response.Header().Set("Server-Brittle", strconv.Itoa(maxRejections))
	taken, up := b.take(id)
	switch {
	case !up:
		panic(http.ErrAbortHandler)
	case !taken:
		response.Header().Set(notExecuted, "1")
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(brittleWork)
	b.awaitSilence()
	b.leave(id)
	finish(response, r)
}

// take takes a slot, and waits for it if need be. It reports false if there is no room, and
// whether the worker is still up: too many rejections make it fall over.
func (b *brittleWorker) take(id string) (taken, up bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.run(id)
	if !r.down && r.running >= workerSlots && r.waiting >= maxWaiting {
		b.reject(id, r)
		return false, !r.down
	}
	r.waiting++
	for !r.down && r.running >= workerSlots {
		r.freed.Wait()
	}
	r.waiting--
	r.running++
	return true, !r.down
}

// reject counts a rejection. The caller holds the lock.
func (b *brittleWorker) reject(id string, r *brittleRun) {
	now := time.Now()
	r.rejections = slices.DeleteFunc(r.rejections, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	r.rejections = append(r.rejections, now)
	b.log.add("%s rejects a request, %d within a second", id, len(r.rejections))
	if len(r.rejections) <= maxRejections {
		return
	}
	r.down = true
	r.freed.Broadcast()
	b.falls++
	b.log.add("%s falls over", id)
	go b.crash(id)
}

// leave gives a slot back.
func (b *brittleWorker) leave(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.run(id)
	r.running--
	r.freed.Broadcast()
}

// brittle checks the rule LIMIT for workers that say that they are brittle, while more is sent
// than they bear and one after the other falls silent for a second.
func brittle(r *record, trouble bool) (held bool, err error) {
	var workers []*brittleWorker
	s, err := newSite(func(s *site) error {
		for n := range brittleWorkers {
			b := newBrittleWorker(&worker{name: fmt.Sprint("worker-", n+1), zone: []string{"z1", "z2"}[n%2], store: s.store, log: r})
			workers = append(workers, b)
			if err := b.start(); err != nil {
				return err
			}
		}
		return nil
	})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		s.repeat(loadGap, stop, func(n int) {
			post(r, s.instances[n%len(s.instances)], fmt.Sprint("call-", n), "/post/dispatch/"+strconv.Itoa(n), "lane 3")
		})
	})
	time.Sleep(settleTime)
	for n := range silenceCount {
		if trouble {
			workers[n%len(workers)].fallSilent(silence)
		}
		time.Sleep(silenceGap)
	}
	close(stop)
	clients.Wait()
	falls := 0
	for _, b := range workers {
		b.mu.Lock()
		falls += b.falls
		b.mu.Unlock()
	}
	r.add("the workers fell over %d times; allowed are %d", falls, allowedFalls)
	return falls <= allowedFalls, nil
}
