package main_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"heatherrelay/platform/platformtest"
)

// stopClients is how many clients send requests during a planned stop.
const stopClients = 20

// TestPlannedStopAnswersAllRequestsThatItTakes guards against requests that come late in the grace
// of a planned stop, are taken and passed on, and end with it without an answer (LOST), among them
// requests that must not be repeated: whatever the grace is, and however long a request may run.
// Clients keep using open connections, and open new ones, until the process is gone.
func TestPlannedStopAnswersAllRequestsThatItTakes(t *testing.T) {
	for name, c := range map[string]struct {
		grace time.Duration
		path  string
		// work is how long the target works on a request, deadline what its client states.
		work, deadline time.Duration
	}{
		"short grace":                  {3 * time.Second, "/post/x", 900 * time.Millisecond, 1500 * time.Millisecond},
		"long work":                    {5 * time.Second, "/post/x", 3 * time.Second, 3500 * time.Millisecond},
		"repeatable, short grace":      {3 * time.Second, "/read/x", 900 * time.Millisecond, 1500 * time.Millisecond},
		"repeatable, long work":        {5 * time.Second, "/read/x", 3 * time.Second, 3500 * time.Millisecond},
		"target that does not answer":  {3 * time.Second, "/post/x", 6 * time.Second, 3500 * time.Millisecond},
		"repeatable, no answer either": {5 * time.Second, "/read/x", 6 * time.Second, 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startGatewayWith(t, bodyLimit, c.grace)
			p.target.Inject(func(target *platformtest.Target) { target.AnswerDelay = c.work })
			s := &stopTraffic{process: p, path: c.path, deadline: c.deadline}
			s.run(func() {
				time.Sleep(500 * time.Millisecond)
				if err := syscall.Kill(p.pid, syscall.SIGTERM); err != nil {
					t.Error(err)
				}
				select {
				case <-p.exited:
				case <-time.After(c.grace):
					t.Errorf("the process runs %s after SIGTERM", c.grace)
				}
			})
			s.check(t)
		})
	}
}

// stopTraffic is what clients send before and during a planned stop.
type stopTraffic struct {
	process  *gatewayProcess
	path     string
	deadline time.Duration

	sent       atomic.Int64
	unanswered sync.Map
	refused    sync.Map
}

// run has clients send requests until the process is gone, while stop stops it.
func (s *stopTraffic) run(stop func()) {
	var group sync.WaitGroup
	for client := range stopClients {
		group.Go(func() {
			// Every other client uses one connection for all of its requests.
			transport := &http.Transport{DisableKeepAlives: client%2 == 0}
			defer transport.CloseIdleConnections()
			for n := 0; s.process.running(); n++ {
				s.send(&http.Client{Transport: transport, Timeout: s.deadline + time.Second}, fmt.Sprintf("stop-%d-%d", client, n))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	stop()
	group.Wait()
}

func (s *stopTraffic) send(client *http.Client, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.process.clients.String()+s.path, strings.NewReader(id))
	if err != nil {
		return
	}
	request.Host = platformtest.Host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Key", testKey)
	request.Header.Set("Deadline-Ms", fmt.Sprint(s.deadline.Milliseconds()))
	s.sent.Add(1)
	response, err := client.Do(request)
	if err != nil {
		s.unanswered.Store(id, err)
		return
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable {
		s.refused.Store(id, true)
	}
}

// check checks that each request that reached the target was answered, and that none was both
// refused as not run and passed on.
func (s *stopTraffic) check(t *testing.T) {
	t.Helper()
	cut, lied := 0, 0
	received := s.process.target.ReceivedRequests()
	for _, r := range received {
		id := r.Header.Get("Request-Id")
		if err, ok := s.unanswered.Load(id); ok {
			if cut++; cut == 1 {
				t.Logf("first request without an answer: %v", err)
			}
		}
		if _, ok := s.refused.Load(id); ok {
			lied++
		}
	}
	if cut > 0 || lied > 0 || len(received) == 0 {
		t.Errorf("of %d requests %d reached the target, %d of these got no answer, %d were refused as not run", s.sent.Load(), len(received), cut, lied)
	}
}

// running reports whether the process has not ended.
func (p *gatewayProcess) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}
