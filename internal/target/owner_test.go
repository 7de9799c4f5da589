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

// fakeEngine is an engine in memory. It does what it is told, as an engine
// without any guard would, and notes what must never happen.
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
	seen          map[string]int
	reports       []target.Report
	trace         []string
	violations    []string
}

// note keeps the last events for the report of a violation. The caller holds mu.
func (e *fakeEngine) note(format string, args ...any) {
	line := fmt.Sprintf("%s "+format, append([]any{time.Now().Format("05.000")}, args...)...)
	e.trace = append(e.trace, line)
	if len(e.trace) > traceLines {
		e.trace = e.trace[1:]
	}
}

// delay is the drawn latency of the next call.
func (e *fakeEngine) delay() {
	e.mu.Lock()
	e.calls++
	d := e.latency[e.calls%len(e.latency)]
	e.mu.Unlock()
	time.Sleep(d)
}

// check takes a fencing number. The caller holds mu.
func (e *fakeEngine) check(fencing uint64) error {
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
	if err := e.check(fencing); err != nil {
		e.mu.Unlock()
		return target.Usage{}, err
	}
	if !e.resident[id] {
		e.mu.Unlock()
		return target.Usage{}, target.ErrNotLoaded.New("%s", id)
	}
	e.note("stream %s %s fencing %d", r.ID, id, fencing)
	e.seen[r.ID]++
	e.running[id]++
	started := e.startedAt
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.note("end %s %s", r.ID, id)
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
			return target.Usage{}, target.ErrBroken.New("restarted")
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
	if err := e.check(fencing); err != nil {
		return err
	}
	e.note("load %s fencing %d", id, fencing)
	if e.failLoads > 0 {
		e.failLoads--
		return target.ErrLoadFailed.New("%s", id)
	}
	if !e.resident[id.String()] && len(e.resident) >= e.slots {
		return target.ErrNoSlot.New("%s", id)
	}
	e.resident[id.String()] = true
	return nil
}

func (e *fakeEngine) evict(_ context.Context, id adapter.ID, fencing uint64) error {
	e.delay()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(fencing); err != nil {
		return err
	}
	e.note("evict %s fencing %d", id, fencing)
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
	return e.check(fencing)
}

// report returns a report that is up to reportLag old.
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
	e.note("restart")
	e.startedAt = time.Now()
	e.resident = map[string]bool{}
	e.running = map[string]int{}
	e.reports = nil
	e.fencing = 0
}

// scenario is one drawn run: two owners of a target, one after the other.
type scenario struct {
	checksFencing bool
	slots, batch  int
	failLoads     int
	latency       []time.Duration
	requests      []drawnRequest
	// lapsesAt is when the first owner's lease ends, takenAt when the second one
	// starts, heardAt when the first one hears of it.
	lapsesAt, takenAt, heardAt time.Duration
	tellsInUse                 bool
	restartAt                  time.Duration
}

type drawnRequest struct {
	at       time.Duration
	second   bool
	adapter  int
	tokens   int
	patience time.Duration
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
		lapsesAt:      ms("lapses_at", 1000, 20000),
		tellsInUse:    rapid.Bool().Draw(t, "tells_in_use"),
		restartAt:     scenarioTime * 2,
	}
	for range 7 {
		s.latency = append(s.latency, ms("latency", 1, 200))
	}
	s.takenAt = s.lapsesAt + ms("margin", 500, 3000)
	s.heardAt = s.takenAt + ms("heard_after", 0, 3000)
	if rapid.Bool().Draw(t, "restarts") {
		s.restartAt = ms("restart_at", 1000, 30000)
	}
	for range rapid.IntRange(5, 60).Draw(t, "requests") {
		s.requests = append(s.requests, drawnRequest{
			at:       ms("at", 0, 30000),
			second:   rapid.Bool().Draw(t, "second"),
			adapter:  rapid.IntRange(0, 5).Draw(t, "adapter"),
			tokens:   rapid.IntRange(1, 200).Draw(t, "tokens"),
			patience: ms("patience", 50, 15000),
		})
	}
	return s
}

// run plays a scenario in virtual time and returns what went wrong.
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
		seen:          map[string]int{},
	}
	calls := target.Calls{Stream: engine.stream, Load: engine.load, Evict: engine.evict, Fence: engine.fence, Report: engine.report}
	first := s.owner(calls, 1, func(now time.Time) target.Authority {
		switch at := now.Sub(start); {
		case at < s.lapsesAt:
			return target.Held
		case at < s.heardAt:
			return target.Lapsed
		}
		return target.Lost
	})
	second := s.owner(calls, 2, func(time.Time) target.Authority { return target.Held })
	second.Inherited = true
	if s.tellsInUse {
		second.PreviousInUse = func() ([]adapter.ID, bool) {
			return first.Snapshot().InUse, time.Since(start) >= s.heardAt+100*time.Millisecond
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { first.Run(ctx) })
	tasks.Go(func() {
		time.Sleep(s.takenAt)
		second.Run(ctx)
	})
	tasks.Go(func() {
		time.Sleep(s.restartAt)
		engine.restart()
	})
	for i, r := range s.requests {
		owner := first
		if r.second {
			owner = second
		}
		tasks.Go(func() { r.play(i, owner, engine) })
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
		ReportLag:      5 * reportLag,
		Log:            zap.NewNop(),
	}
}

// play sends one request and checks its outcome against what the engine saw.
func (r drawnRequest) play(number int, owner *target.Owner, engine *fakeEngine) {
	time.Sleep(r.at)
	ctx, cancel := context.WithTimeout(context.Background(), r.patience)
	defer cancel()
	request := target.Request{
		ID:        fmt.Sprintf("r%d", number),
		Team:      fmt.Sprintf("team-%d", number%3),
		Class:     release.Interactive,
		Adapter:   adapter.ID{Name: fmt.Sprintf("a%d", r.adapter), Version: "1"},
		MaxTokens: r.tokens,
		Deadline:  time.Now().Add(r.patience),
	}
	next := 0
	usage, err := owner.Execute(ctx, request, func(c target.Chunk) error {
		if c.Offset != next {
			engine.violation("%s: token %d after %d", request.ID, c.Offset, next)
		}
		next += c.Tokens
		return nil
	})
	engine.mu.Lock()
	seen := engine.seen[request.ID]
	engine.mu.Unlock()
	switch {
	case err == nil && (next != r.tokens || usage.CompletionTokens != r.tokens):
		engine.violation("%s: answered with %d of %d tokens", request.ID, next, r.tokens)
	case err != nil && refusal.From(err).NotRun && seen > 0:
		engine.violation("%s: refused as not run, but the engine ran it: %v", request.ID, err)
	case seen > 1:
		engine.violation("%s: ran %d times", request.ID, seen)
	}
}

func (e *fakeEngine) violation(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
}

// TestOwnersNeverEvictAnAdapterInUse plays two owners of one target, with lapsed
// leases, late news, failed loads and restarts of the engine.
func TestOwnersNeverEvictAnAdapterInUse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = s.run() })
		if len(violations) > 0 {
			rt.Fatalf("%d violations, the first: %s\nin %+v", len(violations), violations[0], s)
		}
	})
}
