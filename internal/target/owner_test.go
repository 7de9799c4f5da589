package target_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
	"heatherrelay/pkg/release"
)

const (
	scenarioTime   = 40 * time.Second
	longestRequest = 15 * time.Second
	reportLag      = time.Second
	traceLines     = 30
)

// fakeEngine is an in-memory engine. It even carries out an order to evict an adapter in
// use, and records that as a violation.
type fakeEngine struct {
	mu            sync.Mutex
	checksFencing bool
	slots         int
	batch         int
	latency       []time.Duration
	failLoads     int
	calls         int
	fencing       uint64
	startedAt     time.Time
	resident      map[string]bool
	running       map[string]int
	runs          map[string]int
	reports       []target.Report
	trace         []string
	violations    []string
}

// record adds an event to the trace, which keeps the last traceLines events for the
// report of a violation. The caller holds mu.
func (e *fakeEngine) record(format string, args ...any) {
	line := fmt.Sprintf("%s "+format, append([]any{time.Now().Format("05.000")}, args...)...)
	e.trace = append(e.trace, line)
	if len(e.trace) > traceLines {
		e.trace = e.trace[1:]
	}
}

// delay sleeps for the drawn latency of the next call.
func (e *fakeEngine) delay() {
	e.mu.Lock()
	e.calls++
	d := e.latency[e.calls%len(e.latency)]
	e.mu.Unlock()
	time.Sleep(d)
}

// checkFencing rejects a stale fencing number if the engine checks them, and records
// the highest number received. The caller holds mu.
func (e *fakeEngine) checkFencing(fencing uint64) error {
	if e.checksFencing && fencing < e.fencing {
		return target.ErrStaleFencing.New("%d", fencing)
	}
	e.fencing = max(e.fencing, fencing)
	return nil
}

func (e *fakeEngine) stream(ctx context.Context, r *target.Request, fencing uint64, emit target.Emit) (target.Usage, error) {
	e.delay()
	id := r.Adapter.String()
	e.mu.Lock()
	if err := e.checkFencing(fencing); err != nil {
		e.mu.Unlock()
		return target.Usage{}, err
	}
	if !e.resident[id] {
		e.mu.Unlock()
		return target.Usage{}, target.ErrNotLoaded.New("%s", id)
	}
	e.record("stream %s %s fencing %d", r.ID, id, fencing)
	e.runs[r.ID]++
	e.running[id]++
	started := e.startedAt
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.record("end %s %s", r.ID, id)
		if e.startedAt.Equal(started) {
			e.running[id]--
		}
	}()
	for i := range r.MaxTokens {
		time.Sleep(20 * time.Millisecond)
		if ctx.Err() != nil {
			return target.Usage{}, ctx.Err()
		}
		e.mu.Lock()
		restarted := !e.startedAt.Equal(started)
		e.mu.Unlock()
		if restarted {
			return target.Usage{}, target.ErrIncompleteResponse.New("restarted")
		}
		if err := emit(target.Chunk{Offset: i, Tokens: 1}); err != nil {
			return target.Usage{}, err
		}
	}
	return target.Usage{CompletionTokens: r.MaxTokens}, nil
}

func (e *fakeEngine) load(_ context.Context, id adapter.ID, fencing uint64) error {
	e.delay()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFencing(fencing); err != nil {
		return err
	}
	e.record("load %s fencing %d", id, fencing)
	if e.failLoads > 0 {
		e.failLoads--
		return target.ErrLoadFailed.New("%s", id)
	}
	if !e.resident[id.String()] && len(e.resident) >= e.slots {
		return target.ErrNoFreeSlot.New("%s", id)
	}
	e.resident[id.String()] = true
	return nil
}

func (e *fakeEngine) evict(_ context.Context, id adapter.ID, fencing uint64) error {
	e.delay()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFencing(fencing); err != nil {
		return err
	}
	e.record("evict %s fencing %d", id, fencing)
	if e.running[id.String()] > 0 {
		e.violations = append(e.violations, fmt.Sprintf("%s evicted while in use, fencing %d\n%s", id, fencing, strings.Join(e.trace, "\n")))
	}
	delete(e.resident, id.String())
	return nil
}

func (e *fakeEngine) fence(_ context.Context, fencing uint64) error {
	e.delay()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkFencing(fencing)
}

// report returns a load report that is up to reportLag old.
func (e *fakeEngine) report(context.Context) (target.Report, error) {
	e.delay()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	report := target.Report{IssuedAt: now, StartedAt: e.startedAt, Slots: e.slots, MaxBatch: e.batch, FencingNumber: e.fencing}
	for id := range e.resident {
		report.Resident = append(report.Resident, id)
	}
	for _, n := range e.running {
		report.Running += n
	}
	e.reports = append(e.reports, report)
	for len(e.reports) > 1 && now.Sub(e.reports[1].IssuedAt) > reportLag {
		e.reports = e.reports[1:]
	}
	return e.reports[0], nil
}

func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record("restart")
	e.startedAt = time.Now()
	e.resident = map[string]bool{}
	e.running = map[string]int{}
	e.reports = nil
	e.fencing = 0
}

// scenario is a drawn test run with two owners of one target, the second of which takes
// over from the first.
type scenario struct {
	checksFencing bool
	slots, batch  int
	failLoads     int
	latency       []time.Duration
	requests      []drawnRequest
	// leaseEndsAt is when the first owner's lease ends, takeoverAt when the second owner
	// starts, and learnsAt when the first owner learns of the takeover.
	leaseEndsAt, takeoverAt, learnsAt time.Duration
	reportsInUse                      bool
	restartAt                         time.Duration
}

// drawnRequest is a request of a scenario, sent to the first owner or to the second.
type drawnRequest struct {
	at            time.Duration
	toSecondOwner bool
	adapter       int
	tokens        int
	timeout       time.Duration
}

func drawScenario(t *rapid.T) scenario {
	ms := func(name string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	s := scenario{
		checksFencing: rapid.Bool().Draw(t, "checks_fencing"),
		slots:         rapid.IntRange(1, 3).Draw(t, "slots"),
		batch:         rapid.IntRange(1, 4).Draw(t, "batch"),
		failLoads:     rapid.IntRange(0, 4).Draw(t, "fail_loads"),
		leaseEndsAt:   ms("lease_ends_at", 1000, 20000),
		reportsInUse:  rapid.Bool().Draw(t, "reports_in_use"),
		restartAt:     scenarioTime * 2,
	}
	for range 7 {
		s.latency = append(s.latency, ms("latency", 1, 200))
	}
	s.takeoverAt = s.leaseEndsAt + ms("margin", 500, 3000)
	s.learnsAt = s.takeoverAt + ms("learns_after", 0, 3000)
	if rapid.Bool().Draw(t, "restarts") {
		s.restartAt = ms("restart_at", 1000, 30000)
	}
	for range rapid.IntRange(5, 60).Draw(t, "requests") {
		s.requests = append(s.requests, drawnRequest{
			at:            ms("at", 0, 30000),
			toSecondOwner: rapid.Bool().Draw(t, "to_second_owner"),
			adapter:       rapid.IntRange(0, 5).Draw(t, "adapter"),
			tokens:        rapid.IntRange(1, 200).Draw(t, "tokens"),
			timeout:       ms("timeout", 50, 15000),
		})
	}
	return s
}

// run plays a scenario in synctest's virtual time and returns the violations.
func (s scenario) run() []string {
	start := time.Now()
	engine := &fakeEngine{
		checksFencing: s.checksFencing,
		slots:         s.slots,
		batch:         s.batch,
		latency:       s.latency,
		failLoads:     s.failLoads,
		startedAt:     start,
		resident:      map[string]bool{},
		running:       map[string]int{},
		runs:          map[string]int{},
	}
	calls := target.Calls{Stream: engine.stream, Load: engine.load, Evict: engine.evict, Fence: engine.fence, Report: engine.report}
	first := s.owner(calls, 1, func(now time.Time) target.Authority {
		switch at := now.Sub(start); {
		case at < s.leaseEndsAt:
			return target.Held
		case at < s.learnsAt:
			return target.Lapsed
		}
		return target.Lost
	})
	second := s.owner(calls, 2, func(time.Time) target.Authority { return target.Held })
	second.Inherited = true
	if s.reportsInUse {
		second.PreviousInUse = func() ([]adapter.ID, bool) {
			return first.Snapshot().InUse, time.Since(start) >= s.learnsAt+100*time.Millisecond
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { first.Run(ctx) })
	tasks.Go(func() {
		time.Sleep(s.takeoverAt)
		second.Run(ctx)
	})
	tasks.Go(func() {
		time.Sleep(s.restartAt)
		engine.restart()
	})
	for i, r := range s.requests {
		owner := first
		if r.toSecondOwner {
			owner = second
		}
		tasks.Go(func() { r.send(i, owner, engine) })
	}
	time.Sleep(scenarioTime + longestRequest)
	cancel()
	tasks.Wait()
	return engine.violations
}

func (s scenario) owner(calls target.Calls, fencing uint64, authority func(time.Time) target.Authority) *target.Owner {
	return &target.Owner{
		TargetID:       "engine",
		Engine:         calls,
		FencingNumber:  fencing,
		ChecksFencing:  s.checksFencing,
		Authority:      authority,
		AcquireLoad:    func(context.Context) (func(), error) { return func() {}, nil },
		QueueItems:     20,
		QueueTokens:    10_000,
		ReportEvery:    200 * time.Millisecond,
		LongestRequest: longestRequest,
		MaxReportAge:   5 * reportLag,
		Log:            zap.NewNop(),
	}
}

// send sends one request and checks its outcome against the engine's count of runs.
func (r drawnRequest) send(number int, owner *target.Owner, engine *fakeEngine) {
	time.Sleep(r.at)
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	request := target.Request{
		ID:        fmt.Sprintf("r%d", number),
		Team:      fmt.Sprintf("team-%d", number%3),
		Class:     release.Interactive,
		Adapter:   adapter.ID{Name: fmt.Sprintf("a%d", r.adapter), Version: "1"},
		MaxTokens: r.tokens,
		Deadline:  time.Now().Add(r.timeout),
	}
	next := 0
	usage, err := owner.Execute(ctx, request, func(c target.Chunk) error {
		if c.Offset != next {
			engine.violation("%s: received token %d, want token %d", request.ID, c.Offset, next)
		}
		next += c.Tokens
		return nil
	})
	engine.mu.Lock()
	runs := engine.runs[request.ID]
	engine.mu.Unlock()
	switch {
	case err == nil && (next != r.tokens || usage.CompletionTokens != r.tokens):
		engine.violation("%s: completed with %d of %d tokens", request.ID, next, r.tokens)
	case err != nil && refusal.From(err).NotRun && runs > 0:
		engine.violation("%s: refused as not run, but the engine ran it: %v", request.ID, err)
	case runs > 1:
		engine.violation("%s: ran %d times", request.ID, runs)
	}
}

func (e *fakeEngine) violation(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
}

// TestOwnersNeverEvictAnAdapterInUse guards against the eviction of an adapter that a
// request still uses. That can come about at a takeover, when the previous owner still
// runs requests: its lease has lapsed, it learns late of the new owner, loads fail, or
// the engine restarts.
func TestOwnersNeverEvictAnAdapterInUse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = s.run() })
		if len(violations) > 0 {
			rt.Fatalf("%d violations, the first: %s\nscenario %+v", len(violations), violations[0], s)
		}
	})
}
