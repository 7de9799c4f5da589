package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/standin"
)

// How the callers of the failure test behave.
const (
	requestTimeout  = 30 * time.Second
	postingAttempts = 3
	thinkTime       = 20 * time.Millisecond
)

// answered is one whole answer with the tokens that it cost its team.
type answered struct {
	team       string
	sent, done time.Time
	tokens     int
}

// posting is one call that may not be repeated, with what its caller was told.
type posting struct {
	path     string
	attempts int
	// succeeded counts answers with status 200, notRun refusals that say so.
	succeeded int
	notRun    int
}

// journal is what all callers saw.
type journal struct {
	mu       sync.Mutex
	answers  []answered
	postings []posting
	refused  map[string]int
	broken   int
	// faults describes each reply that no failure excuses.
	faults []string
}

func (j *journal) record(change func(*journal)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(j)
}

// worker is a caller that sends one call after another to random instances.
type worker struct {
	number int
	team   string
	models []string
	// longest is the most tokens that a request asks for.
	longest int
	fleet   *liveFleet
	journal *journal
	random  *rand.Rand
	sent    int
}

// liveFleet is a fleet whose instances are replaced while callers use it.
type liveFleet struct {
	*fleet
	mu sync.Mutex
}

// pick returns a caller of a random instance behind the balancer.
func (f *liveFleet) pick(random *rand.Rand, team string) *standin.Caller {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if i := f.instances[random.IntN(len(f.instances))]; !i.drained {
			return f.caller(i, team)
		}
	}
}

// drain takes an instance out of the balancer.
func (f *liveFleet) drain(i *instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i.drained = true
}

// replace starts an instance anew in place of one that has ended.
func (f *liveFleet) replace(t testing.TB, i *instance) {
	t.Helper()
	i.process.exit(t)
	earlier := i.process
	f.start(t, i)
	f.mu.Lock()
	defer f.mu.Unlock()
	i.earlier = append(i.earlier, earlier)
	i.callers = i.listening
	i.drained = false
}

func (w *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.sent++
		switch w.random.IntN(4) {
		case 0:
			w.post(ctx, true)
		case 1:
			w.post(ctx, false)
		default:
			w.complete()
		}
		select {
		case <-ctx.Done():
		case <-time.After(thinkTime):
		}
	}
}

// runModels sends only model requests.
func (w *worker) runModels(ctx context.Context) {
	for ctx.Err() == nil {
		w.sent++
		w.complete()
	}
}

// complete sends a model request and checks its answer.
func (w *worker) complete() {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r := request(w.models[w.random.IntN(len(w.models))], fmt.Sprintf("request %d of caller %d", w.sent, w.number), 1+w.random.IntN(w.longest))
	r.Stream = w.random.IntN(2) == 0
	sent := time.Now()
	reply, err := w.fleet.pick(w.random, w.team).Complete(ctx, r)
	done := time.Now()
	w.journal.record(func(j *journal) {
		switch {
		case err != nil:
			j.broken++
		case reply.IsComplete(r):
			tokens := standin.PromptTokens(r.Prompt) + *r.MaxTokens
			j.answers = append(j.answers, answered{team: w.team, sent: sent, done: done, tokens: tokens})
		case reply.Refusal != nil:
			j.refused[reply.Refusal.Code]++
		default:
			j.faults = append(j.faults, fmt.Sprintf("%s for %q: neither whole nor refused: %+v", r.Model, r.Prompt, reply))
		}
	})
}

// post sends a call that may not be repeated. With an idempotency key the caller
// tries again, through any instance, until it is answered.
func (w *worker) post(ctx context.Context, keyed bool) {
	p := posting{path: fmt.Sprintf("/rounds/%d-%d", w.number, w.sent)}
	attempts := 1
	if keyed {
		attempts = postingAttempts
	}
	for p.attempts < attempts && p.succeeded == 0 && ctx.Err() == nil {
		p.attempts++
		w.attempt(&p, keyed)
	}
	w.journal.record(func(j *journal) { j.postings = append(j.postings, p) })
}

func (w *worker) attempt(p *posting, keyed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	header := http.Header{"Content-Type": {"text/plain"}, "X-Api-Key": {w.fleet.keys[teamCrews].Text()}}
	if keyed {
		header.Set("Idempotency-Key", p.path)
	}
	reply, err := w.fleet.pick(w.random, teamCrews).Call(ctx, http.MethodPost, "/services/dispatch"+p.path, []byte("go"), header)
	switch {
	case err != nil:
		w.journal.record(func(j *journal) { j.broken++ })
	case reply.Status == http.StatusOK:
		p.succeeded++
	case reply.Refusal != nil:
		if reply.Refusal.NotRun {
			p.notRun++
		}
		w.journal.record(func(j *journal) { j.refused[reply.Refusal.Code]++ })
	default:
		w.journal.record(func(j *journal) {
			j.faults = append(j.faults, fmt.Sprintf("posting %s: neither answered nor refused: %d %s", p.path, reply.Status, reply.Body))
		})
	}
}
