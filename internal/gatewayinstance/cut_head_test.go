package gatewayinstance_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// cutHeads are heads of responses; they hold a request's id in place of ID.
func cutHeads() map[string]string {
	const seal = "Request-Id: ID\r\nResponse-Seal: seal-ID\r\n"
	return map[string]string{
		"length":          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + seal + "Content-Length: 40\r\n\r\n",
		"length first":    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + seal + "Content-Type: text/event-stream\r\n\r\n",
		"chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + seal + "Content-Type: text/event-stream\r\n\r\n",
		"neither":         "HTTP/1.1 200 OK\r\n" + seal + "Content-Type: text/event-stream\r\n\r\n",
		"line feeds":      strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+seal+"Content-Length: 0\r\n\r\n", "\r", ""),
		"after a 100":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + seal + "Content-Length: 0\r\n\r\n",
		"a failure":       "HTTP/1.1 503 Service Unavailable\r\n" + seal + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"folded, no body": "HTTP/1.0 200 OK\r\n" + seal + "\r\n",
	}
}

// writeCut sends the first bytes of a head and closes the connection, or resets it.
func writeCut(w http.ResponseWriter, r *http.Request, head string, length int, reset bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head = strings.ReplaceAll(head, "ID", r.Header.Get("Request-Id"))
	_, _ = io.WriteString(conn, head[:min(length, len(head)-1)])
	if reset {
		// The bytes arrive before the reset.
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// cutLengths are the lengths at which a head is cut.
func cutLengths(head string) []int {
	lengths := []int{1, len(head) - 1, len(head) - 2, len(head) - 3}
	for at := range len(head) {
		if head[at] == '\n' || at%23 == 0 {
			lengths = append(lengths, at, at+1)
		}
	}
	slices.Sort(lengths)
	return slices.Compact(lengths)
}

// cutRequest names, in its id, how the first target cuts its answer.
type cutRequest struct {
	length, reset int
	head, path    string
}

func (r cutRequest) id() string {
	return fmt.Sprintf("%d/%d/%s%s", r.length, r.reset, strings.ReplaceAll(r.head, " ", "_"), r.path)
}

// parseCutRequest returns the request with an id, and false if it is not one.
func parseCutRequest(id string) (cutRequest, bool) {
	var r cutRequest
	if _, err := fmt.Sscanf(id, "%d/%d/%s", &r.length, &r.reset, &r.head); err != nil {
		return r, false
	}
	name, _, _ := strings.Cut(r.head, "/")
	r.head = strings.ReplaceAll(name, "_", " ")
	return r, true
}

// TestHeadThatStopsIsNoAnswer guards against a target that stops within the head of its answer
// and closes, of which a client gets a success, with an empty or short body, or a promise that
// its request did not run (MIXED, ORDER, REFUSED).
func TestHeadThatStopsIsNoAnswer(t *testing.T) {
	t.Parallel()
	heads := cutHeads()
	for _, throughPeer := range []bool{false, true} {
		t.Run(fmt.Sprintf("through a peer: %t", throughPeer), func(t *testing.T) {
			t.Parallel()
			c, a := newScriptedCluster(t, scriptedTargets, 2, func(attempt int, w http.ResponseWriter, r *http.Request) {
				request, ok := parseCutRequest(r.Header.Get("Request-Id"))
				switch {
				case !ok:
				case attempt > 1:
					writeEvents(w, 1, 3)
				default:
					writeCut(w, r, heads[request.head], request.length, request.reset == 1)
				}
			})
			through := c.instances[0]
			if throughPeer {
				through = c.startInstanceBehindPeer()
			}
			for name, head := range heads {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					for n, length := range cutLengths(head) {
						for _, path := range []string{"/stream/", "/draft/", "/post/", "/read/"} {
							if !throughPeer || n%4 == len(path)%4 {
								c.checkCut(t, a, through, cutRequest{length: length, reset: n % 2, head: name, path: path})
							}
						}
					}
				})
			}
		})
	}
}

// startInstanceBehindPeer starts an instance that reaches the targets through the first one.
func (c *testCluster) startInstanceBehindPeer() *instance {
	c.t.Helper()
	alone, link := c.startCuttableInstance()
	c.waitForPeers()
	link.cut(cutHanging)
	c.waitFor("requests reach both targets through the peer", func() bool {
		served := 0
		for range 10 {
			if c.sendThrough(alone, http.MethodGet, "/read/", nil).status == http.StatusOK {
				served++
			}
		}
		reported := c.logs.FilterMessage("services reached through peers changed").Len() > 0
		return served == 10 && reported && c.cutPaths() == scriptedTargets
	})
	return alone
}

// scriptedTargets is the number of targets of the tests with startInstanceBehindPeer.
const scriptedTargets = 2

// cutPaths returns to how many targets the path was found to be cut.
func (c *testCluster) cutPaths() int {
	cut := map[any]bool{}
	for _, entry := range c.logs.FilterMessage("path to a target changed").All() {
		fields := entry.ContextMap()
		cut[fields["target"]] = fields["cut"] == true
	}
	return len(slices.DeleteFunc(slices.Collect(maps.Values(cut)), func(cut bool) bool { return !cut }))
}

// checkCut sends a request whose first answer is cut. It must get the whole answer of another
// target if it may be repeated, else an answer that promises nothing.
func (c *testCluster) checkCut(t *testing.T, a *arrivals, through *instance, r cutRequest) {
	t.Helper()
	id := r.id()
	got := c.sendThrough(through, http.MethodPost, r.path, func(h http.Header) { h.Set("Request-Id", id) })
	fine := got.err == nil && got.status == http.StatusOK && got.body == pieces(1, 3)
	if r.path == "/draft/" || r.path == "/post/" {
		unclear := got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout
		fine = got.err == nil && unclear && got.header.Get("Response-Seal") == ""
	}
	if !fine {
		t.Errorf("cut after %d bytes%s: status %d, error %v, body %q; at %v; logged: %s", r.length, r.path, got.status, got.err, got.body, a.of(id), c.logged(id))
	}
}
