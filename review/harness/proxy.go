package harness

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Proxy stands in front of a stand-in of a worker. While Answer is set, it answers the
// calls that begin with Prefix in the worker's place.
type Proxy struct {
	Prefix []byte
	// Spoil is set while the proxy answers.
	Spoil atomic.Bool
	// Answer writes the answer to a connection.
	Answer func(conn net.Conn)
	// Answered counts the calls that the proxy answered.
	Answered atomic.Int64

	target   netip.AddrPort
	listener net.Listener
}

// Listen starts the proxy for a target, on the target's loopback address.
func (p *Proxy) Listen(target netip.AddrPort) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.target, p.listener = target, listener
	go p.accept()
	return nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the proxy.
func (p *Proxy) Close() { _ = p.listener.Close() }

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve copies both directions until one ends, or answers in the worker's place.
func (p *Proxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.target.String())
	if err != nil {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { copyAndClose(client, server) })
	p.forward(server, client)
	_ = server.Close()
	group.Wait()
}

// forward copies the caller's bytes to the worker until a call comes that the proxy
// answers.
func (p *Proxy) forward(server, client net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := client.Read(buffer)
		if n > 0 && p.Spoil.Load() && bytes.HasPrefix(buffer[:n], p.Prefix) {
			p.Answered.Add(1)
			p.Answer(client)
			return
		}
		if _, writeErr := server.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// copyAndClose copies what a worker sends until either end closes.
func copyAndClose(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}
