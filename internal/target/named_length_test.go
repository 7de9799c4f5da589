package target_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/loopback/loopbacktest"
	"heatherrelay/internal/target"
)

// startRawEngine starts an engine that answers each call by what answer writes, and keeps
// the connection open until the other end closes it.
func startRawEngine(t *testing.T, answer func(conn net.Conn)) *target.Engine {
	t.Helper()
	address := loopbacktest.Serve(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		answer(conn)
		_, _ = io.Copy(io.Discard, reader)
	})
	return &target.Engine{Address: address, SilenceLimit: time.Second, OrderTimeout: time.Second}
}

// TestLengthsThatEnginesNameTakeNoMemory guards against a process that runs out of memory
// because many responses at once name a length that is within the bound, and send nothing
// of it.
func TestLengthsThatEnginesNameTakeNoMemory(t *testing.T) {
	const calls, named, perCall = 100, 4_000_000, 64 << 10
	for name, head := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", named),
		"chunk":  fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", named),
	} {
		t.Run(name, func(t *testing.T) {
			engine := startRawEngine(t, func(conn net.Conn) { _, _ = io.WriteString(conn, head) })
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var group sync.WaitGroup
			for range calls {
				group.Go(func() {
					if _, err := engine.Report(t.Context()); !target.ErrIncompleteResponse.Has(err) {
						t.Errorf("error %v", err)
					}
				})
			}
			group.Wait()
			runtime.ReadMemStats(&after)
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > calls*perCall {
				t.Errorf("%d bytes allocated for %d responses, want %d each at most", allocated, calls, perCall)
			}
		})
	}
}

// TestTrickleEndsWithTheCall guards against orders and reports that never end because their
// response arrives byte by byte, each within the limit on silence.
func TestTrickleEndsWithTheCall(t *testing.T) {
	const interval, timeout = 10 * time.Millisecond, 300 * time.Millisecond
	for name, head := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nName: ",
		"body": "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			engine := startRawEngine(t, func(conn net.Conn) {
				defer close(closed)
				for text := head; ; text = "x" {
					if _, err := io.WriteString(conn, text); err != nil {
						return
					}
					time.Sleep(interval)
				}
			})
			engine.OrderTimeout = timeout
			done := make(chan error, 1)
			go func() { _, err := engine.Report(t.Context()); done <- err }()
			select {
			case err := <-done:
				if !target.ErrIncompleteResponse.Has(err) {
					t.Errorf("error %v", err)
				}
			case <-time.After(5 * time.Second):
				t.Fatalf("no end of a call of %s", timeout)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection is not closed")
			}
		})
	}
}
