package configcheck

import (
	"fmt"

	"heatherrelay/internal/deployment"
)

// checkServices checks that each service is used and that its engines hold what they serve.
func (c *checker) checkServices() {
	used := map[string]bool{}
	for _, r := range c.draft.Routes {
		for _, b := range r.Backends {
			used[b.Service] = true
		}
	}
	seen := map[string]string{}
	for _, s := range c.draft.Services {
		if first, ok := seen[s.Name]; ok {
			c.add(SeverityError, "repeated_service", s.Place, fmt.Sprintf("replaces service %q of %s", s.Name, first))
		}
		seen[s.Name] = s.Path
		if !used[s.Name] {
			c.add(SeverityWarning, "unused_service", s.Place, fmt.Sprintf("no route sends to service %q", s.Name))
		}
		if s.MaxConnections < 0 {
			c.add(SeverityError, "negative_limit", s.Place, fmt.Sprintf("allows %d connections", s.MaxConnections))
		}
		if s.Engine != nil {
			c.checkEngine(&s)
		}
	}
}

func (c *checker) checkEngine(s *Service) {
	e := s.Engine
	if e.Slots < 0 || e.KVCacheTokens < 0 || e.AdapterSlots < 0 || e.MaxWeightsMB < 0 || e.ModelLoadsPerSecond < 0 {
		c.add(SeverityError, "negative_limit", s.Place, "describes engines with a negative limit")
	}
	if e.Slots > 0 && e.KVCacheTokens > 0 && e.KVCacheTokens < e.Slots {
		c.add(SeverityError, "memory_under_slots", s.Place, fmt.Sprintf("has memory for %d tokens and runs %d requests at once", e.KVCacheTokens, e.Slots))
	}
	if len(e.Models) == 0 {
		c.add(SeverityError, "no_models", s.Place, "has engines without a model")
	}
	names := map[string]bool{}
	for _, m := range e.Models {
		if names[m.Name] {
			c.add(SeverityError, "repeated_model", s.Place, fmt.Sprintf("lists model %q twice", m.Name))
		}
		names[m.Name] = true
		c.checkModel(s, m)
	}
}

// checkModel checks that an engine holds the model, an adapter of it, and as many adapters as
// it has slots.
func (c *checker) checkModel(s *Service, m deployment.Model) {
	e := s.Engine
	if e.MaxWeightsMB <= 0 {
		return
	}
	left := e.MaxWeightsMB - m.WeightsMB
	switch {
	case left < 0:
		c.add(SeverityError, "model_too_large", s.Place, fmt.Sprintf("model %q has %.0f MB, an engine holds %.0f", m.Name, m.WeightsMB, e.MaxWeightsMB))
	case m.AdapterWeightMB > left && e.AdapterSlots > 0:
		c.add(SeverityError, "adapter_too_large", s.Place, fmt.Sprintf("adapters of model %q have %.0f MB, beside the model %.0f are left", m.Name, m.AdapterWeightMB, left))
	case m.AdapterWeightMB*float64(e.AdapterSlots) > left:
		c.add(SeverityWarning, "slots_over_weights", s.Place, fmt.Sprintf("beside model %q %d of %d adapters fit", m.Name, int(left/m.AdapterWeightMB), e.AdapterSlots))
	case m.AdapterWeightMB > 0 && e.AdapterSlots == 0:
		c.add(SeverityWarning, "no_adapter_slots", s.Place, fmt.Sprintf("model %q has adapters, the engines have no slots for them", m.Name))
	}
}
