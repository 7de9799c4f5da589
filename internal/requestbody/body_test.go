package requestbody_test

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"heatherrelay/internal/memory"
	"heatherrelay/internal/requestbody"
)

const limit = 64 << 10

// newReader returns a reader of a body, charged to an account.
func newReader(a *memory.Account, stream io.Reader, length int) *requestbody.Reader {
	return &requestbody.Reader{
		Stream: stream, Length: length, MaxBytes: limit, Charge: a.Open(memory.Owner{}, func() {}),
		SetDeadline: func(time.Time) error { return nil }, Now: time.Now,
	}
}

// TestBodiesAreReadAsSent guards against bodies that are changed, cut, or refused within the
// limit, however their bytes arrive.
func TestBodiesAreReadAsSent(t *testing.T) {
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, limit - 1, limit} {
		body := bytes.Repeat([]byte("body"), limit/4)[:size]
		for name, stream := range map[string]func(io.Reader) io.Reader{"at once": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "end with data": iotest.DataErrReader} {
			for _, length := range []int{size, -1} {
				a := &memory.Account{Size: 1 << 20, Now: time.Now}
				r := newReader(a, stream(bytes.NewReader(body)), length)
				got, err := r.Read()
				if err != nil || !bytes.Equal(got, body) {
					t.Errorf("%d bytes, %s, length %d: %d bytes, %v", size, name, length, len(got), err)
				}
				if used := a.Used(); used < int64(size) || used > int64(max(2*size, 4<<10)) {
					t.Errorf("%d bytes, %s, length %d: %d charged", size, name, length, used)
				}
				r.Charge.Close()
			}
		}
	}
}

// TestBodiesBeyondTheLimitAreNotRead guards against bodies that take memory before they are
// refused.
func TestBodiesBeyondTheLimitAreNotRead(t *testing.T) {
	a := &memory.Account{Size: 1 << 20, Now: time.Now}
	if _, err := newReader(a, iotest.ErrReader(errors.New("read")), limit+1).Read(); !requestbody.ErrTooLarge.Has(err) {
		t.Errorf("announced: %v", err)
	}
	if _, err := newReader(a, strings.NewReader(strings.Repeat("x", limit+1)), -1).Read(); !requestbody.ErrTooLarge.Has(err) {
		t.Errorf("sent: %v", err)
	}
	if used := a.Used(); used != 0 {
		t.Errorf("%d bytes are still held", used)
	}
}

// TestCutBodiesAreNotWhole guards against a request that runs although a part of its body is
// missing.
func TestCutBodiesAreNotWhole(t *testing.T) {
	a := &memory.Account{Size: 1 << 20, Now: time.Now}
	if body, err := newReader(a, strings.NewReader("part"), 5).Read(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body %q, %v", body, err)
	}
	cut := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))
	if body, err := newReader(a, cut, -1).Read(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body %q, %v", body, err)
	}
	if used := a.Used(); used != 0 {
		t.Errorf("%d bytes are still held", used)
	}
}

// TestSlowBodiesEnd guards against bodies that arrive for ever, and against ending those that
// arrive over a slow link.
func TestSlowBodiesEnd(t *testing.T) {
	for name, c := range map[string]struct {
		size int
		// pause is the time between two bytes.
		pause time.Duration
		slow  bool
	}{
		"2 KB/s":             {limit, 500 * time.Microsecond, false},
		"half a KB/s":        {limit, 2 * time.Millisecond, true},
		"a slow small one":   {8, 2 * time.Second, false},
		"a byte a second":    {limit, time.Second, true},
		"nothing for a time": {limit, 21 * time.Second, true},
	} {
		now := time.Unix(1000, 0)
		a := &memory.Account{Size: 1 << 20, Now: func() time.Time { return now }}
		var deadline time.Time
		stream := readerFunc(func(p []byte) (int, error) {
			if now = now.Add(c.pause); now.After(deadline) {
				return 0, os.ErrDeadlineExceeded
			}
			return copy(p[:1], "x"), nil
		})
		r := newReader(a, stream, c.size)
		r.Now = func() time.Time { return now }
		r.SetDeadline = func(d time.Time) error { deadline = d; return nil }
		if _, err := r.Read(); requestbody.ErrSlow.Has(err) != c.slow || err == nil == c.slow {
			t.Errorf("%s: %v after %s", name, err, now.Sub(time.Unix(1000, 0)))
		}
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// FuzzRead checks that a body is read as it was sent or refused, whatever parts it arrives
// in, and that no more is held than it takes.
func FuzzRead(f *testing.F) {
	f.Add([]byte("body"), 4, uint8(1), int64(1<<20))
	f.Add([]byte("body"), -1, uint8(0), int64(1<<20))
	f.Add([]byte("body"), 5, uint8(3), int64(1<<20))
	f.Add(bytes.Repeat([]byte("x"), 9<<10), -1, uint8(7), int64(8<<10))
	f.Add(bytes.Repeat([]byte("x"), limit+1), limit, uint8(255), int64(1<<20))
	f.Fuzz(func(t *testing.T, sent []byte, length int, part uint8, size int64) {
		a := &memory.Account{Size: size&(1<<20) | 1, Now: time.Now}
		rest := bytes.NewReader(sent)
		stream := readerFunc(func(p []byte) (int, error) { return rest.Read(p[:min(len(p), int(part)+1)]) })
		r := newReader(a, io.LimitReader(stream, int64(max(length, 0))+int64(len(sent))*boolToInt(length < 0)), max(length, -1))
		got, err := r.Read()
		want := sent
		if length >= 0 {
			want = sent[:min(length, len(sent))]
		}
		switch {
		case err == nil && (!bytes.Equal(got, want) || length >= 0 && len(got) != length || len(got) > limit):
			t.Errorf("%d bytes of %d, length %d", len(got), len(sent), length)
		case err != nil && a.Used() != 0:
			t.Errorf("%d bytes are held after %v", a.Used(), err)
		case a.Used() > max(2*int64(len(got)), 4<<10):
			t.Errorf("%d bytes are held for %d", a.Used(), len(got))
		}
	})
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
