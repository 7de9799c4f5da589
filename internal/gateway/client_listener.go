package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/memory"
)

const (
	// connectionBytes is what a connection takes beside bodies: buffers of the HTTP library
	// and stacks. Those beyond freeConnections are charged to the account.
	connectionBytes = 40 << 10
	freeConnections = 256
	// connectionsFraction is the part of the account that connections may take.
	connectionsFraction = 0.75
)

// clientListener accepts the connections of clients. It keeps no more than the account
// allows: beyond that those of which nothing has arrived for longest are closed, unless their
// requests are being served.
type clientListener struct {
	net.Listener
	memory *memory.Account
	// cuts counts the clients that were cut, closed the connections that were closed for
	// others.
	cuts, closed *atomic.Uint64
	log          *zap.Logger

	lingering atomic.Int64

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// Accept returns the next connection.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		tcp, ok := conn.(*net.TCPConn)
		if !ok || err != nil {
			return conn, err
		}
		client := &clientConn{TCPConn: tcp, listener: l}
		client.stallTime.Store(int64(writeStallTime))
		client.readAt.Store(time.Now().UnixNano())
		if l.add(client) {
			return client, nil
		}
		// A connection that was just accepted has nothing to lose.
		_ = tcp.Close()
	}
}

// add adds a connection, for which another one may be closed. It returns false if there is
// no room.
func (l *clientListener) add(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*clientConn]struct{}{}
	}
	if limit := l.limit(); limit > 0 && len(l.conns) >= limit {
		l.closed.Add(1)
		victim := l.idlest()
		if victim == nil {
			return false
		}
		l.log.Info("connection of a client closed for another one", zap.Stringer("address", victim.RemoteAddr()),
			zap.Duration("silent", time.Duration(c.readAt.Load()-victim.readAt.Load())), zap.Int("connections", len(l.conns)))
		l.removeLocked(victim)
		// The goroutine that reads from it finds it closed.
		_ = victim.TCPConn.Close()
	}
	l.conns[c] = struct{}{}
	if len(l.conns) > freeConnections {
		l.memory.Reserve(connectionBytes)
	}
	return true
}

// limit returns the largest number of connections; zero means no bound.
func (l *clientListener) limit() int {
	if l.memory == nil || l.memory.Size == 0 {
		return 0
	}
	return freeConnections + int(connectionsFraction*float64(l.memory.Size))/connectionBytes
}

// idlest returns the connection of which nothing has arrived for longest, of those without a
// request that is being served; nil if there is none. The caller holds the lock.
func (l *clientListener) idlest() *clientConn {
	var idlest *clientConn
	for c := range l.conns {
		if !c.serving.Load() && (idlest == nil || c.readAt.Load() < idlest.readAt.Load()) {
			idlest = c
		}
	}
	return idlest
}

// remove removes a connection that is closed.
func (l *clientListener) remove(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
}

func (l *clientListener) removeLocked(c *clientConn) {
	if _, ok := l.conns[c]; !ok {
		return
	}
	if len(l.conns) > freeConnections {
		l.memory.Reserve(-connectionBytes)
	}
	delete(l.conns, c)
}

// recordCut records that a client was cut since it does not take its response.
func (l *clientListener) recordCut(c *clientConn) {
	l.cuts.Add(1)
	l.log.Info("client cut, it does not take its response", zap.Stringer("address", c.RemoteAddr()),
		zap.Duration("limit", time.Duration(c.stallTime.Load())), zap.Bool("gave_way", c.cut.Load()))
}
