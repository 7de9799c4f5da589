package gatewayinstance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/clock"
	"heatherrelay/internal/crash"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/evacuation"
	"heatherrelay/internal/forwarding"
	"heatherrelay/internal/gateway"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/memory"
	"heatherrelay/internal/origin"
	"heatherrelay/internal/outlier"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/platformstore"
	"heatherrelay/internal/promptcache"
	"heatherrelay/internal/quota"
	"heatherrelay/internal/reach"
	"heatherrelay/internal/retry"
	"heatherrelay/internal/speed"
	"heatherrelay/internal/throttle"
	"heatherrelay/internal/upstream"
	"heatherrelay/internal/wait"
	"heatherrelay/internal/warmup"
)

// The kinds of the objects that instances write to the store.
const (
	leaseKind    platformstore.Kind = "heatherrelay-orders"
	instanceKind platformstore.Kind = "heatherrelay-instances"
)

const (
	// maxValueBytes is the size of the largest value that the store takes,
	// maxSmallValueBytes that of one that names an instance.
	maxValueBytes      = 1 << 20
	maxSmallValueBytes = 4 << 10
)

// MaxValueBytes returns the size of the largest value that instances write to an object of a
// kind.
func MaxValueBytes(kind platformstore.Kind) int {
	switch kind {
	case leaseKind, instanceKind:
		return maxSmallValueBytes
	case crashKind:
		return crash.MaxStoredBytes
	}
	return maxValueBytes
}

const (
	// minDrainTime is how long a leaving instance keeps accepting connections. The
	// load balancer probes readiness once a second and stops sending connections at
	// the second failure.
	minDrainTime = 3 * time.Second
	// maintenanceInterval is the time between two runs of the maintenance tasks.
	maintenanceInterval = 500 * time.Millisecond
)

// Instance is a running gateway: it accepts the requests of clients and forwards them
// to targets. Set the exported fields before Run.
type Instance struct {
	Settings Settings
	// Store is the platform's store. Kinds names the objects that the operator and
	// the targets write there.
	Store platformstore.Store
	Kinds catalog.Kinds
	// Platform holds the parts that depend on the platform's protocols.
	Platform Platform
	Log      *zap.Logger
	// Registry receives the instance's metrics.
	Registry *prometheus.Registry

	// shutdownStartedAt is when the instance began to shut down; nil before that.
	shutdownStartedAt atomic.Pointer[time.Time]
	// lastReady is the readiness at the last check, for logging changes.
	lastReady atomic.Bool
	// crashesChanged is set when the reports on crashes, here or in the store, have
	// changed since the last comparison.
	crashesChanged atomic.Bool
	// oddCrashes logs the stored reports that cannot be decoded.
	oddCrashes oddObjects

	catalog     *catalog.Catalog
	network     *peer.Network
	holder      *placement.Holder
	lease       *placement.Lease
	directory   *placement.Directory
	prompts     *placement.PromptPacer
	promptCache *promptcache.State
	detector    *outlier.Detector
	origins     *origin.Table
	versions    *origin.Versions
	speeds      *speed.Book
	// versionsReading is when the versions in the store were last read.
	versionsReading versionsReading
	crashes         *crash.Ledger
	// crashDetector finds crashed targets.
	crashDetector *crash.Detector
	limits        *throttle.Limiter
	// beats notices suspensions of the process.
	beats       clock.Beats
	evacuations *evacuation.Zones
	// cold knows the cold targets; nil if these are not limited.
	cold *warmup.Targets
	// evacuatedZones is a gauge for each evacuated zone.
	evacuatedZones *prometheus.GaugeVec
	// reach knows the targets that this instance reaches only through peers.
	// forwardClient has peers carry out attempts at these, forwardServer carries out
	// those of peers.
	reach         *reach.Monitor
	forwardClient *forwarding.Client
	forwardServer *forwarding.Server
	// cutOffServices are the services that this instance was last found to be cut off from.
	cutOffServices atomic.Pointer[[]string]
	meter          *quota.Meter
	budget         *retry.Budget
	client         *upstream.Client
	server         *gateway.Server
	// memory bounds the bodies of requests and responses.
	memory *memory.Account
}

// Platform holds the parts of an instance that depend on the platform's protocols.
// The caller sets the fields of Client, Gateway and Holder that the comments name;
// Run sets the others.
type Platform struct {
	// Decoders holds the decoders of stored objects.
	Decoders Decoders
	// StoreCalls returns the number of calls to the store so far; may be nil.
	StoreCalls func() uint64
	// Client sends requests to targets. Its Encode and Decode must be set.
	Client *upstream.Client
	// Gateway answers clients. Its DecodeRequest, EncodeRefusal and Availability must
	// be set.
	Gateway *gateway.Server
	// Holder sends load and unload orders to engines. Its Order, Report and Available
	// must be set.
	Holder *placement.Holder
}

// Decoders are the functions that read the objects of the store. See the fields of
// catalog.Catalog with the same names.
type Decoders struct {
	HashKeys            func(platformstore.Object) platformstore.Object
	TrimTarget          func(platformstore.Object) platformstore.Object
	DecodeConfiguration func(json.RawMessage) (*deployment.Configuration, error)
	DecodeTarget        func(name string, value json.RawMessage) (deployment.Target, error)
	DecodeVersion       func(name string, value json.RawMessage) (deployment.AdapterVersion, error)
}

// Run serves until ctx ends, then drains and returns. It returns an error if an
// address cannot be listened on.
func (i *Instance) Run(ctx context.Context) error {
	i.assemble()
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	i.Log.Info("instance starting", zap.String("instance", i.Settings.InstanceID), zap.String("zone", i.Settings.Zone),
		zap.String("incarnation", i.network.Incarnation), zap.Stringer("clients", i.Settings.Listen.Clients),
		zap.Stringer("store", i.Settings.Store), zap.Int("seeds", len(i.Settings.Seeds)))
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	leaseCtx, stopLeasing := context.WithCancel(runCtx)
	defer stopLeasing()
	var group conc.WaitGroup
	group.Go(func() { i.beats.Run(runCtx) })
	group.Go(func() { i.catalog.Run(runCtx) })
	group.Go(func() { i.network.Run(runCtx) })
	group.Go(func() { i.serveAndLog("peers", func() error { return i.network.Serve(runCtx, listeners.peers) }) })
	group.Go(func() { i.lease.Run(leaseCtx) })
	group.Go(func() { i.holder.Run(leaseCtx) })
	group.Go(func() { i.register(runCtx) })
	group.Go(func() { i.storeCrashes(runCtx) })
	group.Go(func() { i.storeVersions(runCtx) })
	group.Go(func() { i.network.Archive.Run(runCtx) })
	group.Go(func() { i.reach.Run(runCtx) })
	group.Go(func() { i.runMaintenance(runCtx) })
	group.Go(func() { i.serveHTTP(runCtx, "ready", listeners.ready, http.HandlerFunc(i.handleReady)) })
	if listeners.metrics != nil {
		handler := promhttp.HandlerFor(i.Registry, promhttp.HandlerOpts{})
		group.Go(func() { i.serveHTTP(runCtx, "metrics", listeners.metrics, handler) })
	}
	go i.serveAndLog("clients", func() error { return i.server.Serve(listeners.clients) })
	<-ctx.Done()
	i.drain(stopLeasing)
	stop()
	group.Wait()
	i.Log.Info("instance stopped", zap.String("instance", i.Settings.InstanceID))
	return nil
}

// assemble creates the instance's components and connects them.
func (i *Instance) assemble() {
	s, incarnation := i.Settings, uuid.NewString()
	i.directory = &placement.Directory{Now: clock.Now}
	i.prompts = &placement.PromptPacer{Now: clock.Now}
	i.detector = &outlier.Detector{Now: clock.Now}
	i.origins, i.versions = &origin.Table{Now: clock.Now}, &origin.Versions{Now: clock.Now}
	tracker := &inflight.Tracker{}
	i.crashes = &crash.Ledger{Now: clock.Now, Log: i.Log}
	i.crashDetector = &crash.Detector{Ledger: i.crashes, Now: clock.Now}
	kinds := i.Kinds
	kinds.Crashes = crashKind
	if s.EvacuationLimit.Duration <= 0 {
		kinds.Evacuations = ""
	}
	i.catalog = &catalog.Catalog{
		Kinds:               kinds,
		SanitizeCrashes:     i.sanitizeCrashes,
		OnCrashesChange:     i.applyCrashObjects,
		Store:               i.Store,
		HashKeys:            i.Platform.Decoders.HashKeys,
		DecodeConfiguration: i.Platform.Decoders.DecodeConfiguration,
		DecodeTarget:        i.Platform.Decoders.DecodeTarget,
		DecodeVersion:       i.Platform.Decoders.DecodeVersion,
		OnTargetsChange:     i.applyTargets,
		OnEvacuationsChange: i.applyEvacuations,
		TrimTarget:          i.Platform.Decoders.TrimTarget,
		ReadsForPeers:       func() bool { return i.network.ReadsStore() },
		HearsReader:         func() bool { return i.network.HearsReader() },
		Bootstrap:           s.Bootstrap,
		ConfigurationLimit:  s.ConfigurationLimit.Duration,
		TargetsLimit:        s.TargetsLimit.Duration,
		EvacuationLimit:     s.EvacuationLimit.Duration,
		Now:                 clock.Now,
		Log:                 i.Log,
	}
	i.lease = &placement.Lease{
		Store: i.Store, Kind: leaseKind, Name: s.Zone, Holder: s.InstanceID, Incarnation: incarnation,
		QuietTime: s.OrderQuietTime.Duration + orderMargin, Now: clock.Now, Log: i.Log,
		Wanted: func() bool { return i.network.MayAcquireLease() },
	}
	i.network = &peer.Network{
		Self:        peer.Member{ID: s.InstanceID, Zone: s.Zone, Address: s.Listen.Peers, Capacity: s.capacity()},
		Incarnation: incarnation,
		Seeds:       peerSeeds(s),
		Catalog:     i.catalog,
		Tracker:     tracker,
		Directory:   i.directory,
		Prompts:     i.prompts,
		Origins:     i.origins,
		Versions:    i.versions,
		Bootstrap:   s.Bootstrap,
		Leaving:     i.leaving,
		Now:         clock.Now,
		Log:         i.Log,
	}
	i.meter = &quota.Meter{
		Window: s.AllowanceWindow.Duration, ReachableFraction: i.network.AliveFraction, Members: i.network.AliveCount,
		Publish: i.network.TriggerExchange, Now: clock.Now,
	}
	i.network.Meter = i.meter
	i.budget = &retry.Budget{Ratio: s.Retry.Ratio, Extra: s.Retry.Extra, Members: i.network.MemberCount}
	i.holder = i.Platform.Holder
	i.holder.Zone, i.holder.Lease = s.Zone, i.lease
	i.holder.Targets, i.holder.Service = i.catalog.Targets, i.service
	i.holder.NewestVersion, i.holder.InUse = i.catalog.NewestVersion, i.network.InUse
	i.holder.Now, i.holder.Log = clock.Now, i.Log
	i.network.Holder = i.holder
	i.client = i.Platform.Client
	i.server = i.Platform.Gateway
	i.server.Availability.Now, i.server.Availability.Log = clock.Now, i.Log
	i.server.Zone, i.server.RegionOf, i.server.KeyLimit = s.Zone, s.Zones, s.KeyLimit.Duration-keyMargin
	i.server.Catalog, i.server.Network, i.server.Meter, i.server.Budget = i.catalog, i.network, i.meter, i.budget
	i.server.Detector, i.server.Tracker, i.server.Directory, i.server.Upstream = i.detector, tracker, i.directory, i.client
	i.server.Demand = &placement.Demand{Now: clock.Now}
	i.server.AssignsPrompts = s.Decisions.Prompts.For()
	i.server.Leaving, i.server.DrainTimeout, i.server.Now, i.server.Log = i.leavingFor, s.drainTimeout(), clock.Now, i.Log
	i.server.Metrics = gateway.NewMetrics(i.Registry)
	i.memory = i.newMemoryAccount()
	i.server.Memory = i.memory
	i.server.CompetesFor = s.Decisions.Admission.For()
	i.server.Crashes, i.server.CrashDetector = i.crashes, i.crashDetector
	i.assembleOrigins()
	i.assembleCrashes()
	i.assembleLimits()
	i.assembleEvacuations()
	i.assembleCold()
	i.promptCache = &promptcache.State{Now: clock.Now}
	i.server.PromptCache, i.server.CachesPrompts = i.promptCache, s.Decisions.PromptCache.For()
	i.assembleSpeeds()
	i.assembleForwarding()
	i.registerMetrics()
}

// assembleLimits creates the component that keeps requests within the limits that
// targets state. The network and the server must exist.
func (i *Instance) assembleLimits() {
	i.limits = &throttle.Limiter{Self: i.Settings.InstanceID, StartedAt: clock.Now(), Members: i.network.MemberIDs, OnChange: i.network.PublishLimit, Now: clock.Now, Log: i.Log}
	i.network.Limits, i.server.Limits = i.limits, i.limits
	i.server.Availability.OnStatement = func(target deployment.Target, head *upstream.ResponseHead) {
		i.limits.Observe(target, gateway.StatementOf(head), false)
	}
}

// orderMargin is added to the quiet time between the orders of two lease holders, for
// an order that is still in flight to an engine.
const orderMargin = 200 * time.Millisecond

// service returns a service of the active configuration, or nil.
func (i *Instance) service(name string) *deployment.Service {
	if configuration := i.catalog.Configuration(); configuration != nil {
		return configuration.Services[name]
	}
	return nil
}

// applyTargets drops the state that components keep of targets that are not listed.
func (i *Instance) applyTargets(listed map[deployment.TargetID]deployment.Target) {
	i.directory.Retain(listed)
	i.prompts.Retain(listed)
	i.promptCache.Retain(listed)
	i.detector.Retain(listed)
	i.speeds.Retain(listed)
	i.crashDetector.RecordTargets(listed)
	i.limits.Retain(listed)
	if i.cold != nil {
		i.cold.Apply(listed)
	}
	i.server.Availability.Retain(listed)
	i.observeVersions(listed)
}

// peerSeeds returns the seeds with the port of the protocol between instances, which
// is the same on all instances.
func peerSeeds(s Settings) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, seed := range s.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), s.Listen.Peers.Port()))
	}
	return seeds
}

// listeners are an instance's open listeners; metrics is nil when no address is set
// for it.
type listeners struct {
	clients, ready, peers, metrics net.Listener
}

// listen opens a listener for each address of the settings.
func (i *Instance) listen() (listeners, error) {
	var l listeners
	for _, entry := range []struct {
		name     string
		address  netip.AddrPort
		listener *net.Listener
	}{
		{"listen.clients", i.Settings.Listen.Clients, &l.clients},
		{"listen.ready", i.Settings.Listen.Ready, &l.ready},
		{"listen.peers", i.Settings.Listen.Peers, &l.peers},
		{"listen.metrics", i.Settings.Listen.Metrics, &l.metrics},
	} {
		if !entry.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", entry.address.String())
		if err != nil {
			return listeners{}, fmt.Errorf("%s: %w", entry.name, err)
		}
		*entry.listener = listener
	}
	return l, nil
}

// serveAndLog calls serve and logs the error that it returns, if any.
func (i *Instance) serveAndLog(name string, serve func() error) {
	if err := serve(); err != nil {
		i.Log.Error("listener failed", zap.String("listener", name), zap.Error(err))
	}
}

// serveHTTP serves HTTP on a listener until ctx ends.
func (i *Instance) serveHTTP(ctx context.Context, name string, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		i.Log.Error("listener failed", zap.String("listener", name), zap.Error(err))
	}
}

// handleReady answers the load balancer's readiness probe: 200 if the instance should
// get new connections, else 503.
func (i *Instance) handleReady(w http.ResponseWriter, _ *http.Request) {
	if i.isReady() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// leavingFor returns how long the instance has been shutting down, and false if it is
// not shutting down.
func (i *Instance) leavingFor() (time.Duration, bool) {
	if at := i.shutdownStartedAt.Load(); at != nil {
		return clock.Since(*at), true
	}
	return 0, false
}

// leaving reports whether the instance is shutting down.
func (i *Instance) leaving() bool { return i.shutdownStartedAt.Load() != nil }

// isReady reports whether requests can be served: the configuration, the targets and the
// evacuated zones are known, and the instance is not shutting down.
func (i *Instance) isReady() bool {
	ready := !i.leaving() && i.catalog.Configuration() != nil && len(i.catalog.Targets()) > 0 && i.evacuations.Known()
	if i.lastReady.Swap(ready) != ready {
		i.Log.Info("readiness changed", zap.Bool("ready", ready))
	}
	return ready
}

// drain shuts the instance down gracefully: it fails the readiness probe, releases
// the lease, announces to the peers that the instance leaves, hands the origins of
// streams over to them, waits for the requests in flight and ends those that last longer, all
// within the shutdown grace.
func (i *Instance) drain(stopLeasing context.CancelFunc) {
	now := clock.Now()
	i.shutdownStartedAt.Store(&now)
	i.Log.Info("instance shutting down", zap.String("instance", i.Settings.InstanceID), zap.Int("underway", i.server.InFlight()))
	stopLeasing()
	ctx, cancel := context.WithTimeout(context.Background(), i.Settings.drainTimeout())
	defer cancel()
	i.network.AnnounceLeaving(ctx)
	i.network.ReplicateOrigins(ctx, i.versions.Several)
	if wait.Sleep(ctx, minDrainTime) == nil {
		i.server.Drain(ctx)
	}
	i.Log.Info("drain ended", zap.String("instance", i.Settings.InstanceID), zap.Int("in_flight", i.server.InFlight()),
		zap.Duration("after", clock.Since(now)))
	i.abort()
}

// abort ends the requests that are still under way, and waits until their answers are written.
func (i *Instance) abort() {
	ctx, cancel := context.WithTimeout(context.Background(), i.Settings.shutdownMargin()/2)
	defer cancel()
	i.server.Abort(ctx)
}

// runMaintenance periodically closes connections to targets that were idle for too
// long and creates the rate limit buckets of new teams, until ctx ends.
func (i *Instance) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		i.client.CloseExpiredIdle(time.Now())
		i.origins.RemoveExpired()
		i.crashes.Maintain()
		i.network.RetainCrashes()
		i.network.RetainLimits()
		i.forwardClient.Retain(i.network.MemberIDs())
		if configuration := i.catalog.Configuration(); configuration != nil {
			i.meter.Prepare(configuration.Teams)
		}
	}
}
