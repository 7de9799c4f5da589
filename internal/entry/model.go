package entry

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

// The engines' paths of the two model APIs.
const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"
)

func (s *Server) completions(c fiber.Ctx, r *caller) error { return s.model(c, r, completionsPath) }

func (s *Server) chatCompletions(c fiber.Ctx, r *caller) error { return s.model(c, r, chatPath) }

// model serves one model request: key, body, adapter, allowance, answer.
func (s *Server) model(c fiber.Ctx, r *caller, path string) error {
	state, err := s.state()
	if err != nil {
		return err
	}
	call, err := parseModelCall(c.Body(), path == chatPath, s.Limits)
	if err != nil {
		return s.checkedFirst(c, r, state, err)
	}
	route := state.ModelRoute(call.adapter.Name)
	r.kind, r.class, r.tokens = release.ModelRoute, route.Class, float64(call.prompt+call.maxTokens)
	if err := s.identify(c, r, state, route.Open); err != nil {
		return err
	}
	if err := mayUse(state, r.team, call.adapter); err != nil {
		return err
	}
	if err := newLeakCheck(state, r.token).check(call.body); err != nil {
		return err
	}
	request := s.request(r, state, route, call, path)
	reservation, err := s.reserveFor(r.team, float64(request.Tokens()), request.Deadline, request.Class, callerOf(c))
	if err != nil {
		return err
	}
	setWriteDeadline(c, request.Deadline.Add(writeLeeway))
	run := execution{server: s, request: request, reservation: reservation, caller: callerOf(c)}
	if call.stream {
		return s.stream(c, r, run)
	}
	return s.whole(c, r, run)
}

// checkedFirst refuses a bad body only to callers who have a key, so that
// nobody else learns what is served here.
func (s *Server) checkedFirst(c fiber.Ctx, r *caller, state *release.State, bad error) error {
	if err := s.identify(c, r, state, false); err != nil {
		return err
	}
	return bad
}

func mayUse(state *release.State, team string, id adapter.ID) error {
	found, ok := state.Adapter(id.String())
	if !ok {
		return refusal.NotRun(refusal.CodeUnknownAdapter, "no adapter %s is in force", id).At("model")
	}
	if !state.MayUse(team, found) {
		return refusal.NotRun(refusal.CodeForbidden, "this team may not use adapter %s", id).At("model")
	}
	return nil
}

func (s *Server) request(r *caller, state *release.State, route release.Route, call modelCall, path string) target.Request {
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
		PromptTokens: call.prompt,
		MaxTokens:    call.maxTokens,
		PrefixHash:   call.prefixHash,
		Deadline:     r.started.Add(s.timeout(route)),
	}
}

// timeout returns how long a request of a route may take. Owners of targets rely
// on the longest of all, so a route's own timeout is cut to it.
func (s *Server) timeout(route release.Route) time.Duration {
	longest := max(s.Limits.RequestTimeout, s.Limits.PatientTimeout)
	switch {
	case route.Timeout.Duration > 0:
		return min(route.Timeout.Duration, longest)
	case route.Kind == release.ModelRoute && route.Class == release.Patient:
		return longest
	}
	return s.Limits.RequestTimeout
}

// execution is one admitted model request. Its run settles the reservation,
// whatever the outcome.
type execution struct {
	server      *Server
	request     target.Request
	reservation team.Reservation
	// caller is nil when it cannot be looked at.
	caller *net.TCPConn
}

func (x *execution) run(emit target.Emit) error {
	ctx, cancel := context.WithDeadline(x.server.work, x.request.Deadline)
	defer cancel()
	ctx, leave := whilePresent(ctx, x.caller)
	defer leave()
	var usage target.Usage
	var err error
	if panicked := panics.Try(func() { usage, err = x.server.Execute(ctx, x.request, emit) }); panicked != nil {
		err = refusal.MayHaveRun(refusal.CodeInternal, "internal error").Because(panicked.AsError())
	}
	if err != nil && errors.Is(context.Cause(ctx), errCallerGone) {
		err = goneBecause(err)
	}
	x.reservation.Settle(usedTokens(x.request.Tokens(), usage, err))
	return err
}

// goneBecause says that a run ended since its caller had gone, and keeps what is
// known of whether it ran.
func goneBecause(err error) error {
	gone := refusal.MayHaveRun(refusal.CodeCallerGone, "the caller closed the connection").Because(err)
	gone.NotRun = refusal.From(err).NotRun
	return gone
}

// usedTokens returns what a request costs its team: what it used if that is
// known, nothing if it did not run, else all that was reserved.
func usedTokens(reserved int, usage target.Usage, err error) float64 {
	if used := usage.PromptTokens + usage.CompletionTokens; used > 0 {
		return float64(used)
	}
	if err != nil && refusal.From(err).NotRun {
		return 0
	}
	return float64(reserved)
}
