package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"heatherrelay/platform/platformtest"
	"heatherrelay/review/harness"
)

// The times of the case.
const (
	quietTime = 4 * time.Second
	// troubleTime is how long two engines answer report calls with bytes without end.
	troubleTime  = 5500 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	afterTime    = 3 * time.Second
	// workTime is how long a plain worker works on a request.
	workTime     = 200 * time.Millisecond
	postDeadline = 1500 * time.Millisecond
	// clientsPerInstance is the number of clients of each instance.
	clientsPerInstance = 8
	// allowedLosses and allowedEnds are those of the rules LOST and Fault.
	allowedLosses = 3
	allowedEnds   = 2
)

// clockFormat is the format of times of day in the record.
const clockFormat = "15:04:05.000"

// linkBytesPerSecond is the rate of an engine's link, 1,000 Mbit/s.
const linkBytesPerSecond = 125_000_000

// endlessHeads are heads of answers that promise more bytes than any body has, one in its
// length, one in the length of its first chunk.
var endlessHeads = []string{
	"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 999999999999999999\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n",
}

// writeWithoutEnd writes the head of an answer, and then bytes without end, no faster than
// the link, until the caller closes.
func writeWithoutEnd(head string) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := conn.Write([]byte(head)); err != nil {
			return
		}
		chunk := bytes.Repeat([]byte("x"), linkBytesPerSecond/1000)
		for {
			if _, err := conn.Write(chunk); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// endlessReport has two of six engines answer report calls with bytes without end.
func endlessReport(c *testCase) (bool, error) {
	store := platformtest.NewStore()
	defer store.Close()
	config := platformtest.Config{Version: 1, Routes: platformtest.StandardRoutes(), Rate: 1_000_000, Burst: 1_000_000, Keys: map[string]string{"key-a": "team-a"}}
	config.Publish(store)
	zones := []string{"a", "b", "c"}
	var proxies []*harness.Proxy
	for i := range 6 {
		engine := &platformtest.Target{ID: fmt.Sprintf("engine-%d", i), Service: platformtest.ModelService, Zone: zones[i%3], Model: platformtest.Model, AdapterSlots: platformtest.AdapterSlots}
		engine.Start()
		defer engine.Close()
		proxy := &harness.Proxy{Prefix: []byte("GET /report"), Answer: writeWithoutEnd(endlessHeads[i%len(endlessHeads)])}
		if err := proxy.Listen(engine.Address()); err != nil {
			return false, err
		}
		defer proxy.Close()
		engine.AdvertisedAddress = proxy.Address()
		engine.Register(store, "ready")
		proxies = append(proxies, proxy)
	}
	var workers []*platformtest.Target
	for i := range 3 {
		worker := &platformtest.Target{ID: fmt.Sprintf("worker-%d", i), Service: platformtest.PlainService, Zone: zones[i], AnswerDelay: workTime}
		worker.Start()
		defer worker.Close()
		worker.Register(store, "ready")
		workers = append(workers, worker)
	}
	c.fleet.Store = store.Address()
	if err := c.startFleet(zones[0], zones[1], zones[2], zones[0], zones[1], zones[2]); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go c.restartEnded(stop)
	log := &postLog{}
	var clients sync.WaitGroup
	for _, p := range c.fleet.Instances {
		for i := range clientsPerInstance {
			clients.Go(func() { runPosts(p, i, log, stop) })
		}
	}
	time.Sleep(quietTime)
	if c.trouble {
		c.record.Printf("engines 0 and 1 answer report calls with bytes without end from now on")
		proxies[0].Spoil.Store(true)
		proxies[1].Spoil.Store(true)
	}
	time.Sleep(troubleTime)
	proxies[0].Spoil.Store(false)
	proxies[1].Spoil.Store(false)
	c.record.Printf("end of the trouble; %d and %d report calls were answered so", proxies[0].Answered.Load(), proxies[1].Answered.Load())
	time.Sleep(afterTime)
	close(stop)
	clients.Wait()
	return c.judgePosts(log, workers), nil
}

// startFleet starts an instance in each of the given zones. Later starts are no longer the
// first one of the whole system.
func (c *testCase) startFleet(zones ...string) error {
	if err := c.fleet.Add(zones...); err != nil {
		return err
	}
	if err := c.fleet.Start(); err != nil {
		return err
	}
	for _, p := range c.fleet.Instances {
		if err := p.DropBootstrap(); err != nil {
			return err
		}
	}
	c.record.Printf("%d instances are ready", len(zones))
	return nil
}

// restartEnded starts each process again that has ended, as the platform does.
func (c *testCase) restartEnded(stop <-chan struct{}) {
	for _, p := range c.fleet.Instances {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-p.Exited():
				}
				time.Sleep(restartDelay)
				select {
				case <-stop:
					return
				default:
				}
				if err := p.Start(); err != nil {
					c.record.Printf("%s does not start: %v", p.ID, err)
					return
				}
			}
		}()
	}
}

// post is a request that may not be repeated and what its client received.
type post struct {
	id, instance string
	at           time.Time
	took         time.Duration
	status       int
	// kept is set if the connection had served a request before.
	kept bool
	err  error
}

// postLog collects posts.
type postLog struct {
	mu    sync.Mutex
	posts []post
}

func (l *postLog) add(p post) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.posts = append(l.posts, p)
}

var postNumber atomic.Int64

// runPosts sends one request after the other to an instance, on a kept connection.
func runPosts(p *harness.Instance, client int, log *postLog, stop <-chan struct{}) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	h := &http.Client{Timeout: postDeadline, Transport: transport}
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		sent := post{id: fmt.Sprintf("%s-%d-%d", p.ID, client, postNumber.Add(1)), instance: p.ID, at: time.Now()}
		sent.status, sent.kept, sent.err = sendPost(h, p.Clients, sent.id)
		sent.took = time.Since(sent.at)
		log.add(sent)
		if sent.err != nil {
			time.Sleep(restartDelay)
		}
	}
}

func sendPost(h *http.Client, address netip.AddrPort, id string) (status int, kept bool, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/post/", strings.NewReader("dispatch "+id))
	if err != nil {
		return 0, false, err
	}
	request.Host = platformtest.Host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Key", "key-a")
	request.Header.Set("Deadline-Ms", fmt.Sprint(postDeadline.Milliseconds()))
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
	response, err := h.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return 0, kept, err
	}
	defer func() { _ = response.Body.Close() }()
	body := new(bytes.Buffer)
	_, err = body.ReadFrom(response.Body)
	return response.StatusCode, kept, err
}

// judgePosts reports whether requests from kept connections were lost that had been passed
// on to a sound worker, more often than the rule LOST allows.
func (c *testCase) judgePosts(log *postLog, workers []*platformtest.Target) bool {
	ran := map[string]bool{}
	for _, w := range workers {
		for _, r := range w.ReceivedRequests() {
			ran[r.Header.Get("Request-Id")] = r.Ran
		}
	}
	lost, answered := 0, 0
	var timeout net.Error
	for _, p := range log.posts {
		c.record.Printf("%s sent to %s at %s, kept connection %t, ran %t: status %d after %s, %v", p.id, p.instance, p.at.Format(clockFormat), p.kept, ran[p.id], p.status, p.took, p.err)
		if p.status != 0 && p.err == nil {
			answered++
			continue
		}
		if p.kept && ran[p.id] && (!errors.As(p.err, &timeout) || !timeout.Timeout()) {
			lost++
		}
	}
	ends := 0
	for _, p := range c.fleet.Instances {
		c.record.Printf("instance %s ended by itself %d times", p.ID, p.OwnEnds())
		if p.OwnEnds() > allowedEnds {
			ends++
		}
	}
	c.record.Printf("%d requests answered; %d lost that a sound worker ran, allowed are %d; %d of %d processes ended by themselves three times or more", answered, lost, allowedLosses, ends, len(c.fleet.Instances))
	return lost > allowedLosses
}
