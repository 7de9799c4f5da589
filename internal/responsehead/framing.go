package responsehead

import "strings"

// framing is what a head says of how its body is delimited.
type framing struct {
	// earlierVersion is set for HTTP/1.0, which has no transfer encodings.
	earlierVersion           bool
	length, transferEncoding bool
}

// record records the name of a field.
func (f *framing) record(name string) {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		f.length = true
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.transferEncoding = true
	}
}

// check returns an error if it is not certain where the body ends.
func (f *framing) check() error {
	switch {
	case f.transferEncoding && f.length:
		return ErrMalformed.New("both a length and a transfer encoding")
	case f.transferEncoding && f.earlierVersion:
		return ErrMalformed.New("transfer encoding in HTTP/1.0")
	}
	return nil
}
