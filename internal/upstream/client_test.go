package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrelay/internal/upstream"
)

const idField = "Id"

// newClient returns a client with a plain codec.
func newClient() *upstream.Client {
	return &upstream.Client{
		Encode: func(dst []byte, r *upstream.Request, _ *upstream.Send) []byte {
			return fmt.Appendf(dst, "%s %s HTTP/1.1\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", r.Method, r.URI, idField, r.ID, len(r.Body), r.Body)
		},
		Decode: func(h *fasthttp.ResponseHeader) upstream.Answer {
			return upstream.Answer{
				Status: h.StatusCode(), Length: h.ContentLength(), Close: h.ConnectionClose(), RequestID: string(h.Peek(idField)), Signed: true,
			}
		},
	}
}

// serve answers each request of each connection with what reply returns; an
// empty reply closes the connection.
func serve(t *testing.T, reply func(connection, request int, id string) string) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for connection := 0; ; connection++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(conn, connection, reply)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func answerAll(conn net.Conn, connection int, reply func(int, int, string) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := reply(connection, n, request.Header.Get(idField))
		if _, err := io.WriteString(conn, text); err != nil || text == "" || strings.Contains(text, "close") {
			return
		}
	}
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idField, id, len(body), body)
}

func do(c *upstream.Client, address netip.AddrPort, id string) (string, error) {
	response, err := c.Do(context.Background(), address, &upstream.Request{ID: id, Method: http.MethodPost, URI: "/"}, &upstream.Send{SilenceLimit: time.Second})
	if err != nil {
		return "", err
	}
	body, err := response.ReadAll()
	return string(body), err
}

// TestConnectionIsKept checks that whole answers leave the connection in use.
func TestConnectionIsKept(t *testing.T) {
	c := newClient()
	address := serve(t, func(_, _ int, id string) string { return whole(id, "answer to "+id) })
	for _, id := range []string{"1", "2", "3"} {
		if body, err := do(c, address, id); err != nil || body != "answer to "+id {
			t.Errorf("%q, %v", body, err)
		}
	}
	if n := c.Dials.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// TestLateAnswerIsSkipped checks that an answer to an earlier request does not
// become the answer to the next one.
func TestLateAnswerIsSkipped(t *testing.T) {
	address := serve(t, func(_, _ int, id string) string { return whole("old", "answer to another") + whole(id, "right") })
	if body, err := do(newClient(), address, "1"); err != nil || body != "right" {
		t.Errorf("%q, %v", body, err)
	}
}

// TestBytesAfterAnswerSpoilConnection checks that a second answer that nobody
// asked for ends its connection and reaches nobody.
func TestBytesAfterAnswerSpoilConnection(t *testing.T) {
	c := newClient()
	address := serve(t, func(_, _ int, id string) string { return whole(id, "first") + whole(id, "second") })
	for range 3 {
		if body, err := do(c, address, "1"); err != nil || body != "first" {
			t.Errorf("%q, %v", body, err)
		}
	}
	if n := c.Dials.Load(); n != 3 {
		t.Errorf("%d connections", n)
	}
}

// TestIncompleteAnswers checks that no answer that ends early looks whole.
func TestIncompleteAnswers(t *testing.T) {
	cases := map[string]string{
		"short body":         "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nclose",
		"chunk cut":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nclose",
		"no last chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nclose\r\n",
		"head cut":           "HTTP/1.1 200 OK\r\nContent-close",
		"no answer":          "",
		"no answer protocol": "close\r\n\r\n",
	}
	for name, text := range cases {
		address := serve(t, func(int, int, string) string { return text })
		if body, err := do(newClient(), address, "1"); !upstream.ErrBroken.Has(err) {
			t.Errorf("%s: %q, %v", name, body, err)
		}
	}
}

// TestBodyUntilClose checks that a body that ends with its connection is whole.
func TestBodyUntilClose(t *testing.T) {
	address := serve(t, func(int, int, string) string { return "HTTP/1.1 200 OK\r\n\r\nuntil close" })
	if body, err := do(newClient(), address, "1"); err != nil || body != "until close" {
		t.Errorf("%q, %v", body, err)
	}
}

// TestClosedIdleConnectionIsNotUsed checks that a request is not sent on a pooled
// connection that the target has closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	c := newClient()
	address := serve(t, func(connection, _ int, id string) string {
		if connection == 0 {
			return whole(id, "then close")
		}
		return whole(id, "open")
	})
	if _, err := do(c, address, "1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if body, err := do(c, address, "2"); err != nil || body != "open" {
		t.Errorf("%q, %v", body, err)
	}
}

// TestUnreachableIsNotSent checks that a target that refuses connections gives
// the error that says that nothing was sent.
func TestUnreachableIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	_ = listener.Close()
	if _, err := do(newClient(), address, "1"); !upstream.ErrNotSent.Has(err) {
		t.Errorf("error %v", err)
	}
}

// TestSilentTargetIsGivenUp checks that a target that says nothing ends the wait.
func TestSilentTargetIsGivenUp(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := serve(t, func(int, int, string) string { <-release; return "" })
	c := newClient()
	_, err := c.Do(context.Background(), address, &upstream.Request{ID: "1", Method: http.MethodPost, URI: "/"}, &upstream.Send{SilenceLimit: 50 * time.Millisecond})
	if !upstream.ErrBroken.Has(err) {
		t.Errorf("error %v", err)
	}
}
