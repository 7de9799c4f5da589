package gatewayinstance_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// uploadBytes is the size of a request that is still being written when its target answers.
const uploadBytes = 7 << 20

// earlyAnswer is an answer that a target sends before it has read the request.
type earlyAnswer struct {
	status, framing, body string
	// reads is how much of the request the target reads before.
	reads int64
	// end ends the connection after the answer.
	end func(*net.TCPConn)
}

// endPause is how long a target waits so that what it sent arrives before the end.
const endPause = 20 * time.Millisecond

// The ways in which a target ends the connection while the request is being written. The
// kernel resets a connection that is closed with bytes unread.
func resetAtOnce(conn *net.TCPConn) { _ = conn.SetLinger(0) }

func resetLater(conn *net.TCPConn) {
	time.Sleep(endPause)
	resetAtOnce(conn)
}

func closeUnread(*net.TCPConn) { time.Sleep(endPause) }

func halfCloseThenReset(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	resetLater(conn)
}

func closeWhileReading(conn *net.TCPConn) {
	_, _ = io.CopyN(io.Discard, conn, uploadBytes/4)
}

// cuttingEnds returns the ends that cut an answer without a length short, by their names.
func cuttingEnds() map[string]func(*net.TCPConn) {
	return map[string]func(*net.TCPConn){
		"reset at once": resetAtOnce, "reset later": resetLater, "closed unread": closeUnread,
		"half closed, then reset": halfCloseThenReset, "closed while it reads": closeWhileReading,
	}
}

func halfCloseAndRead(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

func readToEnd(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }

// earlyEnds holds when targets ended their early answers, by the ids of the requests.
var earlyEnds sync.Map

// sinceEarlyEnd returns the time since the early answer to a request ended.
func sinceEarlyEnd(id string) time.Duration {
	at, ok := earlyEnds.Load(id)
	if !ok {
		return 0
	}
	return time.Since(at.(time.Time))
}

// write answers a request before it has been read.
func (e earlyAnswer) write(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, _ = io.CopyN(io.Discard, r.Body, e.reads)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() {
		earlyEnds.Store(id, time.Now())
		_ = conn.Close()
	}()
	// The connection takes no further request: who reads it to its end does not look for one.
	text := fmt.Sprintf("HTTP/1.1 %s\r\nConnection: close\r\n%s%s\r\n%s", e.status, brokenFields, e.framing, e.body)
	_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", id))
	e.end(conn.(*net.TCPConn))
}

// newUploadCluster starts scripted targets that give the early answer with the number that a
// request's id begins with at its first attempt, and are sound then.
func newUploadCluster(t *testing.T, answers []earlyAnswer) (*testCluster, *arrivals) {
	t.Helper()
	c, a := newScriptedCluster(t, scriptedTargets, 2, func(attempt int, w http.ResponseWriter, r *http.Request) {
		number, _, _ := strings.Cut(r.Header.Get("Request-Id"), "/")
		if n, err := strconv.Atoi(number); err == nil && attempt == 1 {
			answers[n].write(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		// Without the header, the stream begins at its first event.
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		writeEvents(w, last+1, 3)
	})
	c.acceptUploads()
	return c, a
}

// acceptUploads lets the routes take large requests.
func (c *testCluster) acceptUploads() {
	c.t.Helper()
	c.config.Version++
	c.config.MaxBodyBytes = uploadBytes
	c.config.Publish(c.store)
	c.waitFor("large requests are accepted", func() bool {
		return c.sendBody(c.instances[0], http.MethodPost, "/read/", upload(), nil).status == http.StatusOK
	})
}

// upload returns the body of a large request.
func upload() string { return newBody() + strings.Repeat("x", uploadBytes-100) }

// uploadPaths returns the paths on which an answer is asked for: all if it ends with its
// connection and is asked for directly, else the one with a number.
func (e earlyAnswer) uploadPaths(way string, number int) []string {
	if way == "directly" && e.framing == "" {
		return allPaths
	}
	// Answers that differ in their last points alone come on other paths each time.
	number = (number + number/len(allPaths)) % len(allPaths)
	return allPaths[number : number+1]
}

// TestResetAnswerIsNotWhole guards against a part of an answer that a client gets as a whole
// one, since its target reset or closed the connection while a large request was still being
// written (MIXED).
func TestResetAnswerIsNotWhole(t *testing.T) {
	t.Parallel()
	var answers []earlyAnswer
	var names []string
	for end, f := range cuttingEnds() {
		for framing, lines := range map[string]string{"neither": "", "length": "Content-Length: 1000\r\n", "chunks": "Transfer-Encoding: chunked\r\n"} {
			for _, status := range []string{"200 OK", "500 Internal Server Error"} {
				for _, part := range []string{"id: 1\ndata: pie", pieces(1, 1)} {
					if framing == "chunks" {
						part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
					}
					reads := int64(len(answers)/4%2) << 20
					names = append(names, fmt.Sprintf("%s, %s, %s, %d bytes, %d read", end, status, framing, len(part), reads))
					answers = append(answers, earlyAnswer{status: status, framing: lines, body: part, reads: reads, end: f})
				}
			}
		}
	}
	c, a := newUploadCluster(t, answers)
	for way, b := range c.brokenRoutes() {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			for n, answer := range answers {
				for _, path := range answer.uploadPaths(way, n) {
					c.checkReset(t, a, way, n, names[n], b.through, path)
				}
			}
		})
	}
}

// checkReset sends a large request whose first answer is cut by the end of its connection. It
// must get a whole answer of the next target if it may be repeated, else at once a failure
// that promises nothing, or a stream without its end.
func (c *testCluster) checkReset(t *testing.T, a *arrivals, way string, n int, name string, through *instance, path string) {
	t.Helper()
	id := strings.ReplaceAll(fmt.Sprintf("%d/%s%s", n, way, path), " ", "_")
	// An earlier run of the test had the same ids.
	earlyEnds.Delete(id)
	got := c.sendBody(through, http.MethodPost, path, upload(), func(h http.Header) { h.Set("Request-Id", id) })
	after := sinceEarlyEnd(id)
	whole := got.err == nil && got.status == http.StatusOK && got.body == pieces(1, 3)
	unclear := got.err == nil && got.status == http.StatusBadGateway && got.header.Get("Response-Seal") == "" && got.header.Get("Retry-After") == ""
	cut := got.err != nil && got.status == http.StatusOK && strings.HasPrefix(pieces(1, 1), got.body)
	fine := map[string]bool{"/stream/": whole, "/read/": whole, "/post/": unclear, "/draft/": unclear || cut}[path]
	atOnce := path == "/stream/" || path == "/read/" || after < answerObjective
	if !fine || !atOnce {
		t.Errorf("%s, %s, %s: status %d, header %v, error %v, body %q, %s after the end; at %v; logged: %s", name, way, path, got.status, got.header, got.err, got.body, after, a.of(id), c.logged(id))
	}
}

// TestWholeAnswerBeforeTheUploadEndsIsDelivered guards against a whole answer that is lost, or
// asked for again, since it came while a large request was still being written.
func TestWholeAnswerBeforeTheUploadEndsIsDelivered(t *testing.T) {
	t.Parallel()
	const interim = "100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK"
	body := pieces(1, 3)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	answers := []earlyAnswer{{status: "200 OK", body: body, end: halfCloseAndRead}}
	for _, end := range []func(*net.TCPConn){readToEnd, halfCloseAndRead, closeUnread, resetLater, closeWhileReading} {
		for _, status := range []string{"200 OK", "200", "200 ", interim} {
			answers = append(answers,
				earlyAnswer{status: status, framing: length, body: body, end: end},
				earlyAnswer{status: status, framing: "Transfer-Encoding: chunked\r\n", body: fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Note: a\r\n\r\n", len(body), body), end: end})
		}
	}
	c, a := newUploadCluster(t, answers)
	var group sync.WaitGroup
	for way, b := range c.brokenRoutes() {
		group.Go(func() {
			for n, answer := range answers {
				for _, path := range answer.uploadPaths(way, n) {
					id := strings.ReplaceAll(fmt.Sprintf("%d/whole/%s%s", n, way, path), " ", "_")
					sentAt := time.Now()
					got := c.sendBody(b.through, http.MethodPost, path, upload(), func(h http.Header) { h.Set("Request-Id", id) })
					// An end of a connection is in doubt where a process has just been met.
					once := len(a.of(id)) == 1 || answer.framing == ""
					if got.err != nil || got.status != http.StatusOK || got.body != body || !once {
						t.Errorf("%d (%q), %s, %s: status %d, error %v, body %q after %s; at %v; logged: %s", n, answer.framing, way, path, got.status, got.err, got.body, time.Since(sentAt), a.of(id), c.logged(id))
					}
				}
			}
		})
	}
	group.Wait()
}
