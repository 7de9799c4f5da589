package settings

import (
	"fmt"
	"strings"
)

// Problem is one problem of a settings file.
type Problem struct {
	// Path is the dotted name of the setting; empty if the file as a whole cannot
	// be read or parsed.
	Path string `json:"path"`
	// Reason describes the problem, without the path.
	Reason string `json:"reason"`
}

// String returns the path, if any, and the reason.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Reason
	}
	return fmt.Sprintf("%s: %s", p.Path, p.Reason)
}

// Error holds all problems of a settings file.
type Error struct {
	Problems []Problem
}

// Error returns the number of problems and one line for each.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%d problems in the settings", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}
