package settings

import (
	"fmt"
	"strings"
)

// Problem is one thing wrong with a settings file.
type Problem struct {
	// Path is the setting's dotted name; empty when the file cannot be read.
	Path string `json:"path"`
	// Reason says what is wrong, without the path.
	Reason string `json:"reason"`
}

// String returns the path and the reason.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Reason
	}
	return fmt.Sprintf("%s: %s", p.Path, p.Reason)
}

// Error is everything wrong with a settings file.
type Error struct {
	Problems []Problem
}

// Error returns one problem a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%d problems in the settings", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}
