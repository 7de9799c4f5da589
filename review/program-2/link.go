package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// lossDelay is how late bytes arrive whose packet is lost twice: TCP sends them again 200 ms
// after the first time, and 400 ms after the second.
const lossDelay = 600 * time.Millisecond

// link is the path from the instances to a target: a proxy that passes all bytes on.
type link struct {
	target   string
	listener net.Listener

	mu sync.Mutex
	// lossyFrom is the instance on whose connections for orders packets are lost; empty for
	// none.
	lossyFrom string
}

// newLink opens a path to a target.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{target: target, listener: listener}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(conn)
	}
}

// setLossy has packets be lost on the connections with orders of an instance.
func (l *link) setLossy(from string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lossyFrom = from
}

// loses reports whether a packet with these bytes is lost.
func (l *link) loses(text []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lossyFrom != "" && bytes.HasPrefix(text, []byte("POST /order")) && bytes.Contains(text, []byte(`"holder":"`+l.lossyFrom+`"`))
}

func (l *link) carry(from net.Conn) {
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = from.Close()
		return
	}
	go func() {
		l.pass(from, to, false)
		// The other direction ends with it.
		_ = from.Close()
	}()
	l.pass(to, from, true)
	_ = to.Close()
}

// pass passes bytes on until the source ends.
func (l *link) pass(to, from net.Conn, toTarget bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if toTarget && n > 0 && l.loses(buffer[:n]) {
			time.Sleep(lossDelay)
		}
		if n > 0 {
			if _, e := to.Write(buffer[:n]); e != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				// It fails if the connection has ended.
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
