// Package rawjson splits JSON text into its values without decoding them, so that one
// value that cannot be decoded doesn't make those beside it unreadable.
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/zeebo/errs"
)

// ErrSyntax is the class of errors of text whose values cannot be told apart.
var ErrSyntax = errs.Class("JSON syntax")

// Array returns the elements of an array, which share the memory of text; none for null.
// It checks what separates the elements and nothing within them, in time and stack that
// don't depend on how deeply they are nested.
func Array(text []byte) ([]json.RawMessage, error) {
	s := scanner{text: text}
	if s.isNull() {
		return nil, nil
	}
	var elements []json.RawMessage
	err := s.list('[', ']', func() error {
		element, err := s.value()
		elements = append(elements, element)
		return err
	})
	return elements, err
}

// Object returns the members of an object by their names, and otherwise is like Array. Of
// members with the same name the last one counts.
func Object(text []byte) (map[string]json.RawMessage, error) {
	s := scanner{text: text}
	if s.isNull() {
		return nil, nil
	}
	members := map[string]json.RawMessage{}
	err := s.list('{', '}', func() error {
		raw, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(raw, &name); err != nil {
			return ErrSyntax.Wrap(err)
		}
		if !s.take(':') {
			return ErrSyntax.New("no colon at offset %d", s.at)
		}
		members[name], err = s.value()
		return err
	})
	return members, err
}

// scanner reads text from the offset at.
type scanner struct {
	text []byte
	at   int
}

func (s *scanner) isNull() bool { return string(bytes.Trim(s.text, whitespace)) == "null" }

// whitespace holds the characters that may surround values.
const whitespace = " \t\r\n"

// peek skips white space and returns the next byte; zero at the end.
func (s *scanner) peek() byte {
	for ; s.at < len(s.text); s.at++ {
		if c := s.text[s.at]; c != ' ' && c != '\t' && c != '\r' && c != '\n' {
			return c
		}
	}
	return 0
}

// take skips white space and then the byte c. It returns false if another one is next.
func (s *scanner) take(c byte) bool {
	if s.peek() != c || s.at >= len(s.text) {
		return false
	}
	s.at++
	return true
}

// list reads a list between two brackets, calling item for each of its items, and the end
// of the text.
func (s *scanner) list(opening, closing byte, item func() error) error {
	if !s.take(opening) {
		return ErrSyntax.New("no %q at offset %d", opening, s.at)
	}
	for first := true; !s.take(closing); first = false {
		if !first && !s.take(',') {
			return ErrSyntax.New("no separator at offset %d", s.at)
		}
		if err := item(); err != nil {
			return err
		}
	}
	if s.peek(); s.at < len(s.text) {
		return ErrSyntax.New("more text at offset %d", s.at)
	}
	return nil
}

// value skips a value and returns it.
func (s *scanner) value() (json.RawMessage, error) {
	s.peek()
	start, depth := s.at, 0
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case '"':
			if !s.skipString() {
				return nil, ErrSyntax.New("no end of the string at offset %d", s.at)
			}
			if depth == 0 {
				return s.text[start:s.at], nil
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.scalar(start)
			}
			if depth--; depth == 0 {
				s.at++
				return s.text[start:s.at], nil
			}
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.scalar(start)
			}
		}
		s.at++
	}
	if depth > 0 {
		return nil, ErrSyntax.New("no end of the value at offset %d", start)
	}
	return s.scalar(start)
}

// scalar returns the value from start to the present offset, which must not be empty.
func (s *scanner) scalar(start int) (json.RawMessage, error) {
	if s.at == start {
		return nil, ErrSyntax.New("no value at offset %d", start)
	}
	return s.text[start:s.at], nil
}

// skipString skips a string. It returns false if the string has no end.
func (s *scanner) skipString() bool {
	at, quote := s.at+1, -1
	for {
		if quote < at {
			next := indexByte(s.text, at, '"')
			if next < 0 {
				return false
			}
			quote = next
		}
		backslash := bytes.IndexByte(s.text[at:quote], '\\')
		if backslash < 0 {
			s.at = quote + 1
			return true
		}
		at += backslash + len(`\"`)
	}
}

// indexByte returns the offset of the first c in text from an offset on; negative if there is
// none.
func indexByte(text []byte, from int, c byte) int {
	if from >= len(text) {
		return -1
	}
	if i := bytes.IndexByte(text[from:], c); i >= 0 {
		return from + i
	}
	return -1
}
