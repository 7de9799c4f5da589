package responsehead

import (
	"bytes"

	"golang.org/x/net/http/httpguts"
)

// checkField checks a line of a head, and records what it says of the framing.
func (c *checker) checkField(line []byte) error {
	if err := CheckLine(line); err != nil {
		return err
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	c.framing.record(string(name))
	return nil
}

// CheckLine checks a line of a head or of a trailer, without its end: a field's name, a colon,
// and the field's value. Lines that continue the one before are obsolete, and malformed. The
// error is of class ErrMalformed.
func CheckLine(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return ErrMalformed.New("no field name in line %.64q", line)
	}
	return CheckField(string(name), string(value))
}

// CheckField checks a field: a name without blanks, and a value without control characters,
// which may be empty. The error is of class ErrMalformed.
func CheckField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return ErrMalformed.New("field name %.64q", name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return ErrMalformed.New("value %.64q of field %s", value, name)
	}
	return nil
}
