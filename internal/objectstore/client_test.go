package objectstore_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"heatherrelay/internal/objectstore"
)

// closingServer answers the first call on each connection and closes it on the
// second one before it answers. It counts the second calls.
func closingServer(t *testing.T, seconds *atomic.Int64) netip.AddrPort {
	t.Helper()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) == 1 {
			_, _ = io.WriteString(w, `{"key":"k","version":1}`)
			return
		}
		seconds.Add(1)
		hijacked, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = hijacked.Close()
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestLostAnswerIsSentOnce checks that the HTTP library repeats no write whose
// pooled connection closes before the answer, and that its outcome stays open.
func TestLostAnswerIsSentOnce(t *testing.T) {
	var seconds atomic.Int64
	client := &objectstore.Client{Address: closingServer(t, &seconds)}
	store := client.Store()
	ctx := context.Background()
	if _, err := store.Put(ctx, "k", []byte("v"), 0); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(ctx, "k", []byte("w"), 1); !objectstore.ErrUnavailable.Has(err) {
		t.Errorf("want ErrUnavailable, have %v", err)
	}
	if n := seconds.Load(); n != 1 {
		t.Errorf("the write was sent %d times", n)
	}
}

func TestStatusesMapToKinds(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.EscapedPath() != "/v1/objects/instance/a%20b" {
			t.Errorf("path %s", r.URL.EscapedPath())
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	client := &objectstore.Client{Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()}
	store := client.Store()
	has := map[int]func(error) bool{
		200: func(err error) bool { return err == nil },
		404: objectstore.ErrNotFound.Has,
		409: objectstore.ErrConflict.Has,
		410: objectstore.ErrCompacted.Has,
		413: objectstore.ErrTooLarge.Has,
		429: objectstore.ErrThrottled.Has,
		500: objectstore.ErrUnavailable.Has,
		503: objectstore.ErrUnavailable.Has,
	}
	for status = range has {
		if err := store.Delete(context.Background(), "instance/a b", 3); !has[status](err) {
			t.Errorf("status %d: %v", status, err)
		}
	}
}

// TestSilentPlatform checks that a call to a platform that never answers ends,
// and that a canceled watch ends at once.
func TestSilentPlatform(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	client := &objectstore.Client{Address: silent.Addr().(*net.TCPAddr).AddrPort(), CallTimeout: 50 * time.Millisecond}
	store := client.Store()
	if _, err := store.Get(context.Background(), "k"); !objectstore.ErrUnavailable.Has(err) {
		t.Errorf("get: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := store.Watch(ctx, "", 0, time.Hour); !objectstore.ErrUnavailable.Has(err) {
		t.Errorf("watch: %v", err)
	}
}
