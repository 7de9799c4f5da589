package connection

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a look at a connection shows.
type State int

// The states of a connection that nobody reads from at present.
const (
	// Quiet connections are open and have nothing to read.
	Quiet State = iota
	// Readable connections have bytes to read.
	Readable
	// Closed connections were closed or reset by the other end.
	Closed
)

// Peek looks at a connection without reading from it and without waiting. A
// connection whose other end closed its sending side alone counts as closed.
func Peek(conn syscall.Conn) State {
	raw, err := conn.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Quiet
	look := func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			state = Readable
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		default:
			state = Closed
		}
	}
	if err := raw.Control(look); err != nil {
		return Closed
	}
	return state
}

// TCP returns the TCP connection below a connection of this package, or nil.
func TCP(conn net.Conn) *net.TCPConn {
	switch c := conn.(type) {
	case *net.TCPConn:
		return c
	case *silenceConn:
		return TCP(c.Conn)
	}
	return nil
}
