package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// Position is a place in a file; the zero value is none.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Node is a value of a JSON file, with its place.
type Node struct {
	Position
	// Value is a string, a json.Number, a bool, nil, json.Delim('{') or json.Delim('[').
	Value any
	// Names and Items are the fields of an object in their order, or the items of an array,
	// which have no names.
	Names []Name
	Items []*Node
}

// Name is the name of an object's field, with its place.
type Name struct {
	Position
	Text string
}

// Field returns the last field with a name, which is the one that counts; nil if there is
// none.
func (n *Node) Field(name string) *Node {
	for i := len(n.Names) - 1; i >= 0; i-- {
		if n.Names[i].Text == name {
			return n.Items[i]
		}
	}
	return nil
}

// maxDepth bounds how deep values are nested.
const maxDepth = 64

// Parse returns the value that a file holds, or a finding that says where it is no JSON.
func Parse(data []byte) (*Node, *Finding) {
	p := &parser{data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	p.decoder.UseNumber()
	n, err := p.value(0)
	if err == nil {
		if _, err = p.decoder.Token(); errors.Is(err, io.EOF) {
			return n, nil
		}
		err = errors.New("text after the value")
	}
	return nil, &Finding{Severity: SeverityError, Code: "syntax", Position: p.position(p.errorOffset(err)), Message: p.text(err)}
}

// parser reads a file token by token.
type parser struct {
	data    []byte
	decoder *json.Decoder
}

// next returns the next token and where it begins.
func (p *parser) next() (json.Token, Position, error) {
	offset := int(p.decoder.InputOffset())
	for offset < len(p.data) && strings.IndexByte(" \t\r\n,:", p.data[offset]) >= 0 {
		offset++
	}
	token, err := p.decoder.Token()
	return token, p.position(offset), err
}

// value returns the next value.
func (p *parser) value(depth int) (*Node, error) {
	token, at, err := p.next()
	if err != nil {
		return nil, err
	}
	n := &Node{Position: at, Value: token}
	if _, ok := token.(json.Delim); !ok {
		return n, nil
	}
	if depth == maxDepth {
		return nil, errors.New("nested too deeply")
	}
	for p.decoder.More() {
		if token == json.Delim('{') {
			name, at, err := p.next()
			if err != nil {
				return nil, err
			}
			n.Names = append(n.Names, Name{Position: at, Text: fmt.Sprint(name)})
		}
		item, err := p.value(depth + 1)
		if err != nil {
			return nil, err
		}
		n.Items = append(n.Items, item)
	}
	_, err = p.decoder.Token()
	return n, err
}

// errorOffset returns where an error was found. An error between values has the offset of the
// character that is wrong, one within a value that of the character after it.
func (p *parser) errorOffset(err error) int {
	between := p.decoder.InputOffset()
	var e *json.SyntaxError
	if errors.As(err, &e) && e.Offset > between {
		return int(e.Offset) - 1
	}
	return int(between)
}

func (p *parser) text(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "the file ends within a value"
	}
	return err.Error()
}

// position returns the place of an offset.
func (p *parser) position(offset int) Position {
	before := p.data[:min(offset, len(p.data))]
	return Position{Line: bytes.Count(before, []byte("\n")) + 1, Column: len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1}
}

// Schema says which fields objects may have.
type Schema struct {
	// Type is the Go type into which the file is decoded.
	Type reflect.Type
	// Unused holds, by type, the names of known fields that the type does not have.
	Unused map[reflect.Type][]string
}

// Check returns a finding for each value of a wrong type, and each unknown or repeated field.
func (s *Schema) Check(n *Node) []Finding { return s.check(n, s.Type, "") }

func (s *Schema) check(n *Node, t reflect.Type, path string) []Finding {
	if t.Kind() == reflect.Pointer {
		if n.Value == nil {
			return nil
		}
		t = t.Elem()
	}
	if wanted, ok := fits(n, t); !ok {
		return []Finding{{Severity: SeverityError, Code: "type", Position: n.Position, Path: path, Message: "must be " + wanted}}
	}
	var findings []Finding
	switch t.Kind() {
	case reflect.Slice:
		for i, item := range n.Items {
			findings = append(findings, s.check(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
		}
	case reflect.Struct:
		findings = s.checkFields(n, t, path)
	}
	return findings
}

func (s *Schema) checkFields(n *Node, t reflect.Type, path string) []Finding {
	types := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		types[name] = t.Field(i).Type
	}
	for _, name := range s.Unused[t] {
		types[name] = nil
	}
	var findings []Finding
	seen := map[string]bool{}
	for i, name := range n.Names {
		field := strings.TrimPrefix(path+"."+name.Text, ".")
		fieldType, known := types[name.Text]
		switch {
		case !known:
			findings = append(findings, Finding{Severity: SeverityError, Code: "unknown_field", Position: name.Position, Path: field, Message: "is no known field"})
		case seen[name.Text]:
			findings = append(findings, Finding{Severity: SeverityError, Code: "repeated_field", Position: name.Position, Path: field, Message: "is there twice, only the last one counts"})
		}
		seen[name.Text] = true
		if fieldType != nil {
			findings = append(findings, s.check(n.Items[i], fieldType, field)...)
		}
	}
	return findings
}

// fits reports whether a value can be decoded into a type, and what would fit.
func fits(n *Node, t reflect.Type) (wanted string, ok bool) {
	number, isNumber := n.Value.(json.Number)
	switch t.Kind() {
	case reflect.String:
		_, ok = n.Value.(string)
		return "a string", ok
	case reflect.Bool:
		_, ok = n.Value.(bool)
		return "true or false", ok
	case reflect.Float64:
		_, err := number.Float64()
		return "a number", isNumber && err == nil
	case reflect.Int:
		_, err := strconv.Atoi(number.String())
		return "a whole number", isNumber && err == nil
	case reflect.Uint64:
		_, err := strconv.ParseUint(number.String(), 10, 64)
		return "a whole number, not negative", isNumber && err == nil
	case reflect.Slice:
		return "a list", n.Value == json.Delim('[')
	}
	return "an object", n.Value == json.Delim('{')
}
