package main

import (
	"fmt"
	"sync"
	"time"

	"heatherrelay/platform/platformtest"
	"heatherrelay/review/harness"
)

// unframedDeadline is the deadline of the requests to workers whose answers end with their
// connection.
const unframedDeadline = 10 * time.Second

// unframedRoutes returns the standard routes with timeouts that no request reaches.
func unframedRoutes() []platformtest.Route {
	routes := platformtest.StandardRoutes()
	for _, route := range routes {
		route["timeout-ms"] = (2 * unframedDeadline).Milliseconds()
	}
	return routes
}

// sendAll sends requests at the same time, in turn to all instances.
func (c *testCase) sendAll(count int, request func(i int) harness.Request) *harness.Answers {
	answers := &harness.Answers{}
	var group sync.WaitGroup
	for i := range count {
		r, p := request(i), c.fleet.Instances[i%len(c.fleet.Instances)]
		group.Go(func() {
			a := harness.Send(p, r)
			answers.Put(r.ID, a)
			c.record.Printf("%s %s at %s: status %d, seal %q, %d bytes, complete %t, after %s, %v", r.Method, r.ID, p.ID, a.Status, a.Header.Get("Response-Seal"), len(a.Body), a.Complete, a.EndedAt.Sub(a.At), a.Err)
		})
	}
	group.Wait()
	return answers
}

// shortAnswers counts the complete, sealed successes whose bodies are not the whole ones.
func (c *testCase) shortAnswers(answers *harness.Answers, whole func(id string) string) (short, good int) {
	for id, a := range answers.All() {
		switch {
		case a.Status != 200 || !a.Complete:
		case a.Body != whole(id):
			short++
			c.record.Printf("%s is a success of %d bytes, the whole answer has %d", id, len(a.Body), len(whole(id)))
		default:
			good++
		}
	}
	c.record.Printf("%d whole answers, %d that look whole and are not", good, short)
	return short, good
}

// workerCount is the number of workers, of which one crashes or is taken away.
const workerCount = 7

// startWorkers starts worker processes in three zones.
func (c *testCase) startWorkers(store *platformtest.Store, service, model string) ([]*harness.WorkerProcess, error) {
	zones := []string{"a", "b", "c"}
	var workers []*harness.WorkerProcess
	for i := range workerCount {
		w := &harness.WorkerProcess{ID: fmt.Sprintf("worker-%d", i), Service: service, Zone: zones[i%len(zones)], Model: model, Record: c.record}
		workers = append(workers, w)
		if err := w.Start(); err != nil {
			return workers, err
		}
		w.Register(store, "ready", 0)
	}
	return workers, nil
}

// requestCount is the number of requests at the same time.
const requestCount = 42

func killAll(workers []*harness.WorkerProcess) {
	for _, w := range workers {
		w.Kill()
	}
}
