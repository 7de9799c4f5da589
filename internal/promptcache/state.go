package promptcache

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/placement"
)

const (
	// maxBeginnings bounds the beginnings that are remembered, maxHolders the engines that
	// are remembered for one of them.
	maxBeginnings = 4096
	maxHolders    = 4
	// usableRoom is the part of an engine's KV cache that is expected to be used in full.
	// What other instances send there is known late, and roughly.
	usableRoom = 0.8
	// maxAge is how long a beginning that was not used again counts as kept.
	maxAge = 60 * time.Second
	// initialRunTime is assumed before a run has ended, and runTimeWeight is the weight of
	// the newest run in the average.
	initialRunTime = time.Second
	runTimeWeight  = 0.05
	// minRunTime bounds the average from below.
	minRunTime = 50 * time.Millisecond
)

// State is what this instance knows of the KV caches of engines. A beginning is known to be
// kept from the moment at which a request that has it began to answer there, until the tokens
// that have entered the engine since then, together with those in flight at any time since
// then, take up its KV cache, until the engine restarts, or until its model or adapter is
// unloaded or replaced. What enters is estimated from the tokens in flight of all instances and
// the mean time of a run.
//
// The state is bounded whatever requests contain; the least recently used beginnings are
// forgotten first. It is safe for concurrent use. Set Now before the first use.
type State struct {
	Now func() time.Time
	// Evictions counts the beginnings that were forgotten for want of room in the state.
	Evictions atomic.Uint64

	mu      sync.Mutex
	runTime time.Duration
	// requests counts the requests of this instance.
	requests placement.DecayedCount
	// fills counts the calls of Fill.
	fills   uint64
	engines map[deployment.TargetID]*engine
	// known holds the elements of order, whose values are *record, by hash. order has the
	// most recently used beginning first.
	known map[uint64]*list.Element
	order list.List
}

// engine is what is known of the KV cache of one engine as a whole.
type engine struct {
	generation int64
	// entered estimates how many tokens have entered the cache so far, as of observedAt, when
	// inFlight were in flight. peak is the largest sum of both so far.
	entered, inFlight, peak float64
	observedAt              time.Time
	// emptiedAt is when the engine was last found without the base model.
	emptiedAt time.Time
	// In the call of Fill with number fill, the engine is the candidate with this index.
	fill      uint64
	candidate int
}

// record lists the engines that hold a beginning, as far as known, and counts the requests of
// this instance that have it.
type record struct {
	hash     uint64
	holders  []holder
	requests placement.DecayedCount
	usedAt   time.Time
}

// holder is an engine on which a request with the beginning began.
type holder struct {
	target     deployment.TargetID
	generation int64
	// version is that of the adapter.
	version uint64
	// entered is the engine's count at the time at, when the beginning was last used.
	entered float64
	at      time.Time
}

// RecordRun records how long a request ran on an engine.
func (s *State) RecordRun(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runTime = s.meanRunTime()
	s.runTime += time.Duration(runTimeWeight * float64(duration-s.runTime))
}

// meanRunTime returns the mean time of a run. The caller holds the lock.
func (s *State) meanRunTime() time.Duration {
	if s.runTime == 0 {
		return initialRunTime
	}
	return max(s.runTime, minRunTime)
}

// RecordStart records that a request with the prompt began to answer on an engine, with a
// version of its adapter.
func (s *State) RecordStart(target *deployment.Target, version uint64, prompt *Prompt) {
	if len(prompt.beginnings) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engine(target)
	h := holder{target: target.ID, generation: target.Generation, version: version, entered: e.entered, at: s.Now()}
	// The longest first: a beginning is of use only as long as the shorter ones are known.
	for i := len(prompt.beginnings) - 1; i >= 0; i-- {
		s.record(prompt.beginnings[i].hash).add(h)
	}
}

// engine returns the entry of an engine's process. The caller holds the lock.
func (s *State) engine(target *deployment.Target) *engine {
	e, ok := s.engines[target.ID]
	if !ok || e.generation < target.Generation {
		e = &engine{generation: target.Generation, observedAt: s.Now()}
		if s.engines == nil {
			s.engines = map[deployment.TargetID]*engine{}
		}
		s.engines[target.ID] = e
	}
	return e
}

// record returns the record of a beginning as the most recently used one. The caller holds
// the lock.
func (s *State) record(hash uint64) *record {
	if s.known == nil {
		s.known = map[uint64]*list.Element{}
	}
	if e, ok := s.known[hash]; ok {
		s.order.MoveToFront(e)
		r := e.Value.(*record)
		r.usedAt = s.Now()
		return r
	}
	if s.order.Len() >= maxBeginnings {
		s.Evictions.Add(1)
		s.remove(s.order.Back())
	}
	r := &record{hash: hash, usedAt: s.Now()}
	s.known[hash] = s.order.PushFront(r)
	return r
}

func (s *State) remove(e *list.Element) {
	delete(s.known, e.Value.(*record).hash)
	s.order.Remove(e)
}

// add makes h the first holder. It replaces the earlier entry of its engine, or the oldest
// one if there are too many.
func (r *record) add(h holder) {
	i := 0
	for i < len(r.holders) && r.holders[i].target != h.target {
		i++
	}
	switch {
	case i < len(r.holders):
	case i < maxHolders:
		r.holders = append(r.holders, holder{})
	default:
		i = maxHolders - 1
	}
	copy(r.holders[1:i+1], r.holders[:i])
	r.holders[0] = h
}

// Share counts a request and returns the share of this instance's requests, which are a sample
// of all, that have the longest beginning that others may have too.
func (s *State) Share(prompt *Prompt) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	s.requests.Add(now)
	if prompt.shared == 0 {
		return 0
	}
	r := s.record(prompt.beginnings[prompt.shared-1].hash)
	r.requests.Add(now)
	return r.requests.Share(&s.requests, now)
}

// Fill sets CachedTokens of the candidates for a request with the prompt: the tokens of the
// leading parts that the engine still holds. It also takes account of what is in flight on
// them.
func (s *State) Fill(prompt *Prompt, candidates []placement.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	s.fills++
	for i := range candidates {
		e := s.observe(&candidates[i], now)
		e.fill, e.candidate = s.fills, i
	}
	// An engine that holds a beginning holds the shorter ones too, which were used with it.
	for _, b := range prompt.beginnings {
		element, ok := s.known[b.hash]
		if !ok {
			continue
		}
		for _, h := range element.Value.(*record).holders {
			e, ok := s.engines[h.target]
			if !ok || e.fill != s.fills {
				continue
			}
			if c := &candidates[e.candidate]; e.holds(&h, c, prompt.adapted, now) {
				c.CachedTokens = b.tokens
			}
		}
	}
}

// observe advances the count of what has entered a candidate, and returns its engine. The
// caller holds the lock.
func (s *State) observe(c *placement.Candidate, now time.Time) *engine {
	e := s.engine(&c.Target)
	inFlight := float64(c.Tokens)
	if elapsed := now.Sub(e.observedAt); elapsed > 0 {
		e.entered += (e.inFlight + inFlight) / 2 * elapsed.Seconds() / s.meanRunTime().Seconds()
		e.observedAt = now
	}
	e.inFlight, e.peak = inFlight, max(e.peak, e.entered+inFlight)
	if !c.HasModel {
		e.emptiedAt = now
	}
	return e
}

// holds reports whether the engine, which is the candidate c, still holds the beginning that h
// is about.
func (e *engine) holds(h *holder, c *placement.Candidate, adapted bool, now time.Time) bool {
	return h.generation == c.Generation && e.generation == c.Generation && h.at.After(e.emptiedAt) && h.sameWeights(c, adapted) &&
		now.Sub(h.at) <= maxAge && e.peak-h.entered < usableRoom*float64(c.KVCacheTokens)
}

// sameWeights reports whether the candidate has had the model, and the version of the
// adapter, since the beginning was used.
func (h *holder) sameWeights(c *placement.Candidate, adapted bool) bool {
	if !adapted {
		return c.HasModel
	}
	return c.HasModel && c.Resident != nil && c.Resident.Version == h.version && !c.Resident.ReadyAt.After(h.at)
}

// Len returns the number of beginnings that are remembered.
func (s *State) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order.Len()
}

// Retain forgets all engines except the given ones, and the beginnings that are too old.
func (s *State) Retain(targets map[deployment.TargetID]deployment.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.engines {
		if _, ok := targets[id]; !ok {
			delete(s.engines, id)
		}
	}
	for e := s.order.Back(); e != nil && s.Now().Sub(e.Value.(*record).usedAt) > maxAge; e = s.order.Back() {
		s.remove(e)
	}
}
