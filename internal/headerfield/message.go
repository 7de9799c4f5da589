// Package headerfield converts header fields to and from the messages between instances.
package headerfield

import (
	"unicode/utf8"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
)

// Message returns the message of a field. Its value may hold any bytes.
func Message(name, value string) *v1.Header {
	if !utf8.ValidString(value) {
		return &v1.Header{Name: name, RawValue: []byte(value)}
	}
	return &v1.Header{Name: name, Value: value}
}

// Value returns the value of a field.
func Value(m *v1.Header) string {
	if raw := m.GetRawValue(); len(raw) > 0 {
		return string(raw)
	}
	return m.GetValue()
}
