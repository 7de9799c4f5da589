package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

const (
	// maxStrayAnswers is how many late answers to earlier requests are skipped
	// before the connection is given up.
	maxStrayAnswers = 2
	// maxAnswerBytes bounds an answer that is read whole.
	maxAnswerBytes = 8 << 20
	// maxTrailerLines bounds the trailer of a chunked body.
	maxTrailerLines = 32
)

// errIncomplete says that a body ended before its end.
var errIncomplete = errs.Class("incomplete answer")

// Response is a target's answer whose body is still to be read. Either Read
// until io.EOF or an error, or Close, ends it.
type Response struct {
	Answer

	client  *Client
	address netip.AddrPort
	conn    *conn
	stop    func() bool
	body    io.Reader
	chunked bool
	left    int
	end     sync.Once
}

// readHead reads the head of the answer to the request with the id. Answers to
// other requests are skipped: a target may send one late.
func (r *Response) readHead(decode func(*fasthttp.ResponseHeader) Answer, id string) error {
	for range maxStrayAnswers + 1 {
		if err := r.readOneHead(decode); err != nil {
			return err
		}
		if r.RequestID == "" || r.RequestID == id {
			return nil
		}
		if r.Length == LengthUntilClose {
			break
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(bodyReader{r}, maxAnswerBytes)); err != nil {
			return err
		}
	}
	return errIncomplete.New("only answers to other requests")
}

func (r *Response) readOneHead(decode func(*fasthttp.ResponseHeader) Answer) error {
	for {
		var header fasthttp.ResponseHeader
		header.DisableNormalizing()
		header.SetNoDefaultContentType(true)
		if err := header.Read(r.conn.reader); err != nil {
			return err
		}
		if header.StatusCode()/100 == 1 {
			continue
		}
		r.Answer = decode(&header)
		r.frame()
		return nil
	}
}

// frame sets the body reader for the body's length.
func (r *Response) frame() {
	r.chunked = false
	switch {
	case r.Status == http.StatusNoContent || r.Status == http.StatusNotModified:
		r.Length = 0
	case r.Length == LengthChunked:
		r.chunked = true
		r.body = httputil.NewChunkedReader(r.conn.reader)
		return
	case r.Length == LengthUntilClose:
		r.body = r.conn.reader
		return
	}
	r.left = r.Length
	r.body = io.LimitReader(r.conn.reader, int64(r.Length))
}

// bodyReader reads the body without ending the response.
type bodyReader struct{ *Response }

// Read returns io.EOF only after the whole body.
func (b bodyReader) Read(p []byte) (int, error) { return b.readBody(p) }

func (r *Response) readBody(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if r.Length >= 0 {
		r.left -= n
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	switch {
	case r.Length >= 0 && r.left > 0:
		return n, errIncomplete.New("%d bytes missing", r.left)
	case r.chunked:
		if err := r.readTrailer(); err != nil {
			return n, errIncomplete.Wrap(err)
		}
	case r.Length == LengthUntilClose && r.conn.aborted.Load():
		return n, errIncomplete.New("connection given up")
	}
	return n, io.EOF
}

// readTrailer reads what follows the last chunk, up to an empty line.
func (r *Response) readTrailer() error {
	for range maxTrailerLines {
		line, err := r.conn.reader.ReadString('\n')
		if err != nil {
			return err
		}
		if strings.TrimRight(line, "\r\n") == "" {
			return nil
		}
	}
	return errIncomplete.New("trailer too long")
}

// Read reads the body. It returns io.EOF only after the whole body, and keeps
// the connection for the next request then if it is sound.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.readBody(p)
	switch {
	case errors.Is(err, io.EOF):
		r.finish()
	case err != nil:
		r.fail(err)
		err = ErrBroken.Wrap(err)
	}
	return n, err
}

// ReadAll returns the whole body, or ErrBroken.
func (r *Response) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		r.Close()
		return nil, ErrBroken.New("answer of more than %d bytes", maxAnswerBytes)
	}
	return body, err
}

// finish keeps the connection after a whole answer, unless it is spoiled: bytes
// after the answer belong to no request, and a request that is still being
// written cannot be followed by another.
func (r *Response) finish() {
	r.end.Do(func() {
		spoiled := r.Answer.Close || r.Length == LengthUntilClose || r.conn.reader.Buffered() > 0 || !r.conn.sent()
		if !r.stop() || spoiled {
			r.conn.abort()
			return
		}
		r.client.put(r.address, r.conn, r.IdleLimit)
	})
}

// fail closes the connection after an error. One that has gone silent condemns
// the idle ones to the address; one that was closed or reset does not.
func (r *Response) fail(err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		r.client.Condemn(r.address)
	}
	r.Close()
}

// LimitSilence changes how long the target may send nothing.
func (r *Response) LimitSilence(limit time.Duration) { r.conn.silence.Store(int64(limit)) }

// Close gives the answer up; the target sees the connection close.
func (r *Response) Close() {
	r.end.Do(func() {
		r.stop()
		r.conn.abort()
	})
}
