package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// leaseTime is the bound lease-ms: holders that order a target within it take turns.
	leaseTime = 3 * time.Second
	// handovers is how often the holder is stopped, handoverTime the time from one to the
	// next.
	handovers    = 4
	handoverTime = 14 * time.Second
	// warmUpTime is the time from the first request to the first hand-over.
	warmUpTime = 5 * time.Second
	// lossTime is how long packets are lost, troubleLead how long before SIGTERM that begins.
	lossTime    = 2 * time.Second
	troubleLead = 100 * time.Millisecond
	// requestGap is the time between two requests, adapterCount the number of adapters that
	// they ask for.
	requestGap   = 15 * time.Millisecond
	adapterCount = 1500
	// engineCount is the number of engines, which are all in one zone.
	engineCount = 8
)

// addEngines adds the engines.
func (s *site) addEngines(r *record) error {
	for n := range engineCount {
		if err := s.addEngine(fmt.Sprint("engine-", n+1), engineSettings{version: "v1", events: 4, gap: 30 * time.Millisecond}, r); err != nil {
			return err
		}
	}
	return nil
}

// holder returns the instance that ordered an engine last.
func (s *site) holder() (*instance, error) {
	var last receivedOrder
	for _, e := range s.engines {
		if o, ok := e.lastOrder(); ok && o.at.After(last.at) {
			last = o
		}
	}
	i := slices.IndexFunc(s.instances, func(i *instance) bool { return i.id == last.holder })
	if i < 0 {
		return nil, errors.New("no engine has got an order")
	}
	return s.instances[i], nil
}

// setLossy has packets with orders of an instance be lost on the way to all engines.
func (s *site) setLossy(from string) {
	for _, l := range s.links {
		l.setLossy(from)
	}
}

// handover checks the rule ONE while the instance that orders the engines is stopped by SIGTERM
// and another one takes its place. The disruption is that packets with its last orders are lost.
func handover(r *record, trouble bool) (held bool, err error) {
	s, err := newSite(func(s *site) error { return s.addEngines(r) })
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { s.sendRequests(r, stop) })
	time.Sleep(warmUpTime)
	for range handovers {
		if err = s.handOver(r, trouble); err != nil {
			break
		}
	}
	close(stop)
	clients.Wait()
	return s.checkTurns(r), err
}

// handOver stops the instance that orders the engines, and starts it again.
func (s *site) handOver(r *record, trouble bool) error {
	begunAt := time.Now()
	h, err := s.holder()
	if err != nil {
		return err
	}
	if trouble {
		r.add("the links from %s to the engines lose packets", h.id)
		s.setLossy(h.id)
	}
	time.Sleep(troubleLead)
	r.add("SIGTERM to %s", h.id)
	s.stopped.Store(h)
	if err := h.terminate(); err != nil {
		return err
	}
	time.Sleep(lossTime - troubleLead)
	s.setLossy("")
	<-h.exited
	r.add("%s has ended, and starts again", h.id)
	if err := h.start(s.store.Address()); err != nil {
		return err
	}
	if err := h.awaitReady(); err != nil {
		return err
	}
	s.stopped.Store(nil)
	time.Sleep(time.Until(begunAt.Add(handoverTime)))
	return nil
}

// sendRequests sends requests for many adapters to the instances that run, until stop is
// closed.
func (s *site) sendRequests(r *record, stop <-chan struct{}) {
	client := &http.Client{Timeout: 5 * time.Second}
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(requestGap)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		i := s.instances[n%len(s.instances)]
		if i == s.stopped.Load() {
			continue
		}
		group.Go(func() { send(r, client, i, n) })
	}
}

// send sends a request and notes how it ended.
func send(r *record, client *http.Client, i *instance, n int) {
	request, err := http.NewRequest(http.MethodPost, "http://"+i.clients.String()+"/stream/draft", http.NoBody)
	if err != nil {
		r.add("request %d: %v", n, err)
		return
	}
	request.Host = host
	adapterName := fmt.Sprint("a", rand.IntN(adapterCount))
	for name, value := range map[string]string{
		requestID: fmt.Sprintf("request-%d", n), "Key": key, "Deadline-Ms": "4000", "Model": model + "/" + adapterName,
		"Token-Count": "100,8", "Prompt-Prefix": fmt.Sprintf("%x:100", n),
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		r.add("request %d for %s to %s: %v", n, adapterName, i.id, err)
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	r.add("request %d for %s to %s: status %d, %v", n, adapterName, i.id, response.StatusCode, errors.Join(err, response.Body.Close()))
}

// checkTurns reports whether no two instances have ordered an engine within leaseTime of each
// other, and whether no fencing token was lower than one before.
func (s *site) checkTurns(r *record) bool {
	held := true
	for _, e := range s.engines {
		e.mu.Lock()
		for n := 1; n < len(e.orders); n++ {
			before, after := e.orders[n-1], e.orders[n]
			gap := after.at.Sub(before.at)
			switch {
			case after.holder != before.holder && gap < leaseTime:
				r.add("BROKEN at %s: an order of %s %d ms after one of %s, the bound is %d ms", e.id, after.holder, gap.Milliseconds(), before.holder, leaseTime.Milliseconds())
				held = false
			case after.holder != before.holder:
				r.add("at %s: an order of %s %d ms after one of %s", e.id, after.holder, gap.Milliseconds(), before.holder)
			case after.token < before.token:
				r.add("BROKEN at %s: fencing token %d after %d", e.id, after.token, before.token)
				held = false
			}
		}
		e.mu.Unlock()
	}
	return held
}
