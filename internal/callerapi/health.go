package callerapi

import (
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"heatherrelay/internal/refusal"
)

// handleLive is the liveness probe; it always succeeds.
func (s *Server) handleLive(c fiber.Ctx) error { return c.SendString("ok\n") }

// handleReady is the readiness probe: it fails while this instance is shutting down
// or not ready, so that no new requests are routed here.
func (s *Server) handleReady(c fiber.Ctx) error {
	if s.draining.Load() {
		return writeRefusal(c, uuid.NewString(), refusal.NotRun(refusal.CodeShuttingDown, "this instance is leaving"))
	}
	if err := s.CheckReady(); err != nil {
		e := refusal.NotRun(refusal.CodeNotReady, "%s", err.Error())
		return writeRefusal(c, uuid.NewString(), e.WithRetryAfter(time.Second))
	}
	return c.SendString("ok\n")
}
