package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/speed"
	"heatherrelay/internal/throttle"
	"heatherrelay/internal/upstream"
	"heatherrelay/internal/wait"
)

// copyLoadTimeout bounds the load of an additional copy of an adapter, which no
// request waits for.
const copyLoadTimeout = 2 * time.Second

// prepareAttempt chooses a target and, if needed, has the adapter loaded there. If
// both results are nil, the chosen target cannot be used and the caller should
// select again.
func (e *exchange) prepareAttempt() (*upstream.Attempt, *refusal.Error) {
	e.resolveVersion()
	e.chosenAt = e.server.Now()
	service := e.configuration.Services[e.service]
	if service == nil {
		return nil, refusal.NotRun(refusal.CodeNoTarget, "service %s is not configured", e.service).WithRetryAfter(retrySoon)
	}
	if service.Engine != nil && e.request.Adapter.Model != "" {
		return e.prepareEngine(service)
	}
	return e.preparePlain(service)
}

// newAttempt makes target the current target and returns the parameters of the
// attempt. If the request can be retried after this attempt, a hedge starts when the
// target is silent.
func (e *exchange) newAttempt(target deployment.Target) *upstream.Attempt {
	e.target = target
	attempt := &upstream.Attempt{
		Target:      target.ID,
		Deadline:    e.remaining(),
		Priority:    e.engineRank(),
		Regions:     e.regions(),
		LastEventID: e.lastEventID,

		PossibleCauses: e.possibleCauses(),
	}
	if e.team != nil {
		attempt.Team = e.team.Name
	}
	if _, possibleRuns := e.counts(); possibleRuns+1 < e.route.MaxAttempts {
		attempt.Repeatable, attempt.Streaming = e.route.Repeatable(), e.route.Kind == deployment.Streaming
		attempt.Silence, attempt.OnSilence = e.silenceLimit(), e.startHedge
	}
	e.identify(attempt, target)
	return attempt
}

// priority returns the request's rank: its team's if that has one, or else its route's.
func (e *exchange) priority() int {
	if e.team != nil && e.team.Priority != nil {
		return *e.team.Priority
	}
	return e.route.Priority
}

// prepareEngine chooses an engine and has the adapter loaded there if the engine
// lacks it.
func (e *exchange) prepareEngine(service *deployment.Service) (*upstream.Attempt, *refusal.Error) {
	s := e.server
	request := placement.Request{
		Adapter:    e.request.Adapter,
		Version:    s.Catalog.NewestVersion(e.request.Adapter),
		Tokens:     e.request.PromptTokens + e.request.OutputTokens,
		Zone:       s.Zone,
		Priority:   e.priority(),
		Objective:  e.route.LatencyObjective,
		Remaining:  e.remaining(),
		Repeatable: e.route.Repeatable(),
		Random:     rand.IntN,
		Now:        s.Now(),

		PromptTokens: e.request.PromptTokens,
		GapObjective: e.route.GapObjective,
	}
	candidates := e.weighedCandidates(service, &request)
	candidates, choice, refused := e.admitToEngine(service, request, candidates)
	if refused != nil {
		return nil, refused
	}
	assigned := e.assignEngine(request, candidates, choice)
	choice = assigned.Choice
	target := candidates[choice.Index].Target
	e.expectedStart = choice.Delay
	e.recordCacheChoice(candidates, choice)
	e.beginSample(&candidates[choice.Index], speed.Start, startLoad(&candidates[choice.Index], &request))
	if choice.NeedsLoad {
		result := s.Network.LoadRanked(e.ctx, e.request.ID, target, request.Adapter, request.Version, e.loadRank())
		e.recordStep("load", target.ID, result.String())
		if result != placement.Ready {
			e.excluded[target.ID] = true
			return nil, nil
		}
	}
	if choice.CopyIndex >= 0 {
		e.requestCopy(candidates[choice.CopyIndex].Target, request)
	}
	attempt := e.newAttempt(target)
	if !e.waitForAdapter(target, request, attempt) {
		return nil, nil
	}
	e.pacePrompt(assigned, request, candidates, attempt)
	e.cached.setVersion(attempt)
	return attempt, nil
}

// requestCopy requests the load of an additional copy of an adapter, for later
// requests. It does not wait for the load.
func (e *exchange) requestCopy(target deployment.Target, request placement.Request) {
	s := e.server
	if !s.Demand.AllowCopy(request.Adapter) {
		return
	}
	e.recordStep("copy", target.ID, "asked")
	rank := e.loadRank()
	if e.competes() {
		rank = inflight.Ranks - 1
	}
	go func(id string) {
		ctx, cancel := context.WithTimeout(context.Background(), copyLoadTimeout)
		defer cancel()
		result := s.Network.LoadRanked(ctx, id, target, request.Adapter, request.Version, rank)
		s.Log.Info("copy of an adapter requested", zap.String("request_id", id), targetField(target.ID),
			zap.String("adapter", request.Adapter.Adapter), zap.Float64("copies_wanted", request.WantedCopies), zap.Stringer("result", result))
	}(e.request.ID)
}

// waitForAdapter sets the adapter version of the attempt. If the adapter is still
// loading on the target, it waits until the adapter should be ready. It returns
// false if the directory does not list the adapter on the target or if the exchange
// ends first.
func (e *exchange) waitForAdapter(target deployment.Target, request placement.Request, attempt *upstream.Attempt) bool {
	if request.Adapter.Adapter == "" {
		return true
	}
	resident, ok := e.server.Directory.Resident(&target, request.Adapter)
	if !ok {
		return false
	}
	attempt.AdapterVersion = max(request.Version, resident.Version)
	remaining := resident.ReadyAt.Sub(e.server.Now())
	e.waitedForLoad = remaining > 0
	if remaining <= 0 {
		return true
	}
	remaining += loadReadyMargin
	e.server.Metrics.loadWait.Observe(remaining.Seconds())
	if wait.Sleep(e.ctx, remaining) != nil {
		return false
	}
	attempt.Deadline = e.remaining()
	return true
}

// zoneLoadState describes the adapter loads in a zone.
type zoneLoadState struct {
	// waitingLoads is the number of loads that wait for the weight store.
	waitingLoads int
	// canLoad is set when the lease holder of the zone's engines can be reached.
	canLoad bool
	// engines is the number of the service's engines in the zone.
	engines int
}

// zoneLoadStates returns the load state of each zone in which the service has
// engines.
func (e *exchange) zoneLoadStates(service *deployment.Service) map[string]zoneLoadState {
	zones := map[string]zoneLoadState{}
	for _, t := range e.server.Catalog.Targets() {
		if t.Service != service.Name {
			continue
		}
		z, known := zones[t.Zone]
		if !known {
			z.waitingLoads, z.canLoad = e.server.Network.WaitingLoads(t.Zone)
		}
		z.engines++
		zones[t.Zone] = z
	}
	return zones
}

// candidates returns the service's targets that take requests, of this instance within
// the limits that they state, are not excluded for this request, and have the software
// version that its stream is bound to.
func (e *exchange) candidates(service *deployment.Service) []placement.Candidate {
	s := e.server
	var candidates []placement.Candidate
	withheld := e.newWithheld()
	for id, t := range s.Catalog.Targets() {
		if t.Service != service.Name || t.Draining || e.excluded[id] || !e.admits(t) || !s.Availability.Available(t) || withheld.skips(t) || withheld.limits(t, s.Limits.Wait(t)) {
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
	e.recordWithheld(withheld, len(candidates))
	return candidates
}

// retryAfter returns when a client should retry that no target of the service can
// serve now: after the given delay, if the service has targets that take requests, or
// that other instances may send to, or when the first target takes one again, if that
// is sooner or none takes requests.
func (e *exchange) retryAfter(service *deployment.Service, delay time.Duration) time.Duration {
	s := e.server
	var delays []time.Duration
	withheld := e.newWithheld()
	for _, t := range s.Catalog.Targets() {
		if t.Service != service.Name || t.Draining || !e.admits(t) || s.Availability.Leaving(t) {
			continue
		}
		if withheld.skips(t) {
			delays = append(delays, withheld.retryAfter(t.Zone, delay))
			continue
		}
		pause := max(s.Availability.PausedFor(t), s.Limits.Wait(t))
		if pause == 0 || pause == throttle.OthersOnly {
			pause = delay
		}
		delays = append(delays, pause)
	}
	if len(delays) == 0 {
		return delay
	}
	return slices.Min(delays)
}

// weighedCandidates returns the candidates of an engine service with what is known of their
// speed and of what they hold of the prompt, and completes the request to placement.
func (e *exchange) weighedCandidates(service *deployment.Service, request *placement.Request) []placement.Candidate {
	candidates := e.engineCandidates(service)
	e.addSpeeds(request, candidates)
	request.WantedCopies = e.server.Demand.WantedCopies(request.Adapter, len(candidates))
	e.chooseByCache(request, candidates)
	return candidates
}

// engineCandidates returns the candidates of an engine service, with their
// capacity and the state of the request's adapter on each.
func (e *exchange) engineCandidates(service *deployment.Service) []placement.Candidate {
	directory := e.server.Directory
	zones := e.zoneLoadStates(service)
	candidates := e.candidates(service)
	for i := range candidates {
		c := &candidates[i]
		zone := zones[c.Zone]
		c.Slots, c.KVCacheTokens = service.Engine.Slots, service.Engine.KVCacheTokens
		c.HasModel = directory.HoldsModel(&c.Target, e.request.Adapter.Model)
		c.Warm = directory.Warm(&c.Target, e.request.Adapter)
		c.CanLoad, c.ColdWait = zone.canLoad, placement.ColdWait(zone.waitingLoads, zone.engines)
		if r, ok := directory.Resident(&c.Target, e.request.Adapter); ok {
			c.Resident = &r
		}
	}
	return candidates
}

// preparePlain chooses a target for a request that needs no engine.
func (e *exchange) preparePlain(service *deployment.Service) (*upstream.Attempt, *refusal.Error) {
	candidates := e.candidates(service)
	request := placement.Request{Zone: e.server.Zone, Repeatable: e.route.Repeatable()}
	e.addPlainSpeeds(&request, candidates)
	index, ok := placement.ChoosePlain(request, candidates)
	if !ok {
		return nil, e.refuseUnserved(service, retrySoon, refusal.NotRun(refusal.CodeNoTarget, "no target can take the request"))
	}
	e.beginSample(&candidates[index], speed.Response, responseLoad(&candidates[index]))
	return e.newAttempt(candidates[index].Target), nil
}
