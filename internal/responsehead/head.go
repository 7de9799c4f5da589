// Package responsehead checks the heads of HTTP/1.1 responses before they are decoded. Bytes
// that do not match the grammar of RFC 9112 are no head, and so no response.
package responsehead

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// ErrMalformed is the class of errors of bytes that are no head of a response.
var ErrMalformed = errs.Class("malformed response head")

// Head describes a complete head.
type Head struct {
	Status int
	// Length is the length in bytes, with the empty line at the end.
	Length int
}

// Informational reports whether another head follows.
func (h Head) Informational() bool { return h.Status/100 == 1 }

// Read reads a head into header. Its errors are of class ErrMalformed, or those of the reader,
// also io.EOF if that ends within the head.
func Read(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	if _, err := Await(reader); err != nil {
		return err
	}
	if err := header.Read(reader); err != nil {
		return ErrMalformed.Wrap(err)
	}
	return nil
}

// Await returns once a reader has buffered a complete head, of which it reads nothing. It
// fails at the first line that is malformed, whether or not more arrives. Its errors are those
// of Read. A head that exceeds the buffer is malformed.
func Await(reader *bufio.Reader) (Head, error) {
	var c checker
	for {
		// What is buffered can be peeked at without an error.
		text, _ := reader.Peek(reader.Buffered())
		if complete, err := c.check(text); complete || err != nil {
			return Head{Status: c.status, Length: c.checked}, err
		}
		if _, err := reader.Peek(len(text) + 1); errors.Is(err, bufio.ErrBufferFull) {
			return Head{}, ErrMalformed.New("more than %d bytes", len(text))
		} else if err != nil {
			return Head{}, err
		}
	}
}

// checker checks the lines of a head, each once.
type checker struct {
	// checked is the number of bytes of the lines that were checked.
	checked int
	status  int
	framing framing
}

// check checks the further lines of a text that begins with a head, and reports whether the
// head is complete.
func (c *checker) check(text []byte) (complete bool, err error) {
	for {
		line, _, found := bytes.Cut(text[c.checked:], []byte("\n"))
		if !found {
			return false, nil
		}
		first := c.checked == 0
		c.checked += len(line) + 1
		if line, err = cutLineEnd(line); err != nil {
			return false, err
		}
		switch {
		case first:
			err = c.checkStatusLine(line)
		case len(line) == 0:
			return true, c.framing.check()
		default:
			err = c.checkField(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// cutLineEnd cuts the carriage return off a line that was cut before its line feed.
func cutLineEnd(line []byte) ([]byte, error) {
	line, found := bytes.CutSuffix(line, []byte("\r"))
	if !found {
		return nil, ErrMalformed.New("line without carriage return: %.64q", line)
	}
	return line, nil
}
