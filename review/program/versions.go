package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"heatherrelay/platform/platformtest"
	"heatherrelay/review/harness"
)

// The times of the case. A replaced worker that does not report that it drains goes on for
// drainTime and lingerTime after its entry was removed.
const (
	replaceGap     = time.Second
	drainTime      = 2 * time.Second
	lingerTime     = 1500 * time.Millisecond
	streamEvents   = 40
	streamGap      = 100 * time.Millisecond
	streamDeadline = 15 * time.Second
	// killDelay is the time from the removal of the last old entry to the kill.
	killDelay    = time.Second
	downTime     = time.Second
	streamCount  = 24
	allowedMixed = 2
	maxTries     = 12
	retryPause   = 100 * time.Millisecond
)

// release replaces engines of version v1 by engines of version v2.
type release struct {
	store    *platformtest.Store
	old, new []*platformtest.Target
}

func newEngine(version string, i int, zone string) *platformtest.Target {
	return &platformtest.Target{
		ID: fmt.Sprintf("engine-%s-%d", version, i), Service: platformtest.ModelService, Zone: zone, Model: platformtest.Model,
		AdapterSlots: platformtest.AdapterSlots, SoftwareVersion: version, Events: streamEvents, EventGap: streamGap,
	}
}

// replaceDraining starts a new engine in place of an old one, which drains and leaves.
func (r *release) replaceDraining(i int) {
	r.startNew(i)
	r.old[i].Register(r.store, "draining")
	time.AfterFunc(drainTime+lingerTime, func() {
		r.store.Delete("servers", r.old[i].ID)
		r.old[i].Close()
	})
}

// replaceAbruptly starts a new engine in place of an old one, whose entry is removed without
// a report that it drains. It goes on for the same time.
func (r *release) replaceAbruptly(i int) {
	r.startNew(i)
	r.store.Delete("servers", r.old[i].ID)
	time.AfterFunc(drainTime+lingerTime, r.old[i].Close)
}

func (r *release) startNew(i int) {
	r.new[i].Start()
	r.new[i].Register(r.store, "ready")
}

// versionsMixed kills all instances at the end of the release of a service.
func versionsMixed(c *testCase) (bool, error) {
	store := platformtest.NewStore()
	defer store.Close()
	publishStreamRoutes(store)
	r := &release{store: store}
	zones := []string{"a", "b", "c"}
	for i, zone := range zones {
		r.old, r.new = append(r.old, newEngine("v1", i, zone)), append(r.new, newEngine("v2", i, zone))
		r.old[i].Start()
		r.old[i].Register(store, "ready")
	}
	c.fleet.Store = store.Address()
	if err := c.startFleet("a", "b", "c", "a", "b", "c"); err != nil {
		return false, err
	}
	r.replaceDraining(0)
	time.Sleep(replaceGap)
	r.replaceDraining(1)
	time.Sleep(replaceGap)
	c.record.Printf("two of three engines are replaced; the streams begin")
	streams := c.startStreams()
	time.Sleep(replaceGap)
	r.replaceAbruptly(2)
	c.record.Printf("the entry of the last engine of version v1 was removed; it goes on for %s", drainTime+lingerTime)
	time.Sleep(killDelay)
	if c.trouble {
		if err := c.killAll(); err != nil {
			return false, err
		}
	}
	ended := streams()
	for _, engine := range append(r.old, r.new...) {
		for _, q := range engine.ReceivedRequests() {
			c.record.Printf("%s, version %s, got %s at %s after event %q, ran %t", engine.ID, engine.SoftwareVersion, q.Header.Get("Request-Id"), q.At.Format(clockFormat), q.Header.Get("Last-Event-Id"), q.Ran)
		}
	}
	return c.judgeStreams(ended), nil
}

// killAll kills all instances at the same moment, and starts them again after downTime.
func (c *testCase) killAll() error {
	c.record.Printf("all instances are killed")
	for _, p := range c.fleet.Instances {
		p.Signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, p := range c.fleet.Instances {
		<-p.Exited()
		if err := p.Start(); err != nil {
			return err
		}
	}
	c.record.Printf("all instances are started again")
	return nil
}

// clientStream is a stream of a client, over its tries.
type clientStream struct {
	id       string
	events   string
	complete bool
}

// startStreams starts the streams of all clients. The result waits for their ends.
func (c *testCase) startStreams() func() []*clientStream {
	var group sync.WaitGroup
	var streams []*clientStream
	for i := range streamCount {
		s := &clientStream{id: fmt.Sprintf("stream-%d", i)}
		streams = append(streams, s)
		group.Go(func() { c.runStream(s, i) })
	}
	return func() []*clientStream {
		group.Wait()
		return streams
	}
}

// runStream sends a request for a stream and, when it is broken off, takes it up again at
// another instance that is ready.
func (c *testCase) runStream(s *clientStream, first int) {
	start, firstAttempt := time.Now(), ""
	for try := 0; try < maxTries && time.Since(start) < streamDeadline; try++ {
		p := c.fleet.Instances[(first+try)%len(c.fleet.Instances)]
		if !p.IsReady() {
			time.Sleep(retryPause)
			try--
			first++
			continue
		}
		id := fmt.Sprintf("%s-try-%d", s.id, try)
		request := harness.Request{ID: id, Method: "POST", Path: "/stream/", Key: "key-a", Body: "plan", Deadline: streamDeadline - time.Since(start),
			Header: map[string]string{"Model": platformtest.Model, "Token-Count": "100,50"}}
		if s.events != "" {
			request.Header["Last-Event-Id"], request.Header["Resumes"] = strconv.Itoa(strings.Count(s.events, "\n\n")), firstAttempt
		}
		a := harness.Send(p, request)
		got := ""
		if a.Status == 200 {
			got = a.Body[:strings.LastIndex(a.Body, "\n\n")+2]
		}
		if s.events == "" && got != "" {
			firstAttempt = id
		}
		s.events += got
		c.record.Printf("%s at %s, after event %q: status %d, events of v1 %d, of v2 %d, complete %t, %v", id, p.ID, request.Header["Last-Event-Id"], a.Status, strings.Count(got, "of v1"), strings.Count(got, "of v2"), a.Complete, a.Err)
		if s.complete = a.Status == 200 && a.Complete; s.complete {
			return
		}
		time.Sleep(retryPause)
	}
}

// judgeStreams reports whether more streams hold events of two versions than the rule ORDER
// allows.
func (c *testCase) judgeStreams(streams []*clientStream) bool {
	mixed, complete := 0, 0
	for _, s := range streams {
		if s.complete {
			complete++
		}
		if strings.Contains(s.events, "of v1") && strings.Contains(s.events, "of v2") {
			mixed++
			c.record.Printf("%s holds %d events of v1 and %d of v2", s.id, strings.Count(s.events, "of v1"), strings.Count(s.events, "of v2"))
		}
	}
	c.record.Printf("%d streams, %d of them complete; %d hold events of two versions, allowed are %d", len(streams), complete, mixed, allowedMixed)
	return mixed > allowedMixed
}
