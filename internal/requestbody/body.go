// Package requestbody reads the bodies of requests of clients into memory, as they arrive:
// what a client announces takes none.
package requestbody

import (
	"errors"
	"io"
	"time"

	"github.com/zeebo/errs"

	"heatherrelay/internal/memory"
)

// The classes of errors of a body that is not read to its end. Errors of the account are of
// class memory.ErrShort; those of the client's connection are returned as they are.
var (
	// ErrTooLarge means that the body is larger than allowed.
	ErrTooLarge = errs.Class("body too large")
	// ErrSlow means that the body arrives too slowly.
	ErrSlow = errs.Class("body too slow")
)

const (
	// firstBytes is the size of the first buffer, which the following ones double.
	firstBytes = 4 << 10
	// stallTime is the longest time without a byte.
	stallTime = 20 * time.Second
	// graceTime is after what time a body must have come at minBytesPerSecond on average.
	graceTime         = 20 * time.Second
	minBytesPerSecond = 1 << 10
	// deadlineStep is how much earlier than needed a read may end, so that not each read sets
	// a deadline.
	deadlineStep = time.Second
)

// Reader reads one body. Set the exported fields before Read.
type Reader struct {
	// Stream is the body without its framing.
	Stream io.Reader
	// Length is the length that the client states; negative if it states none.
	Length int
	// MaxBytes is the largest body that is read.
	MaxBytes int
	// Charge is charged for the body. It still holds it after Read, unless Read fails.
	Charge *memory.Charge
	// Patience is how long the body may wait for memory.
	Patience time.Duration
	// SetDeadline sets until when a read of Stream may wait.
	SetDeadline func(time.Time) error
	Now         func() time.Time

	body                []byte
	startedAt, deadline time.Time
}

// Read returns the body.
func (r *Reader) Read() ([]byte, error) {
	body, err := r.read()
	if err != nil {
		r.body = nil
		r.Charge.Close()
		return nil, err
	}
	r.Charge.Complete()
	return body, nil
}

func (r *Reader) read() ([]byte, error) {
	if r.Length > r.MaxBytes {
		return nil, ErrTooLarge.New("body of %d bytes, allowed are %d", r.Length, r.MaxBytes)
	}
	r.startedAt = r.Now()
	var beyond [1]byte
	for {
		if r.Length >= 0 && len(r.body) == r.Length {
			return r.body, nil
		}
		if err := r.grow(); err != nil {
			return nil, err
		}
		if err := r.extendDeadline(); err != nil {
			return nil, err
		}
		target := r.body[len(r.body):cap(r.body)]
		if len(target) == 0 {
			target = beyond[:]
		}
		n, err := r.Stream.Read(target)
		r.Charge.Progress(n)
		if len(r.body) == r.MaxBytes && n > 0 {
			return nil, ErrTooLarge.New("body of more than %d bytes", r.MaxBytes)
		}
		r.body = r.body[:len(r.body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return r.body, r.checkEnd()
		case err != nil:
			return nil, r.cause(err)
		}
	}
}

// checkEnd fails if the body ended before its length.
func (r *Reader) checkEnd() error {
	if r.Length >= 0 && len(r.body) < r.Length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// grow has a larger buffer if the present one is full, unless it holds all that the body
// may have.
func (r *Reader) grow() error {
	limit := r.MaxBytes
	if r.Length >= 0 {
		limit = r.Length
	}
	old := cap(r.body)
	if len(r.body) < old || old == limit {
		return nil
	}
	size := min(max(2*old, firstBytes), limit)
	if err := r.Charge.Grow(int64(size), r.Patience); err != nil {
		return err
	}
	body := make([]byte, len(r.body), size)
	copy(body, r.body)
	r.body = body
	r.Charge.Shrink(int64(old))
	return nil
}

// extendDeadline lets the next read wait as long as the client may take.
func (r *Reader) extendDeadline() error {
	now := r.Now()
	if elapsed := now.Sub(r.startedAt); elapsed > graceTime && float64(len(r.body)) < elapsed.Seconds()*minBytesPerSecond {
		return ErrSlow.New("%d bytes in %s", len(r.body), elapsed)
	}
	if deadline := now.Add(stallTime); deadline.Sub(r.deadline) > deadlineStep {
		if err := r.SetDeadline(deadline); err != nil {
			return err
		}
		r.deadline = deadline
	}
	if r.Charge.Evicted() {
		return memory.ErrShort.New("%d bytes given up for others", len(r.body))
	}
	return nil
}

// cause returns why a read failed.
func (r *Reader) cause(err error) error {
	var timeout interface{ Timeout() bool }
	switch {
	case r.Charge.Evicted():
		return memory.ErrShort.New("%d bytes given up for others", len(r.body))
	case errors.As(err, &timeout) && timeout.Timeout():
		return ErrSlow.New("%d bytes, and none for %s", len(r.body), stallTime)
	}
	return err
}
