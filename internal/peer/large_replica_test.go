package peer_test

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/platformstore"
)

// countingListener counts the bytes that are written to its connections.
type countingListener struct {
	net.Listener
	written atomic.Int64
}

// Accept returns the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, listener: l}, nil
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

// Write writes to the connection.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.written.Add(int64(n))
	return n, err
}

// largeConfiguration returns a configuration with many routes.
func largeConfiguration(version, routes int) json.RawMessage {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"routes":[`, version)
	for i := range routes {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"r-%07x","host":"ficu95.example","path-prefix":"/lohu%06d/","kind":"streaming","timeout-ms":15000,"target-latency-ms":800,"priority":0,"service":"huvo11a","max-attempts":1,"anonymous":false,"session-affinity":true,"can-resume":false,"gap-aim-ms":300}`, (i+1)*104729%(1<<28), (i+1)*7919%1000000)
	}
	text.WriteString("]}")
	return json.RawMessage(text.String())
}

// TestLargeConfigurationTakesLittleOfALink guards against changes of a large configuration that
// come late (CONFIG) since each of them fills the links of small instances: while 1,400 routes
// change one after the other, an exchange has 0.7 s on a link of 10 Mbit/s, of which a relay with
// such a link serves some 25 instances.
func TestLargeConfigurationTakesLittleOfALink(t *testing.T) {
	const (
		routes    = 1440
		changes   = 5
		instances = 25
		linkBytes = 10_000_000 / 8
		// maxBytes is what one instance may get of the link, in the time of an exchange.
		maxBytes = linkBytes * 7 / 10 / instances
	)
	listeners := make([]*countingListener, 2)
	fleet := newFleetWith(t, 2, func(i int, m *member) {
		m.wrap = func(l net.Listener) net.Listener {
			listeners[i] = &countingListener{Listener: l}
			return listeners[i]
		}
	})
	source, receiver := fleet[0].Catalog.Followers()[testKind], fleet[1].Catalog.Followers()[testKind]
	for version := 1; version <= changes; version++ {
		before := listeners[0].written.Load()
		object := platformstore.Object{Name: "main", Revision: uint64(version), Value: largeConfiguration(version, routes)}
		source.Merge(catalog.State{Revision: uint64(version), ConfirmedAt: time.Now()}, true, []platformstore.Object{object})
		await(t, "change", func() bool { return receiver.State().Revision == uint64(version) })
		if written := listeners[0].written.Load() - before; written > maxBytes {
			t.Errorf("version %d of %d bytes took %d bytes of the link, want %d at most", version, len(object.Value), written, maxBytes)
		}
	}
}
