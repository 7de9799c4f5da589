package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"heatherrelay/internal/admission"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/fairqueue"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
)

const (
	loadTime        = 8 * time.Second
	loadTeams       = 8
	loadAdapters    = 6
	enginesPer      = 0.82 // engines an instance
	usualLoad       = 5.2  // requests a second and instance
	troubleBegin    = time.Second
	troubleEnd      = 4 * time.Second
	loadPrompt      = 1460
	newsInterval    = 50 * time.Millisecond
	loadDeadline    = 15 * time.Second
	urgentObjective = 800 * time.Millisecond
)

// minServed is the least part of a rank that is served under each load.
const minServed = 0.25

// load is a pattern of requests. Its factors apply between troubleBegin and troubleEnd.
type load struct {
	name string
	// ranks multiplies the requests of each rank, team those of the largest team, engines is
	// the part of the engines that is gone for 2 s, oneAdapter the part of requests for one
	// adapter.
	ranks      [3]float64
	team       float64
	gone       float64
	oneAdapter float64
	// impatient clients repeat at once, three times.
	impatient bool
}

var loads = []load{
	{name: "burst of the patient kind", ranks: [3]float64{1, 1, 12}},
	{name: "burst of the urgent kind", ranks: [3]float64{3, 1, 1}},
	{name: "one team at 7 times", ranks: [3]float64{1, 1, 1}, team: 7},
	{name: "retries without pause", ranks: [3]float64{2.5, 2.5, 2.5}, impatient: true},
	{name: "half of the engines gone for 2 s", ranks: [3]float64{1, 1, 1}, gone: 0.5},
	{name: "popularity moved", ranks: [3]float64{1.5, 1.5, 1.5}, oneAdapter: 0.5},
	{name: "all at once", ranks: [3]float64{2, 1, 6}, team: 5, gone: 0.25, oneAdapter: 0.25, impatient: true},
}

// loadRun plays a load against instances that decide by admission, or each by what is
// soonest only.
type loadRun struct {
	load
	admits    bool
	random    *rand.Rand
	now       time.Duration
	instances []*modelInstance
	engines   []*modelEngine
	ids       []deployment.TargetID
	known     [][]inflight.Use // what instances know of all engines, a snapshot a newsInterval
	jobs      []*modelJob
	returning []*modelJob
	refusals  int
	needless  int // refusals while under half of the slots were taken
}

func objectiveOf(rank inflight.Rank) time.Duration {
	if rank == 2 {
		return 2 * time.Second
	}
	return urgentObjective
}

func newLoadRun(l load, instances int, admits bool) *loadRun {
	r := &loadRun{load: l, admits: admits, random: rand.New(rand.NewPCG(1, uint64(instances)))}
	for range instances {
		r.instances = append(r.instances, &modelInstance{})
	}
	for range max(int(float64(instances)*enginesPer), 3) {
		r.ids = append(r.ids, deployment.TargetID(strconv.Itoa(len(r.engines))))
		r.engines = append(r.engines, &modelEngine{})
	}
	return r
}

func (r *loadRun) play() {
	for ; r.now < loadTime; r.now += modelStep {
		trouble := r.now >= troubleBegin && r.now < troubleEnd
		for i, e := range r.engines {
			if r.now == troubleBegin && float64(i) < r.gone*float64(len(r.engines)) {
				e.crash(r.now + 2*time.Second)
			}
			for _, j := range e.step(r.now, objectiveOf) {
				r.instances[j.instance].RecordRun(modelDecode)
			}
		}
		r.learn()
		for _, instance := range r.instances {
			r.turns(instance)
		}
		due := slices.Clone(r.returning)
		r.returning = nil
		for _, j := range due {
			if j.arrived <= r.now {
				r.arrive(j)
			} else {
				r.returning = append(r.returning, j)
			}
		}
		r.newRequests(trouble)
	}
}

// learn takes a snapshot of the engines for what instances know a lag later.
func (r *loadRun) learn() {
	if r.now%newsInterval != 0 {
		return
	}
	var uses []inflight.Use
	for _, e := range r.engines {
		uses = append(uses, e.use())
	}
	r.known = append(r.known, uses)
	if len(r.known) > int(modelLag/newsInterval) {
		r.known = r.known[1:]
	}
}

func (r *loadRun) newRequests(trouble bool) {
	for rank, share := range [3]float64{0.54, 0.34, 0.12} {
		for team := range loadTeams {
			rate := usualLoad * float64(len(r.instances)) * share / (loadTeams + 1)
			if team == 0 {
				rate *= 2
			}
			if trouble {
				rate *= r.ranks[rank]
				if team == 0 && r.team > 0 {
					rate *= r.team
				}
			}
			for expected := rate * modelStep.Seconds(); expected > 0 && r.random.Float64() < expected; expected-- {
				j := &modelJob{rank: inflight.Rank(rank), team: team, adapter: r.random.IntN(loadAdapters), born: r.now, arrived: r.now, digest: fmt.Sprint(len(r.jobs))}
				if trouble && r.random.Float64() < r.oneAdapter {
					j.adapter = 0
				}
				r.jobs = append(r.jobs, j)
				r.arrive(j)
			}
		}
	}
}

func (r *loadRun) time() time.Time { return time.Unix(1_000_000, 0).Add(r.now) }

func (r *loadRun) arrive(j *modelJob) {
	j.instance = r.random.IntN(len(r.instances))
	if j.tries > 0 && j.tries < 3 && r.random.IntN(2) == 0 {
		j.instance = int(j.digest[0]) % len(r.instances)
	}
	j.tries++
	instance := r.instances[j.instance]
	instance.Record(r.time(), j.rank, loadPrompt)
	r.consider(instance, j, instance.Observe(r.time(), j.digest))
}

// candidates returns what an instance knows of the engines for an adapter.
func (r *loadRun) candidates(instance *modelInstance, j *modelJob) []placement.Candidate {
	instance.sent = slices.DeleteFunc(instance.sent, func(s modelSent) bool { return r.now-s.at > modelLag })
	candidates := make([]placement.Candidate, 0, len(r.engines))
	for i, e := range r.engines {
		if r.now < e.downUntil || (i+j.adapter)%3 == 0 {
			continue
		}
		c := placement.Candidate{Target: deployment.Target{ID: r.ids[i]}, Slots: testSlots, KVCacheTokens: testKVCache, HasModel: true}
		if len(r.known) > 0 {
			c.Use = r.known[0][i]
		}
		for _, s := range instance.sent {
			if s.engine == i {
				c.Add(s.use)
			}
		}
		candidates = append(candidates, c)
	}
	return candidates
}

func (r *loadRun) decide(instance *modelInstance, j *modelJob, returned admission.Return, ahead bool) (admission.Decision, []placement.Candidate) {
	candidates := r.candidates(instance, j)
	wanted := testWanted()
	wanted.Random, wanted.Now = r.random.IntN, r.time()
	if !r.admits {
		choice, ok := placement.Choose(wanted, candidates)
		if !ok || choice.Delay > 3*time.Second {
			return admission.Decision{Action: admission.Refuse, RetryAfter: choice.Delay / 2}, candidates
		}
		return admission.Decision{Action: admission.Start, Choice: choice}, candidates
	}
	fleet := admission.Fleet{Instances: len(r.instances), Lag: modelLag, RunTime: instance.RunTime(), Shares: instance.Shares(), Returning: instance.Due(r.time(), j.rank, time.Second)}
	if ahead {
		fleet.Ahead, fleet.Waiting = instance.line.UpTo(j.rank), instance.line.Len()
	}
	request := admission.Request{
		Rank: j.rank, Age: r.now - j.arrived, Objective: objectiveOf(j.rank), Patience: 4 * objectiveOf(j.rank), GapObjective: 300 * time.Millisecond,
		Remaining: loadDeadline - (r.now - j.born), PromptTokens: loadPrompt, Return: returned,
	}
	return admission.Decide(request, fleet, wanted, candidates), candidates
}

func (r *loadRun) consider(instance *modelInstance, j *modelJob, returned admission.Return) {
	d, candidates := r.decide(instance, j, returned, true)
	switch {
	case d.Starts():
		r.start(instance, j, d, candidates)
		return
	case d.Action == admission.Wait:
		item := fairqueue.Item[*modelJob]{ID: j.digest, Team: fmt.Sprint(j.team), Weight: 1, Tokens: loadPrompt, Payload: j}
		if instance.line.Push(r.time(), d.Rank, item) == nil {
			j.lineRank, j.until = d.Rank, r.now+d.For
			instance.waiting = append(instance.waiting, j)
			return
		}
	}
	r.refuse(instance, j, d, candidates)
}

func (r *loadRun) start(instance *modelInstance, j *modelJob, d admission.Decision, candidates []placement.Candidate) {
	engine := slices.Index(r.ids, candidates[d.Choice.Index].ID)
	if len(r.engines[engine].queue) >= testSlots/4 {
		r.refuse(instance, j, admission.Decision{RetryAfter: 300 * time.Millisecond}, candidates)
		return
	}
	j.prompt, j.rankSent = loadPrompt, j.rank
	if d.Action == admission.StartLast {
		j.rankSent = inflight.Ranks - 1
	}
	r.engines[engine].push(j)
	use := inflight.Use{Requests: 1, WaitingTokens: loadPrompt, Tokens: 1632}
	use.Ranked[j.rankSent] = inflight.RankUse{Requests: 1, WaitingTokens: loadPrompt}
	instance.sent = append(instance.sent, modelSent{engine: engine, at: r.now, use: use})
}

func (r *loadRun) refuse(instance *modelInstance, j *modelJob, d admission.Decision, candidates []placement.Candidate) {
	r.refusals++
	taken, slots := 0, 0
	for _, c := range candidates {
		taken, slots = taken+c.Requests, slots+c.Slots
	}
	if d.Action == admission.Refuse && 2*taken < slots {
		r.needless++
	}
	wait := admission.ReturnTime(d.RetryAfter, loadDeadline-(r.now-j.born))
	instance.Refused(r.time(), j.digest, j.rank, wait)
	j.outcome = modelRefused
	tries := 2
	if r.impatient && j.team == 0 {
		wait, tries = modelStep, 4
	}
	if j.tries < tries {
		j.outcome, j.arrived = modelPending, r.now+wait
		r.returning = append(r.returning, j)
	}
}

// turns gives a turn to the first request in the line that can start, and decides anew on
// those that have waited for as long as they may.
func (r *loadRun) turns(instance *modelInstance) {
	if instance.line.Len() == 0 || r.now%(20*time.Millisecond) != 0 {
		return
	}
	checks := 0
	item, ok := instance.line.Pop(func(i fairqueue.Item[*modelJob]) bool {
		if checks++; checks > 8 {
			return false
		}
		d, _ := r.decide(instance, i.Payload, admission.ReturnNone, false)
		return d.Starts()
	})
	waiting := instance.waiting
	instance.waiting = nil
	for _, j := range waiting {
		switch {
		case ok && j == item.Payload:
		case r.now < j.until:
			instance.waiting = append(instance.waiting, j)
		case instance.line.Remove(j.lineRank, j.digest):
			r.consider(instance, j, admission.ReturnNone)
		}
	}
	if ok {
		r.consider(instance, item.Payload, admission.ReturnNone)
	}
}

// inTime returns the part of the requests of a rank that began in time, and of those that
// were served at all.
func (r *loadRun) inTime(keep func(*modelJob) bool) (inTime, served float64) {
	total := 0.0
	for _, j := range r.jobs {
		if !keep(j) || j.born > loadTime-3*time.Second {
			continue
		}
		total++
		if j.outcome == modelInTime {
			inTime++
		}
		if j.outcome == modelInTime || j.outcome == modelLate {
			served++
		}
	}
	return inTime / max(total, 1), served / max(total, 1)
}

func ofRank(rank inflight.Rank) func(*modelJob) bool {
	return func(j *modelJob) bool { return j.rank == rank }
}

// TestUrgentCallersAreServedFirstUnderEachLoad guards, under each load and at each size,
// against urgent callers that are served less than with each engine chosen for what is
// soonest, against a level that starves, and against refusals beside free slots.
func TestUrgentCallersAreServedFirstUnderEachLoad(t *testing.T) {
	for _, instances := range []int{3, 73, 300} {
		for _, l := range loads {
			t.Run(fmt.Sprintf("%s/%d instances", l.name, instances), func(t *testing.T) {
				t.Parallel()
				before, after := newLoadRun(l, instances, false), newLoadRun(l, instances, true)
				before.play()
				after.play()
				for rank := range inflight.Rank(3) {
					inTimeBefore, servedBefore := before.inTime(ofRank(rank))
					inTime, served := after.inTime(ofRank(rank))
					slack := 0.05
					if instances == 3 {
						slack = 0.15 // few requests
					}
					if rank == 0 && inTime < inTimeBefore-slack {
						t.Error("urgent callers are served less in time")
					}
					if served < minServed {
						t.Errorf("rank %d is hardly served", rank)
					}
					t.Logf("rank %d: in time %.3f, soonest only %.3f; served %.3f, soonest only %.3f", rank, inTime, inTimeBefore, served, servedBefore)
				}
				if after.needless > 0 {
					t.Error("requests were refused while under half of the slots were taken")
				}
				t.Logf("%d refusals, %d needless; soonest only %d", after.refusals, after.needless, before.refusals)
			})
		}
	}
}
