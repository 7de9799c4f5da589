package admission_test

import (
	"cmp"
	"slices"
	"time"

	"heatherrelay/internal/admission"
	"heatherrelay/internal/inflight"
)

const (
	modelStep = 5 * time.Millisecond
	// modelLag is the age of what instances know of each other.
	modelLag = 150 * time.Millisecond
	// modelPrefill is what an engine reads in a step, modelDecode how long a request runs
	// after its prompt.
	modelPrefill = 75
	modelDecode  = 1500 * time.Millisecond
)

// modelJob is one request of a client.
type modelJob struct {
	rank     inflight.Rank
	team     int
	adapter  int
	digest   string
	instance int
	born     time.Duration // first sent
	arrived  time.Duration // sent to the present instance
	tries    int
	prompt   int
	rankSent inflight.Rank
	// until is when the request ends at its engine, or stops waiting at its instance.
	until    time.Duration
	lineRank inflight.Rank
	outcome  modelOutcome
}

type modelOutcome int

const (
	modelPending modelOutcome = iota
	modelInTime
	modelLate
	modelRefused
	modelFailed
)

// modelEngine admits requests by rank, prefills them by rank, and runs each for modelDecode.
type modelEngine struct {
	running, queue []*modelJob
	downUntil      time.Duration
}

func (e *modelEngine) step(now time.Duration, objective func(inflight.Rank) time.Duration) (ended []*modelJob) {
	for len(e.running) < testSlots && len(e.queue) > 0 {
		e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
		slices.SortStableFunc(e.running, func(a, b *modelJob) int { return cmp.Compare(a.rankSent, b.rankSent) })
	}
	budget := modelPrefill
	e.running = slices.DeleteFunc(e.running, func(j *modelJob) bool {
		if read := min(budget, j.prompt); read > 0 {
			budget -= read
			if j.prompt -= read; j.prompt == 0 {
				j.until = now + modelDecode
				if j.outcome = modelInTime; now-j.born > objective(j.rank) {
					j.outcome = modelLate
				}
			}
			return false
		}
		if j.prompt > 0 || now < j.until {
			return false
		}
		ended = append(ended, j)
		return true
	})
	return ended
}

func (e *modelEngine) push(j *modelJob) {
	e.queue = append(e.queue, j)
	slices.SortStableFunc(e.queue, func(a, b *modelJob) int { return cmp.Compare(a.rankSent, b.rankSent) })
}

// crash ends all that the engine has.
func (e *modelEngine) crash(until time.Duration) (lost []*modelJob) {
	lost = append(e.running, e.queue...)
	for _, j := range lost {
		j.outcome = modelFailed
	}
	*e = modelEngine{downUntil: until}
	return lost
}

func (e *modelEngine) use() inflight.Use {
	var use inflight.Use
	for _, j := range slices.Concat(e.running, e.queue) {
		part := inflight.RankUse{Requests: 1, WaitingTokens: j.prompt}
		one := inflight.Use{Requests: 1, WaitingTokens: j.prompt, Tokens: 1632}
		one.Ranked[j.rankSent] = part
		use.Add(one)
	}
	return use
}

// modelInstance is an instance: its decisions' state, what waits there, and what it has sent
// since the others' uses were last known.
type modelInstance struct {
	admission.Demand
	admission.Returns
	line    admission.Line[*modelJob]
	waiting []*modelJob
	sent    []modelSent
}

type modelSent struct {
	engine int
	at     time.Duration
	use    inflight.Use
}
