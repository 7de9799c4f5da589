// Package soak runs instances as processes on one machine, injects faults from
// outside them, and checks what their callers and targets see.
package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is what a proxy does to the connections through it.
type Fault int

// The faults of a proxy.
const (
	// Healthy passes bytes on.
	Healthy Fault = iota
	// Delayed passes them on late.
	Delayed
	// Silent takes bytes and passes none on, in both directions.
	Silent
	// OneWay passes nothing back from the server.
	OneWay
	// Refusing resets all connections and takes no new ones.
	Refusing
)

// delay is how late a delayed proxy passes bytes on.
const delay = 120 * time.Millisecond

// Proxy passes TCP connections on to one address and shows faults. A connection
// that was silenced stays silent after the fault, while new ones work.
type Proxy struct {
	target   netip.AddrPort
	listener net.Listener

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
}

// NewProxy starts a proxy on the loopback interface.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.reset()
}

// Set shows a fault from now on.
func (p *Proxy) Set(fault Fault) {
	p.mu.Lock()
	p.fault = fault
	p.mu.Unlock()
	if fault == Refusing {
		p.reset()
	}
}

// reset ends all connections without their end.
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

func (p *Proxy) now() Fault {
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
		if p.now() == Refusing {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		go p.pass(conn)
	}
}

func (p *Proxy) pass(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(server, client, false) })
	group.Go(func() { p.copy(client, server, true) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy passes bytes on until either side ends.
func (p *Proxy) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			switch fault := p.now(); {
			case fault == Silent, fault == OneWay && back:
				// The connection has lost its way for good.
				_, _ = io.Copy(io.Discard, from)
				return
			case fault == Delayed:
				time.Sleep(delay)
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
