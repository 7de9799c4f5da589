// Package strict decodes TOML into structs and validates them. It rejects unknown
// fields and reports all problems at once, each with its path and reason.
package strict

import (
	"strings"
)

// Problem is one problem of an input.
type Problem struct {
	// Path is the path of the value, such as "teams[2].burst_tokens"; empty if the
	// problem concerns the whole input.
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String returns the path, if any, and the reason.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Reason
	}
	return p.Path + ": " + p.Reason
}

// Problems holds all problems of an input. It implements error; use Err to return it
// as one.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil if there are no problems.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Add appends a problem.
func (p *Problems) Add(path, reason string) {
	*p = append(*p, Problem{Path: path, Reason: reason})
}
