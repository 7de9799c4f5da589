package target

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/fairqueue"
	"heatherrelay/internal/refusal"
)

const (
	submissionBuffer = 256
	eventBuffer      = 256
	advanceInterval  = 50 * time.Millisecond
	// handoverRetryAfter is the RetryAfter of refusals while the target changes its owner.
	handoverRetryAfter = time.Second
	// unreachableRetryAfter is the RetryAfter of refusals while the target is unreachable.
	unreachableRetryAfter = 2 * time.Second
)

// Authority describes how far an owner may rely on its lease.
type Authority int

// The degrees of authority.
const (
	// Held: the lease is valid. The owner may start requests, load and evict.
	Held Authority = iota
	// Lapsed: the lease has lapsed. The other instances of the zone were queried
	// recently, and no other owner is known.
	Lapsed
	// Unconfirmed: the lease has lapsed, and not all other instances of the zone were
	// queried recently, so another one may own the target.
	Unconfirmed
	// Lost: another instance owns the target.
	Lost
)

// Owner sends requests and orders to one target. At any time at most one instance
// holds the target's group, under a fencing number. Its Owner keeps the target's
// queue, adapter slots, loads and requests in flight, so that an adapter in use is
// never evicted. Only Run accesses this state; other goroutines send it submissions
// and events over bounded channels. Once the lease has lapsed, a target that checks
// fencing numbers decides itself whether to obey; on a target that does not check
// them, the owner neither loads nor evicts. Exported fields are set before Run.
type Owner struct {
	TargetID      string
	BaseModel     string
	Engine        Calls
	FencingNumber uint64
	ChecksFencing bool
	// Inherited is set when another owner had the target before, whose requests may
	// still run on it.
	Inherited bool
	// Authority returns the owner's authority at the given time.
	Authority func(now time.Time) Authority
	// PreviousInUse returns the adapters that the previous owner still uses on the
	// target; false if they are not known. It may be nil.
	PreviousInUse func() ([]adapter.ID, bool)
	// AcquireLoad waits for a permit to load from the weight store; releasePermit
	// returns the permit.
	AcquireLoad func(ctx context.Context) (releasePermit func(), err error)
	// QueueItems is the MaxItems of the queue. QueueTokens bounds the sum of the
	// maximum costs of the queued requests in tokens.
	QueueItems  int
	QueueTokens int
	// ReportEvery is the interval between load reports.
	ReportEvery time.Duration
	// LongestRequest is the longest time that a request of the previous owner can run.
	LongestRequest time.Duration
	// MaxReportAge is the maximum age of a load report.
	MaxReportAge time.Duration
	Observer     Observer
	Log          *zap.Logger

	once           sync.Once
	submissions    chan *submission
	events         chan func(now time.Time)
	drainRequested chan struct{}
	drainOnce      sync.Once
	done           chan struct{}
	snapshot       atomic.Pointer[Snapshot]

	tasks     conc.WaitGroup
	queue     fairqueue.Queue[*submission]
	slotTable adapter.Table
	loadQueue adapter.LoadQueue
	// adopted is set once the engine's resident adapters are known.
	adopted bool
	// ownershipLost is set when the engine refuses the fencing number as stale.
	ownershipLost bool
	stopping      bool
	// queuedByAdapter counts the queued requests of each adapter, runningByAdapter
	// those sent to the engine.
	queuedByAdapter  map[adapter.ID]int
	runningByAdapter map[adapter.ID]int
	running          int
	status           engineStatus
	takeover         takeoverState
	loads            loadState
}

// Observer holds callbacks for the events of an owner. Nil fields are not called.
type Observer struct {
	// OnLoad is called after each load order, with its duration and outcome.
	OnLoad func(duration time.Duration, err error)
	// OnStart is called when a request is sent to the engine, with its time in the
	// queue; stalled is set when it had to wait for a load.
	OnStart func(r *Request, waited time.Duration, stalled bool)
}

// Snapshot is the state of a target that its owner publishes. It is immutable.
type Snapshot struct {
	// Version increases when Residents, InUse or Usable change.
	Version   uint64
	Residents []adapter.ID
	// InUse holds the adapters that running requests use.
	InUse []adapter.ID
	Slots int
	// Capacity is how many requests the engine runs in one batch.
	Capacity int
	Running  int
	// QueuedTokens is the sum of the maximum costs of the queued requests in tokens.
	QueuedTokens int
	// Usable is set while the owner accepts requests for the target.
	Usable bool
}

// Snapshot returns the latest published state.
func (o *Owner) Snapshot() *Snapshot {
	if s := o.snapshot.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Execute queues a request and emits its answer. It returns nil once the answer is
// complete, and a *refusal.Error otherwise. When ctx ends before the request has
// started, it returns at once.
func (o *Owner) Execute(ctx context.Context, r Request, emit Emit) (Usage, error) {
	o.init()
	s := &submission{ctx: ctx, request: r, emit: emit, outcome: make(chan outcome, 1), arrivedAt: time.Now()}
	select {
	case o.submissions <- s:
	case <-o.done:
		return Usage{}, notOwnerError()
	default:
		return Usage{}, refusal.NotRun(refusal.CodeOverloaded, "the target's owner is busy").WithRetryAfter(fairqueue.OverloadedRetryAfter)
	}
	select {
	case result := <-s.outcome:
		return result.usage, result.err
	case <-o.done:
		if s.abandon() {
			return Usage{}, s.correctNotRun(notOwnerError())
		}
	case <-ctx.Done():
		if s.abandon() {
			o.post(func(time.Time) { o.removeQueued(r.ID) })
			return Usage{}, s.correctNotRun(abandonedError(ctx))
		}
	}
	result := <-s.outcome
	return result.usage, result.err
}

// Drain starts the handover of the target: queued requests are refused as not run,
// running requests continue, and Run returns once none is left.
func (o *Owner) Drain() {
	o.init()
	o.drainOnce.Do(func() { close(o.drainRequested) })
}

// Run serves the target until ctx ends or Drain is called, and returns once no
// request and no load is in flight.
func (o *Owner) Run(ctx context.Context) {
	o.init()
	ctx, cancel := context.WithCancel(ctx)
	defer o.tasks.Wait()
	defer close(o.done)
	defer cancel()
	o.tasks.Go(func() { o.pollEngine(ctx) })
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	draining, ctxDone := o.drainRequested, ctx.Done()
	for !o.stopping || o.running > 0 || o.loads.inFlight > 0 {
		select {
		case <-ctxDone:
			ctxDone = nil
			o.stopping = true
		case <-draining:
			draining = nil
			o.stopping = true
		case s := <-o.submissions:
			o.accept(s, time.Now())
		case event := <-o.events:
			event(time.Now())
		case <-ticker.C:
			o.enqueueMissingLoads(time.Now())
		}
		o.advance(ctx, time.Now())
	}
}

func (o *Owner) init() {
	o.once.Do(func() {
		o.submissions = make(chan *submission, submissionBuffer)
		o.events = make(chan func(time.Time), eventBuffer)
		o.drainRequested = make(chan struct{})
		o.done = make(chan struct{})
		o.queuedByAdapter = map[adapter.ID]int{}
		o.runningByAdapter = map[adapter.ID]int{}
		o.loads.failures = map[adapter.ID]int{}
		o.loads.loading = map[adapter.ID]bool{}
		o.loads.evicting = map[adapter.ID]bool{}
		o.loads.unconfirmed = map[adapter.ID]bool{}
		o.queue.MaxItems = o.QueueItems
		o.slotTable.HasWaiters = func(id adapter.ID) bool { return o.queuedByAdapter[id] > 0 }
	})
}

// post sends an event to Run. It blocks while the channel is full, and drops the
// event once the loop of Run has ended.
func (o *Owner) post(event func(now time.Time)) {
	select {
	case o.events <- event:
	case <-o.done:
	}
}

// advance refuses expired requests, then starts the requests and loads that can start
// now, or refuses all queued ones if this instance may not use the target or cannot
// reach it. It publishes a new snapshot at its end.
func (o *Owner) advance(ctx context.Context, now time.Time) {
	for _, item := range o.queue.Expire(now) {
		o.uncountQueued(item)
		o.refuse(item.Payload, deadlineError())
	}
	switch {
	case o.ownershipLost || o.stopping || o.Authority(now) == Lost:
		o.refuseAllQueued(notOwnerError())
	case o.status.down(now):
		o.refuseAllQueued(unreachableError())
	case o.adopted:
		o.updateProtection(now)
		o.requestLoadPermit(ctx, now)
		o.startRequests(ctx, now)
	}
	o.publishSnapshot(now)
}

// publishSnapshot publishes the current state as a new snapshot.
func (o *Owner) publishSnapshot(now time.Time) {
	last := o.Snapshot()
	next := &Snapshot{
		Version:      last.Version,
		Residents:    last.Residents,
		InUse:        last.InUse,
		Slots:        o.slotTable.Slots,
		Capacity:     o.status.capacity(),
		Running:      o.running,
		QueuedTokens: o.queue.QueuedTokens(),
		Usable:       o.adopted && !o.ownershipLost && !o.stopping && !o.status.down(now) && o.Authority(now) != Lost,
	}
	if o.status.snapshotStale || next.Usable != last.Usable {
		o.status.snapshotStale = false
		next.Residents = o.slotTable.Residents()
		next.InUse = sortedIDs(o.runningByAdapter)
		next.Version++
	}
	o.snapshot.Store(next)
}
