package entry

import (
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// The page sizes of the list of models.
const (
	defaultPageModels = 100
	maxPageModels     = 1000
)

// modelsBody is one page of the adapters that a team may use.
type modelsBody struct {
	Object  string      `json:"object"`
	Data    []modelBody `json:"data"`
	HasMore bool        `json:"has_more"`
	// NextAfter is the after of the next page; empty on the last.
	NextAfter string `json:"next_after,omitempty"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists what the caller's team may use: ?after=ID&limit=N.
func (s *Server) models(c fiber.Ctx, r *caller) error {
	state, err := s.state()
	if err != nil {
		return err
	}
	if err := s.identify(c, r, state, false); err != nil {
		return err
	}
	limit, err := pageLimit(c.Query("limit"))
	if err != nil {
		return err
	}
	page := state.AdaptersAfter(strings.Clone(c.Query("after")), limit+1, r.team)
	return c.JSON(newModelsBody(page, limit))
}

func pageLimit(text string) (int, error) {
	if text == "" {
		return defaultPageModels, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxPageModels {
		return 0, refusal.NotRun(refusal.CodeInvalidRequest, "limit must be a whole number from 1 to %d", maxPageModels).At("limit")
	}
	return limit, nil
}

// newModelsBody returns the page; one adapter beyond limit says that more follow.
func newModelsBody(adapters []release.Adapter, limit int) modelsBody {
	more := len(adapters) > limit
	adapters = adapters[:min(limit, len(adapters))]
	body := modelsBody{Object: "list", Data: make([]modelBody, 0, len(adapters)), HasMore: more}
	for _, a := range adapters {
		body.Data = append(body.Data, modelBody{ID: a.ID(), Object: "model", OwnedBy: a.BaseModel})
	}
	if more {
		body.NextAfter = body.Data[len(body.Data)-1].ID
	}
	return body
}
