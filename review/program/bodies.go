package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"heatherrelay/platform/platformtest"
)

const (
	// maxBodyBytes is the longest body that the site's configuration allows, bodyBytesSent
	// what the clients send.
	maxBodyBytes  = 4 << 20
	bodyBytesSent = 3 << 20
	// memoryLimit is what a process of the site may have.
	memoryLimit = 284 << 20
	// zoneClients is the number of clients of the site's first zone.
	zoneClients    = 30
	zoneInstances  = 3
	bodiesTime     = 20 * time.Second
	bodiesDeadline = 10 * time.Second
	// bodyWorkTime is the work of a worker on a request; at the site it is up to 450 ms.
	bodyWorkTime   = 300 * time.Millisecond
	pieceBytes     = 64 << 10
	sampleInterval = 10 * time.Millisecond
)

// link shares the rate of an instance's link among the clients that send to it.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// wait waits until the link has carried so many bytes more.
func (l *link) wait(bytes int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / linkBytesPerSecond)
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// pacedBody is a body that a client sends over a link.
type pacedBody struct {
	link *link
	left int
}

// Read returns the next piece of the body.
func (b *pacedBody) Read(p []byte) (int, error) {
	n := min(len(p), b.left, pieceBytes)
	if n == 0 {
		return 0, io.EOF
	}
	b.link.wait(n)
	clear(p[:n])
	b.left -= n
	return n, nil
}

// anonymousBytes returns the memory of a process without the pages of files; zero if it has
// ended.
func anonymousBytes(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			// The line has a number of kB in any kernel that has it.
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb << 10
		}
	}
	return 0
}

// zone is the instances of a zone with the links to them. Two of them may be lost.
type zone struct {
	*testCase
	links []link
	log   postLog
	stop  chan struct{}

	mu       sync.Mutex
	lost     bool
	overruns int
}

// largeBodies loses two of the three machines of a zone, whose clients send long bodies.
func largeBodies(c *testCase) (bool, error) {
	store := platformtest.NewStore()
	defer store.Close()
	store.Put("config", "main", map[string]any{
		"version": 1, "routes": unframedRoutes(), "services": []any{map[string]any{"name": platformtest.PlainService, "health-path": "/health", "max-connections": 110}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	var workers []*platformtest.Target
	for i := range zoneInstances {
		worker := &platformtest.Target{ID: fmt.Sprintf("worker-%d", i), Service: platformtest.PlainService, Zone: "a", AnswerDelay: bodyWorkTime}
		worker.Start()
		defer worker.Close()
		worker.Register(store, "ready")
		workers = append(workers, worker)
	}
	c.fleet.Store = store.Address()
	if err := c.startFleet("a", "a", "a"); err != nil {
		return false, err
	}
	z := &zone{testCase: c, links: make([]link, zoneInstances), stop: make(chan struct{})}
	var clients sync.WaitGroup
	for i := range zoneClients {
		clients.Go(func() { z.runClient(i) })
	}
	go z.limitMemory()
	time.Sleep(bodiesTime / 10)
	if c.trouble {
		z.loseTwo()
	}
	time.Sleep(bodiesTime)
	close(z.stop)
	clients.Wait()
	return z.judge(workers), nil
}

// loseTwo ends two of the instances for good.
func (z *zone) loseTwo() {
	z.mu.Lock()
	z.lost = true
	z.mu.Unlock()
	for _, p := range z.fleet.Instances[1:] {
		z.record.Printf("%s is lost", p.ID)
		p.Signal(syscall.SIGKILL)
	}
}

// limitMemory kills the first process when it has more memory than it may, and starts it
// again, as the platform does.
func (z *zone) limitMemory() {
	p, peak := z.fleet.Instances[0], 0
	for {
		select {
		case <-z.stop:
			z.record.Printf("most memory of %s: %d MiB of %d", p.ID, peak>>20, memoryLimit>>20)
			return
		case <-time.After(sampleInterval):
		}
		now := anonymousBytes(p.PID())
		peak = max(peak, now)
		if now > memoryLimit {
			z.record.Printf("%s has %d MiB, more than %d, and is killed", p.ID, now>>20, memoryLimit>>20)
			z.mu.Lock()
			z.overruns++
			z.mu.Unlock()
			p.Kill()
			time.Sleep(restartDelay)
			if err := p.Start(); err != nil {
				z.record.Printf("%s does not start: %v", p.ID, err)
				return
			}
		}
	}
}

// instance returns the index of the instance of a client: one of its own, or the first when
// the others are lost.
func (z *zone) instance(client int) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.lost {
		return 0
	}
	return client % zoneInstances
}

// runClient sends one request after the other on a kept connection.
func (z *zone) runClient(client int) {
	h := &http.Client{Timeout: bodiesDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer h.CloseIdleConnections()
	for number := 0; ; number++ {
		select {
		case <-z.stop:
			return
		default:
		}
		i := z.instance(client)
		p := z.fleet.Instances[i]
		sent := post{id: fmt.Sprintf("body-%d-%d", client, number), instance: p.ID, at: time.Now()}
		sent.status, sent.kept, sent.err = z.send(h, i, sent.id)
		sent.took = time.Since(sent.at)
		z.log.add(sent)
		if sent.err != nil {
			time.Sleep(restartDelay)
		}
	}
}

func (z *zone) send(h *http.Client, i int, id string) (status int, kept bool, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+z.fleet.Instances[i].Clients.String()+"/post/", &pacedBody{link: &z.links[i], left: bodyBytesSent})
	if err != nil {
		return 0, false, err
	}
	request.ContentLength, request.Host = bodyBytesSent, platformtest.Host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(bodiesDeadline.Milliseconds()))
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
	response, err := h.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return 0, kept, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, kept, err
}

// judge reports whether the first process had more memory than it may, and with it requests
// from kept connections were lost that had been passed on to a sound worker.
func (z *zone) judge(workers []*platformtest.Target) bool {
	ran := ranRequests(workers)
	lost, answered := 0, 0
	var timeout net.Error
	for _, p := range z.log.posts {
		z.record.Printf("%s sent to %s at %s, kept connection %t, ran %t: status %d after %s, %v", p.id, p.instance, p.at.Format(clockFormat), p.kept, ran[p.id], p.status, p.took, p.err)
		switch {
		case p.status != 0 && p.err == nil:
			answered++
		case p.instance == z.fleet.Instances[0].ID && p.kept && ran[p.id] && (!errors.As(p.err, &timeout) || !timeout.Timeout()):
			lost++
		}
	}
	z.record.Printf("%d requests answered; the first process went over its memory %d times; %d requests lost with it that a sound worker ran, allowed are %d", answered, z.overruns, lost, allowedLosses)
	return z.overruns > 0 && lost > allowedLosses
}

// ranRequests returns the ids of the requests that workers ran.
func ranRequests(workers []*platformtest.Target) map[string]bool {
	ran := map[string]bool{}
	for _, w := range workers {
		for _, r := range w.ReceivedRequests() {
			ran[r.Header.Get("Request-Id")] = r.Ran
		}
	}
	return ran
}
