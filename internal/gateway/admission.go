package gateway

import (
	"cmp"
	"fmt"
	"strconv"
	"sync"
	"time"

	"heatherrelay/internal/admission"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/refusal"
)

const (
	// lastPriority is the priority behind all others at engines.
	lastPriority = 9
	// newsLag is the usual age of what other instances say of their requests.
	newsLag = 150 * time.Millisecond
)

// admissions holds what the requests for each service have in common that compete for its
// engines. The zero value is ready; it is safe for concurrent use.
type admissions struct {
	mu       sync.Mutex
	services map[string]*competition
}

// competition is the state of the requests of this instance that compete for the engines of a
// service.
type competition struct {
	admission.Demand
	admission.Returns
	waitingLine
}

// competing is what an exchange keeps of its request's competition.
type competing struct {
	// arrived is set once the request was counted, returned is how it relates to an earlier
	// refusal.
	arrived  bool
	returned admission.Return
	// toldToReturn is set when the refusal of the request has its client come back.
	toldToReturn bool
}

// of returns the competition for a service.
func (a *admissions) of(service string) *competition {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.services == nil {
		a.services = map[string]*competition{}
	}
	c, ok := a.services[service]
	if !ok {
		c = &competition{}
		a.services[service] = c
	}
	return c
}

// competes reports whether the request competes with others for the engines of its service.
func (e *exchange) competes() bool {
	return e.server.CompetesFor != nil && e.route.Kind == deployment.Streaming && e.request.Adapter.Model != "" &&
		e.server.CompetesFor(e.configuration, e.service)
}

// rank returns the rank of the request among those with which it competes.
func (e *exchange) rank() inflight.Rank { return inflight.RankOf(e.priority()) }

// engineRank returns the priority that is sent to the engine.
func (e *exchange) engineRank() int {
	if e.behindAll {
		return max(lastPriority, e.priority())
	}
	return e.priority()
}

// track counts the request as in flight at its target.
func (e *exchange) track() trackedRequest {
	r, s := e.request, e.server
	if !e.competes() {
		return trackedRequest{TrackedRequest: s.Tracker.Begin(e.target.ID, r.Adapter, r.PromptTokens, r.OutputTokens)}
	}
	competition, begun := s.admissions.of(e.service), s.Now()
	return trackedRequest{
		TrackedRequest: s.Tracker.BeginRanked(e.target.ID, r.Adapter, r.PromptTokens, r.OutputTokens, inflight.RankOf(e.engineRank())),
		onEnd: func() {
			competition.RecordRun(s.Now().Sub(begun))
			competition.wake()
		},
	}
}

// admitToEngine returns the engine for a request, as chooseEngine does. Where callers compete
// for engines, the request may wait before. One that may have run, or that is bound to a
// software version, is only placed.
func (e *exchange) admitToEngine(service *deployment.Service, request placement.Request, candidates []placement.Candidate) ([]placement.Candidate, placement.Choice, *refusal.Error) {
	if e.mayHaveRun() || e.software.bound || !e.competes() {
		return e.chooseEngine(service, request, candidates)
	}
	competition := e.server.admissions.of(e.service)
	if !e.competing.arrived {
		e.observeArrival(competition)
	}
	for {
		open, decision := e.decide(e.fleet(competition), request, candidates)
		e.recordDecision(&decision, open)
		switch decision.Action {
		case admission.Start, admission.StartLast:
			e.behindAll = decision.Action == admission.StartLast
			return open, decision.Choice, nil
		case admission.Refuse:
			return nil, decision.Choice, e.refuseCompeting(service, &decision)
		}
		refused := e.awaitRoom(competition, service, request, &decision)
		if refused != nil {
			return nil, decision.Choice, refused
		}
		request.Now, request.Remaining = e.server.Now(), e.remaining()
		candidates = e.weighedCandidates(service, &request)
	}
}

// observeArrival notes what the request asks for, and whether it was refused before.
func (e *exchange) observeArrival(competition *competition) {
	now := e.server.Now()
	competition.Record(now, e.rank(), e.request.PromptTokens+e.request.OutputTokens)
	e.competing.arrived, e.competing.returned = true, competition.Observe(now, e.digest)
	if returned := e.competing.returned; returned != admission.ReturnNone {
		e.server.Metrics.returns.WithLabelValues(rankLabel(e.rank()), string(returned)).Inc()
	}
}

// decide decides what becomes of the request, and returns the candidates of which the
// decision's choice is one.
func (e *exchange) decide(fleet admission.Fleet, request placement.Request, candidates []placement.Candidate) ([]placement.Candidate, admission.Decision) {
	wanted := admission.Request{
		Rank: e.rank(), Age: request.Now.Sub(e.startedAt), Objective: e.route.LatencyObjective, GapObjective: e.route.GapObjective,
		Patience: e.patience(), Remaining: request.Remaining, PromptTokens: request.PromptTokens, Return: e.competing.returned,
	}
	var decision admission.Decision
	for _, open := range e.openCandidates(candidates) {
		if decision = admission.Decide(wanted, fleet, request, open); decision.Starts() {
			return open, decision
		}
	}
	return candidates, decision
}

// patience returns how long the client waits for the first event before it disconnects.
func (e *exchange) patience() time.Duration {
	return max(maxStartDelay, latencyObjectivePatience*e.route.LatencyObjective)
}

// fleet returns what is known of those with which the request competes.
func (e *exchange) fleet(competition *competition) admission.Fleet {
	fleet := e.fleetWithoutLine(competition)
	fleet.Ahead, fleet.Waiting = competition.ahead(e.rank())
	return fleet
}

// fleetWithoutLine is fleet without those that wait at this instance.
func (e *exchange) fleetWithoutLine(competition *competition) admission.Fleet {
	runTime := competition.RunTime()
	return admission.Fleet{
		Instances: e.server.Network.AliveCount(), Lag: newsLag, RunTime: runTime, Shares: competition.Shares(),
		Returning: competition.Due(e.server.Now(), e.rank(), runTime),
	}
}

// refuseCompeting returns the refusal of a request for which there is no room, with the time
// at which its client is to come back.
func (e *exchange) refuseCompeting(service *deployment.Service, decision *admission.Decision) *refusal.Error {
	code, message := refusal.CodeOverloaded, "no room at the engines: "
	if decision.Cause == admission.CauseNoEngine {
		code = refusal.CodeNoTarget
	}
	wait := e.retryAfter(service, admission.ReturnTime(decision.RetryAfter, e.remaining()))
	e.competing.toldToReturn = true
	return refusal.NotRun(code, "%s", message+string(decision.Cause)).WithRetryAfter(wait)
}

// expectReturn notes that the client was told to come back.
func (e *exchange) expectReturn(refused *refusal.Error) {
	if e.competing.toldToReturn && refused.NotRun {
		e.server.admissions.of(e.service).Refused(e.server.Now(), e.digest, e.rank(), refused.RetryAfter)
	}
}

// recordDecision records a decision with what it rests on.
func (e *exchange) recordDecision(d *admission.Decision, candidates []placement.Candidate) {
	var id deployment.TargetID
	detail := ""
	if i := d.Choice.Index; i < len(candidates) && d.Cause != admission.CauseNoEngine {
		c := &candidates[i]
		id = c.ID
		detail = fmt.Sprintf(" requests=%d/%d waiting_tokens=%d ranks=%v", c.Requests, c.Slots, c.WaitingTokens, c.Ranked)
	}
	rank := rankLabel(e.rank())
	e.recordStep("admit", id, fmt.Sprintf("%s cause=%s rank=%s start=%s for=%s return=%s%s", d.Action, d.Cause, rank,
		d.Start.Round(time.Millisecond), d.For.Round(time.Millisecond), cmp.Or(e.competing.returned, "none"), detail))
	e.server.Metrics.admissions.WithLabelValues(rank, string(d.Action), string(d.Cause)).Inc()
}

func rankLabel(rank inflight.Rank) string { return strconv.Itoa(int(rank)) }
