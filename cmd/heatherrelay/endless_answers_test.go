package main_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/loopback/loopbacktest"
	"heatherrelay/platform/platformtest"
)

// siegeTime is for how long a crowd sends requests to a faulty target.
const siegeTime = 2 * time.Second

// endlessTarget is a target that answers each request, and each call for a report, with a head
// and then repeats a text until the caller closes the connection.
type endlessTarget struct {
	head, repeated string
	// stopAfter is the number of bytes after which the target sends nothing more and leaves
	// the connection open; 0 for none.
	stopAfter int
}

// start serves the target until the test ends, and registers it in place of a target of the
// platform.
func (e *endlessTarget) start(t *testing.T, store *platformtest.Store, target *platformtest.Target) {
	t.Helper()
	target.AdvertisedAddress = loopbacktest.Serve(t, e.serve)
	target.Register(store, "ready")
}

func (e *endlessTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := fmt.Fprint(conn, strings.ReplaceAll(e.head, "ID", request.Header.Get("Request-Id"))); err != nil {
		return
	}
	piece := bytes.Repeat([]byte(e.repeated), max(1, 64<<10/len(e.repeated)))
	for sent := 0; err == nil && (e.stopAfter == 0 || sent < e.stopAfter); sent += len(piece) {
		_, err = conn.Write(piece)
	}
	// Returns once the caller closes.
	_, _ = io.Copy(io.Discard, conn)
}

// answer returns a head of a target's response with a status and further fields.
func answer(status, fields string) string {
	return "HTTP/1.1 " + status + "\r\nRequest-Id: ID\r\nResponse-Seal: seal-ID\r\n" + fields
}

// TestEndlessAnswersOfTargetsStayWithinMemory guards against a process that keeps what a faulty
// target sends without end, in a head or in a body, and runs out of memory with the requests of
// all other clients (LOST).
func TestEndlessAnswersOfTargetsStayWithinMemory(t *testing.T) {
	const (
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		events  = "Content-Type: text/event-stream\r\n"
	)
	noise, field := strings.Repeat("x", 1000), "X-Field: "+strings.Repeat("x", 1000)+"\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(noise), noise)
	// stopShort is less than the longest event that an instance takes.
	const stopShort = 900_000
	for name, c := range map[string]struct {
		path, head, repeated string
		stopAfter            int
	}{
		"no head":                   {"/read/x", "", noise, 0},
		"informational heads":       {"/read/x", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		"head":                      {"/read/x", answer("200 OK", ""), field, 0},
		"line of a head":            {"/read/x", answer("200 OK", "X-Field: "), noise, 0},
		"body without length":       {"/read/x", answer("200 OK", "\r\n"), noise, 0},
		"body in chunks":            {"/read/x", answer("200 OK", chunked), chunk, 0},
		"chunks of one byte":        {"/read/x", answer("200 OK", chunked), "1\r\nx\r\n", 0},
		"body of a great length":    {"/read/x", answer("200 OK", "Content-Length: 1099511627776\r\n\r\n"), noise, 0},
		"size of a chunk":           {"/read/x", answer("200 OK", chunked), "0", 0},
		"trailer":                   {"/read/x", answer("200 OK", chunked) + "0\r\n", field, 0},
		"body of a failure":         {"/read/x", answer("500 Internal Server Error", "\r\n"), noise, 0},
		"body of a refusal":         {"/read/x", answer("503 Service Unavailable", "Not-Executed: 1\r\n\r\n"), noise, 0},
		"request not repeated":      {"/post/x", answer("200 OK", "\r\n"), noise, 0},
		"line of an event":          {"/events/x", answer("200 OK", events+"\r\n") + "data: ", noise, 0},
		"lines of an event":         {"/events/x", answer("200 OK", events+"\r\n"), "data: " + noise + "\n", 0},
		"text that is no event":     {"/events/x", answer("200 OK", events+"\r\n"), noise + "\n\n", 0},
		"comments in a stream":      {"/events/x", answer("200 OK", events+"\r\n"), ": " + noise + "\n\n", 0},
		"chunked lines of an event": {"/events/x", answer("200 OK", events+chunked), "3ed\r\ndata:" + noise[:999] + "\n\r\n", 0},
		"event that stops short":    {"/events/x", answer("200 OK", events+"\r\n") + "data: ", noise, stopShort},
		"body that stops short":     {"/read/x", answer("200 OK", "\r\n"), noise, stopShort},
	} {
		t.Run(name, func(t *testing.T) {
			p := startGateway(t, bodyLimit)
			faulty := &platformtest.Target{ID: "plain-2", Service: platformtest.PlainService, Zone: "north"}
			(&endlessTarget{head: c.head, repeated: c.repeated, stopAfter: c.stopAfter}).start(t, p.store, faulty)
			p.besiege(c.path)
			p.check()
		})
	}
}

// besiege has a crowd send small requests, one after the other each, for siegeTime.
func (p *gatewayProcess) besiege(path string) {
	p.t.Helper()
	until := time.Now().Add(siegeTime)
	var group sync.WaitGroup
	for client := range crowdSize {
		group.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				p.request(path, fmt.Sprintf("crowd-%d-%d", client, n))
			}
		})
	}
	group.Wait()
}

// request sends a small request and discards what is answered.
func (p *gatewayProcess) request(path, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.clients.String()+path, strings.NewReader(id))
	if err != nil {
		return
	}
	request.Host, request.Close = platformtest.Host, true
	request.Header.Set("Request-Id", id)
	request.Header.Set("Key", testKey)
	request.Header.Set("Deadline-Ms", "2000")
	response, err := (&http.Client{Timeout: 3 * time.Second}).Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	// The end of the answer is of no interest, whichever it is.
	_, _ = io.Copy(io.Discard, response.Body)
}
