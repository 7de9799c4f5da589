package dispatch_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/dispatch"
	"heatherrelay/internal/loopback/loopbacktest"
	"heatherrelay/internal/refusal"
)

// startRawService starts a service that answers the request on each connection by what
// answer writes, and keeps the connection open until the other end closes it.
func startRawService(t *testing.T, answer func(conn net.Conn)) *dispatch.Sender {
	t.Helper()
	address := loopbacktest.Serve(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer(conn)
		_, _ = io.Copy(io.Discard, reader)
	})
	return newSender(address)
}

// TestLengthsThatServicesNameTakeNoMemory guards against a process that runs out of memory
// because many replies at once name a length that is within the bound, and send nothing
// of it.
func TestLengthsThatServicesNameTakeNoMemory(t *testing.T) {
	const calls, named, perCall = 20, 60_000_000, 64 << 10
	for name, head := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", named),
		"chunk":  fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", named),
	} {
		t.Run(name, func(t *testing.T) {
			s := startRawService(t, func(conn net.Conn) { _, _ = io.WriteString(conn, head) })
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var group sync.WaitGroup
			for i := range calls {
				group.Go(func() {
					c := newPut(fmt.Sprint("r", i))
					c.Deadline = time.Now().Add(time.Second)
					if _, err := s.Send(context.Background(), c); refusal.From(err).Code != refusal.CodeMayHaveRun {
						t.Errorf("error %v", err)
					}
				})
			}
			group.Wait()
			runtime.ReadMemStats(&after)
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > calls*perCall {
				t.Errorf("%d bytes allocated for %d replies, want %d each at most", allocated, calls, perCall)
			}
		})
	}
}

// TestRepliesAreReadToTheirEnds guards against replies whose bodies are cut, that are taken
// for whole though they are not, or that have more bytes than may be kept, and against calls
// that outlast their deadlines because a reply arrives byte by byte.
func TestRepliesAreReadToTheirEnds(t *testing.T) {
	const large = 1 << 20
	endless := func(head string, piece string, interval time.Duration) func(net.Conn) {
		return func(conn net.Conn) {
			for text := head; ; text = piece {
				if _, err := io.WriteString(conn, text); err != nil {
					return
				}
				time.Sleep(interval)
			}
		}
	}
	write := func(text string, end bool) func(net.Conn) {
		return func(conn net.Conn) {
			_, _ = io.WriteString(conn, text)
			if end {
				_ = conn.Close()
			}
		}
	}
	for name, c := range map[string]struct {
		answer func(net.Conn)
		method string
		// bytes is the length of the body; -1 if there is no whole one.
		bytes int
	}{
		"large":             {write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", large, strings.Repeat("x", large)), false), http.MethodPut, large},
		"chunks":            {write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false), http.MethodPut, 3},
		"no length":         {write("HTTP/1.1 200 OK\r\n\r\nabc", true), http.MethodPut, 3},
		"empty":             {write("HTTP/1.1 204 No Content\r\n\r\n", false), http.MethodPut, 0},
		"head only":         {write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", false), http.MethodHead, 0},
		"cut":               {write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", true), http.MethodPut, -1},
		"chunk cut":         {write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", true), http.MethodPut, -1},
		"last chunk left":   {write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true), http.MethodPut, -1},
		"without end":       {endless("HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", large), 0), http.MethodPut, -1},
		"byte by byte":      {endless("HTTP/1.1 200 OK\r\n\r\n", "x", 10*time.Millisecond), http.MethodPut, -1},
		"head byte by byte": {endless("HTTP/1.1 200 OK\r\nName: ", "x", 10*time.Millisecond), http.MethodPut, -1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startRawService(t, c.answer)
			call := newPut("r1")
			call.Method, call.Deadline = c.method, time.Now().Add(2*time.Second)
			reply, err := s.Send(context.Background(), call)
			if late := time.Since(call.Deadline); late > 5*time.Second {
				t.Errorf("ended %s after the deadline", late)
			}
			if c.bytes < 0 {
				if refusal.From(err).Code != refusal.CodeMayHaveRun {
					t.Errorf("%d bytes, error %v", len(reply.Body), err)
				}
				return
			}
			if err != nil || len(reply.Body) != c.bytes {
				t.Errorf("%d bytes, error %v, want %d bytes", len(reply.Body), err, c.bytes)
			}
		})
	}
}
