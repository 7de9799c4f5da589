// Package gateway receives the requests of clients and forwards each to a target.
// It resolves the route, checks the key and the team's allowance, selects the
// target, retries where the route allows it, and returns the target's response.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/crash"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/evacuation"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/memory"
	"heatherrelay/internal/origin"
	"heatherrelay/internal/outlier"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/promptcache"
	"heatherrelay/internal/quota"
	"heatherrelay/internal/retry"
	"heatherrelay/internal/speed"
	"heatherrelay/internal/throttle"
	"heatherrelay/internal/upstream"
)

// Limits on connections from clients, and times of the shutdown.
const (
	maxBodyBytes   = 8 << 20
	maxHeaderBytes = 20 << 10
	readTimeout    = 20 * time.Second
	idleTimeout    = 75 * time.Second
	// maxShutdownAdmission is how long a leaving instance still accepts requests at most,
	// shutdownAdmissionShare the part of DrainTimeout for which it does. Requests accepted
	// later might not finish before the process exits.
	maxShutdownAdmission   = 2700 * time.Millisecond
	shutdownAdmissionShare = 0.4
)

// Server serves the requests of clients. Set the exported fields before Serve.
type Server struct {
	// Zone is this instance's availability zone.
	Zone string
	// KeyLimit is the longest time since the configuration was last confirmed for
	// which its keys are still accepted.
	KeyLimit time.Duration
	Catalog  *catalog.Catalog
	Network  *peer.Network
	Meter    *quota.Meter
	Budget   *retry.Budget
	Detector *outlier.Detector
	// Crashes knows the requests and parts of prompts that crash targets, CrashDetector
	// finds the crashes.
	Crashes       *crash.Ledger
	CrashDetector *crash.Detector
	// Processes knows which processes of targets run, as far as they were met.
	Processes *origin.Processes
	// Limits holds the limits that targets state.
	Limits *throttle.Limiter
	// RegionOf holds the region of each zone.
	RegionOf map[string]string
	// Evacuations knows the zones whose targets get nothing.
	Evacuations *evacuation.Zones
	Tracker     *inflight.Tracker
	Directory   *placement.Directory
	Demand      *placement.Demand
	// PromptCache knows what engines still hold of prompts. CachesPrompts reports whether
	// engines of a service are chosen for that; if it is nil, none are.
	PromptCache   *promptcache.State
	CachesPrompts CachesPrompts
	// CompetesFor reports whether callers of a service compete by urgency for its engines;
	// nil if for none.
	CompetesFor func(configuration *deployment.Configuration, service string) bool
	// StreamPauses records whether streams paused for longer than their objective;
	// if many did, prompts are paced.
	StreamPauses placement.PauseMonitor
	// AssignsPrompts reports whether prompts for a service's engines are assigned by the
	// instance that holds the lease for them; nil means for none.
	AssignsPrompts func(configuration *deployment.Configuration, service string) bool
	// Speeds is what is known of the speeds of targets. WeighSpeeds reports whether those
	// of a service are compared by them; nil means that none are.
	Speeds      *speed.Book
	WeighSpeeds func(configuration *deployment.Configuration, service string) bool
	Upstream    *upstream.Client
	// Send sends a request to a target once, and returns the response once its head has
	// arrived.
	Send func(ctx context.Context, target deployment.Target, request *upstream.Request, attempt *upstream.Attempt) (*upstream.Response, error)
	// Forwarded returns the number of attempts that this instance carries out for peers.
	Forwarded func() int
	// Memory is charged for the bodies of requests and responses; nil means no bound.
	Memory *memory.Account
	// OnFailure is called when a target was silent or gave no complete response.
	OnFailure func(deployment.Target)
	// Availability records whether targets state that they take requests. The calls to
	// engines share it.
	Availability *upstream.Availability
	// DecodeRequest parses a client's request; EncodeRefusal sets the headers of a
	// refusal.
	DecodeRequest func(header *fasthttp.RequestHeader, body []byte) (*upstream.Request, error)
	EncodeRefusal func(header *fasthttp.ResponseHeader, requestID string, retryAfter time.Duration)
	// EventFields are the fields that events of streams may have beside the standard ones.
	EventFields []string
	// Leaving returns how long the instance has been shutting down, or false if it
	// is not. During shutdown each connection is closed after its response.
	Leaving func() (time.Duration, bool)
	// DrainTimeout is how long after the shutdown began requests may still run.
	DrainTimeout time.Duration
	Metrics      *Metrics
	// CutClients counts the clients that were cut since they did not take their responses,
	// ClosedConnections the connections that were closed since there are too many.
	CutClients, ClosedConnections atomic.Uint64
	Now                           func() time.Time
	Log                           *zap.Logger

	aborted     abortSignal
	connections activeConnections
	scarcity    scarcity
	promptRates promptRates
	admissions  admissions
}

// Serve serves clients on a listener until the listener is closed. Connections that
// cannot be accepted are logged and tried again.
func (s *Server) Serve(listener net.Listener) error {
	server := &fasthttp.Server{
		Handler:                       s.handle,
		ConnState:                     s.connections.observe,
		MaxRequestBodySize:            maxBodyBytes,
		StreamRequestBody:             true,
		DisablePreParseMultipartForm:  true,
		ReadBufferSize:                maxHeaderBytes,
		ReadTimeout:                   readTimeout,
		IdleTimeout:                   idleTimeout,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: true,
		Logger:                        discardLogger{},
	}
	return server.Serve(&retryingListener{Listener: &clientListener{Listener: listener, memory: s.Memory, cuts: &s.CutClients, closed: &s.ClosedConnections, log: s.Log}, log: s.Log})
}

// discardLogger drops the log lines of the HTTP library: the gateway logs every
// request itself.
type discardLogger struct{}

// Printf discards its arguments.
func (discardLogger) Printf(string, ...any) {}

// InFlight returns the number of requests whose responses are not completely written
// to their clients, and of attempts of peers.
func (s *Server) InFlight() int { return s.connections.count() + s.Forwarded() }

// handle serves one request.
func (s *Server) handle(c *fasthttp.RequestCtx) {
	request, err := s.DecodeRequest(&c.Request.Header, nil)
	e := &exchange{server: s, client: c, request: request, startedAt: s.Now()}
	e.progress = &progress{responses: memory.Hold{Account: s.Memory}}
	c.Response.Header.DisableNormalizing()
	refused := e.receive(err)
	s.Metrics.inFlight.Add(1)
	defer e.finish()
	if refused == nil {
		refused = e.admit()
	}
	if refused != nil {
		e.refuse(refused)
		return
	}
	setServing(c.Conn(), true)
	e.deliver()
}

// pickService returns a service of the route's backends, chosen at random by
// weight; empty if the route has none.
func pickService(route *deployment.Route) string {
	total := 0.0
	for _, b := range route.Backends {
		total += b.Weight
	}
	point := rand.Float64() * total
	for _, b := range route.Backends {
		if point -= b.Weight; point < 0 {
			return b.Service
		}
	}
	if len(route.Backends) == 0 {
		return ""
	}
	return route.Backends[len(route.Backends)-1].Service
}
