// Package strict reads TOML into structs and names everything that is wrong
// with it at once, each by its path and the reason.
package strict

import (
	"strings"
)

// Problem is one thing that is wrong with an input.
type Problem struct {
	// Path leads to the value, such as "teams[2].burst_tokens"; it is empty when
	// the whole input is meant.
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String returns the path and the reason.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Reason
	}
	return p.Path + ": " + p.Reason
}

// Problems is all that is wrong with an input, as an error.
type Problems []Problem

// Error returns one problem a line.
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

// Add notes a problem.
func (p *Problems) Add(path, reason string) {
	*p = append(*p, Problem{Path: path, Reason: reason})
}
