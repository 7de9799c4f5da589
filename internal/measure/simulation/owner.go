package simulation

import (
	"fmt"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/fairqueue"
	"heatherrelay/pkg/release"
)

// teamName returns the name by which the code under test knows a team.
func teamName(team int) string { return fmt.Sprintf("team-%d", team) }

// teamWeight returns a team's weight; the mean over all teams is 1.
func teamWeight(team int) float64 { return teamShares[team] * float64(Teams) }

// enqueue adds a request to an engine's queue, as the engine's owner does. If the
// adapter is not resident, it also requests its load.
func (r *run) enqueue(e *engine, j *job) {
	id := r.ids[j.adapter]
	e.table.Touch(id, r.time(), j.prompt+j.output)
	e.lastUse[id] = r.now
	e.uses[id]++
	item := fairqueue.Item[*job]{
		ID: fmt.Sprint(j.number), Team: teamName(j.team), Weight: teamWeight(j.team),
		Class: j.class, Adapter: id, Tokens: j.prompt + j.output, Payload: j,
	}
	if r.policy.QueueFIFO {
		item.Team, item.Weight, item.Class = "", 1, release.Interactive
	}
	if err := e.queue.Push(r.time(), item); err != nil {
		j.refused = true
		return
	}
	e.waiting[id]++
	e.lastTeam[id] = j.team
	if !e.table.Resident(id) {
		j.stalled = true
		r.requestLoad(e, id, j)
	}
	r.fillBatch(e)
}

// evict removes an adapter from an engine. Jobs that wait for it request a new load.
func (r *run) evict(e *engine, id adapter.ID) {
	if !e.table.BeginEvict(id, r.time()) {
		panic("evicted an adapter in use")
	}
	e.table.Remove(id)
	e.uses[id] = 0
	r.reportResidency(func(v *routerView) {
		if !e.table.Resident(id) {
			v.RemoveResident(e.id, id)
		}
	})
	if e.waiting[id] > 0 {
		r.after(0, func() { r.requestLoad(e, id, nil) })
	}
}

// fillBatch moves queued jobs whose adapter is resident into the batch, and makes
// sure that a step is scheduled.
func (r *run) fillBatch(e *engine) {
	for len(e.running) < batchPerEngine {
		item, ok := e.queue.Pop(r.time(), e.table.Resident)
		if !ok {
			break
		}
		j := item.Payload
		e.table.Pin(item.Adapter)
		e.waiting[item.Adapter]--
		e.lastUse[item.Adapter] = r.now
		if j.stalled && j.stallEnded == 0 {
			j.stallEnded = r.now
		}
		e.running = append(e.running, j)
	}
	r.scheduleStep(e)
}

// scheduleStep starts a step unless one is in progress or the batch is empty.
func (r *run) scheduleStep(e *engine) {
	if len(e.running) > 0 && !e.stepping {
		e.stepping = true
		r.after(e.stepTime(r.now), func() { r.finishStep(e) })
	}
}

// finishStep completes a step. The finished jobs make room in the batch, and their
// responses carry the engine's load to the routers that sent them.
func (r *run) finishStep(e *engine) {
	e.stepping = false
	done := e.step(r.now)
	for _, j := range done {
		e.table.Unpin(r.ids[j.adapter], r.time())
		r.reportLoad(r.views[j.router], e)
	}
	if len(done) == 0 {
		r.scheduleStep(e)
		return
	}
	r.requestPermit(e)
	r.fillBatch(e)
}
