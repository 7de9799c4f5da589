package upstream

import "io"

const (
	// maxResponseBytes bounds the body of a response that is read into memory.
	maxResponseBytes = 8 << 20
	// maxBufferedBytes bounds the bytes of all responses that are being read into memory,
	// in case many targets send without end.
	maxBufferedBytes = 64 << 20
	// bufferGrowth is how much memory a buffer takes, for each byte in it, while it grows.
	bufferGrowth = 2
)

// ReadAll returns the complete body, or an error of class ErrIncompleteResponse and what came
// before it.
func (r *Response) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(&bufferedReader{Response: r}, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		r.Close()
		err = ErrIncompleteResponse.New("response of more than %d bytes", maxResponseBytes)
	}
	r.client.buffered.Add(-int64(len(body)))
	if e := r.Hold.Add(-bufferGrowth*int64(len(body)) + int64(len(body))); e != nil && err == nil {
		err = ErrIncompleteResponse.Wrap(e)
	}
	return body, err
}

// bufferedReader reads a response into memory and counts its bytes among those that the
// client buffers at present.
type bufferedReader struct{ *Response }

// Read reads from the body, of which each part ends the target's silence. It fails when
// all responses together exceed maxBufferedBytes.
func (b *bufferedReader) Read(p []byte) (int, error) {
	n, err := b.Response.Read(p)
	// After an error the connection may serve another request.
	if n > 0 && err == nil {
		b.markProgress()
	}
	if e := b.Hold.Add(bufferGrowth * int64(n)); e != nil {
		b.Close()
		n, err = 0, ErrIncompleteResponse.Wrap(e)
	}
	if b.client.buffered.Add(int64(n)) > maxBufferedBytes && err == nil {
		b.Close()
		err = ErrIncompleteResponse.New("more than %d bytes of responses in memory", int64(maxBufferedBytes))
	}
	return n, err
}
