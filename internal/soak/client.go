package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"heatherrelay/platform/platformtest"
)

// clientRequest is a request of a client and the response that it received.
type clientRequest struct {
	id    string
	route string
	// stream is the id of the first attempt of a stream that the client takes up again,
	// remaining what is left of the client's deadline. An attempt to take it up names the
	// last event that the client has, and the attempt that brought the first one.
	stream    string
	remaining time.Duration
	after     int
	resumes   string
	// retryAfter is the time that the response states.
	retryAfter time.Duration
	key        string
	// at is the time at which the request was sent.
	at time.Time
	// took is the time until the response ended or the client gave up.
	took     time.Duration
	instance *Process
	// status is 0 without a response.
	status int
	// kept is set if the connection had served another request before.
	kept bool
	// err is why there is no response.
	err  error
	body string
	// sent is the body of the request.
	sent string
	// crashing is set when the prompt has the part that crashes engines, or when the
	// request is the one that does, which repeated is set for as well.
	crashing, repeated bool
	// complete is set when the body ended as HTTP prescribes, rather than with its
	// connection breaking off.
	complete bool
}

// repeatable holds the routes whose requests may run more than once.
var repeatable = map[string]bool{"stream": true, "read": true}

// requestLog collects the requests of all clients and assigns their ids.
type requestLog struct {
	mu   sync.Mutex
	all  []clientRequest
	next int
}

func (l *requestLog) newID(seed uint64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("s%d-%d", seed, l.next)
}

func (l *requestLog) add(r clientRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
}

// write writes all requests to a file, in the order in which they ended.
func (l *requestLog) write(path string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var text strings.Builder
	for _, r := range l.all {
		fmt.Fprintf(&text, "%s %s %s at %s stream %q resumes %q after %d: status %d in %s, complete %t, retry after %s, %v, %q\n",
			r.at.Format(timeFormat), r.id, r.route, r.instance.ID, r.stream, r.resumes, r.after, r.status, r.took, r.complete, r.retryAfter, r.err, r.body)
	}
	return os.WriteFile(path, []byte(text.String()), 0o600)
}

// timeFormat is that of times in the logs of a run.
const timeFormat = "15:04:05.000"

// client sends one request after the other and keeps its connections open between
// them.
type client struct {
	cluster *Cluster
	random  *rand.Rand
	http    *http.Client
}

const (
	// meanClientPause is the mean time between a response and the client's next
	// request.
	meanClientPause = 25 * time.Millisecond
	// requestDeadline is the deadline that clients state in their requests.
	requestDeadline = 2 * time.Second
	// plannedDeadline is the deadline in a run with planned work. It is longer than a
	// silence of a target and the load of an adapter.
	plannedDeadline = 5 * time.Second
	// adapterCount is the number of adapters that clients request.
	adapterCount = 12
)

// run sends requests until stop is closed.
func (c *client) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(meanClientPause * 2)))):
		}
		r := c.attempt(c.newRequest())
		if r.stream != "" {
			c.takeUp(r)
		}
	}
}

// newRequest returns a request to a random route at a random instance.
func (c *client) newRequest() clientRequest {
	routes := []string{"stream", "draft", "post", "read"}
	r := clientRequest{id: c.cluster.requests.newID(c.cluster.Seed), route: routes[c.random.IntN(len(routes))], key: c.cluster.pickKey(c.random), at: time.Now(), remaining: c.cluster.deadline()}
	r.instance = c.cluster.randomProcess(c.random)
	r.sent = "body of " + r.id
	if c.cluster.Crashes && r.route == repeatedRoute && c.random.IntN(repeatedRequests) == 0 {
		r.sent, r.repeated, r.key = repeatedBody, true, repeatedKey
	}
	if c.cluster.Incident && r.route == "stream" {
		r.stream, r.instance = r.id, c.runningProcess()
	}
	return r
}

// attempt sends a request, reads the response and records both.
func (c *client) attempt(r clientRequest) clientRequest {
	r = c.send(r)
	r.took = time.Since(r.at)
	c.cluster.requests.add(r)
	return r
}

// send sends a request and reads the response.
func (c *client) send(r clientRequest) clientRequest {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.instance.ClientAddress.String()+"/"+r.route+"/", strings.NewReader(r.sent))
	if err != nil {
		return r
	}
	request.Host = platformtest.Host
	request.Header.Set("Request-Id", r.id)
	request.Header.Set("Key", r.key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(r.remaining.Milliseconds()))
	r.setTakeUp(request.Header)
	if r.route == "stream" || r.route == "draft" {
		c.setModel(request.Header, &r)
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { r.kept = info.Reused }}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(response.Body)
	r.body, r.complete = string(body), err == nil
	return r
}

// setModel sets the headers of a request for an engine. Streams that are taken up again ask
// for the base model, which all engines have.
func (c *client) setModel(h http.Header, r *clientRequest) {
	h.Set("Model", platformtest.Model)
	if r.stream == "" {
		h.Set("Model", fmt.Sprintf("%s/a%d", platformtest.Model, 1+c.random.IntN(adapterCount)))
	}
	h.Set("Token-Count", "100,50")
	if c.cluster.Crashes {
		r.crashing = c.cluster.setPrompt(h, c.random, r.id) || r.repeated
	}
}
