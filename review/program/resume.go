package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"heatherrelay/platform/platformtest"
	"heatherrelay/review/harness"
)

const (
	// resumableEvents is the number of events of a stream, breakAfter the time from its
	// start to the break.
	resumableEvents = 60
	breakAfter      = 2 * time.Second
	// resumeDelay is the time from the break, or from the new start of the instances, to the
	// one attempt of each client to take its stream up.
	resumeDelay = 4 * time.Second
	// stableWindow is how long an instance must have run undisturbed to be in touch.
	stableWindow = 3 * time.Second
	// newStreamsAfter is the time from the break to the new streams.
	newStreamsAfter = 5500 * time.Millisecond
	// leastResumes and leastShare are those of the rule LOST.
	leastResumes = 12
	leastShare   = 0.5
)

// resumedStream is a stream that its client takes up again.
type resumedStream struct {
	id, events string
	// inTouch is set once the client has asked an instance in touch to go on, wentOn once
	// that has.
	inTouch, wentOn bool
}

// resumesRefused kills all instances while workers of two software versions serve.
func resumesRefused(c *testCase) (bool, error) {
	store := platformtest.NewStore()
	defer store.Close()
	publishStreamRoutes(store)
	zones := []string{"a", "b", "c"}
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		engine := newEngine(version, i, zones[i%len(zones)])
		engine.Events = resumableEvents
		engine.Start()
		defer engine.Close()
		engine.Register(store, "ready")
	}
	c.fleet.Store = store.Address()
	if err := c.startFleet("a", "b", "c", "a", "b", "c"); err != nil {
		return false, err
	}
	// The start of the instances is no disruption any more.
	time.Sleep(stableWindow)
	runningSince := time.Now().Add(-stableWindow)
	var group sync.WaitGroup
	started := time.Now()
	var streams []*resumedStream
	broken := make(chan struct{})
	resumable := func() time.Time { return runningSince }
	for i := range streamCount {
		s := &resumedStream{id: fmt.Sprintf("stream-%d", i)}
		streams = append(streams, s)
		group.Go(func() { c.breakAndResume(s, i, broken, resumable) })
	}
	time.Sleep(breakAfter)
	if c.trouble {
		if err := c.killAll(); err != nil {
			return false, err
		}
		runningSince = time.Now()
	}
	close(broken)
	time.Sleep(time.Until(started.Add(breakAfter + newStreamsAfter)))
	begun := c.startNewStreams()
	group.Wait()
	return c.judgeResumes(streams, begun), nil
}

// publishStreamRoutes writes a configuration whose timeouts are the streams' deadline.
func publishStreamRoutes(store *platformtest.Store) {
	routes := platformtest.StandardRoutes()
	for _, route := range routes {
		route["timeout-ms"] = streamDeadline.Milliseconds()
	}
	platformtest.Config{Version: 1, Routes: routes, Rate: 1_000_000, Burst: 1_000_000, Keys: map[string]string{"key-a": "team-a"}}.Publish(store)
}

// streamRequest returns a client attempt at a stream, after the events that the client has.
func streamRequest(id, first, events string, deadline time.Duration) harness.Request {
	r := harness.Request{ID: id, Method: "POST", Path: "/stream/", Key: "key-a", Body: "plan", Deadline: deadline,
		Header: map[string]string{"Model": platformtest.Model, "Token-Count": "100,50"}}
	if events != "" {
		r.Header["Last-Event-Id"], r.Header["Resumes"] = strconv.Itoa(strings.Count(events, "\n\n")), first
	}
	return r
}

// wholeEvents returns the part of a stream's body that is whole events.
func wholeEvents(a harness.Answer) string {
	if a.Status != 200 {
		return ""
	}
	return a.Body[:strings.LastIndex(a.Body, "\n\n")+len("\n\n")]
}

// breakAndResume has a client begin a stream, leave it when it is broken off, and take it up
// again once.
func (c *testCase) breakAndResume(s *resumedStream, i int, broken <-chan struct{}, runningSince func() time.Time) {
	start := time.Now()
	first := s.id + "-begins"
	r := streamRequest(first, "", "", streamDeadline)
	r.Until = broken
	a := harness.Send(c.fleet.Instances[i%len(c.fleet.Instances)], r)
	s.events = wholeEvents(a)
	c.record.Printf("%s: status %d, %d events of v1, %d of v2, then broken off", first, a.Status, strings.Count(s.events, "of v1"), strings.Count(s.events, "of v2"))
	if s.events == "" {
		return
	}
	<-broken
	time.Sleep(resumeDelay)
	p := c.readyInstance(i + 1)
	id := s.id + "-again"
	s.inTouch = time.Since(runningSince()) >= stableWindow
	a = harness.Send(p, streamRequest(id, first, s.events, streamDeadline-time.Since(start)))
	got := wholeEvents(a)
	c.record.Printf("%s at %s, in touch %t, after event %d: status %d, Retry-After %q, %d events of v1, %d of v2, complete %t", id, p.ID, s.inTouch, strings.Count(s.events, "\n\n"),
		a.Status, a.Header.Get("Retry-After"), strings.Count(got, "of v1"), strings.Count(got, "of v2"), a.Complete)
	s.wentOn = got != ""
}

// readyInstance returns the first instance from a number on that is ready, once one is.
func (c *testCase) readyInstance(from int) *harness.Instance {
	for n := 0; ; n++ {
		p := c.fleet.Instances[(from+n)%len(c.fleet.Instances)]
		if p.IsReady() {
			return p
		}
		time.Sleep(retryPause / 10)
	}
}

// startNewStreams begins as many new streams, and returns how many of them begin.
func (c *testCase) startNewStreams() int {
	var group sync.WaitGroup
	var mu sync.Mutex
	begun := 0
	for i := range streamCount {
		group.Go(func() {
			a := harness.Send(c.fleet.Instances[i%len(c.fleet.Instances)], streamRequest(fmt.Sprintf("new-%d", i), "", "", streamDeadline))
			c.record.Printf("new-%d: status %d, %d events, complete %t", i, a.Status, strings.Count(a.Body, "\n\n"), a.Complete)
			mu.Lock()
			defer mu.Unlock()
			if wholeEvents(a) != "" {
				begun++
			}
		})
	}
	group.Wait()
	return begun
}

// judgeResumes reports whether of the streams that were taken up again at instances in
// touch a smaller share went on than the rule LOST asks for.
func (c *testCase) judgeResumes(streams []*resumedStream, begun int) bool {
	asked, wentOn := 0, 0
	for _, s := range streams {
		if !s.inTouch {
			continue
		}
		asked++
		if s.wentOn {
			wentOn++
		}
	}
	share, newShare := float64(wentOn)/float64(max(asked, 1)), float64(begun)/streamCount
	c.record.Printf("%d streams were taken up again at instances in touch, at least %d count; %d went on (share %.2f); of the new streams the share that began is %.2f", asked, leastResumes, wentOn, share, newShare)
	return asked >= leastResumes && share < leastShare*newShare
}
