package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"heatherrelay/platform/platformtest"
	"heatherrelay/review/harness"
)

const (
	// repeatingMode is the argument of a worker that repeats its refusals.
	repeatingMode = "repeating-worker"
	// repeatGap is the time between a refusal that is written once more and the answer.
	repeatGap = 10 * time.Millisecond
	// refusedConnections is on how many connections a worker refuses the first request.
	refusedConnections = 12
	// repeatRounds is how often all clients send a request.
	repeatRounds = 8
)

// unnamedRefusal is a refusal of a worker that names no request.
const unnamedRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// runRepeatingWorker runs a worker as a process of its own that refuses the first request of
// its first connections, and writes the refusal once more just before each later answer on
// them.
func runRepeatingWorker(address string) int {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	var mu sync.Mutex
	refused := 0
	refuses := func() bool {
		mu.Lock()
		defer mu.Unlock()
		refused++
		return refused <= refusedConnections && os.Getenv("TROUBLE") != "0"
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return statusNotRun
		}
		go serveRepeating(conn, refuses)
	}
}

// serveRepeating serves one connection of a repeating worker.
func serveRepeating(conn net.Conn, refuses func() bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for repeats, first := false, true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if first && refuses() {
			repeats = true
			fmt.Printf("refused %s\n", id)
			if _, err := io.WriteString(conn, unnamedRefusal); err != nil {
				return
			}
			continue
		}
		fmt.Printf("begun %s\n", id)
		if repeats {
			if _, err := io.WriteString(conn, unnamedRefusal); err != nil {
				return
			}
			time.Sleep(repeatGap)
		}
		body := wholeBody(id)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body); err != nil {
			return
		}
	}
}

// runCounts counts the runs of requests at all workers.
type runCounts struct {
	mu   sync.Mutex
	runs map[string]int
}

// line counts a line of a worker.
func (r *runCounts) line(text string) {
	if id, ok := strings.CutPrefix(text, "begun "); ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[id]++
	}
}

// repeatedRefusal shows workers that write an earlier refusal once more on a kept connection.
func repeatedRefusal(c *testCase) (bool, error) {
	store := platformtest.NewStore()
	defer store.Close()
	platformtest.Config{Version: 1, Routes: platformtest.StandardRoutes(), Keys: map[string]string{"key": "roads"}, Rate: 1_000_000, Burst: 1_000_000}.Publish(store)
	counts := &runCounts{runs: map[string]int{}}
	var workers []*harness.WorkerProcess
	defer func() { killAll(workers) }()
	for i := range workerCount {
		w := &harness.WorkerProcess{ID: fmt.Sprintf("worker-%d", i), Service: platformtest.PlainService, Zone: []string{"a", "b", "c"}[i%3], Record: c.record, Mode: repeatingMode, OnLine: counts.line}
		workers = append(workers, w)
		if err := w.Start(); err != nil {
			return false, err
		}
		w.Register(store, "ready", 0)
	}
	c.fleet.Store = store.Address()
	if err := c.startFleet("a", "b", "c"); err != nil {
		return false, err
	}
	answers := map[string]harness.Answer{}
	for round := range repeatRounds {
		sent := c.sendAll(requestCount/2, func(i int) harness.Request {
			id := fmt.Sprintf("call-%d-%d", round, i)
			return harness.Request{ID: id, Method: http.MethodPost, Path: "/post/", Key: "key", Body: id, Deadline: 3 * time.Second}
		})
		for id, a := range sent.All() {
			answers[id] = a
		}
	}
	time.Sleep(time.Second)
	return c.brokenPromises(answers, counts)
}

// brokenPromises reports whether a request ran twice, or ran and was refused as not run.
func (c *testCase) brokenPromises(answers map[string]harness.Answer, counts *runCounts) (bool, error) {
	counts.mu.Lock()
	defer counts.mu.Unlock()
	twice, refused, served := 0, 0, 0
	for id, a := range answers {
		if counts.runs[id] > 1 {
			twice++
		}
		if (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests) && counts.runs[id] > 0 {
			refused++
		}
		if a.Status == http.StatusOK && a.Complete && a.Body == wholeBody(id) {
			served++
		}
	}
	c.record.Printf("%d requests: %d served, %d ran twice, %d ran and were refused", len(answers), served, twice, refused)
	if served == 0 {
		return false, errors.New("no request was served")
	}
	return twice > 0 || refused > 0, nil
}
