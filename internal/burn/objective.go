// Package burn measures how fast the error budgets of service-level objectives are
// used up. It holds the metrics of an instance, the event counts over sliding
// windows, and the burn report over all instances.
package burn

import (
	"time"

	"heatherrelay/pkg/release"
)

// Objective is the name of a service-level objective for a team's requests.
type Objective string

// The objectives.
const (
	// FirstToken: the first token of an answer arrives within the limit.
	FirstToken Objective = "first_token"
	// Answered: a valid request gets its complete answer.
	Answered Objective = "answered"
	// Unstalled: a model request does not wait for an adapter to be loaded.
	Unstalled Objective = "unstalled"
	// JustifiedRefusals: a request is refused for lack of allowance only if its team
	// has used up its rate and burst.
	JustifiedRefusals Objective = "rightly_refused"
)

// Objectives lists all objectives in the order of the report.
var Objectives = []Objective{FirstToken, Answered, Unstalled, JustifiedRefusals}

// Goal holds the objectives of one route class.
type Goal struct {
	// FirstTokenLimit is the longest time to the first token that counts as good.
	FirstTokenLimit time.Duration
	// Shares is the promised share of good events by objective, between 0 and 1.
	Shares map[Objective]float64
}

// Goals holds the goal of each route class.
type Goals map[release.Class]Goal
