// Package instance assembles the components of a running instance: membership,
// the protocol between instances, ownership of targets, routing, and the life
// cycle from the first lease to the graceful shutdown.
package instance

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherrelay/internal/burn"
	"heatherrelay/internal/callerapi"
	"heatherrelay/internal/certificate"
	"heatherrelay/internal/dispatch"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/internal/settings"
	"heatherrelay/internal/team"
)

const (
	directoryInterval = time.Second
	// shutdownStepTimeout bounds each lease write and the closing of the peer
	// server during shutdown. It is also added to the grace of the target owners.
	shutdownStepTimeout = 5 * time.Second
	// maxReportAge is the largest age of an engine's load report.
	maxReportAge = 5 * time.Second
)

// Instance is one running instance. Instances are interchangeable and keep no
// durable state: roles are held by lease, and durable data is stored in the
// platform. Set the exported fields, then call Run once.
type Instance struct {
	Settings settings.Settings
	Log      *zap.Logger
	// OnListening is called once all listeners are open; may be nil.
	OnListening func(Addresses)
	// Store replaces the client of the platform's object store in tests.
	Store *objectstore.Store

	incarnation string
	startedAt   time.Time
	leaving     atomic.Bool
	addresses   Addresses
	listeners   listeners

	directory    *Directory
	renewer      *objectstore.Renewer
	follower     *publication.Follower
	allowances   *team.Allowances
	ownership    *Ownership
	router       *Router
	syncer       *Syncer
	peers        *Peers
	states       *StateLog
	sender       *dispatch.Sender
	callerServer *callerapi.Server
	peerServer   *PeerServer
	peerFiles    *certificate.Files
	metrics      *burn.Metrics
}

// Addresses holds the addresses that an instance listens on.
type Addresses struct {
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
	Metrics netip.AddrPort `json:"metrics"`
	// Administration is zero if the administration API is not served.
	Administration netip.AddrPort `json:"administration,omitzero"`
}

type listeners struct {
	callers net.Listener
	peers   net.Listener
	metrics net.Listener
	// administration is nil if the administration API is not served.
	administration net.Listener
}

// Run serves until ctx ends, then shuts down gracefully: it reports itself as
// not ready to the load balancer, hands over its target groups, finishes the
// requests in flight and releases its lease. It returns nil if no request was
// cut off.
func (i *Instance) Run(ctx context.Context) error {
	i.incarnation = uuid.NewString()
	i.startedAt = time.Now()
	if err := i.listen(); err != nil {
		return err
	}
	if err := i.assemble(); err != nil {
		return err
	}
	if i.OnListening != nil {
		i.OnListening(i.addresses)
	}
	i.Log.Info("instance_started", zap.String("instance", i.Settings.Instance), zap.String("zone", i.Settings.Zone))
	tasksCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	var tasks conc.WaitGroup
	i.startTasks(tasksCtx, &tasks)
	err := i.serve(ctx)
	i.shutDown(stopTasks, &tasks)
	i.Log.Info("instance_stopped", zap.String("instance", i.Settings.Instance), zap.Error(err))
	return err
}

// listen opens the listeners, so that an address already in use fails the start
// at once. Advertised addresses without a port get the bound port.
func (i *Instance) listen() error {
	var err error
	if i.listeners.callers, err = listenOn(i.Settings.Listen.Callers); err != nil {
		return err
	}
	if i.listeners.peers, err = listenOn(i.Settings.Listen.Peers); err != nil {
		return err
	}
	if i.listeners.metrics, err = listenOn(i.Settings.Listen.Metrics); err != nil {
		return err
	}
	if err := i.listenAdministration(); err != nil {
		return err
	}
	i.addresses.Callers = boundAddress(i.listeners.callers)
	i.addresses.Peers = boundAddress(i.listeners.peers)
	i.addresses.Metrics = boundAddress(i.listeners.metrics)
	if i.Settings.Advertise.Peers.Port() == 0 {
		i.Settings.Advertise.Peers = i.addresses.Peers
	}
	if i.Settings.Advertise.Metrics.Port() == 0 {
		i.Settings.Advertise.Metrics = netip.AddrPortFrom(i.Settings.Advertise.Peers.Addr(), i.addresses.Metrics.Port())
	}
	return nil
}

func listenOn(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, ErrListen.New("%s: %v", address, err)
	}
	return listener, nil
}

// boundAddress returns the address of a listener, with the port that the system
// chose if none was set.
func boundAddress(listener net.Listener) netip.AddrPort {
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// startTasks starts the background tasks, which run until ctx ends.
func (i *Instance) startTasks(ctx context.Context, tasks *conc.WaitGroup) {
	tasks.Go(func() { i.renewer.Run(ctx) })
	tasks.Go(func() { i.directory.Run(ctx) })
	tasks.Go(func() { i.leaseSweeper().Run(ctx) })
	tasks.Go(func() { i.snapshotWriter().Run(ctx) })
	tasks.Go(func() { i.follower.Run(ctx) })
	tasks.Go(func() { i.ownership.Run(ctx) })
	tasks.Go(func() { i.syncer.Run(ctx) })
	tasks.Go(func() { i.logTaskError("allowances", i.allowances.Run(ctx)) })
	tasks.Go(func() { i.logTaskError("intents", i.sender.Run(ctx)) })
	if i.listeners.administration != nil {
		tasks.Go(func() { i.logTaskError("administration", i.serveAdministration(ctx)) })
	}
	tasks.Go(func() { i.logTaskError("peers", i.servePeers(ctx)) })
	tasks.Go(func() { i.logTaskError("metrics", i.metricsEndpoint().Run(ctx)) })
}

// logTaskError logs the error that ended a background task, if any.
func (i *Instance) logTaskError(task string, err error) {
	if err != nil {
		i.Log.Error("duty_failed", zap.String("duty", task), zap.Error(err))
	}
}

// serve answers callers until ctx ends and the requests in flight have finished.
// As soon as ctx ends, the instance's lease shows it as leaving.
func (i *Instance) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		i.leaving.Store(true)
		i.Log.Info("instance_leaving", zap.String("instance", i.Settings.Instance))
		i.renewLease()
	})
	defer stop()
	return i.callerServer.Run(ctx)
}

// shutDown hands over the target groups, stops the background tasks and
// releases the lease.
func (i *Instance) shutDown(stopTasks context.CancelFunc, tasks *conc.WaitGroup) {
	i.leaving.Store(true)
	drainCtx, cancel := context.WithTimeout(context.Background(), i.Settings.Shutdown.Grace.Duration+shutdownStepTimeout)
	defer cancel()
	i.renewLease()
	i.ownership.Stop(drainCtx)
	stopTasks()
	tasks.Wait()
	releaseCtx, cancelRelease := context.WithTimeout(context.Background(), shutdownStepTimeout)
	defer cancelRelease()
	if err := i.renewer.Release(releaseCtx); err != nil {
		i.Log.Warn("lease_not_given_back", zap.Error(err))
	}
}

// renewLease renews the lease at once, so that the other instances see a changed
// state before the next periodic renewal.
func (i *Instance) renewLease() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownStepTimeout)
	defer cancel()
	if err := i.renewer.Renew(ctx); err != nil {
		i.Log.Warn("lease_not_renewed", zap.Error(err))
	}
}

// leaseValue returns the lease object to write at a renewal.
func (i *Instance) leaseValue(renewals uint64) ([]byte, error) {
	return json.Marshal(objectstore.InstanceLease{
		ID:                    i.Settings.Instance,
		Zone:                  i.Settings.Zone,
		Peer:                  i.Settings.Advertise.Peers,
		Metrics:               i.Settings.Advertise.Metrics,
		Incarnation:           i.incarnation,
		StartedAt:             i.startedAt,
		Renewals:              renewals,
		ReleaseInForce:        i.follower.State().Number,
		ReleaseConfirmedAgeMS: i.confirmedAgeMS(),
		Leaving:               i.leaving.Load(),
		Ready:                 i.ready(),
		Groups:                i.ownership.HeldGroups(),
	})
}

// confirmedAgeMS returns the time since this instance last confirmed that it has
// all accepted release notes, in milliseconds; -1 if it never did.
func (i *Instance) confirmedAgeMS() int64 {
	confirmed := i.follower.ConfirmedAt()
	if confirmed.IsZero() {
		return -1
	}
	return time.Since(confirmed).Milliseconds()
}

// ready reports whether the instance has read the releases and the target list,
// so that it can answer callers.
func (i *Instance) ready() bool {
	return i.follower.Ready() && i.directory.Loaded()
}
