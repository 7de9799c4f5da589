package forwarding_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"heatherrelay/internal/forwarding"
	"heatherrelay/internal/memory"
	"heatherrelay/internal/upstream"
)

// TestPeerWithoutMemoryDeclines guards against a peer that ends, or loses a request, because
// others send it more than it can hold: it says that it did not try, and the next one is
// asked.
func TestPeerWithoutMemoryDeclines(t *testing.T) {
	target1 := addressOf(newTarget(t, answer))
	short, other := newPeer(t, target1), newPeer(t, target1)
	short.Memory = &memory.Account{Size: 2 << 20, Now: time.Now}
	other.Memory = &memory.Account{Size: 32 << 20, Now: time.Now}
	c := newClient(short, other)
	r, a := request()
	r.Body = bytes.Repeat([]byte("x"), 3<<20)
	if _, err := newClient(short).Do(context.Background(), target, r, a); !upstream.ErrNotSent.Has(err) || !forwarding.ErrPeer.Has(err) {
		t.Errorf("a peer without memory: %v", err)
	}
	c.Peers = func(string) []forwarding.Peer {
		return []forwarding.Peer{{ID: "short", Address: addressOf(short.http), SameZone: true}, {ID: "other", Address: addressOf(other.http)}}
	}
	response, err := c.Do(context.Background(), target, r, a)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := response.ReadAll(); err != nil || len(body) < len(r.Body) {
		t.Errorf("%d bytes, %v", len(body), err)
	}
	r.Body = []byte("small")
	if _, err := newClient(short).Do(context.Background(), target, r, a); err != nil {
		t.Errorf("a small request after that: %v", err)
	}
	for deadline := time.Now().Add(5 * time.Second); short.Memory.Used()+other.Memory.Used() != 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if used := short.Memory.Used() + other.Memory.Used(); used != 0 {
		t.Errorf("%d bytes are still held", used)
	}
}

// TestClientWithoutMemorySendsNothing guards against copies for peers that exceed the memory
// of the instance.
func TestClientWithoutMemorySendsNothing(t *testing.T) {
	c := newClient(newPeer(t, addressOf(newTarget(t, answer))))
	c.Memory = &memory.Account{Size: 1 << 20, Now: time.Now}
	r, a := request()
	r.Body = bytes.Repeat([]byte("x"), 2<<20)
	if _, err := c.Do(context.Background(), target, r, a); !upstream.ErrNotSent.Has(err) || !forwarding.ErrPeer.Has(err) {
		t.Errorf("error %v", err)
	}
	if used := c.Memory.Used(); used != 0 {
		t.Errorf("%d bytes are still held", used)
	}
}
