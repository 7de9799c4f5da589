package standin

import (
	"slices"
	"time"
)

// stepGrowthPerStream is the share of StepTime by which each further stream in
// the batch lengthens a step; prefillTokensPerStep is the number of prompt
// tokens that one step processes.
const (
	stepGrowthPerStream  = 0.05
	prefillTokensPerStep = 512
)

// stream is one request on an engine. Its tokens are generated whether or not a
// reader is connected. The engine's mutex guards all fields except those set on
// creation.
type stream struct {
	id        string
	model     string
	prompt    string
	seed      seed
	chat      bool
	patient   bool
	maxTokens int

	// prefillSteps is the number of remaining steps before the first token.
	prefillSteps int
	produced     int
	// err is set when the stream ends before it has finished.
	err     error
	readers int
	// changed is closed and replaced when produced or err changes.
	changed chan struct{}
}

func (s *stream) finished() bool { return s.produced >= s.maxTokens }

// notify wakes all readers that wait for a change.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// end ends the stream with an error.
func (s *stream) end(err error) {
	s.err = err
	s.notify()
}

// addStream queues a stream and starts the step loop if it isn't running.
func (e *Engine) addStream(s *stream) error {
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
		s.seed = newSeed(s.model, s.prompt)
	}
	if previous, ok := e.streams[s.id]; ok {
		e.dropStream(previous, errBrokenStream)
	}
	if e.streams == nil {
		e.streams = map[string]*stream{}
	}
	cached := e.cache.insert(s.model, s.prompt, time.Now())
	e.stats.CachedTokens += cached
	s.prefillSteps = (PromptTokens(s.prompt) - cached) / prefillTokensPerStep
	s.changed = make(chan struct{})
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	if !e.stepLoopRunning {
		e.stepLoopRunning = true
		e.background.Go(e.runSteps)
	}
	return nil
}

// runSteps runs steps until no stream is running or waiting.
func (e *Engine) runSteps() {
	for {
		batch := e.fillBatch()
		if batch == 0 {
			return
		}
		growth := 1 + stepGrowthPerStream*float64(batch-1)
		time.Sleep(time.Duration(float64(e.stepTime()) * growth))
		e.step()
	}
}

// fillBatch moves waiting streams into the batch, interactive before patient
// ones, and returns the size of the batch.
func (e *Engine) fillBatch() int {
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
	e.stepLoopRunning = len(e.running) > 0
	e.stats.MaxBatch = max(e.stats.MaxBatch, len(e.running))
	return len(e.running)
}

// step advances each running stream by one prefill step or, after its prefill,
// by one token.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Steps++
	for _, s := range e.running {
		if s.prefillSteps > 0 {
			s.prefillSteps--
			continue
		}
		s.produced++
		e.stats.Tokens++
		s.notify()
	}
	e.running = slices.DeleteFunc(e.running, (*stream).finished)
}

// dropStream removes a stream, and ends it with err if it has not finished. The
// caller holds mu.
func (e *Engine) dropStream(s *stream, err error) {
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

// streamState is a snapshot of a stream's progress.
type streamState struct {
	produced int
	finished bool
	err      error
	changed  <-chan struct{}
}

func (e *Engine) stateOf(s *stream) streamState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return streamState{produced: s.produced, finished: s.finished(), err: s.err, changed: s.changed}
}

func (e *Engine) addReader(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers++
}

// removeReader records that a reader has disconnected. After the last one, it
// schedules a check at the end of the retention time, which drops the stream if
// no reader is connected then.
func (e *Engine) removeReader(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers > 0 {
		return
	}
	time.AfterFunc(e.streamRetention(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.readers == 0 {
			e.dropStream(s, errUnknownStream)
		}
	})
}
