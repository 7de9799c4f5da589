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

// Parameters of the callers of TestFailures.
const (
	requestTimeout  = 30 * time.Second
	maxPostAttempts = 3
	thinkTime       = 20 * time.Millisecond
)

// answer is one complete answer and the tokens that it cost its team.
type answer struct {
	team       string
	sent, done time.Time
	tokens     int
}

// postCall records a POST call that must not be run twice, and the answers that
// its caller received.
type postCall struct {
	path     string
	attempts int
	// succeeded counts answers with status 200, notRun refusals that report that
	// the call did not run.
	succeeded int
	notRun    int
}

// results collects what all callers observed.
type results struct {
	mu        sync.Mutex
	answers   []answer
	postCalls []postCall
	refused   map[string]int
	broken    int
	// violations describes the replies that no injected fault justifies.
	violations []string
}

func (r *results) record(change func(*results)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// worker is a caller that sends requests one after another to random instances.
type worker struct {
	number int
	team   string
	models []string
	// maxTokens is the maximum number of tokens that a request asks for.
	maxTokens int
	fleet     *liveFleet
	results   *results
	random    *rand.Rand
	sent      int
}

// liveFleet is a fleet whose instances are replaced while callers use it. The
// mutex guards the fields of instances that callers read.
type liveFleet struct {
	*fleet
	mu sync.Mutex
}

// pickCaller returns a caller for a random instance that is not drained.
func (f *liveFleet) pickCaller(random *rand.Rand, team string) *standin.Caller {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if i := f.instances[random.IntN(len(f.instances))]; !i.drained {
			return f.caller(i, team)
		}
	}
}

// drain stops new requests to an instance, as a load balancer does before the
// instance shuts down.
func (f *liveFleet) drain(i *instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i.drained = true
}

// replace starts a new process for an instance whose process has ended or is
// ending.
func (f *liveFleet) replace(t testing.TB, i *instance) {
	t.Helper()
	i.process.exit(t)
	previous := i.process
	f.start(t, i)
	f.mu.Lock()
	defer f.mu.Unlock()
	i.previous = append(i.previous, previous)
	i.callerAddress = i.listenAddress
	i.drained = false
}

// run sends model requests and POST calls until ctx ends.
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

// runModels sends model requests until ctx ends.
func (w *worker) runModels(ctx context.Context) {
	for ctx.Err() == nil {
		w.sent++
		w.complete()
	}
}

// complete sends a model request and records the outcome. A reply that is
// neither a complete answer nor a refusal is a violation.
func (w *worker) complete() {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r := request(w.models[w.random.IntN(len(w.models))], fmt.Sprintf("request %d of caller %d", w.sent, w.number), 1+w.random.IntN(w.maxTokens))
	r.Stream = w.random.IntN(2) == 0
	sent := time.Now()
	reply, err := w.fleet.pickCaller(w.random, w.team).Complete(ctx, r)
	done := time.Now()
	w.results.record(func(results *results) {
		switch {
		case err != nil:
			results.broken++
		case reply.IsComplete(r):
			tokens := standin.PromptTokens(r.Prompt) + *r.MaxTokens
			results.answers = append(results.answers, answer{team: w.team, sent: sent, done: done, tokens: tokens})
		case reply.Refusal != nil:
			results.refused[reply.Refusal.Code]++
		default:
			results.violations = append(results.violations, fmt.Sprintf("%s for %q: neither complete nor refused: %+v", r.Model, r.Prompt, reply))
		}
	})
}

// post sends a POST call that must not be run twice. Only a call with an
// idempotency key is retried, through any instance, until it succeeds,
// maxPostAttempts is reached or ctx ends.
func (w *worker) post(ctx context.Context, keyed bool) {
	call := postCall{path: fmt.Sprintf("/rounds/%d-%d", w.number, w.sent)}
	attempts := 1
	if keyed {
		attempts = maxPostAttempts
	}
	for call.attempts < attempts && call.succeeded == 0 && ctx.Err() == nil {
		call.attempts++
		w.attemptPost(&call, keyed)
	}
	w.results.record(func(results *results) { results.postCalls = append(results.postCalls, call) })
}

// attemptPost sends a POST call once and records the outcome.
func (w *worker) attemptPost(call *postCall, keyed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	header := http.Header{"Content-Type": {"text/plain"}, "X-Api-Key": {w.fleet.keys[teamCrews].Text()}}
	if keyed {
		header.Set("Idempotency-Key", call.path)
	}
	reply, err := w.fleet.pickCaller(w.random, teamCrews).Call(ctx, http.MethodPost, "/services/dispatch"+call.path, []byte("go"), header)
	switch {
	case err != nil:
		w.results.record(func(results *results) { results.broken++ })
	case reply.Status == http.StatusOK:
		call.succeeded++
	case reply.Refusal != nil:
		if reply.Refusal.NotRun {
			call.notRun++
		}
		w.results.record(func(results *results) { results.refused[reply.Refusal.Code]++ })
	default:
		w.results.record(func(results *results) {
			results.violations = append(results.violations, fmt.Sprintf("POST call %s: neither answered nor refused: %d %s", call.path, reply.Status, reply.Body))
		})
	}
}
