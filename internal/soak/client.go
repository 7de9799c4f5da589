package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"heatherrelay/platform/platformtest"
)

// clientRequest is a request of a client and the response that it received.
type clientRequest struct {
	id    string
	route string
	key   string
	// at is the time at which the request was sent.
	at time.Time
	// took is the time until the response ended or the client gave up.
	took     time.Duration
	instance *Process
	// status is 0 without a response.
	status int
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
		r := c.send()
		r.took = time.Since(r.at)
		c.cluster.requests.add(r)
	}
}

// send sends one request to a random route at a random instance and reads the
// response.
func (c *client) send() clientRequest {
	routes := []string{"stream", "draft", "post", "read"}
	r := clientRequest{id: c.cluster.requests.newID(c.cluster.Seed), route: routes[c.random.IntN(len(routes))], key: c.cluster.pickKey(c.random), at: time.Now()}
	r.instance = c.cluster.randomProcess(c.random)
	r.sent = "body of " + r.id
	if c.cluster.Crashes && r.route == repeatedRoute && c.random.IntN(repeatedRequests) == 0 {
		r.sent, r.repeated, r.key = repeatedBody, true, repeatedKey
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+r.instance.ClientAddress.String()+"/"+r.route+"/", strings.NewReader(r.sent))
	if err != nil {
		return r
	}
	request.Host = platformtest.Host
	request.Header.Set("Request-Id", r.id)
	request.Header.Set("Key", r.key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(c.cluster.deadline().Milliseconds()))
	if r.route == "stream" || r.route == "draft" {
		request.Header.Set("Model", fmt.Sprintf("%s/a%d", platformtest.Model, 1+c.random.IntN(adapterCount)))
		request.Header.Set("Token-Count", "100,50")
		if c.cluster.Crashes {
			r.crashing = c.cluster.setPrompt(request.Header, c.random, r.id) || r.repeated
		}
	}
	response, err := c.http.Do(request)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	r.body, r.complete = string(body), err == nil
	return r
}
