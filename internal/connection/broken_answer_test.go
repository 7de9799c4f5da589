package connection_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherrelay/internal/connection"
	"heatherrelay/internal/loopback/loopbacktest"
	"heatherrelay/internal/responsehead"
	"heatherrelay/internal/responsehead/headtest"
)

// TestBrokenAnswerIsNoResponse guards against a response whose status or body is not what the
// other end wrote, since its head is none, and against an error that does not say so.
func TestBrokenAnswerIsNoResponse(t *testing.T) {
	for name, text := range headtest.Broken(`{"whole":true}`) {
		t.Run(name, func(t *testing.T) {
			server := &rawServer{Answer: func(conn net.Conn, number int64) bool {
				if number == 1 {
					text := headtest.Sound("first")
					_, err := io.WriteString(conn, text)
					return err == nil
				}
				_, _ = io.WriteString(conn, text)
				return true
			}}
			client := &connection.HTTPClient{MaxIdleTime: time.Minute}
			request := connection.Request{Method: http.MethodGet, URI: server.start(t), Timeout: time.Second}
			if response, err := client.Do(t.Context(), request); err != nil || string(response.Body) != "first" {
				t.Fatalf("%q, error %v", response.Body, err)
			}
			startedAt := time.Now()
			response, err := client.Do(t.Context(), request)
			if !responsehead.ErrMalformed.Has(err) || time.Since(startedAt) > request.Timeout/2 {
				t.Errorf("status %d, body %q, error %v, after %s", response.Status, response.Body, err, time.Since(startedAt))
			}
			if n := server.requests.Load(); n != 2 {
				t.Errorf("%d requests were sent", n)
			}
		})
	}
}

// TestUnusualAnswerIsAResponse guards against a sound response that is refused.
func TestUnusualAnswerIsAResponse(t *testing.T) {
	const calls = 3
	for name, text := range headtest.Unusual(`{"whole":true}`) {
		t.Run(name, func(t *testing.T) {
			server := &rawServer{Answer: func(conn net.Conn, _ int64) bool {
				for part := range strings.SplitAfterSeq(text, "\n") {
					if _, err := io.WriteString(conn, part); err != nil {
						return false
					}
				}
				return !strings.HasPrefix(text, "HTTP/1.0")
			}}
			client := &connection.HTTPClient{MaxIdleTime: time.Minute}
			request := connection.Request{Method: http.MethodGet, URI: server.start(t), Timeout: time.Second}
			for range calls {
				if response, err := client.Do(t.Context(), request); err != nil || response.Status != http.StatusOK || string(response.Body) != `{"whole":true}` {
					t.Errorf("status %d, body %q, error %v", response.Status, response.Body, err)
				}
			}
		})
	}
}

// TestResetAnswerIsNoResponse guards against a part of a response that counts as whole, since
// the other end reset the connection: also while a large request was being written.
func TestResetAnswerIsNoResponse(t *testing.T) {
	for name, size := range map[string]int{"small request": 10, "large request": 16 << 20} {
		t.Run(name, func(t *testing.T) {
			address := loopbacktest.Serve(t, headtest.WriteAndReset)
			client := &connection.HTTPClient{}
			request := connection.Request{Method: http.MethodPost, URI: "http://" + address.String() + "/", Body: make([]byte, size), Timeout: time.Second}
			if response, err := client.Do(t.Context(), request); err == nil {
				t.Errorf("status %d, body %q", response.Status, response.Body)
			}
		})
	}
}
