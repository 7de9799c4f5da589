package gateway

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrelay/internal/memory"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/requestbody"
)

const (
	// prefetchedBytes is how much of a body with a length the HTTP library reads before it
	// calls the handler.
	prefetchedBytes = 8 << 10
	// receiveBufferBytes bounds what the system holds of a large body that waits for memory.
	receiveBufferBytes = 128 << 10
	// maxBodyPatience is how long a body waits for memory, at most this part of the client's
	// deadline.
	maxBodyPatience      = 500 * time.Millisecond
	bodyPatienceFraction = 4
)

// receive reads the request's body, unless its head shows that it won't be served, and begins
// the time that the request takes. headError is what is wrong with the head.
func (e *exchange) receive(headError error) *refusal.Error {
	refused := e.checkHead(headError)
	if refused == nil {
		refused = e.readRequestBody()
	}
	if refused != nil && e.unread() {
		e.client.SetConnectionClose()
		closeUnread(e.client.Conn())
	}
	e.startedAt = e.server.Now()
	return refused
}

// checkHead returns a refusal if the request won't be served, whatever its body.
func (e *exchange) checkHead(headError error) *refusal.Error {
	refused := e.checkLeaving()
	switch {
	case headError != nil:
		return invalidRequest(headError)
	case refused != nil:
		return refused
	}
	return e.admitHead()
}

// bodyLength returns the length that the client states; negative if it states none.
func (e *exchange) bodyLength() int { return e.client.Request.Header.ContentLength() }

// bodyLimit returns the size of the largest body that the configuration allows.
func (e *exchange) bodyLimit() int {
	if limit := e.configuration.MaxBodyBytes; limit > 0 {
		return min(limit, maxBodyBytes)
	}
	return maxBodyBytes
}

// unread reports whether the client may still be sending a body that was not read.
func (e *exchange) unread() bool {
	if e.request != nil && e.request.Body != nil {
		return false
	}
	return e.client.RequestBodyStream() != nil && (e.bodyLength() < 0 || e.bodyLength() > prefetchedBytes)
}

// owner returns for whom memory is held.
func (e *exchange) owner() memory.Owner {
	var o memory.Owner
	if address, ok := e.client.RemoteAddr().(*net.TCPAddr); ok {
		o.Address = address.AddrPort().Addr()
	}
	if e.team != nil {
		o.Team = e.team.Name
	}
	return o
}

// readRequestBody reads the body into memory.
func (e *exchange) readRequestBody() *refusal.Error {
	stream := e.client.RequestBodyStream()
	if stream == nil || e.bodyLength() == 0 {
		return nil
	}
	conn := e.client.Conn()
	setDeadline := func(time.Time) error { return nil }
	if e.unread() {
		setDeadline = conn.SetReadDeadline
		if tcp := clientTCP(conn); tcp != nil {
			// Where the system sets no bound, the body is read all the same.
			_ = tcp.SetReadBuffer(receiveBufferBytes)
		}
	}
	// A deadline that cannot be set concerns a connection that is closed.
	evict := func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) }
	e.charge = e.server.Memory.Open(e.owner(), evict)
	patience := maxBodyPatience
	if e.request.Deadline > 0 {
		patience = min(patience, e.request.Deadline/bodyPatienceFraction)
	}
	reader := &requestbody.Reader{
		Stream: stream, Length: e.bodyLength(), MaxBytes: e.bodyLimit(), Charge: e.charge, Patience: patience,
		SetDeadline: setDeadline, Now: time.Now,
	}
	body, err := reader.Read()
	e.request.Body = body
	return bodyRefusal(err)
}

// bodyRefusal returns the refusal of a request whose body was not read to its end.
func bodyRefusal(err error) *refusal.Error {
	switch {
	case err == nil:
		return nil
	case memory.ErrShort.Has(err):
		return refusal.NotRun(refusal.CodeMemoryShort, "%s", err).WithRetryAfter(retrySoon)
	case requestbody.ErrTooLarge.Has(err):
		return refusal.NotRun(refusal.CodeBodyTooLarge, "%s", err)
	case requestbody.ErrSlow.Has(err):
		return refusal.NotRun(refusal.CodeRequestTimeout, "%s", err).WithRetryAfter(retrySoon)
	}
	var trailer fasthttp.ErrBrokenChunk
	if errors.As(err, &trailer) {
		return refusal.NotRun(refusal.CodeInvalidRequest, "body in broken chunks").WithCause(err)
	}
	return refusal.NotRun(refusal.CodeInvalidRequest, "body not whole").WithCause(err)
}
