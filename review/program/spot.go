package main

import (
	"fmt"
	"time"

	"heatherrelay/platform/platformtest"
	"heatherrelay/review/harness"
)

const (
	// spotNotice is how long before its end a worker that is taken away says so.
	spotNotice = 2 * time.Second
	// noticeDelay is the time from the start of the streams to the notice.
	noticeDelay = 300 * time.Millisecond
)

// spotInStream takes one of the engines away while it writes streams.
func spotInStream(c *testCase) (bool, error) {
	store := platformtest.NewStore()
	defer store.Close()
	platformtest.Config{Version: 1, Routes: unframedRoutes(), Rate: 1_000_000, Burst: 1_000_000, Keys: map[string]string{"key-a": "team-a"}}.Publish(store)
	workers, err := c.startWorkers(store, platformtest.ModelService, platformtest.Model)
	defer killAll(workers)
	if err != nil {
		return false, err
	}
	c.fleet.Store = store.Address()
	if err := c.startFleet("a", "b", "c"); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if c.trouble {
		time.AfterFunc(noticeDelay, func() {
			c.record.Printf("%s reports that it is taken away in %s", workers[0].ID, spotNotice)
			workers[0].Register(store, "draining", spotNotice)
		})
		time.AfterFunc(noticeDelay+spotNotice, func() {
			workers[0].Kill()
			c.record.Printf("%s is gone", workers[0].ID)
			store.Delete("servers", workers[0].ID)
		})
	}
	answers := c.sendAll(requestCount, func(i int) harness.Request {
		return harness.Request{ID: fmt.Sprintf("stream-%d", i), Method: "POST", Path: "/stream/", Key: "key-a", Body: "draft", Deadline: unframedDeadline,
			Header: map[string]string{"Model": platformtest.Model, "Token-Count": "100,50"}}
	})
	short, good := c.shortAnswers(answers, func(string) string { return wholeStream(1, workerEvents) })
	if good == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return short > 0, nil
}
