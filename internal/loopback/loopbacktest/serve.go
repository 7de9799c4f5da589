// Package loopbacktest starts servers for tests of those who connect to them.
package loopbacktest

import (
	"net"
	"net/netip"
	"testing"
)

// Serve listens at a loopback address until the test ends and returns the address. Each
// connection is served in a goroutine of its own and closed when serve returns.
func Serve(t testing.TB, serve func(conn net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}
