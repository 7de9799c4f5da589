package responsehead

import (
	"bytes"

	"golang.org/x/net/http/httpguts"
)

// checkField checks a line of a head, and records what it says of the framing.
func (c *checker) checkField(line []byte) error {
	if err := CheckField(line); err != nil {
		return err
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	c.framing.record(string(name))
	return nil
}

// CheckField checks a line of a head or of a trailer, without its end: a field's name, a
// colon, and the field's value, which may be empty. No blank may stand around the name.
// Lines that continue the one before are obsolete, and malformed. The error is of class
// ErrMalformed.
func CheckField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return ErrMalformed.New("field name in line %.64q", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return ErrMalformed.New("field value in line %.64q", line)
	}
	return nil
}
