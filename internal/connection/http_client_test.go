package connection_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherrelay/internal/connection"
	"heatherrelay/internal/loopback/loopbacktest"
)

// rawServer answers each request on its connections with what Answer writes.
type rawServer struct {
	// Answer writes the answer to the request with a number. It returns false to have the
	// connection closed.
	Answer func(conn net.Conn, number int64) bool

	requests atomic.Int64
}

// start serves until the test ends and returns the server's URI.
func (s *rawServer) start(t *testing.T) string {
	t.Helper()
	address := loopbacktest.Serve(t, s.serve)
	return "http://" + address.String() + "/report"
}

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 4096)
	for {
		if n, err := conn.Read(buffer); err != nil || !bytes.HasSuffix(buffer[:n], []byte("\r\n\r\n")) {
			return
		}
		if !s.Answer(conn, s.requests.Add(1)) {
			return
		}
	}
}

// writeForever writes bytes until the other end closes.
func writeForever(conn net.Conn, head, repeated string) bool {
	if _, err := conn.Write([]byte(head)); err != nil {
		return false
	}
	for {
		if _, err := conn.Write([]byte(repeated)); err != nil {
			return false
		}
	}
}

const okHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// TestResponseWithoutEndTakesBoundedMemory guards against a process that ends, or grows past
// its memory, because a response names an absurd length, or goes on for ever: in its
// head, its body, a chunk, a chunk's extension or its trailer.
func TestResponseWithoutEndTakesBoundedMemory(t *testing.T) {
	const limit = connection.DefaultMaxResponseBytes
	x := string(bytes.Repeat([]byte("x"), 32<<10))
	for name, c := range map[string]struct{ head, repeated string }{
		"length":            {okHead + "Content-Length: 999999999999999999\r\n\r\n", x},
		"length of 64 bits": {okHead + "Content-Length: 18446744073709551615\r\n\r\n", x},
		"length of 2 GiB":   {okHead + "Content-Length: 2147483647\r\n\r\n", x},
		"chunk":             {okHead + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n", x},
		"chunk of 64 bits":  {okHead + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", x},
		"chunk of 64 MiB":   {okHead + "Transfer-Encoding: chunked\r\n\r\n4000000\r\n", x},
		"chunk size":        {okHead + "Transfer-Encoding: chunked\r\n\r\n", "00000000"},
		"extension":         {okHead + "Transfer-Encoding: chunked\r\n\r\n1;", x},
		"small chunks":      {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailer":           {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Trailer: x\r\n"},
		"no length":         {okHead + "\r\n", x},
		"status line":       {"HTTP/1.1 200 ", x},
		"header":            {okHead + "Long: ", x},
		"headers":           {okHead, "More: x\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no response":       {"", x},
	} {
		t.Run(name, func(t *testing.T) {
			server := &rawServer{Answer: func(conn net.Conn, _ int64) bool { return writeForever(conn, c.head, c.repeated) }}
			uri := server.start(t)
			client := &connection.HTTPClient{}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			response, err := client.Do(t.Context(), connection.Request{Method: http.MethodGet, URI: uri, Timeout: 2 * time.Second})
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Errorf("status %d with %d bytes, want an error", response.Status, len(response.Body))
			}
			// A buffer that grows takes a few times its last size.
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 16*limit {
				t.Errorf("%d bytes allocated for a body of %d at most", allocated, limit)
			}
		})
	}
}

// TestNamedLengthsTakeNoMemory guards against a process that runs out of memory because many
// responses at once name a length that is within the bound, and send nothing of it.
func TestNamedLengthsTakeNoMemory(t *testing.T) {
	const calls, named, perCall = 100, 1_000_000, 64 << 10
	for name, head := range map[string]string{
		"length": fmt.Sprintf("%sContent-Length: %d\r\n\r\n", okHead, named),
		"chunk":  fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", okHead, named),
	} {
		t.Run(name, func(t *testing.T) {
			server := &rawServer{Answer: func(conn net.Conn, _ int64) bool {
				_, err := conn.Write([]byte(head))
				return err == nil
			}}
			uri := server.start(t)
			client := &connection.HTTPClient{MaxConnections: calls}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var group sync.WaitGroup
			for range calls {
				group.Go(func() {
					if _, err := client.Do(t.Context(), connection.Request{Method: http.MethodGet, URI: uri, Timeout: time.Second}); err == nil {
						t.Error("no error")
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

// TestUnsetBoundIsNoLicence guards against a client that reads bodies of any size because
// it sets no bound.
func TestUnsetBoundIsNoLicence(t *testing.T) {
	body := bytes.Repeat([]byte("x"), connection.DefaultMaxResponseBytes)
	server := &rawServer{Answer: func(conn net.Conn, number int64) bool {
		sent := body
		if number == 2 {
			sent = append(body, 'x')
		}
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", okHead, len(sent), sent)
		return err == nil
	}}
	request := connection.Request{Method: http.MethodGet, URI: server.start(t), Timeout: 10 * time.Second}
	client := &connection.HTTPClient{}
	if response, err := client.Do(t.Context(), request); err != nil || !bytes.Equal(response.Body, body) {
		t.Errorf("%d bytes, %v, want %d", len(response.Body), err, len(body))
	}
	if response, err := client.Do(t.Context(), request); !connection.ErrResponseTooLarge.Has(err) {
		t.Errorf("%d bytes, %v, want an error of class %q", len(response.Body), err, connection.ErrResponseTooLarge)
	}
}

// TestTrickleEndsAtTimeout guards against a call that lasts as long as the other end sends a
// byte now and then.
func TestTrickleEndsAtTimeout(t *testing.T) {
	for name, head := range map[string]string{
		"head": okHead + "Long: ", "length": okHead + "Content-Length: 100000\r\n\r\n", "no length": okHead + "\r\n",
		"chunk": okHead + "Transfer-Encoding: chunked\r\n\r\nffff\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := &rawServer{Answer: func(conn net.Conn, _ int64) bool {
				text := head
				for {
					if _, err := conn.Write([]byte(text)); err != nil {
						return false
					}
					text = "x"
					time.Sleep(20 * time.Millisecond)
				}
			}}
			uri, start := server.start(t), time.Now()
			if _, err := (&connection.HTTPClient{}).Do(t.Context(), connection.Request{Method: http.MethodGet, URI: uri, Timeout: 300 * time.Millisecond}); err == nil {
				t.Error("no error")
			}
			if took := time.Since(start); took > 5*time.Second {
				t.Errorf("the call took %s", took)
			}
		})
	}
}

// TestGarbledResponsesEndNoProcess guards against bytes that are no response and make the
// process that reads them panic, and against a connection that is used again after them.
func TestGarbledResponsesEndNoProcess(t *testing.T) {
	const seed, calls = 1, 400
	sound := []string{
		okHead + "Content-Length: 2\r\n\r\n{}", okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1;e=1\r\n}\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\n{}", okHead + "Connection: close\r\n\r\n{}",
	}
	server := &rawServer{Answer: func(conn net.Conn, number int64) bool {
		if number%2 == 0 {
			_, err := conn.Write([]byte(sound[0]))
			return err == nil
		}
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		text := []byte(sound[random.IntN(len(sound))])
		for range 1 + random.IntN(4) {
			at := random.IntN(len(text))
			switch random.IntN(3) {
			case 0:
				text[at] = byte(random.IntN(256))
			case 1:
				text = append(text[:at], text[at+random.IntN(len(text)-at):]...)
			default:
				text = append(text[:at], append(bytes.Repeat(text[at:at+1], random.IntN(20)), text[at:]...)...)
			}
			if len(text) == 0 {
				return false
			}
		}
		_, err := conn.Write(text)
		return err == nil && random.IntN(2) == 0
	}}
	uri := server.start(t)
	client := &connection.HTTPClient{}
	for range calls {
		// Any outcome will do for a garbled response.
		_, _ = client.Do(t.Context(), connection.Request{Method: http.MethodGet, URI: uri, Timeout: 100 * time.Millisecond})
	}
	if server.requests.Load() < calls/2 {
		t.Errorf("%d of %d calls reached the server", server.requests.Load(), calls)
	}
}
