// Package gateway takes the requests of clients and passes each on to a target:
// route, key, allowance, choice of the target, and the whole answer back.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/load"
	"heatherrelay/internal/outlier"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/quota"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/retry"
	"heatherrelay/internal/upstream"
	"heatherrelay/internal/wait"
)

// The bounds of connections from clients.
const (
	maxBodyBytes   = 8 << 20
	headerBytes    = 20 << 10
	readTimeout    = 20 * time.Second
	idleTimeout    = 75 * time.Second
	drainPollEvery = 50 * time.Millisecond
	// lastAdmission is how long a leaving instance still takes requests; what it
	// takes later may not end before the process does.
	lastAdmission = 2700 * time.Millisecond
)

// Server answers clients. Set the exported fields before Serve.
type Server struct {
	// Zone is this instance's availability zone.
	Zone string
	// KeyLimit is how long after its last confirmation a configuration still
	// vouches for keys.
	KeyLimit  time.Duration
	Catalog   *catalog.Catalog
	Network   *peer.Network
	Meter     *quota.Meter
	Budget    *retry.Budget
	Detector  *outlier.Detector
	Tracker   *load.Tracker
	Directory *placement.Directory
	Demand    *placement.Demand
	// Pauses tells whether prompts have to be paced.
	Pauses   placement.Pauses
	Upstream *upstream.Client
	// DecodeRequest reads a client's request; EncodeRefusal writes the fields of
	// an answer of this instance's own.
	DecodeRequest func(header *fasthttp.RequestHeader, body []byte) (*upstream.Request, error)
	EncodeRefusal func(header *fasthttp.ResponseHeader, requestID string, retryAfter time.Duration)
	// Leaving returns how long the instance has been shutting down; false when it
	// is not. Connections are closed after their answer then.
	Leaving func() (time.Duration, bool)
	Metrics *Metrics
	Now     func() time.Time
	Log     *zap.Logger
}

// Serve answers clients on a listener until that is closed.
func (s *Server) Serve(listener net.Listener) error {
	server := &fasthttp.Server{
		Handler:                       s.handle,
		MaxRequestBodySize:            maxBodyBytes,
		ReadBufferSize:                headerBytes,
		ReadTimeout:                   readTimeout,
		IdleTimeout:                   idleTimeout,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: true,
		Logger:                        discard{},
	}
	return server.Serve(listener)
}

// discard drops the library's own lines: every request has a line of ours.
type discard struct{}

// Printf drops a line.
func (discard) Printf(string, ...any) {}

// Underway returns the number of requests that are being answered.
func (s *Server) Underway() int64 { return s.Metrics.underway.Load() }

// Drain waits until no request is under way, or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	for s.Underway() > 0 {
		if wait.Sleep(ctx, drainPollEvery) != nil {
			return
		}
	}
}

// handle answers one request.
func (s *Server) handle(c *fasthttp.RequestCtx) {
	startedAt := s.Now()
	s.Metrics.underway.Add(1)
	request, err := s.DecodeRequest(&c.Request.Header, c.Request.Body())
	e := &exchange{server: s, client: c, request: request, startedAt: startedAt}
	defer e.leave()
	leavingFor, leaving := s.Leaving()
	if leaving {
		c.SetConnectionClose()
	}
	c.Response.Header.DisableNormalizing()
	if err != nil {
		e.refuse(invalidRequest(err))
		return
	}
	if leaving && leavingFor > lastAdmission {
		e.refuse(refusal.NotRun(refusal.CodeShuttingDown, "the instance shuts down").After(retryElsewhere))
		return
	}
	if refused := e.admit(); refused != nil {
		e.refuse(refused)
		return
	}
	e.deliver()
}

// pickService returns the service that takes a request of a route.
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
