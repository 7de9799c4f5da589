// Package throttle keeps the requests of all instances together within the limits that
// targets state. Each instance sends only its own part of a limit, which follows from
// the limit and the known instances alone, so that no message is needed for each
// request and a lost one cannot lead to an excess.
package throttle

import (
	"time"

	"heatherrelay/internal/deployment"
)

// Statement is what a process of a target states about the requests that it takes.
type Statement struct {
	Target     deployment.TargetID
	Generation int64
	// Limited is set when the target states a limit, PerSecond, which is the number of
	// requests that it takes each second from all instances together.
	Limited   bool
	PerSecond float64
	// Brittle is set when the target falls over if it has to reject more than Rejections
	// requests in a second for want of room, those of all instances together.
	Brittle    bool
	Rejections int
	// Service is the target's service.
	Service string
	// At is when an instance received the statement.
	At time.Time
}

// same reports whether two statements of a process say the same.
func (s Statement) same(other Statement) bool {
	return s.Limited == other.Limited && s.PerSecond == other.PerSecond && s.Brittle == other.Brittle && s.Rejections == other.Rejections
}

// over returns s with what only known states.
func (s Statement) over(known Statement) Statement {
	if !s.Limited {
		s.Limited, s.PerSecond = known.Limited, known.PerSecond
	}
	if !s.Brittle {
		s.Brittle, s.Rejections = known.Brittle, known.Rejections
	}
	return s
}

// Newer reports whether s replaces known: it is of a later process, or was made later by
// the same one.
func (s Statement) Newer(known Statement) bool {
	if s.Generation != known.Generation {
		return s.Generation > known.Generation
	}
	return s.At.After(known.At)
}
