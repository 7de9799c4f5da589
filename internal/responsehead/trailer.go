package responsehead

import (
	"bufio"
	"errors"
	"io"
)

// SkipTrailer reads the trailer after the last chunk of a body, up to the empty line. A
// trailer of more than maxLines lines is malformed, and so is a line that exceeds the buffer.
// The other errors are those of the reader; io.ErrUnexpectedEOF if that ends within the
// trailer.
func SkipTrailer(reader *bufio.Reader, maxLines int) error {
	for range maxLines {
		line, err := reader.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case errors.Is(err, bufio.ErrBufferFull):
			return ErrMalformed.New("trailer line of more than %d bytes", len(line))
		case err != nil:
			return err
		}
		if line, err = cutLineEnd(line[:len(line)-1]); err != nil || len(line) == 0 {
			return err
		}
		if err := CheckLine(line); err != nil {
			return err
		}
	}
	return ErrMalformed.New("trailer of more than %d lines", maxLines)
}
