package relay

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
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/gateway"
	"heatherrelay/internal/load"
	"heatherrelay/internal/object"
	"heatherrelay/internal/outlier"
	"heatherrelay/internal/peer"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/quota"
	"heatherrelay/internal/retry"
	"heatherrelay/internal/upstream"
	"heatherrelay/internal/wait"
)

// The kinds of this project's own objects in the store.
const (
	leaseKind    object.Kind = "heatherrelay-orders"
	instanceKind object.Kind = "heatherrelay-instances"
)

const (
	// leastDrain is how long a leaving instance goes on taking connections: the
	// balancer asks once a second, and notices at the second refusal.
	leastDrain = 3 * time.Second
	// housekeepingInterval is the time between closings of idle connections.
	housekeepingInterval = 500 * time.Millisecond
)

// Relay is one instance. Set the exported fields before Run.
type Relay struct {
	Settings Settings
	// Store is the platform's store, Kinds the kinds of what others write there.
	Store object.Store
	Kinds catalog.Kinds
	// Platform translates what the platform speaks.
	Platform Platform
	Log      *zap.Logger
	Registry *prometheus.Registry

	// leftAt is when the instance began to shut down; nil before.
	leftAt atomic.Pointer[time.Time]
	ready  atomic.Bool

	catalog   *catalog.Catalog
	network   *peer.Network
	holder    *placement.Holder
	lease     *placement.Lease
	directory *placement.Directory
	prompts   *placement.PromptPacer
	detector  *outlier.Detector
	meter     *quota.Meter
	budget    *retry.Budget
	client    *upstream.Client
	server    *gateway.Server
}

// Platform holds the functions that translate between the platform and the
// instance.
type Platform struct {
	// Catalog reads stored objects.
	Catalog Decoders
	// StoreCalls returns the number of calls to the store; may be nil.
	StoreCalls func() uint64
	// Client has the codec of requests to targets set.
	Client *upstream.Client
	// Gateway has the codec of clients' requests set.
	Gateway *gateway.Server
	// Holder has the calls on engines set.
	Holder *placement.Holder
}

// Decoders read the store's objects.
type Decoders struct {
	HashKeys            func(object.Object) object.Object
	TrimTarget          func(object.Object) object.Object
	DecodeConfiguration func(json.RawMessage) (*deployment.Configuration, error)
	DecodeTarget        func(name string, value json.RawMessage) (deployment.Target, error)
	DecodeVersion       func(name string, value json.RawMessage) (deployment.AdapterVersion, error)
}

// Run serves until ctx ends, then drains.
func (r *Relay) Run(ctx context.Context) error {
	r.assemble()
	listeners, err := r.listen()
	if err != nil {
		return err
	}
	r.Log.Info("instance starts", zap.String("instance", r.Settings.InstanceID), zap.String("zone", r.Settings.Zone),
		zap.String("incarnation", r.network.Incarnation), zap.Stringer("clients", r.Settings.Listen.Clients),
		zap.Stringer("store", r.Settings.Store), zap.Int("seeds", len(r.Settings.Seeds)))
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	leasing, release := context.WithCancel(running)
	defer release()
	var group conc.WaitGroup
	group.Go(func() { r.catalog.Run(running) })
	group.Go(func() { r.network.Run(running) })
	group.Go(func() { r.serveQuietly("peers", func() error { return r.network.Serve(running, listeners.peers) }) })
	group.Go(func() { r.lease.Run(leasing) })
	group.Go(func() { r.holder.Run(leasing) })
	group.Go(func() { r.register(running) })
	group.Go(func() { r.housekeep(running) })
	group.Go(func() { r.serveHTTP(running, "ready", listeners.ready, http.HandlerFunc(r.answerReady)) })
	if listeners.metrics != nil {
		handler := promhttp.HandlerFor(r.Registry, promhttp.HandlerOpts{})
		group.Go(func() { r.serveHTTP(running, "metrics", listeners.metrics, handler) })
	}
	go r.serveQuietly("clients", func() error { return r.server.Serve(listeners.clients) })
	<-ctx.Done()
	r.drain(release)
	stop()
	group.Wait()
	r.Log.Info("instance stops", zap.String("instance", r.Settings.InstanceID))
	return nil
}

// assemble connects the parts.
func (r *Relay) assemble() {
	s, incarnation := r.Settings, uuid.NewString()
	r.directory = &placement.Directory{Now: clock.Now}
	r.prompts = &placement.PromptPacer{Now: clock.Now}
	r.detector = &outlier.Detector{Now: clock.Now}
	tracker := &load.Tracker{}
	r.catalog = &catalog.Catalog{
		Kinds:               r.Kinds,
		Store:               r.Store,
		HashKeys:            r.Platform.Catalog.HashKeys,
		DecodeConfiguration: r.Platform.Catalog.DecodeConfiguration,
		DecodeTarget:        r.Platform.Catalog.DecodeTarget,
		DecodeVersion:       r.Platform.Catalog.DecodeVersion,
		TargetsChanged:      r.keepTargets,
		TrimTarget:          r.Platform.Catalog.TrimTarget,
		Reads:               func() bool { return r.network.Reads() },
		ConfigurationLimit:  s.ConfigurationLimit.Duration,
		TargetsLimit:        s.TargetsLimit.Duration,
		Now:                 clock.Now,
		Log:                 r.Log,
	}
	r.lease = &placement.Lease{
		Store: r.Store, Kind: leaseKind, Name: s.Zone, Holder: s.InstanceID, Incarnation: incarnation,
		QuietTime: s.OrderQuietTime.Duration + orderMargin, Now: clock.Now, Log: r.Log,
		Wanted: func() bool { return r.network.MayOrder() },
	}
	r.network = &peer.Network{
		Self:        peer.Member{ID: s.InstanceID, Zone: s.Zone, Address: s.Listen.Peers, Capacity: s.capacity()},
		Incarnation: incarnation,
		Seeds:       peerSeeds(s),
		Catalog:     r.catalog,
		Tracker:     tracker,
		Directory:   r.directory,
		Prompts:     r.prompts,
		Leaving:     r.leaving,
		Now:         clock.Now,
		Log:         r.Log,
	}
	r.meter = &quota.Meter{Window: s.AllowanceWindow.Duration, Fraction: r.network.Fraction, Share: r.network.Tell, Now: clock.Now}
	r.network.Meter = r.meter
	r.budget = &retry.Budget{Ratio: s.Retry.Ratio, Extra: s.Retry.Extra, Members: r.network.Members}
	r.holder = r.Platform.Holder
	r.holder.Zone, r.holder.Lease = s.Zone, r.lease
	r.holder.Targets, r.holder.Service = r.catalog.Targets, r.service
	r.holder.NewestVersion, r.holder.InUse = r.catalog.Version, r.network.InUse
	r.holder.Now, r.holder.Log = clock.Now, r.Log
	r.network.Holder = r.holder
	r.client = r.Platform.Client
	r.server = r.Platform.Gateway
	r.server.Zone, r.server.KeyLimit = s.Zone, s.KeyLimit.Duration-keyMargin
	r.server.Catalog, r.server.Network, r.server.Meter, r.server.Budget = r.catalog, r.network, r.meter, r.budget
	r.server.Detector, r.server.Tracker, r.server.Directory, r.server.Upstream = r.detector, tracker, r.directory, r.client
	r.server.Demand = &placement.Demand{Now: clock.Now}
	r.server.Leaving, r.server.Now, r.server.Log = r.leavingFor, clock.Now, r.Log
	r.server.Metrics = gateway.NewMetrics(r.Registry)
	r.observe()
}

// orderMargin is added to the time between two holders' orders, for an order
// that is still on its way.
const orderMargin = 200 * time.Millisecond

// service returns a service of the configuration in force, or nil.
func (r *Relay) service(name string) *deployment.Service {
	if configuration := r.catalog.Configuration(); configuration != nil {
		return configuration.Services[name]
	}
	return nil
}

func (r *Relay) keepTargets(listed map[deployment.TargetID]deployment.Target) {
	r.directory.Keep(listed)
	r.prompts.Keep(listed)
	r.detector.Keep(listed)
}

// peerSeeds returns the seeds with the port of the protocol between instances,
// which is the same everywhere.
func peerSeeds(s Settings) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, seed := range s.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), s.Listen.Peers.Port()))
	}
	return seeds
}

type listeners struct {
	clients, ready, peers, metrics net.Listener
}

func (r *Relay) listen() (listeners, error) {
	var l listeners
	for _, entry := range []struct {
		name     string
		address  netip.AddrPort
		listener *net.Listener
	}{
		{"listen.clients", r.Settings.Listen.Clients, &l.clients},
		{"listen.ready", r.Settings.Listen.Ready, &l.ready},
		{"listen.peers", r.Settings.Listen.Peers, &l.peers},
		{"listen.metrics", r.Settings.Listen.Metrics, &l.metrics},
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

func (r *Relay) serveQuietly(name string, serve func() error) {
	if err := serve(); err != nil {
		r.Log.Error("serving ended", zap.String("listener", name), zap.Error(err))
	}
}

func (r *Relay) serveHTTP(ctx context.Context, name string, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		r.Log.Error("serving ended", zap.String("listener", name), zap.Error(err))
	}
}

// answerReady says whether the balancer should send new connections.
func (r *Relay) answerReady(w http.ResponseWriter, _ *http.Request) {
	if r.isReady() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// leavingFor returns how long the instance has been shutting down; false when it
// is not.
func (r *Relay) leavingFor() (time.Duration, bool) {
	if at := r.leftAt.Load(); at != nil {
		return clock.Since(*at), true
	}
	return 0, false
}

func (r *Relay) leaving() bool { return r.leftAt.Load() != nil }

// isReady says that requests can be served: the configuration and targets are
// known and the instance does not leave.
func (r *Relay) isReady() bool {
	ready := !r.leaving() && r.catalog.Configuration() != nil && len(r.catalog.Targets()) > 0
	if r.ready.Swap(ready) != ready {
		r.Log.Info("readiness changed", zap.Bool("ready", ready))
	}
	return ready
}

// drain leaves: the balancer and the other instances learn of it, the orders
// are given up, and requests are finished while the grace lasts.
func (r *Relay) drain(release context.CancelFunc) {
	now := clock.Now()
	r.leftAt.Store(&now)
	r.Log.Info("instance leaves", zap.String("instance", r.Settings.InstanceID), zap.Int64("underway", r.server.Underway()))
	release()
	ctx, cancel := context.WithTimeout(context.Background(), r.Settings.ShutdownGrace.Duration-shutdownMargin)
	defer cancel()
	r.network.Farewell(ctx)
	if wait.Sleep(ctx, leastDrain) == nil {
		r.server.Drain(ctx)
	}
}

// housekeep closes connections that were idle for too long and prepares the
// teams' allowances.
func (r *Relay) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.client.CloseIdle(time.Now())
		if configuration := r.catalog.Configuration(); configuration != nil {
			r.meter.Prepare(configuration.Teams)
		}
	}
}
