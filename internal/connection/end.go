package connection

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection.
const (
	// tcpEstablished is that of a connection that neither end has closed.
	tcpEstablished = 1
	// tcpClosed is that of a connection that the other end has reset, or that has failed.
	tcpClosed = 7
)

// EndArrived reports whether the other end's close or reset of a connection has arrived,
// even if bytes before it are unread, or this end has closed it. It returns false if the
// system does not tell.
func EndArrived(conn *net.TCPConn) bool {
	info, open := lookAt(conn)
	return !open || info != nil && info.State != tcpEstablished
}

// Reset reports whether the other end has reset a connection, or this end has closed it, also
// where an earlier call on it has returned the error of the reset. A read then returns io.EOF,
// as at an orderly end. It returns false if the system does not tell.
func Reset(conn *net.TCPConn) bool {
	info, open := lookAt(conn)
	return !open || info != nil && info.State == tcpClosed
}

// Acknowledged reports whether the other end has acknowledged all bytes that were written to
// a connection. It returns true if the system does not tell.
func Acknowledged(conn *net.TCPConn) bool {
	info, _ := lookAt(conn)
	return info == nil || info.Unacked == 0 && info.Notsent_bytes == 0
}

// lookAt returns what the system says of a connection, nil if it says nothing, and whether
// this end has the connection open.
func lookAt(conn *net.TCPConn) (info *unix.TCPInfo, open bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, false
	}
	look := func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }
	if raw.Control(look) != nil || errors.Is(err, syscall.EBADF) {
		return nil, false
	}
	if err != nil {
		return nil, true
	}
	return info, true
}
