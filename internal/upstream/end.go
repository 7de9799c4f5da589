package upstream

import (
	"context"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"heatherrelay/internal/connection"
)

const (
	// requestEndTimeout bounds the time in which a target that has ended its side of the
	// connection takes the rest of the request.
	requestEndTimeout = time.Second
	// requestEndInterval is the time between two looks whether it has.
	requestEndInterval = 2 * time.Millisecond
)

// EndArrived reports whether the end of the response's connection has arrived, whether or
// not all bytes before it have been read. It returns false for a response that came from a
// source, or if the system does not tell.
func (r *Response) EndArrived() bool {
	if r.conn == nil {
		return false
	}
	if r.conn.aborted.Load() {
		return true
	}
	tcp := connection.TCP(r.conn.Conn)
	return tcp != nil && connection.EndArrived(tcp)
}

// confirmEnd returns nil if the end of the connection is that of the body: if it is orderly
// and the target has taken the complete request.
func (r *Response) confirmEnd() error {
	if err := r.conn.awaitRequestEnd(); err != nil {
		return err
	}
	if r.ConfirmEnd != nil {
		if err := r.ConfirmEnd(); err != nil {
			return err
		}
	}
	return r.conn.checkOrderlyEnd()
}

// awaitRequestEnd returns nil once the target has acknowledged the complete request on a
// connection whose end has been read. A target that closes the connection before that resets
// it when more of the request arrives; one that ends only its own side goes on reading. A
// request that is not large was written before the response was read.
func (c *conn) awaitRequestEnd() error {
	if !c.large {
		return c.checkOrderlyEnd()
	}
	for deadline := time.Now().Add(requestEndTimeout); ; time.Sleep(requestEndInterval) {
		switch err := c.checkOrderlyEnd(); {
		case err != nil:
			return err
		case c.requestTaken():
			return nil
		case !time.Now().Before(deadline):
			return errTruncated.New("connection ended within the request: %w", io.ErrUnexpectedEOF)
		}
	}
}

// checkOrderlyEnd returns an error if a connection whose end has been read was closed by this
// side, or reset: the system tells that once, and may have told the write of the request.
func (c *conn) checkOrderlyEnd() error {
	tcp := connection.TCP(c.Conn)
	switch {
	case c.aborted.Load():
		return errTruncated.New("connection aborted")
	case c.writeFailed(), c.large && tcp != nil && connection.Reset(tcp):
		return errTruncated.New("connection reset: %w", syscall.ECONNRESET)
	}
	return nil
}

// requestTaken reports whether the target has acknowledged the complete request, as far as
// the system tells.
func (c *conn) requestTaken() bool {
	tcp := connection.TCP(c.Conn)
	return c.requestWritten() && (tcp == nil || connection.Acknowledged(tcp))
}

// Open opens a connection to an address that is not used for requests.
func (c *Client) Open(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	cn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return cn.Conn, nil
}
