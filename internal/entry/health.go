package entry

import (
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"heatherrelay/internal/refusal"
)

// live answers while the process serves at all.
func (s *Server) live(c fiber.Ctx) error { return c.SendString("ok\n") }

// ready answers whether new callers should be sent here.
func (s *Server) ready(c fiber.Ctx) error {
	if s.draining.Load() {
		return writeRefusal(c, uuid.NewString(), refusal.NotRun(refusal.CodeShuttingDown, "this instance is leaving"))
	}
	if err := s.Ready(); err != nil {
		e := refusal.NotRun(refusal.CodeNotReady, "%s", err.Error())
		return writeRefusal(c, uuid.NewString(), e.After(time.Second))
	}
	return c.SendString("ok\n")
}
