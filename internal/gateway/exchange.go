package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"heatherrelay/internal/connection"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/quota"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/upstream"
)

const (
	// presenceInterval is the time between looks at whether a waiting client is
	// still there.
	presenceInterval = 150 * time.Millisecond
	// defaultDeadline applies to requests that state none, on routes without one.
	defaultDeadline = 30 * time.Second
)

// exchange is one request of a client from its first byte to the last of its
// answer. It is used by one goroutine at a time.
type exchange struct {
	server    *Server
	client    *fasthttp.RequestCtx
	request   *upstream.Request
	startedAt time.Time

	route   deployment.Route
	service string
	team    *deployment.Team
	keyHash deployment.KeyHash
	cost    float64
	// deadline is when the client, or the route, gives up.
	deadline time.Time

	ctx    context.Context
	cancel context.CancelCauseFunc
	leaver sync.Once
	// streams says that the answer is still being passed on after the handler.
	streams bool

	delivery
}

// admit checks the route, the key and the team's allowance.
func (e *exchange) admit() *refusal.Error {
	configuration := e.server.Catalog.Configuration()
	if configuration == nil {
		return refusal.NotRun(refusal.CodeNotReady, "no configuration is known yet").After(retrySoon)
	}
	route := configuration.Route(e.request.Host, e.request.Path)
	if route == nil {
		return e.unknown(refusal.CodeUnknownRoute, "no route for host and path")
	}
	e.route = *route
	e.service = pickService(route)
	if len(e.request.Body) > configuration.MaxBodyBytes && configuration.MaxBodyBytes > 0 {
		return refusal.NotRun(refusal.CodeTooLarge, "body of %d bytes, allowed are %d", len(e.request.Body), configuration.MaxBodyBytes)
	}
	e.setDeadline()
	if configuration.NeedsKeys() && !route.Anonymous {
		if refused := e.admitKey(configuration); refused != nil {
			return refused
		}
	}
	return nil
}

func (e *exchange) setDeadline() {
	limit := defaultDeadline
	if e.request.Deadline > 0 {
		limit = e.request.Deadline
	}
	if e.route.Timeout > 0 {
		limit = min(limit, e.route.Timeout)
	}
	e.deadline = e.startedAt.Add(limit)
}

// unknown refuses what the configuration does not have. An instance whose
// configuration may be old says that it cannot tell.
func (e *exchange) unknown(code refusal.Code, message string) *refusal.Error {
	if age, ok := e.server.Catalog.ConfigurationAge(); !ok || age > staleConfiguration {
		return refusal.NotRun(refusal.CodeStaleKeys, "%s, but the configuration is not confirmed", message).After(retrySoon)
	}
	return refusal.NotRun(code, "%s", message)
}

// admitKey finds the key's team and takes the request's cost from its allowance.
func (e *exchange) admitKey(configuration *deployment.Configuration) *refusal.Error {
	e.keyHash = deployment.HashKey([]byte(e.request.Key))
	team := configuration.TeamByKey[e.keyHash]
	if team == nil {
		return e.unknown(refusal.CodeUnauthenticated, "unknown key")
	}
	e.team = team
	if refused := e.checkKey(); refused != nil {
		return refused
	}
	cost := quota.Cost(team, e.request.CountsTokens, e.request.PromptTokens, e.request.OutputTokens)
	ok, wait := e.server.Meter.Admit(team, cost)
	if !ok {
		return refusal.NotRun(refusal.CodeRateLimited, "team over its rate: request of %.0f, level %.0f, rate %.0f, burst %.0f", cost, e.server.Meter.Level(team), team.RatePerSecond, team.Burst).After(wait)
	}
	e.cost = cost
	return nil
}

// checkKey says whether the key may be used now. It is asked right before each
// send: a machine that was suspended finds out here.
func (e *exchange) checkKey() *refusal.Error {
	if e.team == nil {
		return nil
	}
	age, ok := e.server.Catalog.ConfigurationAge()
	if !ok || age > e.server.KeyLimit {
		return refusal.NotRun(refusal.CodeStaleKeys, "keys are not confirmed").After(retrySoon)
	}
	if configuration := e.server.Catalog.Configuration(); configuration.TeamByKey[e.keyHash] == nil {
		return e.unknown(refusal.CodeUnauthenticated, "key withdrawn")
	}
	return nil
}

// left returns what is left of the client's time.
func (e *exchange) left() time.Duration { return e.deadline.Sub(e.server.Now()) }

// watch cancels the exchange when the client closes its connection or the time
// is over.
func (e *exchange) watch() {
	ctx, cancel := context.WithCancelCause(context.Background())
	e.ctx, e.cancel = ctx, cancel
	tcp, _ := e.client.Conn().(*net.TCPConn)
	go func() {
		ticker := time.NewTicker(presenceInterval)
		defer ticker.Stop()
		deadline := time.NewTimer(max(e.left(), 0))
		defer deadline.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-deadline.C:
				cancel(errDeadline)
				return
			case <-ticker.C:
				if tcp != nil && connection.Peek(tcp) == connection.Closed {
					cancel(errClientGone)
					return
				}
			}
		}
	}()
}

// leave ends the exchange after the handler, or after the stream.
func (e *exchange) leave() {
	if e.streams {
		return
	}
	e.leaver.Do(func() {
		if e.cancel != nil {
			e.cancel(nil)
		}
		e.ticket.end()
		e.server.Metrics.underway.Add(-1)
	})
}

// refuse answers with a refusal. A request that did not run costs its team nothing.
func (e *exchange) refuse(r *refusal.Error) {
	if r.NotRun && e.cost > 0 {
		e.server.Meter.Return(e.team, e.cost)
		e.cost = 0
	}
	h := &e.client.Response.Header
	id := ""
	if e.request != nil {
		id = e.request.ID
	}
	e.client.Response.SetStatusCode(r.Status())
	h.Set("Content-Type", "application/json")
	e.server.EncodeRefusal(h, id, r.RetryAfter)
	e.client.Response.SetBodyString(refusalBody(r))
	e.log("refused", zap.String("code", string(r.Code)), zap.String("reason", r.Message), zap.Bool("not_run", r.NotRun),
		zap.Duration("retry_after", r.RetryAfter), zap.Error(r.Cause))
	e.server.Metrics.refused(r.Code)
}

// log writes the line of the request's outcome, with what decided it.
func (e *exchange) log(outcome string, fields ...zap.Field) {
	s := e.server
	age, confirmed := s.Catalog.ConfigurationAge()
	var version uint64
	if configuration := s.Catalog.Configuration(); configuration != nil {
		version = configuration.Version
	}
	all := []zap.Field{
		zap.String("route", e.route.Name), zap.String("service", e.service),
		zap.Uint64("configuration", version), zap.Duration("configuration_age", age), zap.Bool("confirmed", confirmed),
		zap.Int("sends", e.sends), zap.Strings("trail", e.trail), zap.Duration("after", s.Now().Sub(e.startedAt)),
	}
	if e.request != nil {
		all = append(all, zap.String("request_id", e.request.ID), zap.String("model", e.request.Adapter.Model),
			zap.String("adapter", e.request.Adapter.Adapter))
	}
	if e.team != nil {
		all = append(all, zap.String("team", e.team.Name), zap.Float64("cost", e.cost))
	}
	s.Log.Info(outcome, append(all, fields...)...)
}
