package callerapi

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// Names of the request and response headers, and the authorization scheme in
// lower case.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotency-Replayed"
	headerBodyNotKept    = "Idempotency-Body-Not-Kept"
	bearerScheme         = "bearer "
)

// activeRequest holds the state of one request being served. It does not
// reference memory that the HTTP library reuses, so it may outlive the handler.
type activeRequest struct {
	requestID string
	started   time.Time
	// team is empty on an open route without a key.
	team string
	// token is the caller's bearer token, kept only to check that the request
	// does not leak it to a target.
	token string
	// kind and class are those of the route; empty until it is known.
	kind  release.RouteKind
	class release.Class
	// tokens is the number of tokens requested from the team's allowance.
	tokens float64
	// firstToken is the time from the start of the request to its first token;
	// zero before that.
	firstToken time.Duration
	// streaming is set when a stream outlives the handler; the stream then calls
	// onEnd.
	streaming bool
	// onEnd records the outcome of the request. It is called once.
	onEnd func(err error)
}

// newActiveRequest assigns the request an ID, returns the ID in a header and sets
// the initial write deadline.
func newActiveRequest(c fiber.Ctx, timeout time.Duration) *activeRequest {
	r := &activeRequest{requestID: uuid.NewString(), started: time.Now()}
	c.Set(headerRequestID, r.requestID)
	setWriteDeadline(c, r.started.Add(timeout+writeMargin))
	return r
}

// setWriteDeadline sets the write deadline of the caller's connection.
func setWriteDeadline(c fiber.Ctx, deadline time.Time) {
	if conn := c.RequestCtx().Conn(); conn != nil {
		_ = conn.SetWriteDeadline(deadline)
	}
}

// finish records the outcome of the request, unless a stream does so later.
func (r *activeRequest) finish(err error) {
	if !r.streaming {
		r.onEnd(err)
	}
}

// recordFirstToken sets firstToken on the first call.
func (r *activeRequest) recordFirstToken() {
	if r.firstToken == 0 {
		r.firstToken = time.Since(r.started)
	}
}

// refuse writes a refusal as the complete response.
func (r *activeRequest) refuse(c fiber.Ctx, e *refusal.Error) error {
	return writeRefusal(c, r.requestID, e)
}

// bearerToken returns a copy of the token in the Authorization header, or "" if
// the header holds no bearer token.
func bearerToken(c fiber.Ctx) string {
	header := c.Get(fiber.HeaderAuthorization)
	if len(header) < len(bearerScheme) || !strings.EqualFold(header[:len(bearerScheme)], bearerScheme) {
		return ""
	}
	return strings.Clone(strings.TrimSpace(header[len(bearerScheme):]))
}

// releaseState returns the state of the releases in force, or a refusal if there
// is none yet.
func (s *Server) releaseState() (*release.State, error) {
	state := s.State()
	if state == nil {
		return nil, refusal.NotRun(refusal.CodeNotReady, "no release is in force here yet").WithRetryAfter(time.Second)
	}
	return state, nil
}

// authenticate checks the key of a request and sets r.token and r.team. On an
// open route the key may be missing, but an invalid key is refused there too.
func (s *Server) authenticate(c fiber.Ctx, r *activeRequest, state *release.State, open bool) error {
	r.token = bearerToken(c)
	if r.token == "" {
		if open {
			return nil
		}
		return refusal.NotRun(refusal.CodeUnauthenticated, "want the header Authorization: Bearer KEY")
	}
	key, err := s.Authenticate(state, r.token)
	if err != nil {
		return refusal.NotRun(refusal.CodeUnauthenticated, "the key is not valid")
	}
	if _, ok := state.Team(key.Team); !ok {
		return refusal.NotRun(refusal.CodeUnauthenticated, "the key's team does not exist")
	}
	if err := s.CheckKeysConfirmed(); err != nil && !open {
		return refusal.NotRun(refusal.CodeKeysStale, "keys cannot be confirmed at present").WithRetryAfter(time.Second).WithCause(err)
	}
	r.team = key.Team
	return nil
}
