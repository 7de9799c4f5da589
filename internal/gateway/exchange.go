package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"heatherrelay/internal/connection"
	"heatherrelay/internal/crash"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/memory"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/upstream"
)

const (
	// clientPollInterval is the time between checks whether a waiting client is
	// still connected.
	clientPollInterval = 150 * time.Millisecond
	// defaultDeadline applies to requests that state no deadline; the timeout of
	// the route may shorten it.
	defaultDeadline = 30 * time.Second
)

// exchange is one request of a client, from its arrival to the last byte of the
// response. It is used by one goroutine at a time.
type exchange struct {
	server *Server
	client *fasthttp.RequestCtx
	// clientConn is the client's connection once the exchange watches it. The HTTP library
	// uses client again for other requests after the handler returned.
	clientConn *net.TCPConn
	request    *upstream.Request
	startedAt  time.Time

	// configuration is the one that admitted the request. Later ones do not change where
	// it may go.
	configuration *deployment.Configuration
	route         deployment.Route
	service       string
	// software is the version that the stream is bound to.
	software softwareVersion
	team     *deployment.Team
	keyHash  deployment.KeyHash
	// digest identifies the request over its repeats; empty before its team is known.
	digest string
	cost   float64
	// allowanceWait is how long the exchange waits for its team's allowance before it is
	// delivered; zero if the cost was deducted.
	allowanceWait time.Duration
	// deadline is the client's deadline (the default if the request states none) or
	// the end of the route's timeout, whichever is earlier.
	deadline time.Time

	ctx        context.Context
	cancel     context.CancelCauseFunc
	finishOnce sync.Once
	// answering is set when a target has sent an event.
	answering atomic.Bool
	// charge is what the instance holds of the request's body. writing is set while a large
	// response is written after the handler returned; its end releases the responses.
	charge  *memory.Charge
	writing bool
	// streaming is set while the response is being forwarded after the handler
	// returned.
	streaming bool
	// competing is what is known of a request that competes for the engines of its service.
	competing competing

	delivery
}

// admitHead finds the route and the team, and checks the stated size of the body and the
// key. It returns a refusal if the request is not admitted, whatever its body.
func (e *exchange) admitHead() *refusal.Error {
	configuration := e.server.Catalog.Configuration()
	if configuration == nil {
		return refusal.NotRun(refusal.CodeNotReady, "no configuration is known yet").WithRetryAfter(retrySoon)
	}
	route := configuration.Route(e.request.Host, e.request.Path)
	if route == nil {
		return e.refuseUnknown(refusal.CodeUnknownRoute, "no route for host and path")
	}
	e.configuration, e.route = configuration, *route
	e.service = pickService(route)
	if length, limit := e.bodyLength(), e.bodyLimit(); length > limit {
		return refusal.NotRun(refusal.CodeBodyTooLarge, "body of %d bytes, allowed are %d", length, limit)
	}
	e.team, e.keyHash = nil, deployment.KeyHash{}
	if configuration.NeedsKeys() && !route.Anonymous {
		return e.admitKey(configuration)
	}
	return nil
}

// admit checks whether the request crashes targets, and the team's allowance, once its body
// is read. It returns a refusal if the request is not admitted. What has changed while the body
// was read applies.
func (e *exchange) admit() *refusal.Error {
	if refused := e.checkLeaving(); refused != nil {
		return refused
	}
	if e.server.Catalog.Configuration() != e.configuration {
		if refused := e.admitHead(); refused != nil {
			return refused
		}
	}
	e.setDeadline()
	if refused := e.checkEndsInTime(); refused != nil {
		return refused
	}
	e.setDigest()
	if refused := e.checkBlocked(); refused != nil || e.team == nil {
		return refused
	}
	return e.admitCost()
}

// setDigest sets the digest of the request. Its team must be known.
func (e *exchange) setDigest() {
	team := ""
	if e.team != nil {
		team = e.team.Name
	}
	e.digest = crash.RequestDigest(team, e.request.Host, e.request.URI, e.request.Body)
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

// refuseUnknown refuses a request for a route or key that the configuration lacks.
// If the configuration may be stale, the refusal has the code for stale keys
// instead, since a newer configuration may have the route or key.
func (e *exchange) refuseUnknown(code refusal.Code, message string) *refusal.Error {
	if age, ok := e.server.Catalog.ConfigurationAge(); !ok || age > staleConfigurationAge {
		return refusal.NotRun(refusal.CodeKeysStale, "%s, but the configuration is not confirmed", message).WithRetryAfter(retrySoon)
	}
	return refusal.NotRun(code, "%s", message)
}

// admitKey finds the key's team.
func (e *exchange) admitKey(configuration *deployment.Configuration) *refusal.Error {
	e.keyHash = deployment.HashKey([]byte(e.request.Key))
	team := configuration.TeamByKey[e.keyHash]
	if team == nil {
		return e.refuseUnknown(refusal.CodeUnauthenticated, "unknown key")
	}
	e.team = team
	return e.checkKey()
}

// checkKey refuses the request if its key was withdrawn or if the configuration
// was confirmed too long ago. It runs right before each attempt, so that an
// instance whose machine was suspended notices that its configuration is stale.
func (e *exchange) checkKey() *refusal.Error {
	if e.team == nil {
		return nil
	}
	age, ok := e.server.Catalog.ConfigurationAge()
	if !ok || age > e.server.KeyLimit {
		return refusal.NotRun(refusal.CodeKeysStale, "keys are not confirmed").WithRetryAfter(retrySoon)
	}
	if configuration := e.server.Catalog.Configuration(); configuration.TeamByKey[e.keyHash] == nil {
		return e.refuseUnknown(refusal.CodeUnauthenticated, "key withdrawn")
	}
	return nil
}

// remaining returns the time left until the deadline.
func (e *exchange) remaining() time.Duration { return e.deadline.Sub(e.server.Now()) }

// watchClient starts a goroutine that cancels the exchange when the client closes
// its connection, the deadline passes, the instance ends, or the request turns out to crash
// targets before one has begun to answer.
func (e *exchange) watchClient() {
	ctx, cancel := context.WithCancelCause(context.Background())
	e.ctx, e.cancel, e.clientConn = ctx, cancel, clientTCP(e.client.Conn())
	go func() {
		ticker := time.NewTicker(clientPollInterval)
		defer ticker.Stop()
		deadline := time.NewTimer(max(e.remaining(), 0))
		defer deadline.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-deadline.C:
				cancel(errDeadline)
				return
			case <-e.server.aborted.done():
				cancel(errShutdown)
				return
			case <-ticker.C:
				if e.clientLeft() {
					cancel(errClientGone)
					return
				}
				if e.becameBlocked() {
					cancel(errBlocked)
					return
				}
			}
		}
	}()
}

// clientLeft reports whether the client has closed its connection. A hedge has no client of its
// own.
func (e *exchange) clientLeft() bool {
	return e.clientConn != nil && connection.Peek(e.clientConn) == connection.Closed
}

// finish releases what the exchange holds. It has no effect while the response is
// still being streamed; stream.Close calls it again after that.
func (e *exchange) finish() {
	if e.streaming {
		return
	}
	e.finishOnce.Do(func() {
		if e.cancel != nil {
			e.cancel(nil)
		}
		e.tracked.end()
		e.charge.Close()
		if !e.writing {
			e.responses.Release()
		}
		e.server.Metrics.inFlight.Add(-1)
	})
}

// refuse answers the client with a refusal. If the request did not run, its cost
// is returned to the team's allowance.
func (e *exchange) refuse(r *refusal.Error) {
	if r.NotRun && e.cost > 0 {
		e.server.Meter.Refund(e.team, e.cost)
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
	e.client.Response.SetBodyString(marshalRefusal(r))
	e.logOutcome("refused", zap.String("code", string(r.Code)), zap.String("reason", r.Message), zap.Bool("not_run", r.NotRun),
		zap.Duration("retry_after", r.RetryAfter), zap.Error(r.Cause))
	e.server.Metrics.countRefusal(r.Code)
}

// logOutcome logs the outcome of the request together with the state that decided
// it.
func (e *exchange) logOutcome(outcome string, fields ...zap.Field) {
	s := e.server
	age, confirmed := s.Catalog.ConfigurationAge()
	var version uint64
	if configuration := s.Catalog.Configuration(); configuration != nil {
		version = configuration.Version
	}
	attempts, _ := e.counts()
	allFields := []zap.Field{
		zap.String("route", e.route.Name), zap.String("service", e.service),
		zap.Uint64("configuration", version), zap.Duration("configuration_age", age), zap.Bool("confirmed", confirmed),
		zap.Int("sends", attempts), zap.Strings("trail", e.steps()), zap.Duration("after", s.Now().Sub(e.startedAt)),
	}
	if e.request != nil {
		allFields = append(allFields, zap.String("request_id", e.request.ID), zap.String("model", e.request.Adapter.Model),
			zap.String("adapter", e.request.Adapter.Adapter), zap.Strings("prompt_parts", e.request.PromptParts), zap.String("request_digest", e.digest))
		if e.request.LastEventID != "" {
			allFields = append(allFields, zap.String("resumes", e.request.ResumedID), zap.String("origin_source", string(e.software.source)), zap.String("versions_confirmed_by", string(e.software.confirmedBy)))
		}
	}
	if !e.sentAt.IsZero() {
		allFields = append(allFields, zap.Duration("choice_age", e.choiceAge))
	}
	if e.response != nil && e.response.Limited {
		allFields = append(allFields, zap.Float64("target_limit", e.response.RequestsPerSecond))
	}
	allFields = append(allFields, e.cached.fields()...)
	if e.team != nil {
		allFields = append(allFields, zap.String("team", e.team.Name), zap.Float64("cost", e.cost))
	}
	s.Log.Info(outcome, append(allFields, fields...)...)
}
