package main

import (
	"fmt"
	"time"

	"heatherrelay/platform/platformtest"
	"heatherrelay/review/harness"
)

// crashInAnswer crashes one of the plain workers while it writes its answers.
func crashInAnswer(c *testCase) (bool, error) {
	store := platformtest.NewStore()
	defer store.Close()
	platformtest.Config{Version: 1, Routes: unframedRoutes(), Rate: 1_000_000, Burst: 1_000_000, Keys: map[string]string{"key-a": "team-a"}}.Publish(store)
	workers, err := c.startWorkers(store, platformtest.PlainService, "")
	defer killAll(workers)
	if err != nil {
		return false, err
	}
	c.fleet.Store = store.Address()
	if err := c.startFleet("a", "b", "c"); err != nil {
		return false, err
	}
	if c.trouble {
		time.AfterFunc(pauseTime/2, func() {
			c.record.Printf("%s crashes", workers[0].ID)
			workers[0].Kill()
		})
	}
	answers := c.sendAll(requestCount, func(i int) harness.Request {
		return harness.Request{ID: fmt.Sprintf("post-%d", i), Method: "POST", Path: "/post/", Key: "key-a", Body: "dispatch", Deadline: unframedDeadline}
	})
	short, good := c.shortAnswers(answers, wholeBody)
	if good == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return short > 0, nil
}
