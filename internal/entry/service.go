package entry

import (
	"context"
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/gofiber/fiber/v3"

	"heatherrelay/internal/dispatch"
	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// maxIdempotencyKeyBytes bounds a caller's Idempotency-Key.
const maxIdempotencyKeyBytes = 256

// service serves one call to a plain service.
func (s *Server) service(c fiber.Ctx, r *caller) error {
	state, err := s.state()
	if err != nil {
		return err
	}
	call := s.serviceCall(c, r)
	plain, pathErr := plainPath(call.Path)
	route, ok := state.ServiceRoute(call.Service, call.Method, plain)
	if err := s.identify(c, r, state, ok && route.Open); err != nil {
		return err
	}
	if pathErr != nil {
		return pathErr
	}
	if !ok {
		return refusal.NotRun(refusal.CodeUnknownRoute, "no route for this service, method and path")
	}
	r.kind, r.class, r.tokens = release.ServiceRoute, route.Class, route.TokensPerCall
	if err := mayCall(route, r.team); err != nil {
		return err
	}
	if err := checkCall(call, newLeakCheck(state, r.token)); err != nil {
		return err
	}
	call.Team = r.team
	call.Repeatable = route.Repeatable
	call.Deadline = r.started.Add(s.timeout(route))
	setWriteDeadline(c, call.Deadline.Add(writeLeeway))
	reply, err := s.run(call, route.TokensPerCall)
	if err != nil {
		return err
	}
	return writeReply(c, reply)
}

// run reserves what a call costs and sends it.
func (s *Server) run(call dispatch.Call, tokens float64) (dispatch.Reply, error) {
	reservation, err := s.reserve(call.Team, tokens, call.Deadline)
	if err != nil {
		return dispatch.Reply{}, err
	}
	ctx, cancel := context.WithDeadline(s.work, call.Deadline)
	defer cancel()
	reply, err := s.Call(ctx, call)
	if reply.Replayed || (err != nil && refusal.From(err).NotRun) {
		tokens = 0
	}
	reservation.Settle(tokens)
	return reply, err
}

// serviceCall copies the call out of the HTTP library's memory.
func (s *Server) serviceCall(c fiber.Ctx, r *caller) dispatch.Call {
	service, rest, found := strings.Cut(strings.TrimPrefix(c.Path(), "/services/"), "/")
	at := "/"
	if found {
		at += rest
	}
	return dispatch.Call{
		RequestID:      r.requestID,
		Service:        strings.Clone(service),
		Method:         strings.Clone(c.Method()),
		Path:           strings.Clone(at),
		Query:          string(c.Request().URI().QueryString()),
		Header:         passedRequestHeaders(c),
		Body:           slices.Clone(c.Body()),
		IdempotencyKey: strings.Clone(c.Get(headerIdempotencyKey)),
	}
}

// plainPath returns a path without percent-encoding, as routes are matched. It
// refuses paths that a service may read as another one: with empty or dot
// segments, or encoded slashes.
func plainPath(encoded string) (string, error) {
	plain, err := url.PathUnescape(encoded)
	if err != nil {
		return "", refusal.NotRun(refusal.CodeInvalidRequest, "the path cannot be decoded").At("path")
	}
	trimmed := strings.TrimSuffix(plain, "/")
	switch {
	case strings.Count(plain, "/") != strings.Count(encoded, "/"), strings.Contains(plain, "\\"):
		return "", refusal.NotRun(refusal.CodeInvalidRequest, "the path holds an encoded slash or a backslash").At("path")
	case trimmed != "" && path.Clean(trimmed) != trimmed:
		return "", refusal.NotRun(refusal.CodeInvalidRequest, "the path holds an empty or dot segment").At("path")
	}
	return plain, nil
}

func mayCall(route release.Route, team string) error {
	if route.Open || len(route.Teams) == 0 || slices.Contains(route.Teams, team) {
		return nil
	}
	return refusal.NotRun(refusal.CodeForbidden, "this team may not use this route")
}

// checkCall refuses what must not go to a service.
func checkCall(call dispatch.Call, leaks leakCheck) error {
	if len(call.IdempotencyKey) > maxIdempotencyKeyBytes {
		return refusal.NotRun(refusal.CodeInvalidRequest, "longer than %d bytes", maxIdempotencyKeyBytes).At(headerIdempotencyKey)
	}
	for _, part := range []string{call.Path, call.Query, call.IdempotencyKey} {
		if err := leaks.check([]byte(part)); err != nil {
			return err
		}
	}
	for _, h := range call.Header {
		if err := leaks.check([]byte(h.Value)); err != nil {
			return err
		}
	}
	return leaks.check(call.Body)
}

// writeReply passes a service's answer on.
func writeReply(c fiber.Ctx, reply dispatch.Reply) error {
	for _, h := range reply.Header {
		if slices.Contains(replyHeaders, strings.ToLower(h.Name)) {
			c.Set(h.Name, h.Value)
		}
	}
	if reply.Replayed {
		c.Set(headerReplayed, "true")
	}
	if reply.BodyNotKept {
		c.Set(headerBodyNotKept, "true")
	}
	return c.Status(reply.Status).Send(reply.Body)
}
