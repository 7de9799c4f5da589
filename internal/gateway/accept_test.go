package gateway_test

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// failingListener fails the given number of times to accept a connection, as a process
// without a free file descriptor does, and then accepts.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServeContinuesAfterAcceptError guards against an instance that stays ready but
// accepts no connection any more, after it had too many files open for a moment.
func TestServeContinuesAfterAcceptError(t *testing.T) {
	const failures = 3
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &failingListener{Listener: inner}
	listener.failures.Store(failures)
	server := newRefusingServer()
	core, logs := observer.New(zap.InfoLevel)
	server.Log = zap.New(core)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	if status := requestStatus(t, inner.Addr().String()); status != http.StatusBadRequest {
		t.Errorf("status %d, want %d", status, http.StatusBadRequest)
	}
	if n := logs.FilterMessage("accepting connections failed").Len(); n != 1 {
		t.Errorf("%d lines on the failure, want 1", n)
	}
	resumed := logs.FilterMessage("accepting connections again").All()
	if len(resumed) != 1 || resumed[0].ContextMap()["failures"] != int64(failures) {
		t.Errorf("lines on the end of the failure: %v, want 1 with %d failures", resumed, failures)
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	select {
	case err := <-served:
		if err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("Serve did not return after its listener was closed")
	}
}

// requestStatus sends a request to an address on a new connection and returns the
// status of the response.
func requestStatus(t *testing.T, address string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("no response: %v", err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}
