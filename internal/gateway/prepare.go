package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/upstream"
	"heatherrelay/internal/wait"
)

// copyTimeout bounds the load of a further copy that no request waits for.
const copyTimeout = 2 * time.Second

// prepare chooses the target and has the adapter loaded there. A nil send
// without refusal asks for another round.
func (e *exchange) prepare() (*upstream.Send, *refusal.Error) {
	service := e.server.Catalog.Configuration().Services[e.service]
	if service == nil {
		return nil, refusal.NotRun(refusal.CodeNoTarget, "service %s is not configured", e.service).After(retrySoon)
	}
	if service.Engine != nil && e.request.Adapter.Model != "" {
		return e.prepareEngine(service)
	}
	return e.preparePlain(service)
}

// send returns how the request goes to a target.
func (e *exchange) send(target deployment.Target) *upstream.Send {
	e.target = target
	s := &upstream.Send{
		Target:      target.ID,
		Deadline:    e.left(),
		Priority:    e.route.Priority,
		LastEventID: e.lastEvent,
	}
	if e.team != nil {
		s.Team = e.team.Name
		if e.team.Priority != nil {
			s.Priority = *e.team.Priority
		}
	}
	if e.route.Repeatable() && e.runs+1 < e.route.MaxAttempts {
		switch e.route.Kind {
		case deployment.Streaming:
			s.ReadTimeout = firstEventLimit
		case deployment.Idempotent:
			s.ReadTimeout = max(time.Duration(repeatShare*float64(e.left())), e.route.Objective)
		}
	}
	return s
}

// prepareEngine chooses an engine; if the adapter is not there it is loaded.
func (e *exchange) prepareEngine(service *deployment.Service) (*upstream.Send, *refusal.Error) {
	s := e.server
	want := placement.Want{
		Adapter:    e.request.Adapter,
		Version:    s.Catalog.Version(e.request.Adapter),
		Tokens:     e.request.PromptTokens + e.request.OutputTokens,
		Zone:       s.Zone,
		Repeatable: e.route.Repeatable(),
		Random:     rand.IntN,
		Now:        s.Now(),
	}
	candidates := e.engines(service)
	want.Copies = s.Demand.Copies(want.Adapter, len(candidates))
	choice, ok := placement.Choose(want, candidates)
	if !ok {
		return nil, refusal.NotRun(refusal.CodeNoTarget, "no engine can take the request").After(retrySoon)
	}
	if choice.Delay > longestStart {
		return nil, refusal.NotRun(refusal.CodeOverloaded, "all engines are busy").After(choice.Delay / 2)
	}
	target := candidates[choice.Index].Target
	e.expected = choice.Delay
	if choice.NeedsLoad {
		result := s.Network.Load(e.ctx, e.request.ID, target, want.Adapter, want.Version)
		e.note("load", target.ID, result.String())
		if result != placement.Ready {
			e.passedOver[target.ID] = true
			return nil, nil
		}
	}
	if choice.Copy >= 0 {
		e.copyAdapter(candidates[choice.Copy].Target, want)
	}
	send := e.send(target)
	if !e.awaitAdapter(target, want, send) {
		return nil, nil
	}
	if s.Pauses.Frequent() {
		e.pacePrompt(target, send)
	}
	return send, nil
}

// pacePrompt keeps the prompt back until the engine has read those before it.
func (e *exchange) pacePrompt(target deployment.Target, send *upstream.Send) {
	delay := e.server.Network.ReservePrompt(e.ctx, target, e.request.PromptTokens)
	if delay > 0 {
		e.note("pace", target.ID, delay.String())
		// The wait ends early only when the exchange does, which the send finds out.
		_ = wait.Sleep(e.ctx, delay)
	}
	send.Deadline = e.left()
}

// copyAdapter has a further copy of an adapter loaded, for later requests. It
// does not wait.
func (e *exchange) copyAdapter(target deployment.Target, want placement.Want) {
	s := e.server
	if !s.Demand.MayCopy(want.Adapter) {
		return
	}
	e.note("copy", target.ID, "asked")
	go func(id string) {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		result := s.Network.Load(ctx, id, target, want.Adapter, want.Version)
		s.Log.Info("copy of an adapter asked for", zap.String("request_id", id), targetField(target.ID),
			zap.String("adapter", want.Adapter.Adapter), zap.Float64("copies_wanted", want.Copies), zap.Stringer("result", result))
	}(e.request.ID)
}

// awaitAdapter waits until an adapter that is on its way should be there.
func (e *exchange) awaitAdapter(target deployment.Target, want placement.Want, send *upstream.Send) bool {
	if want.Adapter.Adapter == "" {
		return true
	}
	resident, ok := e.server.Directory.Resident(&target, want.Adapter)
	if !ok {
		return false
	}
	send.AdapterVersion = max(want.Version, resident.Version)
	left := resident.ReadyAt.Sub(e.server.Now())
	e.awaited = left > 0
	if left <= 0 {
		return true
	}
	left += readyMargin
	e.server.Metrics.loadWait.Observe(left.Seconds())
	if wait.Sleep(e.ctx, left) != nil {
		return false
	}
	send.Deadline = e.left()
	return true
}

// zoneOrders says whether and how soon adapters can be loaded in a zone, and how
// many engines it has.
type zoneOrders struct {
	waiting int
	ok      bool
	engines int
}

func (e *exchange) zoneOrders(service *deployment.Service) map[string]zoneOrders {
	zones := map[string]zoneOrders{}
	for _, t := range e.server.Catalog.Targets() {
		if t.Service != service.Name {
			continue
		}
		z, known := zones[t.Zone]
		if !known {
			z.waiting, z.ok = e.server.Network.Orders(t.Zone)
		}
		z.engines++
		zones[t.Zone] = z
	}
	return zones
}

// candidates returns the service's targets that the request may still be sent to.
func (e *exchange) candidates(service *deployment.Service) []placement.Candidate {
	s := e.server
	var candidates []placement.Candidate
	for id, t := range s.Catalog.Targets() {
		if t.Service != service.Name || t.Draining || e.passedOver[id] {
			continue
		}
		candidates = append(candidates, placement.Candidate{
			Target:     t,
			Use:        s.Network.Use(id),
			Health:     s.Detector.Health(id),
			ErrorShare: s.Detector.ErrorShare(id),
			Slots:      t.Slots,
		})
	}
	return candidates
}

// engines returns the service's engines as candidates.
func (e *exchange) engines(service *deployment.Service) []placement.Candidate {
	directory := e.server.Directory
	zones := e.zoneOrders(service)
	candidates := e.candidates(service)
	for i := range candidates {
		c := &candidates[i]
		zone := zones[c.Zone]
		c.Slots, c.Memory = service.Engine.Slots, service.Engine.MemoryTokens
		c.HasModel = directory.HoldsModel(&c.Target, e.request.Adapter.Model)
		c.Warm = directory.Warm(&c.Target, e.request.Adapter)
		c.Orderable, c.ColdWait = zone.ok, placement.ColdWait(zone.waiting, zone.engines)
		if r, ok := directory.Resident(&c.Target, e.request.Adapter); ok {
			c.Resident = &r
		}
	}
	return candidates
}

// preparePlain chooses the target of a plain service.
func (e *exchange) preparePlain(service *deployment.Service) (*upstream.Send, *refusal.Error) {
	candidates := e.candidates(service)
	index, ok := placement.ChoosePlain(candidates, e.server.Zone, e.route.Repeatable())
	if !ok {
		return nil, refusal.NotRun(refusal.CodeNoTarget, "no target can take the request").After(retrySoon)
	}
	return e.send(candidates[index].Target), nil
}
