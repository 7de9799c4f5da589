package upstream

import (
	"io"
	"time"
)

// Source brings the response of a target over something else than a connection to it.
type Source struct {
	// Body returns io.EOF only after the complete body.
	Body io.Reader
	// Close ends the response. It may be called more than once.
	Close func()
	// SetSilence replaces the Silence and OnSilence of the attempt.
	SetSilence func(silence time.Duration, onSilence func())
	// MarkProgress ends a silence; the next one begins now.
	MarkProgress func()
}

// ResponseFrom returns a response whose head has been received from a source. Its body has
// no transfer encoding any more.
func (c *Client) ResponseFrom(head ResponseHead, source Source) *Response {
	return &Response{ResponseHead: head, client: c, source: &source, body: source.Body, remaining: max(head.Length, 0)}
}
