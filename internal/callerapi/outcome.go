package callerapi

import (
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// Outcome describes how a request ended, for metrics. It contains neither the
// adapter nor the key.
type Outcome struct {
	// Team is empty when no key was accepted.
	Team string
	// Kind and Class are those of the route; empty when the request was refused
	// before its route was known.
	Kind  release.RouteKind
	Class release.Class
	// Code is empty when the caller received the complete answer.
	Code refusal.Code
	// NotRun is set when the refused request did not run and will not run.
	NotRun bool
	// Tokens is the number of tokens requested from the team's allowance.
	Tokens float64
	// FirstToken is the time from the start of the request to its first token;
	// zero if there was none.
	FirstToken time.Duration
	// Duration is the time from the start of the request to its end.
	Duration time.Duration
}

// recordOutcome logs how a request ended and passes its Outcome to Observe. It is
// called once for each request.
func (s *Server) recordOutcome(r *activeRequest, err error) {
	s.inFlight.Add(-1)
	o := Outcome{
		Team:       r.team,
		Kind:       r.kind,
		Class:      r.class,
		Tokens:     r.tokens,
		FirstToken: r.firstToken,
		Duration:   time.Since(r.started),
	}
	if err != nil {
		e := refusal.From(err)
		o.Code, o.NotRun = e.Code, e.NotRun
		s.logRefusal(r, e)
	} else {
		s.Log.Info("request answered",
			zap.String("request_id", r.requestID),
			zap.String("team", r.team),
			zap.String("kind", string(r.kind)),
			zap.Duration("first_token", r.firstToken),
			zap.Duration("took", o.Duration))
	}
	if s.Observe != nil {
		s.Observe(o)
	}
}

func (s *Server) logRefusal(r *activeRequest, e *refusal.Error) {
	s.Log.Info("request refused",
		zap.String("request_id", r.requestID),
		zap.String("team", r.team),
		zap.String("code", string(e.Code)),
		zap.String("message", e.Message),
		zap.Bool("not_run", e.NotRun),
		zap.NamedError("cause", e.Cause))
}
