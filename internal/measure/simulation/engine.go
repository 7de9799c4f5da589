package simulation

import (
	"fmt"
	"math"
	"time"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/fairqueue"
)

// Parameters of the simulated engine. A step takes stepBase, stepPerRequest for
// each request in the batch, and stepPerPromptToken for each prompt token that it
// prefills. prefixCacheSize is the number of prompt prefixes that stay cached.
const (
	stepBase           = 20 * time.Millisecond
	stepPerRequest     = time.Millisecond
	stepPerPromptToken = 150 * time.Microsecond
	prefixCacheSize    = 48
)

// job is a request and its progress through the simulated fleet. All times are
// virtual times since the start of the run; zero means not yet.
type job struct {
	request
	// stalled is set if the adapter was not resident when the request was queued.
	stalled bool
	// stallEnded is when a stalled job first joined the batch.
	stallEnded time.Duration
	firstToken time.Duration
	finished   time.Duration
	// outputTokens counts the tokens produced so far, out of output.
	outputTokens int
	prefilled    bool
	refused      bool
}

// engine is a simulated engine together with its owner's state: slot table and
// request queue.
type engine struct {
	index int
	id    string
	zone  int
	table adapter.Table
	queue fairqueue.Queue[*job]
	// running is the batch; stepping is set while a step is in progress.
	running  []*job
	stepping bool
	// waiting counts the queued jobs of each adapter.
	waiting map[adapter.ID]int
	// lastTeam is the team of the latest queued request for each adapter.
	lastTeam map[adapter.ID]int
	// lastUse is when a request for each adapter was last queued or started, for the
	// LRU policy.
	lastUse map[adapter.ID]time.Duration
	// uses counts the requests for each adapter since it was last evicted, for the
	// LFU policy.
	uses map[adapter.ID]int
	// prefixes maps each cached prompt prefix to its last use.
	prefixes map[uint64]time.Duration
	// steps and outputTokens count the completed steps and the tokens produced.
	steps        int
	outputTokens int
}

func newEngine(index int) *engine {
	e := &engine{
		index: index, id: fmt.Sprintf("engine-%02d", index), zone: index / EnginesPerZone,
		waiting: map[adapter.ID]int{}, lastTeam: map[adapter.ID]int{}, lastUse: map[adapter.ID]time.Duration{},
		uses: map[adapter.ID]int{}, prefixes: map[uint64]time.Duration{},
	}
	e.table = adapter.Table{Slots: slotsPerEngine, HasWaiters: func(id adapter.ID) bool { return e.waiting[id] > 0 }}
	return e
}

// info describes the engine as its owner reports it.
func (e *engine) info(usable bool) adapter.TargetInfo {
	return adapter.TargetInfo{
		ID: e.id, Zone: zoneNames[e.zone], BaseModel: baseModel,
		Slots: slotsPerEngine, Capacity: batchPerEngine, Usable: usable,
	}
}

// load returns the engine's load as its owner reports it.
func (e *engine) load() adapter.TargetLoad {
	return adapter.TargetLoad{QueuedTokens: e.queue.QueuedTokens(), Running: len(e.running)}
}

// leastValuable returns the resident, unpinned adapter with the least value.
func (e *engine) leastValuable(value func(adapter.ID) float64) (adapter.ID, bool) {
	var victim adapter.ID
	least, found := math.Inf(1), false
	for _, id := range e.table.Residents() {
		if v := value(id); !e.table.Pinned(id) && v < least {
			victim, least, found = id, v, true
		}
	}
	return victim, found
}

// stepTime returns the duration of the step that starts now, and marks the jobs
// that it prefills.
func (e *engine) stepTime(now time.Duration) time.Duration {
	d := stepBase + time.Duration(len(e.running))*stepPerRequest
	for _, j := range e.running {
		if j.prefilled {
			continue
		}
		j.prefilled = true
		prompt := j.prompt
		if _, ok := e.prefixes[j.prefix]; ok {
			prompt -= prefixTokens
		}
		e.cachePrefix(j.prefix, now)
		d += time.Duration(prompt) * stepPerPromptToken
	}
	return d
}

// cachePrefix adds a prefix to the cache, and evicts the least recently used one
// if the cache is full.
func (e *engine) cachePrefix(prefix uint64, now time.Duration) {
	e.prefixes[prefix] = now
	if len(e.prefixes) <= prefixCacheSize {
		return
	}
	oldest := prefix
	for p, used := range e.prefixes {
		if used < e.prefixes[oldest] {
			oldest = p
		}
	}
	delete(e.prefixes, oldest)
}

// step completes a step: each prefilled job gets one output token, and the jobs
// that finish leave the batch and are returned.
func (e *engine) step(now time.Duration) []*job {
	e.steps++
	var done []*job
	unfinished := e.running[:0]
	for _, j := range e.running {
		if !j.prefilled {
			// The job joined the batch during the step; the next step prefills it.
			unfinished = append(unfinished, j)
			continue
		}
		j.outputTokens++
		e.outputTokens++
		if j.firstToken == 0 {
			j.firstToken = now
		}
		if j.outputTokens < j.output {
			unfinished = append(unfinished, j)
			continue
		}
		j.finished = now
		done = append(done, j)
	}
	e.running = unfinished
	return done
}
