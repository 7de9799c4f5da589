package callerapi

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc/panics"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
	"heatherrelay/internal/team"
	"heatherrelay/pkg/release"
)

// Paths of the two model APIs on the engines.
const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"
)

func (s *Server) handleCompletions(c fiber.Ctx, r *activeRequest) error {
	return s.serveModelRequest(c, r, completionsPath)
}

func (s *Server) handleChatCompletions(c fiber.Ctx, r *activeRequest) error {
	return s.serveModelRequest(c, r, chatPath)
}

// serveModelRequest validates and authenticates one model request, reserves its
// tokens, executes it and writes the answer.
func (s *Server) serveModelRequest(c fiber.Ctx, r *activeRequest, path string) error {
	state, err := s.releaseState()
	if err != nil {
		return err
	}
	call, err := parseModelCall(c.Body(), path == chatPath, s.Limits)
	if err != nil {
		return s.refuseBadBody(c, r, state, err)
	}
	route := state.ModelRoute(call.adapter.Name)
	r.kind, r.class, r.tokens = release.ModelRoute, route.Class, float64(call.promptTokens+call.maxTokens)
	if err := s.authenticate(c, r, state, route.Open); err != nil {
		return err
	}
	if err := checkAdapterAccess(state, r.team, call.adapter); err != nil {
		return err
	}
	if err := newKeyLeakChecker(state, r.token).check(call.body); err != nil {
		return err
	}
	request := s.newTargetRequest(r, state, route, call, path)
	reservation, err := s.reserveOrWait(r.team, float64(request.Tokens()), request.Deadline, request.Class, callerConn(c))
	if err != nil {
		return err
	}
	setWriteDeadline(c, request.Deadline.Add(writeMargin))
	x := execution{server: s, request: request, reservation: reservation, conn: callerConn(c)}
	if call.stream {
		return s.answerStream(c, r, x)
	}
	return s.answerComplete(c, r, x)
}

// refuseBadBody returns bodyErr if the caller has a valid key, else the refusal of
// the key, so that an unauthenticated caller does not learn what is served.
func (s *Server) refuseBadBody(c fiber.Ctx, r *activeRequest, state *release.State, bodyErr error) error {
	if err := s.authenticate(c, r, state, false); err != nil {
		return err
	}
	return bodyErr
}

// checkAdapterAccess refuses an adapter that is not in force or that the team may
// not use.
func checkAdapterAccess(state *release.State, teamName string, id adapter.ID) error {
	found, ok := state.Adapter(id.String())
	if !ok {
		return refusal.NotRun(refusal.CodeUnknownAdapter, "no adapter %s is in force", id).WithField("model")
	}
	if !state.MayUse(teamName, found) {
		return refusal.NotRun(refusal.CodeForbidden, "this team may not use adapter %s", id).WithField("model")
	}
	return nil
}

func (s *Server) newTargetRequest(r *activeRequest, state *release.State, route release.Route, call modelCall, path string) target.Request {
	weight := 1.0
	if t, ok := state.Team(r.team); ok && t.Weight > 0 {
		weight = t.Weight
	}
	return target.Request{
		ID:           r.requestID,
		Team:         r.team,
		TeamWeight:   weight,
		Class:        route.Class,
		Adapter:      call.adapter,
		Path:         path,
		Body:         call.body,
		PromptTokens: call.promptTokens,
		MaxTokens:    call.maxTokens,
		PrefixHash:   call.prefixHash,
		Deadline:     r.started.Add(s.routeTimeout(route)),
	}
}

// routeTimeout returns how long a request of a route may take. Owners of targets
// rely on no request taking longer than the longer of the two limits, so a
// route's own timeout is capped there.
func (s *Server) routeTimeout(route release.Route) time.Duration {
	longest := max(s.Limits.RequestTimeout, s.Limits.PatientTimeout)
	switch {
	case route.Timeout.Duration > 0:
		return min(route.Timeout.Duration, longest)
	case route.Kind == release.ModelRoute && route.Class == release.Patient:
		return longest
	}
	return s.Limits.RequestTimeout
}

// execution is one admitted model request. Its run method settles the reservation
// whatever the outcome is.
type execution struct {
	server      *Server
	request     target.Request
	reservation team.Reservation
	// conn is watched for the caller's disconnect; nil when that is not possible.
	conn *net.TCPConn
}

// run executes the request until it ends, its deadline passes or the caller
// disconnects.
func (x *execution) run(emit target.Emit) error {
	ctx, cancel := context.WithDeadline(x.server.requestsCtx, x.request.Deadline)
	defer cancel()
	ctx, stopWatching := cancelOnDisconnect(ctx, x.conn)
	defer stopWatching()
	var usage target.Usage
	var err error
	if panicked := panics.Try(func() { usage, err = x.server.Execute(ctx, x.request, emit) }); panicked != nil {
		err = refusal.MayHaveRun(refusal.CodeInternal, "internal error").WithCause(panicked.AsError())
	}
	if err != nil && errors.Is(context.Cause(ctx), errCallerGone) {
		err = callerGoneKeepingNotRun(err)
	}
	x.reservation.Settle(tokensToCharge(x.request.Tokens(), usage, err))
	return err
}

// callerGoneKeepingNotRun returns the refusal of a request that was canceled
// because its caller disconnected. It keeps the NotRun of err.
func callerGoneKeepingNotRun(err error) error {
	e := refusal.MayHaveRun(refusal.CodeCallerGone, "the caller closed the connection").WithCause(err)
	e.NotRun = refusal.From(err).NotRun
	return e
}

// tokensToCharge returns how many tokens of the allowance a request costs: those
// it used if that is known, none if it did not run, else all reserved tokens.
func tokensToCharge(reserved int, usage target.Usage, err error) float64 {
	if used := usage.PromptTokens + usage.CompletionTokens; used > 0 {
		return float64(used)
	}
	if err != nil && refusal.From(err).NotRun {
		return 0
	}
	return float64(reserved)
}
