package peer_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/platformstore"
)

// narrowLink is the link of an instance: all that its peers send to it shares a rate.
type narrowLink struct {
	mu     sync.Mutex
	freeAt time.Time
}

// The rate of the narrow link, and how much is sent at a time.
const (
	linkBytesPerSecond = 10_000_000 / 8
	linkPieceBytes     = 16 << 10
)

// carry returns when a piece has been carried.
func (l *narrowLink) carry(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / linkBytesPerSecond)
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// narrowListener is a listener whose large responses go over a narrow link.
type narrowListener struct {
	net.Listener
	link *narrowLink
}

// Accept returns the next connection.
func (l *narrowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &narrowConn{Conn: conn, link: l.link}, nil
}

type narrowConn struct {
	net.Conn
	link *narrowLink
}

// Write writes to the connection, piece by piece.
func (c *narrowConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		piece := p[written:min(len(p), written+linkPieceBytes)]
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
		c.link.carry(n)
	}
	return written, nil
}

// TestInstanceThatStartsGetsALargeConfigurationOverANarrowLink guards against an instance that
// starts, has no configuration, and gets a large one from all of its peers at once: on a link of
// 10 Mbit/s none arrives within the time of an exchange, each is asked for again, and the instance
// serves an old version, or none, for many seconds (CONFIG).
func TestInstanceThatStartsGetsALargeConfigurationOverANarrowLink(t *testing.T) {
	const (
		size = 20
		// limit is the time within which a change must be in force.
		limit = 3 * time.Second
	)
	link := &narrowLink{}
	fleet := newFleetWith(t, size, func(_ int, m *member) {
		m.wrap = func(l net.Listener) net.Listener { return &narrowListener{Listener: l, link: link} }
		m.Catalog.Followers()[testKind].Merge(incompressible(1))
	})
	time.Sleep(time.Second)
	started := newMember(peer.Member{ID: "instance-99", Zone: "zone-0", Address: netip.MustParseAddrPort("127.0.0.1:1"), Capacity: 9}, fleet[0].Self.Address)
	for _, m := range fleet {
		started.AddMember(peer.Member{ID: m.Self.ID, Zone: m.Self.Zone, Address: m.Self.Address})
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	startedAt := time.Now()
	go started.Run(ctx)
	replica := started.Catalog.Followers()[testKind]
	await(t, "configuration", func() bool { return replica.State().Revision == 1 })
	if after := time.Since(startedAt); after > limit {
		t.Errorf("the configuration arrived after %s, want %s at most", after, limit)
	}
}

// incompressible returns the replica of a peer with a large configuration that takes as many
// bytes when it is compressed.
func incompressible(revision uint64) (catalog.State, bool, []platformstore.Object) {
	const bytes = 380_000
	random := rand.New(rand.NewPCG(revision, 49))
	value := make(json.RawMessage, bytes)
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	return catalog.State{Revision: revision, ConfirmedAt: time.Now()}, true, []platformstore.Object{{Name: "main", Revision: revision, Value: value}}
}
