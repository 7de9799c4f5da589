package entry

import (
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// Outcome is how a request ended, for metrics. It names neither adapter nor key.
type Outcome struct {
	// Team is empty when no key was accepted.
	Team string
	// Kind and Class are empty when the request was refused before its route
	// was known.
	Kind  release.RouteKind
	Class release.Class
	// Code is empty when the caller got the whole answer.
	Code   refusal.Code
	NotRun bool
	// Tokens is what the request asked of its team's allowance.
	Tokens float64
	// FirstToken is the time from the request to its first token; zero for none.
	FirstToken time.Duration
	Took       time.Duration
}

// ended reports how a request ended, once.
func (s *Server) ended(r *caller, err error) {
	s.inFlight.Add(-1)
	o := Outcome{
		Team:       r.team,
		Kind:       r.kind,
		Class:      r.class,
		Tokens:     r.tokens,
		FirstToken: r.firstToken,
		Took:       time.Since(r.started),
	}
	if err != nil {
		refused := refusal.From(err)
		o.Code, o.NotRun = refused.Code, refused.NotRun
		s.logRefusal(r, refused)
	} else {
		s.Log.Info("request answered",
			zap.String("request_id", r.requestID),
			zap.String("team", r.team),
			zap.String("kind", string(r.kind)),
			zap.Duration("first_token", r.firstToken),
			zap.Duration("took", o.Took))
	}
	if s.Observe != nil {
		s.Observe(o)
	}
}

func (s *Server) logRefusal(r *caller, e *refusal.Error) {
	s.Log.Info("request refused",
		zap.String("request_id", r.requestID),
		zap.String("team", r.team),
		zap.String("code", string(e.Code)),
		zap.String("message", e.Message),
		zap.Bool("not_run", e.NotRun),
		zap.NamedError("cause", e.Cause))
}
