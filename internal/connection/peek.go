package connection

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection that Peek observed.
type State int

// The states of a connection that no goroutine is reading from.
const (
	// Idle means that the connection is open and has no bytes to read.
	Idle State = iota
	// Readable means that the connection has bytes to read.
	Readable
	// Closed means that the other end closed or reset the connection.
	Closed
)

// Peek returns the state of a connection without consuming bytes and without
// blocking. A connection that the other end half-closed (it sends no more but
// still reads) counts as Closed.
func Peek(conn syscall.Conn) State {
	raw, err := conn.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Idle
	peek := func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			state = Readable
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		default:
			state = Closed
		}
	}
	if err := raw.Control(peek); err != nil {
		return Closed
	}
	return state
}

// TCP returns the TCP connection that a connection of this package wraps, or nil
// if there is none.
func TCP(conn net.Conn) *net.TCPConn {
	switch c := conn.(type) {
	case *net.TCPConn:
		return c
	case *readTimeoutConn:
		return TCP(c.Conn)
	case *responseConn:
		return TCP(c.Conn)
	}
	return nil
}
