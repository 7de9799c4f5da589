// Package configcheck checks a configuration before it is sent: whether it can be read,
// whether entries can ever take effect, whether limits contradict each other, and what differs
// by meaning from another version.
package configcheck

import (
	"encoding/json"
	"fmt"
	"io"
)

// Severity says what becomes of a configuration with a finding.
type Severity string

const (
	// SeverityError means that a part of the configuration has no effect, or not the one
	// that it states.
	SeverityError Severity = "error"
	// SeverityWarning means that a part may be as intended, but seldom is.
	SeverityWarning Severity = "warning"
)

// Finding is one thing that is wrong.
type Finding struct {
	Severity Severity `json:"severity"`
	// Code names the check.
	Code string `json:"code"`
	Position
	// Path names the entry in the file; empty for the file as a whole.
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// Change is one difference from the version in force.
type Change struct {
	// Entry names what differs, such as "route a.example /x/". Field is empty if the whole
	// entry was added or removed.
	Entry string `json:"entry"`
	Field string `json:"field,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
	// Lower is set when a limit falls below the one in force.
	Lower bool `json:"lower,omitempty"`
}

// String describes the change in a line.
func (c Change) String() string {
	text := c.Entry
	if c.Field != "" {
		text += ": " + c.Field
	}
	switch {
	case c.From == "":
		text += " added " + c.To
	case c.To == "":
		text += " removed " + c.From
	default:
		text += " " + c.From + " -> " + c.To
	}
	if c.Lower {
		text += " (lower)"
	}
	return text
}

// Report is the result of a check.
type Report struct {
	File     string    `json:"file"`
	Findings []Finding `json:"findings"`
	// Compared is set when the configuration was compared with another version. Changes are
	// the differences.
	Compared bool     `json:"compared"`
	Changes  []Change `json:"changes"`
}

// WriteText writes the report for people, a line for each finding and change.
func (r *Report) WriteText(w io.Writer) error {
	for _, f := range r.Findings {
		place := r.File
		if f.Line > 0 {
			place = fmt.Sprintf("%s:%d:%d", r.File, f.Line, f.Column)
		}
		path := ""
		if f.Path != "" {
			path = f.Path + " "
		}
		if _, err := fmt.Fprintf(w, "%s: %s: %s%s [%s]\n", place, f.Severity, path, f.Message, f.Code); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintf(w, "change: %s\n", c); err != nil {
			return err
		}
	}
	if len(r.Findings) > 0 || len(r.Changes) > 0 {
		return nil
	}
	text := "nothing found"
	if r.Compared {
		text += ", no change"
	}
	_, err := fmt.Fprintf(w, "%s: %s\n", r.File, text)
	return err
}

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
