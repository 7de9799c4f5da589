package entry

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// The names of headers that callers and instances exchange.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotency-Replayed"
	headerBodyNotKept    = "Idempotency-Body-Not-Kept"
	bearerScheme         = "bearer "
)

// caller is what is known of the request being served. It holds no memory of
// the HTTP library, so it may outlive the handler.
type caller struct {
	requestID string
	started   time.Time
	// team is empty on an open route without a key.
	team string
	// token is the caller's secret, kept only to see that it goes nowhere.
	token string
	// kind and class are those of the route, once it is known.
	kind  release.RouteKind
	class release.Class
	// tokens is what the request asked of its team's allowance.
	tokens     float64
	firstToken time.Duration
	// kept says that a stream goes on after the handler and will end the request.
	kept bool
	end  func(err error)
}

// newCaller names the request and bounds how long its answer may be written.
func newCaller(c fiber.Ctx, timeout time.Duration) *caller {
	r := &caller{requestID: uuid.NewString(), started: time.Now()}
	c.Set(headerRequestID, r.requestID)
	setWriteDeadline(c, r.started.Add(timeout+writeLeeway))
	return r
}

// setWriteDeadline bounds the time until which an answer can be written.
func setWriteDeadline(c fiber.Ctx, deadline time.Time) {
	if conn := c.RequestCtx().Conn(); conn != nil {
		_ = conn.SetWriteDeadline(deadline)
	}
}

// finish ends a request unless a stream goes on with it.
func (r *caller) finish(err error) {
	if !r.kept {
		r.end(err)
	}
}

// emitted notes the time of the first token.
func (r *caller) emitted() {
	if r.firstToken == 0 {
		r.firstToken = time.Since(r.started)
	}
}

// refuse writes a refusal as the whole answer.
func (r *caller) refuse(c fiber.Ctx, e *refusal.Error) error {
	return writeRefusal(c, r.requestID, e)
}

// bearer returns the token of the Authorization header, copied.
func bearer(c fiber.Ctx) string {
	header := c.Get(fiber.HeaderAuthorization)
	if len(header) < len(bearerScheme) || !strings.EqualFold(header[:len(bearerScheme)], bearerScheme) {
		return ""
	}
	return strings.Clone(strings.TrimSpace(header[len(bearerScheme):]))
}

// state returns the releases in force or a refusal.
func (s *Server) state() (*release.State, error) {
	state := s.State()
	if state == nil {
		return nil, refusal.NotRun(refusal.CodeNotReady, "no release is in force here yet").After(time.Second)
	}
	return state, nil
}

// identify checks the key that came with a request and sets r.team. On an open
// route a missing key is no error, but a wrong one is.
func (s *Server) identify(c fiber.Ctx, r *caller, state *release.State, open bool) error {
	r.token = bearer(c)
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
	if err := s.KeysConfirmed(); err != nil && !open {
		return refusal.NotRun(refusal.CodeStaleKeys, "keys cannot be confirmed at present").After(time.Second).Because(err)
	}
	r.team = key.Team
	return nil
}
