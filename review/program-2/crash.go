package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// stableWindow is the bound stable-window-ms. Later than that after crashesBefore crashes
	// a request that crashes workers may reach them in allowedRetries retries.
	stableWindow   = 3 * time.Second
	crashesBefore  = 3
	allowedRetries = 3
	// workerCount is the number of workers, crashTime the time for which the request comes
	// again every crashGap, soundGap the time between two sound requests.
	workerCount = 6
	crashTime   = 40 * time.Second
	crashGap    = 700 * time.Millisecond
	soundGap    = 40 * time.Millisecond
	// crashPath is the path of the request that crashes workers.
	crashPath = "/post/dispatch"
	// crashBody is the body on which workers crash as soon as they begin to run it.
	crashBody = "lane 7, twice"
	// workTime is how long a worker works on a request.
	workTime = 15 * time.Millisecond
)

// arrivals are the times at which workers began to run the request that crashes them.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// late returns how many of them came later than stableWindow after the last of crashesBefore.
func (a *arrivals) late() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.at {
		if len(a.at) >= crashesBefore && at.Sub(a.at[crashesBefore-1]) > stableWindow {
			n++
		}
	}
	return n
}

// crash checks the rule BUDGET for a request that crashes each worker that begins to run it, and
// that comes again with the same path, caller and body. Its query differs each time, unless
// QUERY=same is in the environment.
func crash(r *record, trouble bool) (held bool, err error) {
	seen := &arrivals{}
	s, err := newSite(func(s *site) error {
		for n := range workerCount {
			w := &worker{name: fmt.Sprint("worker-", n+1), zone: []string{"z1", "z2"}[n%2], store: s.store, log: r}
			w.serve = func(id string, response http.ResponseWriter, r *http.Request, body string) {
				w.log.add("%s runs %s %s, body %q", id, r.Header.Get(requestID), r.RequestURI, body)
				if body == crashBody {
					seen.add()
				}
				if body == crashBody && trouble {
					w.crash(id)
					panic(http.ErrAbortHandler)
				}
				time.Sleep(workTime)
				finish(response, r)
			}
			if err := w.start(); err != nil {
				return err
			}
		}
		return nil
	})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		s.repeat(soundGap, stop, func(n int) {
			post(r, s.instances[n%len(s.instances)], fmt.Sprint("sound-", n), "/post/dispatch/"+fmt.Sprint(n), "lane 3")
		})
	})
	time.Sleep(2 * time.Second)
	clients.Go(func() {
		s.repeat(crashGap, stop, func(n int) {
			uri := crashPath + "?sent=" + fmt.Sprint(n)
			if os.Getenv("QUERY") == "same" {
				uri = crashPath
			}
			post(r, s.instances[n%len(s.instances)], fmt.Sprint("crash-", n), uri, crashBody)
		})
	})
	time.Sleep(crashTime)
	close(stop)
	clients.Wait()
	late := seen.late()
	r.add("the request ran %d times, %d of them later than %s after the third; allowed are %d", len(seen.at), late, stableWindow, allowedRetries)
	return !trouble || late <= allowedRetries, nil
}

// repeat calls send every gap until stop is closed.
func (s *site) repeat(gap time.Duration, stop <-chan struct{}, send func(n int)) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		group.Go(func() { send(n) })
	}
}

// post sends a call that must not be repeated, on a connection of its own, and notes how it
// ended.
func post(r *record, i *instance, id, uri, body string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+i.clients.String()+uri, strings.NewReader(body))
	if err != nil {
		r.add("%s: %v", id, err)
		return
	}
	request.Host, request.Close = host, true
	request.Header.Set(requestID, id)
	request.Header.Set("Key", key)
	request.Header.Set("Deadline-Ms", "1500")
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		r.add("%s %s to %s: %v", id, uri, i.id, err)
		return
	}
	text, err := io.ReadAll(response.Body)
	r.add("%s %s to %s: status %d %q %v", id, uri, i.id, response.StatusCode, text, errors.Join(err, response.Body.Close()))
}
