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

// sent is one request of a client and what became of it.
type sent struct {
	id     string
	route  string
	key    string
	at     time.Time
	status int
	body   string
	// whole says that the answer ended as complete.
	whole bool
}

// repeatable are the routes whose requests may run more than once.
var repeatable = map[string]bool{"stream": true, "read": true}

// journal collects what clients saw.
type journal struct {
	mu   sync.Mutex
	all  []sent
	next int
}

func (j *journal) id(seed uint64) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.next++
	return fmt.Sprintf("s%d-%d", seed, j.next)
}

func (j *journal) add(s sent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.all = append(j.all, s)
}

// client sends requests one after the other over a connection that it keeps.
type client struct {
	world  *World
	random *rand.Rand
	http   *http.Client
}

const (
	clientPause  = 25 * time.Millisecond
	askDeadline  = 2 * time.Second
	adapterCount = 12
)

func (c *client) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(clientPause * 2)))):
		}
		c.world.journal.add(c.ask())
	}
}

func (c *client) ask() sent {
	routes := []string{"stream", "draft", "post", "read"}
	s := sent{id: c.world.journal.id(c.world.Seed), route: routes[c.random.IntN(len(routes))], key: c.world.aKey(c.random), at: time.Now()}
	instance := c.world.Processes[c.random.IntN(len(c.world.Processes))]
	request, err := http.NewRequest(http.MethodPost, "http://"+instance.Clients.String()+"/"+s.route+"/", strings.NewReader("body of "+s.id))
	if err != nil {
		return s
	}
	request.Host = platformtest.Host
	request.Header.Set("Request-Id", s.id)
	request.Header.Set("Key", s.key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(askDeadline.Milliseconds()))
	if s.route == "stream" || s.route == "draft" {
		request.Header.Set("Model", fmt.Sprintf("%s/a%d", platformtest.Model, 1+c.random.IntN(adapterCount)))
		request.Header.Set("Token-Count", "100,50")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return s
	}
	defer func() { _ = response.Body.Close() }()
	s.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	s.body, s.whole = string(body), err == nil
	return s
}
