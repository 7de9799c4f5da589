// Package soak runs instances as processes on one machine, injects faults into them
// and the network around them, and checks what their clients and targets receive.
package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// ProxyFault is what a proxy does to the connections through it.
type ProxyFault int

// The faults of a proxy.
const (
	// Healthy forwards all bytes.
	Healthy ProxyFault = iota
	// Delayed forwards all bytes after forwardDelay.
	Delayed
	// Blackhole reads and discards the bytes of both directions.
	Blackhole
	// OneWay forwards the bytes from the client, and discards those from the server.
	OneWay
	// Resetting resets all connections, also new ones.
	Resetting
)

// forwardDelay is how long a Delayed proxy holds each chunk of bytes that it reads.
const forwardDelay = 120 * time.Millisecond

// Proxy is a TCP proxy for one address that injects faults. A direction of a
// connection that discarded bytes during Blackhole or OneWay goes on discarding
// after the fault has ended; new connections work then.
type Proxy struct {
	target   netip.AddrPort
	listener net.Listener

	mu    sync.Mutex
	fault ProxyFault
	conns map[net.Conn]bool
}

// NewProxy starts a proxy for target on a loopback address.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.reset()
}

// SetFault replaces the proxy's fault.
func (p *Proxy) SetFault(fault ProxyFault) {
	p.mu.Lock()
	p.fault = fault
	p.mu.Unlock()
	if fault == Resetting {
		p.reset()
	}
}

// reset closes all connections with a TCP reset in place of an orderly close.
func (p *Proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
		delete(p.conns, conn)
	}
}

func (p *Proxy) currentFault() ProxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == Resetting {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		go p.forward(conn)
	}
}

// forward connects to the target and copies bytes in both directions until both
// ended.
func (p *Proxy) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.forwardBytes(server, client, false) })
	group.Go(func() { p.forwardBytes(client, server, true) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// forwardBytes copies one direction of a connection until either end closes it.
// fromServer is set for the direction from the server to the client.
func (p *Proxy) forwardBytes(to, from net.Conn, fromServer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			switch fault := p.currentFault(); {
			case fault == Blackhole, fault == OneWay && fromServer:
				// This direction discards bytes from now on, also after the fault.
				_, _ = io.Copy(io.Discard, from)
				return
			case fault == Delayed:
				time.Sleep(forwardDelay)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
