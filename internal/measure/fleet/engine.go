package fleet

import (
	"fmt"
	"math"
	"time"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/target"
)

// The fake engine's step time.
const (
	stepBase           = 20 * time.Millisecond
	stepPerRequest     = time.Millisecond
	stepPerPromptToken = 150 * time.Microsecond
	prefixCacheSize    = 48
)

// job is one request on its way through the fleet.
type job struct {
	request
	stalled      bool
	stallEnded   time.Duration
	firstToken   time.Duration
	finished     time.Duration
	outputTokens int
	prefilled    bool
	refused      bool
}

// engine is one target with its owner's state: slot table and queue.
type engine struct {
	index    int
	id       string
	zone     int
	table    adapter.Table
	queue    target.Queue[*job]
	running  []*job
	stepping bool
	// waiting counts the queued jobs of each adapter.
	waiting map[adapter.ID]int
	// lastTeam is the team that last asked for an adapter.
	lastTeam     map[adapter.ID]int
	lastUse      map[adapter.ID]time.Duration
	uses         map[adapter.ID]int
	prefixes     map[uint64]time.Duration
	steps        int
	outputTokens int
}

func newEngine(index int) *engine {
	e := &engine{
		index: index, id: fmt.Sprintf("engine-%02d", index), zone: index / EnginesPerZone,
		waiting: map[adapter.ID]int{}, lastTeam: map[adapter.ID]int{}, lastUse: map[adapter.ID]time.Duration{},
		uses: map[adapter.ID]int{}, prefixes: map[uint64]time.Duration{},
	}
	e.table = adapter.Table{Slots: slotsPerEngine, Wanted: func(id adapter.ID) bool { return e.waiting[id] > 0 }}
	return e
}

func (e *engine) info(usable bool) adapter.TargetInfo {
	return adapter.TargetInfo{
		ID: e.id, Zone: zoneNames[e.zone], BaseModel: baseModel,
		Slots: slotsPerEngine, Capacity: batchPerEngine, Usable: usable,
	}
}

func (e *engine) load() adapter.TargetLoad {
	return adapter.TargetLoad{QueuedTokens: e.queue.QueuedTokens(), Running: len(e.running)}
}

// leastValuable returns the evictable adapter of least value.
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

// stepTime is how long the next step takes with the running batch.
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

// step adds one token to each running job and returns the finished ones.
func (e *engine) step(now time.Duration) []*job {
	e.steps++
	var done []*job
	unfinished := e.running[:0]
	for _, j := range e.running {
		if !j.prefilled {
			// Joined while the step ran.
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
