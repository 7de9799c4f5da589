package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"heatherrelay/internal/connection"
	"heatherrelay/internal/loopback/loopbacktest"
	"heatherrelay/internal/upstream"
)

// serveEnds starts a server that reads a request on each connection and then hands it over.
func serveEnds(t *testing.T, end func(conn *net.TCPConn)) netip.AddrPort {
	t.Helper()
	return loopbacktest.Serve(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			end(conn.(*net.TCPConn))
		}
	})
}

// endTimeout bounds the wait until the end of a connection arrives.
const endTimeout = 10 * time.Second

// waitForEnd returns when the end of a connection has arrived, which is still to be read.
func waitForEnd(t *testing.T, conn net.Conn) {
	t.Helper()
	for deadline := time.Now().Add(endTimeout); !connection.EndArrived(connection.TCP(conn)); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection has not ended")
		}
	}
}

// TestOwnEndOfConnectionIsNotTheTargets guards against a request that is blamed for the crash
// of its target since its caller left, or its time was up, before an answer began: this side
// ended the connection, not the target. What the target's side did is told apart.
func TestOwnEndOfConnectionIsNotTheTargets(t *testing.T) {
	const partOfHead = "HTTP/1.1 200 OK\r\nContent-"
	silent := func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }
	for name, c := range map[string]struct {
		end  func(conn *net.TCPConn)
		want error
	}{
		"own end": {silent, nil},
		"own end within the head": {func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, partOfHead)
			silent(conn)
		}, nil},
		"closed":                 {func(*net.TCPConn) {}, io.EOF},
		"closed within the head": {func(conn *net.TCPConn) { _, _ = io.WriteString(conn, partOfHead) }, io.EOF},
		"reset":                  {func(conn *net.TCPConn) { _ = conn.SetLinger(0) }, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serveEnds(t, c.end)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, err := newClient().Do(ctx, address, &upstream.Request{ID: "1", Method: http.MethodPost, URI: "/"}, &upstream.Attempt{})
			if !upstream.ErrIncompleteResponse.Has(err) {
				t.Fatalf("error %v", err)
			}
			for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET} {
				if errors.Is(err, end) != errors.Is(c.want, end) {
					t.Errorf("error %v, want %v", err, c.want)
				}
			}
		})
	}
}

// TestDiscardedBodyIsNotConfirmed guards against a wait for evidence on the end of a body of
// which nothing is used.
func TestDiscardedBodyIsNotConfirmed(t *testing.T) {
	address := serveEnds(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: 1\r\n\r\nbusy")
	})
	response, err := newClient().Do(context.Background(), address, &upstream.Request{ID: "1", Method: http.MethodPost, URI: "/"}, &upstream.Attempt{})
	if err != nil {
		t.Fatal(err)
	}
	response.ConfirmEnd = func() error {
		t.Error("the end was asked for")
		return nil
	}
	response.Discard(100, time.Second)
}
