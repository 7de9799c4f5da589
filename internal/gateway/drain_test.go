package gateway_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/gateway"
	"heatherrelay/internal/upstream"
)

// stalledConn is a client's connection whose writes block until release is closed.
type stalledConn struct {
	net.Conn
	writing chan struct{}
	release chan struct{}
	once    sync.Once
}

func (c *stalledConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.writing) })
	<-c.release
	return c.Conn.Write(p)
}

// singleListener accepts one connection, and then waits until it is closed.
type singleListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *singleListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *singleListener) Close() error   { close(l.closed); return nil }
func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }

// newRefusingServer returns a server that refuses every request as invalid.
func newRefusingServer() *gateway.Server {
	return &gateway.Server{
		Catalog: &catalog.Catalog{Now: time.Now},
		DecodeRequest: func(*fasthttp.RequestHeader, []byte) (*upstream.Request, error) {
			return &upstream.Request{}, errors.New("invalid")
		},
		EncodeRefusal: func(*fasthttp.ResponseHeader, string, time.Duration) {},
		Leaving:       func() (time.Duration, bool) { return 0, false },
		Forwarded:     func() int { return 0 },
		Metrics:       gateway.NewMetrics(prometheus.NewRegistry()),
		Now:           time.Now,
		Log:           zap.NewNop(),
	}
}

// TestDrainWaitsUntilResponseIsWritten checks that Drain does not return while a
// response is still being written: the process would end and the client would receive
// no response.
func TestDrainWaitsUntilResponseIsWritten(t *testing.T) {
	server := newRefusingServer()
	client, accepted := net.Pipe()
	conn := &stalledConn{Conn: accepted, writing: make(chan struct{}), release: make(chan struct{})}
	listener := &singleListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	listener.conns <- conn
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-conn.writing
	drained := make(chan struct{})
	go func() { server.Drain(context.Background()); close(drained) }()
	select {
	case <-drained:
		t.Error("Drain returned before the response was written")
	case <-time.After(200 * time.Millisecond):
	}
	close(conn.release)
	buffer := make([]byte, 1024)
	if _, err := client.Read(buffer); err != nil {
		t.Error(err)
	}
	if err := client.Close(); err != nil {
		t.Error(err)
	}
	<-drained
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}
