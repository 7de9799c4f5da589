package target

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/refusal"
)

const (
	submissionRing = 256
	eventRing      = 256
	ownerTick      = 50 * time.Millisecond
	// handoverRetryAfter tells a caller when the next owner should be found.
	handoverRetryAfter = time.Second
	// downRetryAfter tells a caller when to try an unreachable target's zone again.
	downRetryAfter = 2 * time.Second
)

// Authority is how far an owner may rely on its lease.
type Authority int

// The degrees of authority.
const (
	// Held: the lease is valid; the owner may do everything.
	Held Authority = iota
	// Lapsed: the lease could not be renewed in time, and the zone's instances,
	// asked just now, know of no other owner.
	Lapsed
	// Unknown: the lease has lapsed, and nobody has been asked since.
	Unknown
	// Lost: another instance owns the target.
	Lost
)

// Owner sends one target its requests and its orders. At any time at most one
// instance holds the target's group under a fencing number, and all that is in
// flight on the target, its queue, its slots and its loads stand here, so that
// an adapter in use is never evicted. Run owns the state; all else reaches it
// through bounded rings. When authority lapses, a target that checks fencing
// numbers decides; on one that does not check, the owner neither loads nor
// evicts. Exported fields are set before Run.
type Owner struct {
	TargetID      string
	BaseModel     string
	Engine        Calls
	FencingNumber uint64
	ChecksFencing bool
	// Inherited says that another instance owned the target before, whose
	// requests may still run on it.
	Inherited bool
	// Authority tells how far the lease reaches now.
	Authority func(now time.Time) Authority
	// PreviousInUse tells which adapters the previous owner still uses on the
	// target; false means that it is not known.
	PreviousInUse func() ([]adapter.ID, bool)
	// AcquireLoad waits for the weight store's permit to load; finish returns it.
	AcquireLoad func(ctx context.Context) (finish func(), err error)
	// QueueItems and QueueTokens bound what waits.
	QueueItems  int
	QueueTokens int
	// ReportEvery is the time between load reports.
	ReportEvery time.Duration
	// LongestRequest bounds how long a request of the previous owner can run.
	LongestRequest time.Duration
	// ReportLag bounds how old a load report can be.
	ReportLag time.Duration
	Observe   Observer
	Log       *zap.Logger

	once        sync.Once
	submissions chan *submission
	events      chan func(now time.Time)
	draining    chan struct{}
	drainOnce   sync.Once
	done        chan struct{}
	snapshot    atomic.Pointer[Snapshot]

	tasks    conc.WaitGroup
	queue    Queue[*submission]
	table    adapter.Table
	order    adapter.LoadOrder
	ready    bool
	lost     bool
	stopping bool
	// waiting counts the queued requests of each adapter, inUse the running ones.
	waiting  map[adapter.ID]int
	inUse    map[adapter.ID]int
	running  int
	engine   engineView
	takeover takeoverState
	loading  loadState
}

// Observer is told what an owner sees; a nil field is not called.
type Observer struct {
	// Loaded is called after each load order.
	Loaded func(took time.Duration, err error)
	// Started is called when a request goes to the engine; stalled says that it
	// had to wait for a load.
	Started func(r *Request, waited time.Duration, stalled bool)
}

// Snapshot is what others may know of a target. It is immutable.
type Snapshot struct {
	// Version rises when Residents, InUse or Usable change.
	Version      uint64
	Residents    []adapter.ID
	InUse        []adapter.ID
	Slots        int
	Capacity     int
	Running      int
	QueuedTokens int
	Usable       bool
}

// Snapshot returns the latest state.
func (o *Owner) Snapshot() *Snapshot {
	if s := o.snapshot.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Execute queues a request and emits its answer. It returns when the answer is
// whole, or with a *refusal.Error as soon as the request is given up.
func (o *Owner) Execute(ctx context.Context, r Request, emit Emit) (Usage, error) {
	o.init()
	s := &submission{ctx: ctx, request: r, emit: emit, answer: make(chan answer, 1), arrived: time.Now()}
	select {
	case o.submissions <- s:
	case <-o.done:
		return Usage{}, notOwner()
	default:
		return Usage{}, refusal.NotRun(refusal.CodeOverloaded, "the target's owner is busy").After(overloadedRetryAfter)
	}
	select {
	case a := <-s.answer:
		return a.usage, a.err
	case <-o.done:
		if s.giveUp() {
			return Usage{}, s.truthful(notOwner())
		}
	case <-ctx.Done():
		if s.giveUp() {
			o.post(func(time.Time) { o.forget(r.ID) })
			return Usage{}, s.truthful(gaveUp(ctx))
		}
	}
	a := <-s.answer
	return a.usage, a.err
}

// Drain hands the target over: what waits is refused as not run, what runs goes
// on, and Run returns when nothing runs any more.
func (o *Owner) Drain() {
	o.init()
	o.drainOnce.Do(func() { close(o.draining) })
}

// Run owns the target until ctx ends or Drain has finished.
func (o *Owner) Run(ctx context.Context) {
	o.init()
	ctx, cancel := context.WithCancel(ctx)
	defer o.tasks.Wait()
	defer close(o.done)
	defer cancel()
	o.tasks.Go(func() { o.watchEngine(ctx) })
	tick := time.NewTicker(ownerTick)
	defer tick.Stop()
	draining, ended := o.draining, ctx.Done()
	for !o.stopping || o.running > 0 || o.loading.inFlight > 0 {
		select {
		case <-ended:
			ended = nil
			o.stopping = true
		case <-draining:
			draining = nil
			o.stopping = true
		case s := <-o.submissions:
			o.accept(s, time.Now())
		case event := <-o.events:
			event(time.Now())
		case <-tick.C:
		}
		o.advance(ctx, time.Now())
	}
}

func (o *Owner) init() {
	o.once.Do(func() {
		o.submissions = make(chan *submission, submissionRing)
		o.events = make(chan func(time.Time), eventRing)
		o.draining = make(chan struct{})
		o.done = make(chan struct{})
		o.waiting = map[adapter.ID]int{}
		o.inUse = map[adapter.ID]int{}
		o.loading.failures = map[adapter.ID]int{}
		o.loading.loading = map[adapter.ID]bool{}
		o.loading.evicting = map[adapter.ID]bool{}
		o.queue.MaxItems = o.QueueItems
		o.table.Wanted = func(id adapter.ID) bool { return o.waiting[id] > 0 }
	})
}

// post hands an event to Run. It waits while the ring is full, and drops the
// event once Run has returned.
func (o *Owner) post(event func(now time.Time)) {
	select {
	case o.events <- event:
	case <-o.done:
	}
}

// advance does all that has become possible.
func (o *Owner) advance(ctx context.Context, now time.Time) {
	for _, item := range o.queue.Expire(now) {
		o.left(item)
		o.refuse(item.Payload, deadlinePassed())
	}
	switch {
	case o.lost || o.stopping || o.Authority(now) == Lost:
		o.refuseWaiting(notOwner())
	case o.engine.down(now):
		o.refuseWaiting(unreachable())
	case o.ready:
		o.release(now)
		o.startLoads(ctx, now)
		o.startRequests(ctx, now)
	}
	o.publish(now)
}

// publish renews the snapshot.
func (o *Owner) publish(now time.Time) {
	last := o.Snapshot()
	next := &Snapshot{
		Version:      last.Version,
		Residents:    last.Residents,
		InUse:        last.InUse,
		Slots:        o.table.Slots,
		Capacity:     o.engine.capacity(),
		Running:      o.running,
		QueuedTokens: o.queue.QueuedTokens(),
		Usable:       o.ready && !o.lost && !o.stopping && !o.engine.down(now) && o.Authority(now) != Lost,
	}
	if o.engine.changed || next.Usable != last.Usable {
		o.engine.changed = false
		next.Residents = o.table.Residents()
		next.InUse = sortedIDs(o.inUse)
		next.Version++
	}
	o.snapshot.Store(next)
}
