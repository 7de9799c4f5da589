package standin

import (
	"slices"
	"time"
)

// How a step's time grows: with each further stream in the batch, and with the
// tokens of a prompt that one step takes in.
const (
	batchGrowth          = 0.05
	prefillTokensPerStep = 512
)

// stream is one request on an engine. It is generated whether or not anybody
// reads it. All fields are guarded by the engine's mutex but those set at birth.
type stream struct {
	id        string
	model     string
	prompt    string
	seed      seed
	chat      bool
	patient   bool
	maxTokens int

	// prefill is the number of steps before the first token.
	prefill  int
	produced int
	// err ends the stream early.
	err     error
	readers int
	// changed is closed when anything above changes.
	changed chan struct{}
}

func (s *stream) finished() bool { return s.produced >= s.maxTokens }

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) end(err error) {
	s.err = err
	s.notify()
}

// add queues a stream and sees to it that the engine steps.
func (e *Engine) add(s *stream) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a, ok := e.adapters[s.model]; !ok || !a.resident {
		e.stats.NotLoaded++
		return errNotLoaded
	}
	e.stats.Requests++
	if e.faults.WrongModel > 0 {
		e.faults.WrongModel--
		e.stats.WrongModel++
		s.model = "wrong-" + s.model
		s.seed = seedOf(s.model, s.prompt)
	}
	if earlier, ok := e.streams[s.id]; ok {
		e.drop(earlier, errBrokenStream)
	}
	if e.streams == nil {
		e.streams = map[string]*stream{}
	}
	cached := e.cache.take(s.model, s.prompt, time.Now())
	e.stats.CachedTokens += cached
	s.prefill = (PromptTokens(s.prompt) - cached) / prefillTokensPerStep
	s.changed = make(chan struct{})
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	if !e.stepping {
		e.stepping = true
		e.duties.Go(e.steps)
	}
	return nil
}

// steps runs one step after another until nothing is left to run.
func (e *Engine) steps() {
	for {
		batch := e.fill()
		if batch == 0 {
			return
		}
		growth := 1 + batchGrowth*float64(batch-1)
		time.Sleep(time.Duration(float64(e.stepTime()) * growth))
		e.step()
	}
}

// fill moves waiting streams into the batch, interactive ones first, and
// returns the size of the batch.
func (e *Engine) fill() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	slices.SortStableFunc(e.waiting, func(a, b *stream) int {
		switch {
		case a.patient == b.patient:
			return 0
		case b.patient:
			return -1
		}
		return 1
	})
	moved := min(len(e.waiting), e.maxBatch()-len(e.running))
	e.running = append(e.running, e.waiting[:moved]...)
	e.waiting = slices.Clone(e.waiting[moved:])
	e.stepping = len(e.running) > 0
	e.stats.MaxBatch = max(e.stats.MaxBatch, len(e.running))
	return len(e.running)
}

// step generates one token for each running stream.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Steps++
	for _, s := range e.running {
		if s.prefill > 0 {
			s.prefill--
			continue
		}
		s.produced++
		e.stats.Tokens++
		s.notify()
	}
	e.running = slices.DeleteFunc(e.running, (*stream).finished)
}

// drop ends a stream before its time; mu is held.
func (e *Engine) drop(s *stream, err error) {
	same := func(other *stream) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
	if !s.finished() {
		s.end(err)
	}
}

// view is what a reader sees of a stream at one time.
type view struct {
	produced int
	finished bool
	err      error
	changed  <-chan struct{}
}

func (e *Engine) look(s *stream) view {
	e.mu.Lock()
	defer e.mu.Unlock()
	return view{produced: s.produced, finished: s.finished(), err: s.err, changed: s.changed}
}

func (e *Engine) join(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers++
}

// leave keeps the stream for a while after its last reader.
func (e *Engine) leave(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers > 0 {
		return
	}
	time.AfterFunc(e.keptStreams(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.readers == 0 {
			e.drop(s, errUnknownStream)
		}
	})
}
