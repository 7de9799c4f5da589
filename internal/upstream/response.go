package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"heatherrelay/internal/memory"
	"heatherrelay/internal/responsehead"
)

const (
	// maxStrayResponses is how many responses to other requests are skipped before
	// the connection is closed.
	maxStrayResponses = 2
	// maxTrailerLines bounds the trailer after a chunked body; a line is at most as long
	// as the read buffer.
	maxTrailerLines = 32
	// maxInformationalHeads is how many informational heads (1xx) are skipped before a
	// response.
	maxInformationalHeads = 16
)

// errTruncated means that a response is not complete.
var errTruncated = errs.Class("truncated response")

// Response is a target's response whose body is still to be read. It ends when
// Read returns io.EOF or another error, or with Close.
type Response struct {
	ResponseHead
	// ConfirmEnd is called when a body that ends with its connection has ended so. It
	// returns nil if the body is whole, as far as is known; otherwise the response is
	// incomplete. If it is nil, each such body is whole. Set it before the first read.
	ConfirmEnd func() error
	// Hold is charged for what ReadAll returns, before it is read; may be nil.
	Hold *memory.Hold

	client  *Client
	address netip.AddrPort
	// conn is the connection to the target; nil if source brings the response.
	conn   *conn
	source *Source
	// stopAbort unregisters the abort of the connection at the end of the context.
	// It returns false if that has already started.
	stopAbort func() bool
	body      io.Reader
	chunked   bool
	// withoutBody is set for the response to a HEAD request, which has no body whatever
	// length it states.
	withoutBody bool
	// remaining is the number of bytes not yet read of a body of known length.
	remaining int
	endOnce   sync.Once
	// ended is set when the connection no longer belongs to the response.
	ended bool
}

// readHead reads the head of the response to the request with the given id. It
// skips responses to other requests, which a target may send late. It accepts a
// response without a request id only if unnamed is set, as for the first request on the
// connection: to a later one it may be a copy of an earlier response. It accepts no success
// without one after the target was asked which of its processes it is.
func (r *Response) readHead(decode func(*fasthttp.ResponseHeader) ResponseHead, id string, unnamed bool) error {
	for range maxStrayResponses + 1 {
		if err := r.readNextHead(decode); err != nil {
			return err
		}
		if r.RequestID == id && id != "" || r.RequestID == "" && unnamed && (!r.conn.identified || !r.Success()) {
			return nil
		}
		r.client.recordSkipped(r.address, id, &r.ResponseHead)
		if r.Length == LengthUntilClose {
			break
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(bodyReader{r}, maxResponseBytes)); err != nil {
			return err
		}
	}
	return errTruncated.New("received only responses to other requests")
}

// readNextHead reads the next head that is not informational (1xx).
func (r *Response) readNextHead(decode func(*fasthttp.ResponseHeader) ResponseHead) error {
	for range maxInformationalHeads + 1 {
		var header fasthttp.ResponseHeader
		header.DisableNormalizing()
		header.SetNoDefaultContentType(true)
		if err := responsehead.Read(r.conn.reader, &header); err != nil {
			return err
		}
		if header.StatusCode()/100 == 1 {
			continue
		}
		r.ResponseHead = decode(&header)
		r.setBodyReader()
		return nil
	}
	return errTruncated.New("more than %d informational heads", maxInformationalHeads)
}

// setBodyReader sets the reader of the body according to the status and to how the
// body is delimited.
func (r *Response) setBodyReader() {
	r.chunked = false
	switch {
	case r.withoutBody || r.Status == http.StatusNoContent || r.Status == http.StatusNotModified:
		r.Length = 0
	case r.Length == LengthChunked:
		r.chunked = true
		r.body = httputil.NewChunkedReader(r.conn.reader)
		return
	case r.Length == LengthUntilClose:
		r.body = r.conn.reader
		return
	}
	r.remaining = r.Length
	r.body = io.LimitReader(r.conn.reader, int64(r.Length))
}

// bodyReader reads the body without releasing the connection at its end.
type bodyReader struct{ *Response }

// Read returns io.EOF only after the complete body.
func (b bodyReader) Read(p []byte) (int, error) { return b.readBody(p) }

// readBody reads from the body. It returns errTruncated instead of io.EOF if the
// body is not complete.
func (r *Response) readBody(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if r.Length >= 0 {
		r.remaining -= n
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	switch {
	case r.Length >= 0 && r.remaining > 0:
		return n, errTruncated.New("%d bytes missing: %w", r.remaining, io.ErrUnexpectedEOF)
	case r.chunked:
		if err := responsehead.SkipTrailer(r.conn.reader, maxTrailerLines); err != nil {
			return n, errTruncated.Wrap(err)
		}
	case r.Length == LengthUntilClose && r.conn != nil:
		if err := r.confirmEnd(); err != nil {
			return n, errTruncated.Wrap(err)
		}
	}
	return n, io.EOF
}

// Read reads from the body. It returns io.EOF only after the complete body, and
// then returns the connection to the pool if it can be reused. Other errors are of
// class ErrIncompleteResponse and close the connection.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.readBody(p)
	switch {
	case errors.Is(err, io.EOF):
		r.release()
	case err != nil:
		r.fail(err)
		err = ErrIncompleteResponse.Wrap(err)
	}
	return n, err
}

// markProgress ends a silence of the target. The response must not have ended.
func (r *Response) markProgress() {
	if r.source != nil {
		r.source.MarkProgress()
		return
	}
	r.conn.silentSince = time.Now()
}

// Discard reads the rest of the body, up to limit bytes and for at most timeout, so that
// the connection can be used again. A response with more is closed. Whether the body is whole
// is not asked.
func (r *Response) Discard(limit int64, timeout time.Duration) {
	r.ConfirmEnd = nil
	timer := time.AfterFunc(timeout, r.Close)
	defer timer.Stop()
	// Any error has closed the response.
	if n, _ := io.Copy(io.Discard, io.LimitReader(r, limit+1)); n > limit {
		r.Close()
	}
}

// release returns the connection to the pool after a complete response, or closes
// it if it cannot be reused: bytes after the response belong to no request, a
// request that is still being written cannot be followed by another, and a target that
// does not name the request in one response may not name it in the next.
func (r *Response) release() {
	r.endOnce.Do(func() {
		r.ended = true
		if r.source != nil {
			r.source.Close()
			return
		}
		r.conn.setSilence(0, nil)
		unusable := r.ResponseHead.Close || r.Length == LengthUntilClose || r.RequestID == "" || r.conn.reader.Buffered() > 0
		unusable = unusable || !r.conn.requestWritten() || r.conn.carried.full()
		if !r.stopAbort() || unusable {
			r.conn.abort()
			return
		}
		r.client.putIdle(r.address, r.conn, r.IdleTimeout)
	})
}

// fail closes the connection after an error. After a timeout it also closes the
// idle connections to the address, since the target may be unreachable; a
// connection that the target closed or reset gives no reason for that.
func (r *Response) fail(err error) {
	var netErr net.Error
	if r.source == nil && errors.As(err, &netErr) && netErr.Timeout() {
		r.client.CloseIdleTo(r.address)
	}
	r.Close()
}

// SetSilence replaces the Silence and OnSilence of the attempt; the silence begins now. It must not be called
// while another goroutine reads the response. It has no effect on a response that has
// ended, whose connection may serve another request.
func (r *Response) SetSilence(silence time.Duration, onSilence func()) {
	if r.ended {
		return
	}
	if r.source != nil {
		r.source.SetSilence(silence, onSilence)
		return
	}
	r.conn.setSilence(silence, onSilence)
}

// Close abandons the response and closes its connection, which the target notices.
// It has no effect on a response that has already ended.
func (r *Response) Close() {
	r.endOnce.Do(func() {
		r.ended = true
		if r.source != nil {
			r.source.Close()
			return
		}
		r.stopAbort()
		r.conn.abort()
	})
}
