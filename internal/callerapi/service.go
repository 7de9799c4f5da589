package callerapi

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

// maxIdempotencyKeyBytes bounds the Idempotency-Key header.
const maxIdempotencyKeyBytes = 256

// handleService authenticates and checks one call to a plain service, sends it and
// writes the reply.
func (s *Server) handleService(c fiber.Ctx, r *activeRequest) error {
	state, err := s.releaseState()
	if err != nil {
		return err
	}
	call := s.newServiceCall(c, r)
	decodedPath, pathErr := decodePath(call.Path)
	route, ok := state.ServiceRoute(call.Service, call.Method, decodedPath)
	if err := s.authenticate(c, r, state, ok && route.Open); err != nil {
		return err
	}
	if pathErr != nil {
		return pathErr
	}
	if !ok {
		return refusal.NotRun(refusal.CodeUnknownRoute, "no route for this service, method and path")
	}
	r.kind, r.class, r.tokens = release.ServiceRoute, route.Class, route.TokensPerCall
	if err := checkRouteAccess(route, r.team); err != nil {
		return err
	}
	if err := checkServiceCall(call, newKeyLeakChecker(state, r.token)); err != nil {
		return err
	}
	call.Team = r.team
	call.Repeatable = route.Repeatable
	call.Deadline = r.started.Add(s.routeTimeout(route))
	setWriteDeadline(c, call.Deadline.Add(writeMargin))
	reply, err := s.runServiceCall(call, route.TokensPerCall)
	if err != nil {
		return err
	}
	return writeReply(c, reply)
}

// runServiceCall reserves the tokens of a call and sends it. A call that did not
// run, or whose reply was replayed, is not charged.
func (s *Server) runServiceCall(call dispatch.Call, tokens float64) (dispatch.Reply, error) {
	reservation, err := s.reserve(call.Team, tokens, call.Deadline)
	if err != nil {
		return dispatch.Reply{}, err
	}
	ctx, cancel := context.WithDeadline(s.requestsCtx, call.Deadline)
	defer cancel()
	reply, err := s.Call(ctx, call)
	if reply.Replayed || (err != nil && refusal.From(err).NotRun) {
		tokens = 0
	}
	reservation.Settle(tokens)
	return reply, err
}

// newServiceCall returns the call as a copy, since the HTTP library reuses the
// memory of the request.
func (s *Server) newServiceCall(c fiber.Ctx, r *activeRequest) dispatch.Call {
	service, rest, found := strings.Cut(strings.TrimPrefix(c.Path(), "/services/"), "/")
	servicePath := "/"
	if found {
		servicePath += rest
	}
	return dispatch.Call{
		RequestID:      r.requestID,
		Service:        strings.Clone(service),
		Method:         strings.Clone(c.Method()),
		Path:           strings.Clone(servicePath),
		Query:          string(c.Request().URI().QueryString()),
		Header:         copyRequestHeaders(c),
		Body:           slices.Clone(c.Body()),
		IdempotencyKey: strings.Clone(c.Get(headerIdempotencyKey)),
	}
}

// decodePath percent-decodes a path for matching it to a route. It refuses paths
// that a service may interpret as a different path: those with empty or dot
// segments, encoded slashes or backslashes.
func decodePath(encoded string) (string, error) {
	decoded, err := url.PathUnescape(encoded)
	if err != nil {
		return "", refusal.NotRun(refusal.CodeInvalidRequest, "the path cannot be decoded").WithField("path")
	}
	trimmed := strings.TrimSuffix(decoded, "/")
	switch {
	case strings.Count(decoded, "/") != strings.Count(encoded, "/"), strings.Contains(decoded, "\\"):
		return "", refusal.NotRun(refusal.CodeInvalidRequest, "the path holds an encoded slash or a backslash").WithField("path")
	case trimmed != "" && path.Clean(trimmed) != trimmed:
		return "", refusal.NotRun(refusal.CodeInvalidRequest, "the path holds an empty or dot segment").WithField("path")
	}
	return decoded, nil
}

// checkRouteAccess refuses a route that the team may not use.
func checkRouteAccess(route release.Route, teamName string) error {
	if route.Open || len(route.Teams) == 0 || slices.Contains(route.Teams, teamName) {
		return nil
	}
	return refusal.NotRun(refusal.CodeForbidden, "this team may not use this route")
}

// checkServiceCall refuses a call whose idempotency key is too long, or that
// would leak a key to the service.
func checkServiceCall(call dispatch.Call, leaks keyLeakChecker) error {
	if len(call.IdempotencyKey) > maxIdempotencyKeyBytes {
		return refusal.NotRun(refusal.CodeInvalidRequest, "longer than %d bytes", maxIdempotencyKeyBytes).WithField(headerIdempotencyKey)
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

// writeReply writes the reply of a service as the response.
func writeReply(c fiber.Ctx, reply dispatch.Reply) error {
	for _, h := range reply.Header {
		if slices.Contains(forwardedReplyHeaders, strings.ToLower(h.Name)) {
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
