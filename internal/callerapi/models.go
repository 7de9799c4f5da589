package callerapi

import (
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// Page sizes of the model list.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// modelsBody is one page of the adapters that a team may use.
type modelsBody struct {
	Object  string      `json:"object"`
	Data    []modelBody `json:"data"`
	HasMore bool        `json:"has_more"`
	// NextAfter is the after parameter of the next page; empty on the last page.
	NextAfter string `json:"next_after,omitempty"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the adapters that the caller's team may use, page by page:
// ?after=ID&limit=N.
func (s *Server) handleModels(c fiber.Ctx, r *activeRequest) error {
	state, err := s.releaseState()
	if err != nil {
		return err
	}
	if err := s.authenticate(c, r, state, false); err != nil {
		return err
	}
	limit, err := parsePageLimit(c.Query("limit"))
	if err != nil {
		return err
	}
	page := state.AdaptersAfter(strings.Clone(c.Query("after")), limit+1, r.team)
	return c.JSON(newModelsBody(page, limit))
}

// parsePageLimit parses the limit parameter; empty means the default page size.
func parsePageLimit(text string) (int, error) {
	if text == "" {
		return defaultPageSize, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxPageSize {
		return 0, refusal.NotRun(refusal.CodeInvalidRequest, "limit must be a whole number from 1 to %d", maxPageSize).WithField("limit")
	}
	return limit, nil
}

// newModelsBody returns a page of at most limit adapters. Callers fetch one more
// than limit, which shows whether another page follows.
func newModelsBody(adapters []release.Adapter, limit int) modelsBody {
	hasMore := len(adapters) > limit
	adapters = adapters[:min(limit, len(adapters))]
	body := modelsBody{Object: "list", Data: make([]modelBody, 0, len(adapters)), HasMore: hasMore}
	for _, a := range adapters {
		body.Data = append(body.Data, modelBody{ID: a.ID(), Object: "model", OwnedBy: a.BaseModel})
	}
	if hasMore {
		body.NextAfter = body.Data[len(body.Data)-1].ID
	}
	return body
}
