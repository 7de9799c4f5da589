// Package instance joins the slices into a running instance: membership, the
// protocol between instances, ownership of targets, routing, and the life cycle
// from the first lease to the graceful shutdown.
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
	"heatherrelay/internal/certificate"
	"heatherrelay/internal/dispatch"
	"heatherrelay/internal/entry"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/internal/settings"
	"heatherrelay/internal/team"
)

const (
	directoryEvery = time.Second
	lastActsTime   = 5 * time.Second
	reportLag      = 5 * time.Second
)

// Instance is one running instance. All of them are equal and none keeps
// anything: roles are leases, and what must last is in the platform. Set the
// exported fields, then call Run once.
type Instance struct {
	Settings settings.Settings
	Log      *zap.Logger
	// Listening is called once all listeners are open; may be nil.
	Listening func(Addresses)
	// Store replaces the platform's client in tests.
	Store *objectstore.Store

	incarnation string
	startedAt   time.Time
	leaving     atomic.Bool
	addresses   Addresses
	listeners   listeners

	directory  *Directory
	renewer    *objectstore.Renewer
	follower   *publication.Follower
	allowances *team.Allowances
	ownership  *Ownership
	router     *Router
	syncer     *Syncer
	peers      *Peers
	states     *StateLog
	sender     *dispatch.Sender
	entry      *entry.Server
	peerServer *PeerServer
	peerFiles  *certificate.Files
	metrics    *burn.Metrics
}

// Addresses are the addresses that an instance listens on.
type Addresses struct {
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
	Metrics netip.AddrPort `json:"metrics"`
	// Administration is not set while the API is not served.
	Administration netip.AddrPort `json:"administration,omitzero"`
}

type listeners struct {
	callers net.Listener
	peers   net.Listener
	metrics net.Listener
	// administration is nil while the API is not served.
	administration net.Listener
}

// Run serves until ctx ends, then shuts down gracefully: it leaves the
// balancer, hands its leases on and finishes what runs. It returns nil when no
// request was cut.
func (i *Instance) Run(ctx context.Context) error {
	i.incarnation = uuid.NewString()
	i.startedAt = time.Now()
	if err := i.listen(); err != nil {
		return err
	}
	if err := i.assemble(); err != nil {
		return err
	}
	if i.Listening != nil {
		i.Listening(i.addresses)
	}
	i.Log.Info("instance_started", zap.String("instance", i.Settings.Instance), zap.String("zone", i.Settings.Zone))
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	var tasks conc.WaitGroup
	i.start(duties, &tasks)
	err := i.serve(ctx)
	i.stop(stopDuties, &tasks)
	i.Log.Info("instance_stopped", zap.String("instance", i.Settings.Instance), zap.Error(err))
	return err
}

// listen opens the listeners, so that a taken address ends the start at once.
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

func boundAddress(listener net.Listener) netip.AddrPort {
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// start runs the duties until their context ends.
func (i *Instance) start(ctx context.Context, tasks *conc.WaitGroup) {
	tasks.Go(func() { i.renewer.Run(ctx) })
	tasks.Go(func() { i.directory.Run(ctx) })
	tasks.Go(func() { i.sweeper().Run(ctx) })
	tasks.Go(func() { i.snapshots().Run(ctx) })
	tasks.Go(func() { i.follower.Run(ctx) })
	tasks.Go(func() { i.ownership.Run(ctx) })
	tasks.Go(func() { i.syncer.Run(ctx) })
	tasks.Go(func() { i.report("allowances", i.allowances.Run(ctx)) })
	tasks.Go(func() { i.report("intents", i.sender.Run(ctx)) })
	if i.listeners.administration != nil {
		tasks.Go(func() { i.report("administration", i.serveAdministration(ctx)) })
	}
	tasks.Go(func() { i.report("peers", i.servePeers(ctx)) })
	tasks.Go(func() { i.report("metrics", i.metricsEndpoint().Run(ctx)) })
}

// report logs why a duty ended, if it failed.
func (i *Instance) report(duty string, err error) {
	if err != nil {
		i.Log.Error("duty_failed", zap.String("duty", duty), zap.Error(err))
	}
}

// serve answers callers until ctx ends and their requests are finished.
func (i *Instance) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		i.leaving.Store(true)
		i.Log.Info("instance_leaving", zap.String("instance", i.Settings.Instance))
		i.renew()
	})
	defer stop()
	return i.entry.Run(ctx)
}

// stop hands on what this instance holds and ends the duties.
func (i *Instance) stop(stopDuties context.CancelFunc, tasks *conc.WaitGroup) {
	i.leaving.Store(true)
	finishing, cancel := context.WithTimeout(context.Background(), i.Settings.Shutdown.Grace.Duration+lastActsTime)
	defer cancel()
	i.renew()
	i.ownership.Stop(finishing)
	stopDuties()
	tasks.Wait()
	last, cancelLast := context.WithTimeout(context.Background(), lastActsTime)
	defer cancelLast()
	if err := i.renewer.Release(last); err != nil {
		i.Log.Warn("lease_not_given_back", zap.Error(err))
	}
}

// renew writes the lease at once, so that others see a change of state.
func (i *Instance) renew() {
	ctx, cancel := context.WithTimeout(context.Background(), lastActsTime)
	defer cancel()
	if err := i.renewer.Renew(ctx); err != nil {
		i.Log.Warn("lease_not_renewed", zap.Error(err))
	}
}

// leaseValue is the lease object as written at each renewal.
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
		ReleaseConfirmedAgeMS: i.confirmedAge(),
		Leaving:               i.leaving.Load(),
		Ready:                 i.ready(),
		Groups:                i.ownership.Groups(),
	})
}

// confirmedAge is how long ago all accepted notes were known to be here, in
// milliseconds; negative when they never were.
func (i *Instance) confirmedAge() int64 {
	confirmed := i.follower.ConfirmedAt()
	if confirmed.IsZero() {
		return -1
	}
	return time.Since(confirmed).Milliseconds()
}

// ready reports whether the instance may answer callers.
func (i *Instance) ready() bool {
	return i.follower.Ready() && i.directory.Loaded()
}
