// Package peer exchanges state between the instances of a deployment. Each
// instance publishes its requests in flight, what it admitted against the
// teams' allowances, the engines that it holds the lease for, and how new its
// replica of the store is. It merges whatever newer state the others return.
//
// In a small fleet every instance exchanges with every other one. In a larger
// one, a few instances of each zone are relays: the other instances of the zone
// exchange with them, and they exchange totals per zone with the relays of the
// other zones.
//
// Each instance keeps one log of what it tells others (stateLog). A receiver states
// what it has of it and gets what changed since.
package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/connection"
	"heatherrelay/internal/crash"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/origin"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/quota"
	"heatherrelay/internal/responsehead"
	"heatherrelay/internal/speed"
	"heatherrelay/internal/throttle"
)

// The intervals and timeouts of the exchange between instances.
const (
	// tickInterval is the time between two checks for due exchanges.
	tickInterval = 50 * time.Millisecond
	// exchangeInterval is the time between two exchanges that an instance
	// starts with the same other one. Both sides start their own, so a change
	// arrives after half of it on average.
	exchangeInterval = 300 * time.Millisecond
	// firstRelayInterval replaces exchangeInterval towards the first relay of
	// the local zone, which supplies the totals of all zones;
	// remoteZoneInterval towards the first relay of another zone.
	firstRelayInterval = 100 * time.Millisecond
	remoteZoneInterval = 150 * time.Millisecond
	exchangeTimeout    = 700 * time.Millisecond
	// triggerDelay is the time from a trigger to its exchanges, and so the
	// minimum time between two triggered rounds. Further triggers in it are
	// merged.
	triggerDelay = 60 * time.Millisecond
	// useTimeout is how long the last report of requests in flight counts when
	// no newer one arrives.
	useTimeout      = 3 * time.Second
	connectTimeout  = 400 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	// maxMessageBytes bounds a message of another instance.
	maxMessageBytes = 16 << 20
	// adapterUseInterval is the time between two counts of the adapters in use for the
	// engines that this instance holds the lease for.
	adapterUseInterval = 300 * time.Millisecond
)

// Network is this instance's part in the exchange of state. Set the exported
// fields before Run.
type Network struct {
	Self        Member
	Incarnation string
	// Seeds are addresses of instances to contact before the store has
	// answered.
	Seeds     []netip.AddrPort
	Catalog   *catalog.Catalog
	Meter     *quota.Meter
	Tracker   *inflight.Tracker
	Holder    *placement.Holder
	Directory *placement.Directory
	Prompts   *placement.PromptPacer
	// Origins holds the origins of streams, Versions the software versions of the
	// services.
	Origins  *origin.Table
	Versions *origin.Versions
	// ConfirmVersions reports whether Versions now knows of all versions that had targets at
	// a time or earlier, as the store confirms. Nil means that it always does.
	ConfirmVersions func(ctx context.Context, since time.Time) bool
	// Archive keeps origins in the store; nil if nothing does.
	Archive *origin.Archive
	// OriginLookups counts the look-ups of origins.
	OriginLookups OriginCounters
	// Crashes collects what all instances know of crashed targets.
	Crashes *crash.Ledger
	// Limits holds the limits that targets state.
	Limits *throttle.Limiter
	// Speeds is what instances know of the speeds of targets; nil if they are not weighed.
	Speeds *speed.Book
	// Leaving reports whether this instance is shutting down.
	Leaving func() bool
	// Forwarding returns the path and the handler of the protocol by which this instance
	// carries out attempts of others; nil if it offers none.
	Forwarding func() (string, http.Handler)
	// CutOff returns the services whose targets this instance does not reach; nil means
	// that there are none.
	CutOff func() []string
	// Bootstrap is set when the whole fleet starts for the first time.
	Bootstrap bool
	// Connect returns a client of the protocol at an address; nil means one that calls it
	// over HTTP.
	Connect func(netip.AddrPort) heatherrelayv1connect.FleetServiceClient
	Now     func() time.Time
	Log     *zap.Logger

	initOnce   sync.Once
	trigger    chan struct{}
	httpClient *http.Client
	mu         sync.RWMutex
	startedAt  time.Time
	sequence   uint64
	remotes    map[string]*remote
	seeds      map[netip.AddrPort]heatherrelayv1connect.FleetServiceClient
	// lastProbeAt is when a silent instance and the seeds were last contacted.
	lastProbeAt time.Time
	role        role
	// log orders what this instance tells others: its own requests in flight, ownUses,
	// the sums of a relay, what instances admitted, and the engines.
	log      stateLog
	ownUses  map[deployment.TargetID]inflight.TargetUse
	admitted map[admittedKey]admittedRecord
	engines  map[deployment.TargetID]*engineRecord
	// fleetSums sums what is in flight at all instances, zoneSums, at a relay, at those
	// of its zone. sumsFrom holds the relay that supplies each source of fleetSums.
	fleetSums, zoneSums useSums
	sumsFrom            map[string]string
	objectExchanges     objectExchanges
	// removedAt is when instances were removed whose admissions are remembered.
	removedAt map[string]time.Time
	// adaptersCountedAt is when the adapters in use were last counted.
	adaptersCountedAt time.Time
	// applyMu is held while admissions and engines are applied and handed to the meter
	// or the directory, so that these receive them in the order in which they are
	// applied.
	applyMu sync.Mutex
	// crashReports and limitStatements are the notices about targets.
	crashReports    changeLog[crash.Report]
	limitStatements changeLog[throttle.Statement]
	// speedsPlayedAt is when Speeds was last told whose sums count.
	speedsPlayedAt time.Time
	// loadWaits counts, by zone, the awaited adapters that were not reported to the
	// zone's lease holder yet.
	loadWaits map[string]waitCounts
	// pendingOrigins are the records that are not sent to their holders yet.
	pendingOrigins []origin.Record
	// unstoredOrigins are those that are not handed to a writer of the store yet.
	unstoredOrigins []origin.Record
	// passedOver is when an instance answered that does not write to the store.
	passedOver map[string]time.Time
}

func (n *Network) init() {
	n.initOnce.Do(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		dialer := &connection.Dialer{ConnectTimeout: connectTimeout, AckTimeout: exchangeTimeout}
		n.httpClient = &http.Client{Transport: responsehead.Transport{RoundTripper: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}}}
		n.startedAt = n.Now()
		n.trigger = make(chan struct{}, 1)
		n.remotes = map[string]*remote{}
		n.ownUses, n.admitted = map[deployment.TargetID]inflight.TargetUse{}, map[admittedKey]admittedRecord{}
		n.engines, n.sumsFrom, n.removedAt = map[deployment.TargetID]*engineRecord{}, map[string]string{}, map[string]time.Time{}
		n.fleetSums.onChange = func(id deployment.TargetID) { n.log.fleetUses.touch(id, n.log.next()) }
		n.zoneSums.onChange = func(id deployment.TargetID) { n.log.zoneUses.touch(id, n.log.next()) }
		n.seeds = map[netip.AddrPort]heatherrelayv1connect.FleetServiceClient{}
		for _, s := range n.Seeds {
			if s != n.Self.Address {
				n.seeds[s] = n.client(s)
			}
		}
	})
}

func (n *Network) client(address netip.AddrPort) heatherrelayv1connect.FleetServiceClient {
	if n.Connect != nil {
		return n.Connect(address)
	}
	return heatherrelayv1connect.NewFleetServiceClient(n.httpClient, "http://"+address.String(), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCodec(codec{n.Log}))
}

// Handler returns the handler of the protocol between instances.
func (n *Network) Handler() http.Handler {
	n.init()
	mux := http.NewServeMux()
	mux.Handle(heatherrelayv1connect.NewFleetServiceHandler(n.Service(), withCompression, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCodec(codec{n.Log})))
	if n.Forwarding != nil {
		mux.Handle(n.Forwarding())
	}
	return mux
}

// Service returns the protocol's implementation.
func (n *Network) Service() heatherrelayv1connect.FleetServiceHandler {
	n.init()
	return &server{network: n}
}

// Serve serves the protocol on a listener until ctx ends. It returns nil then,
// and the server's error if that fails earlier.
func (n *Network) Serve(ctx context.Context, listener net.Listener) error {
	s := &http.Server{Handler: n.Handler(), ReadHeaderTimeout: connectTimeout * 10}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(listener); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// Run exchanges state with the other instances until ctx ends.
func (n *Network) Run(ctx context.Context) {
	n.init()
	var group conc.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	triggered := false
	for {
		for _, call := range n.dueExchanges(triggered) {
			group.Go(func() { n.exchange(ctx, call) })
		}
		triggered = false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.trigger:
			time.Sleep(triggerDelay)
			triggered = true
		}
		n.maintain()
	}
}

// maintain updates what changes by the passage of time.
func (n *Network) maintain() {
	n.updateRole()
	n.mu.Lock()
	n.removeExpired()
	n.expireSums()
	n.stateSilence()
	n.mu.Unlock()
	n.refreshOwnEngines()
	n.countAdapterUses()
	n.playSpeeds()
}

// Step does what Run does at one tick, and waits until the exchanges have ended. It is for
// simulations on a clock of their own.
func (n *Network) Step(ctx context.Context) {
	n.init()
	for _, call := range n.dueExchanges(false) {
		n.exchange(ctx, call)
	}
	n.maintain()
}

// TriggerExchange has Run exchange state with all partners after triggerDelay,
// without waiting for their intervals. It does not block.
func (n *Network) TriggerExchange() {
	n.init()
	select {
	case n.trigger <- struct{}{}:
	default:
	}
}

// AnnounceLeaving exchanges state with all partners at once, so that they learn
// that this instance is shutting down, and waits until they have answered or
// exchangeTimeout has passed.
func (n *Network) AnnounceLeaving(ctx context.Context) {
	var group conc.WaitGroup
	for _, call := range n.dueExchanges(true) {
		group.Go(func() { n.exchange(ctx, call) })
	}
	group.Wait()
}

// dueExchange is an exchange to start. The id is empty for a seed.
type dueExchange struct {
	id     string
	client heatherrelayv1connect.FleetServiceClient
}

// dueExchanges returns the exchanges to start now: with the partners whose
// interval has passed, or with all partners if immediate is set, except those
// whose last exchange is still in flight. It adds one silent instance, since
// the relays that would report it may have stopped, and the seeds whose address
// belongs to no known member yet.
func (n *Network) dueExchanges(immediate bool) []dueExchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	var due []dueExchange
	now := n.Now()
	for _, p := range n.partners() {
		if !p.exchangeInFlight && (immediate || now.Sub(p.exchangeStartedAt) >= p.interval-tickInterval/2) {
			p.exchangeInFlight, p.exchangeStartedAt = true, now
			due = append(due, dueExchange{id: p.ID, client: p.client})
		}
	}
	if !immediate && now.Sub(n.lastProbeAt) < exchangeInterval {
		return due
	}
	n.lastProbeAt = now
	if r := n.randomSilent(now); r != nil {
		r.exchangeInFlight, r.exchangeStartedAt = true, now
		due = append(due, dueExchange{id: r.ID, client: r.client})
	}
	return append(due, n.unknownSeeds()...)
}

// unknownSeeds returns exchanges with the seeds whose address belongs to no known member.
// The caller holds the lock.
func (n *Network) unknownSeeds() []dueExchange {
	if len(n.seeds) == 0 {
		return nil
	}
	known := make(map[netip.AddrPort]bool, len(n.remotes))
	for _, r := range n.remotes {
		known[r.Address] = true
	}
	var unknown []dueExchange
	for address, client := range n.seeds {
		if !known[address] {
			unknown = append(unknown, dueExchange{client: client})
		}
	}
	return unknown
}

// exchange runs one exchange and applies the response.
func (n *Network) exchange(ctx context.Context, call dueExchange) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request, sent := n.newRequest(call.id)
	sentAt := n.Now()
	request.WithoutObjects = !n.beginObjects()
	response, err := call.client.Exchange(ctx, request)
	if !request.GetWithoutObjects() {
		n.endObjects(respondsLate(err))
	}
	n.mu.Lock()
	if r, ok := n.remotes[call.id]; ok {
		r.exchangeInFlight = false
	}
	n.mu.Unlock()
	if err != nil {
		n.logFailedExchange(call.id, n.Now().Sub(sentAt), err)
		return
	}
	if err := n.applyResponse(response, request, sent, sentAt); err != nil {
		n.Log.Warn("response of peer refused", zap.String("peer", response.GetResponder().GetMember().GetInstanceId()), zap.Error(err))
		return
	}
	for _, b := range response.GetBeliefs() {
		n.mergeReplica(b, sentAt)
	}
	if o := response.GetRetainedConfiguration(); o != nil {
		n.Catalog.AdoptConfiguration(objectFrom(o))
	}
}

// respondsLate reports whether a peer was reached whose response did not arrive in time.
func respondsLate(err error) bool {
	return err != nil && connect.CodeOf(err) == connect.CodeDeadlineExceeded && !connection.ErrDial.Has(err)
}

// logFailedExchange logs an exchange without a response. One that a peer began to answer and
// did not end in time is more than the silence of an instance that has ended.
func (n *Network) logFailedExchange(id string, after time.Duration, err error) {
	fields := []zap.Field{zap.String("peer", id), zap.Duration("after", after), zap.Error(err)}
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		n.Log.Info("exchange with peer timed out", fields...)
		return
	}
	n.Log.Debug("exchange with peer failed", fields...)
}
