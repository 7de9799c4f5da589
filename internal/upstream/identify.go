package upstream

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

const (
	// identifyTimeout bounds the time in which a target says which of its processes it is:
	// a few round trips between zones, one of them made again after a loss.
	identifyTimeout = 400 * time.Millisecond
	// maxIdentifyBytes bounds the answer.
	maxIdentifyBytes = 1 << 20
	// maxIdentifyConnections is on how many connections a target is asked for one request:
	// a kept one may end meanwhile, and a target may end one after its answer.
	maxIdentifyConnections = 3
)

// errUnusable is the class of errors of a connection that ended, or is to end, before it
// could carry a request. Another one may do.
var errUnusable = errs.Class("connection cannot carry a request")

// acquireIdentified returns a connection on which the target was asked which of its
// processes it is. A connection leads to one process for as long as it is open, so the
// target is asked once on each. The error is of class ErrOtherProcess if the process may not
// get the request.
func (c *Client) acquireIdentified(ctx context.Context, address netip.AddrPort, requestID string, attempt *Attempt) (*conn, error) {
	deadline := time.Now().Add(identifyTimeout)
	cn, err := c.acquire(ctx, address, requestID, attempt.Generation)
	for asked := 1; err == nil && !cn.identified; asked++ {
		if err = c.askGeneration(ctx, cn, address, attempt, deadline); err == nil {
			break
		}
		switch {
		case !errUnusable.Has(err) || ctx.Err() != nil:
			return nil, err
		case asked == maxIdentifyConnections || !time.Now().Before(deadline):
			return nil, ErrUnidentified.Wrap(err)
		}
		cn, err = c.dial(ctx, address)
	}
	return cn, err
}

// askGeneration asks the target which process a connection leads to, and records the answer.
// After an error the connection does not belong to the caller any more.
func (c *Client) askGeneration(ctx context.Context, cn *conn, address netip.AddrPort, attempt *Attempt, deadline time.Time) error {
	c.Identifications.Add(1)
	stopAbort := context.AfterFunc(ctx, cn.abort)
	late := false
	cn.setSilence(max(time.Until(deadline), time.Millisecond), func() { late = true; cn.abort() })
	r := &Response{client: c, address: address, conn: cn}
	answer, err := r.askGeneration(c.EncodeIdentify(nil, address, attempt.Target))
	cn.setSilence(0, nil)
	switch {
	case !stopAbort():
		err = cmp.Or(ctx.Err(), err)
	case late:
		err = ErrUnidentified.New("no answer in time")
	case err != nil && cn.kept():
		err = errUnusable.Wrap(err)
	case err == nil:
		err = c.recordGeneration(cn, answer, attempt)
	}
	if err != nil {
		cn.abort()
		return err
	}
	if !cn.mayLeadTo(attempt.Generation) {
		// Other requests may use the connection.
		c.putIdle(address, cn, r.IdleTimeout)
		return ErrOtherProcess.New("generation %d, want %d", cn.generation, attempt.Generation)
	}
	return nil
}

// processAnswer is what a target said of its process; generation is zero if it named none.
type processAnswer struct {
	*Response
	generation int64
	named      bool
}

// askGeneration sends the request and reads the answer, of which it keeps no more than the
// generation.
func (r *Response) askGeneration(message []byte) (processAnswer, error) {
	answer := processAnswer{Response: r}
	if _, err := r.conn.Write(message); err != nil {
		return answer, err
	}
	if err := r.readHead(r.client.Decode, "", true); err != nil {
		return answer, err
	}
	body := &io.LimitedReader{R: &endedReader{Reader: bodyReader{r}}, N: maxIdentifyBytes}
	if r.Status == http.StatusOK {
		answer.generation, answer.named = r.client.DecodeGeneration(body)
	}
	_, err := io.Copy(io.Discard, body)
	if err == nil && body.N <= 0 {
		err = ErrUnidentified.New("answer of %d bytes or more", maxIdentifyBytes)
	}
	return answer, err
}

// endedReader returns the error that ended a reader, io.EOF too, each time from then on.
type endedReader struct {
	io.Reader
	err error
}

// Read reads from the reader.
func (e *endedReader) Read(p []byte) (int, error) {
	if e.err != nil {
		return 0, e.err
	}
	n, err := e.Reader.Read(p)
	e.err = err
	return n, err
}

// recordGeneration records what a target said of its process. A target that knows no such
// question, or whose answer names no generation, does not say.
func (c *Client) recordGeneration(cn *conn, answer processAnswer, attempt *Attempt) error {
	if c.OnIdentify != nil {
		c.OnIdentify(attempt.Target, &answer.ResponseHead, answer.generation)
	}
	status := answer.Status
	switch {
	case answer.Misdirected:
		return ErrOtherProcess.New("another target has the address")
	case status >= http.StatusInternalServerError && status != http.StatusNotImplemented || status == http.StatusTooManyRequests:
		return ErrUnidentified.New("status %d", status)
	case !answer.named && cn.kept():
		return errUnusable.New("an answer that may belong to another request")
	case answer.ResponseHead.Close || answer.Length == LengthUntilClose || cn.reader.Buffered() > 0:
		return errUnusable.New("the target ends it after the answer, or sent more than that")
	}
	cn.identified, cn.generation = true, answer.generation
	return nil
}
