// Package burn measures how fast service-level objectives are used up: the
// metrics of an instance, the counts over the last hours, and the report over
// all instances.
package burn

import (
	"time"

	"heatherrelay/pkg/release"
)

// Objective names what is promised to a team's requests.
type Objective string

// The objectives.
const (
	// FirstToken: the first token of an answer comes in time.
	FirstToken Objective = "first_token"
	// Answered: a request that is in order gets its whole answer.
	Answered Objective = "answered"
	// Unstalled: a model request waits for no load.
	Unstalled Objective = "unstalled"
	// RightlyRefused: a request is refused for want of allowance only when its
	// team has used up its rate and burst.
	RightlyRefused Objective = "rightly_refused"
)

// Objectives are all objectives in the order in which they are shown.
var Objectives = []Objective{FirstToken, Answered, Unstalled, RightlyRefused}

// Goal is what is promised to the requests of one route class. Shares are parts
// of 1.
type Goal struct {
	FirstTokenLimit time.Duration
	Shares          map[Objective]float64
}

// Goals holds the goal of each route class.
type Goals map[release.Class]Goal
