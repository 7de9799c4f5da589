package instance

import (
	"context"
	"crypto/tls"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"heatherrelay/internal/callerapi"
	"heatherrelay/internal/certificate"
	"heatherrelay/internal/dispatch"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/key"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
	"heatherrelay/internal/team"
	"heatherrelay/pkg/release"
)

const (
	notReadyRetryAfter  = 2 * time.Second
	staleKeysRetryAfter = 5 * time.Second
	permitPollInterval  = 50 * time.Millisecond
)

// assemble creates all components and connects them. It starts none of them.
func (i *Instance) assemble() error {
	if err := i.loadPeerCertificates(); err != nil {
		return err
	}
	store := i.store()
	i.peers = &Peers{InstanceID: i.Settings.Instance, TLS: i.peerClientTLS()}
	i.directory = &Directory{Store: store, Term: i.Settings.Lease.Term.Duration, Interval: directoryInterval, Log: i.Log}
	i.renewer = &objectstore.Renewer{
		Store:    store,
		Key:      objectstore.InstanceLeaseKey(i.Settings.Instance),
		Lease:    objectstore.HeldLease{Term: i.Settings.Lease.Term.Duration, Margin: i.Settings.Lease.Margin.Duration},
		Interval: i.Settings.Lease.RenewEvery.Duration,
		Value:    i.leaseValue,
		Resync:   func(ctx context.Context) error { return i.ownership.Resync(ctx) },
		OnError:  func(err error) { i.Log.Warn("lease_not_renewed", zap.Error(err)) },
	}
	i.follower = &publication.Follower{
		Store:    store,
		Peers:    i.peerIDs,
		PullPeer: i.pullFromPeer,
		// Before the directory is loaded, a starting instance sees no peers and
		// would conclude that it is the first instance.
		PeersKnown: i.directory.Loaded,
		OnError:    func(err error) { i.Log.Debug("release_pull_failed", zap.Error(err)) },
	}
	i.allowances = &team.Allowances{
		Zone:            i.Settings.Zone,
		InstanceID:      i.Settings.Instance,
		Store:           store,
		State:           i.follower.State,
		Peers:           i.allowanceDonors,
		RequestTransfer: i.requestAllowance,
		Gone:            i.directory.Gone,
		LoadsPerSecond:  i.Settings.Loads.PerSecond,
		LoadPermits:     float64(i.Settings.Loads.InFlight),
		Log:             i.Log,
	}
	i.assembleTargets(store)
	i.sender = &dispatch.Sender{
		Targets:       i.serviceTargets,
		Store:         store,
		Forward:       i.forwardCall,
		StoreTimeout:  i.Settings.Platform.RequestTimeout.Duration,
		Retention:     i.Settings.Dispatch.Retention.Duration,
		SweepInterval: i.Settings.Dispatch.SweepEvery.Duration,
	}
	i.assemblePeerServer()
	i.assembleMetrics()
	return i.assembleCallerServer()
}

func (i *Instance) store() objectstore.Store {
	if i.Store != nil {
		return *i.Store
	}
	client := &objectstore.Client{
		Address:     i.Settings.Platform.Address,
		CallTimeout: i.Settings.Platform.RequestTimeout.Duration,
	}
	return client.Store()
}

func (i *Instance) assembleTargets(store objectstore.Store) {
	i.ownership = &Ownership{
		Zone:          i.Settings.Zone,
		Self:          Member{ID: i.Settings.Instance, Incarnation: i.incarnation},
		GroupCount:    i.Settings.Targets.GroupsPerZone,
		Store:         store,
		Directory:     i.directory,
		LeaseValid:    i.renewer.Valid,
		PeersQueried:  func() bool { return i.syncer.PeersQueried(time.Now()) },
		Leaving:       i.leaving.Load,
		Ready:         i.ready,
		WatchWait:     i.Settings.Platform.WatchWait.Duration,
		NewOwner:      i.newOwner,
		PublishClaims: i.publishClaims,
		Log:           i.Log,
	}
	i.router = &Router{
		Zone:       i.Settings.Zone,
		BaseModel:  i.baseModel,
		Ownership:  i.ownership,
		Directory:  i.directory,
		Peers:      i.peers,
		InstanceID: i.Settings.Instance,
	}
	i.syncer = &Syncer{
		Router:     i.router,
		Ownership:  i.ownership,
		Directory:  i.directory,
		Peers:      i.peers,
		Interval:   i.Settings.Targets.SyncEvery.Duration,
		StaleAfter: i.Settings.Lease.Term.Duration,
		Log:        i.Log,
	}
	i.states = &StateLog{
		Epoch:   i.incarnation,
		States:  i.ownership.States,
		Release: func() uint64 { return i.follower.State().Number },
		Leaving: i.leaving.Load,
	}
}

// newOwner returns an owner for the target e of group g. It does not start it.
func (i *Instance) newOwner(e objectstore.TargetEntry, g Group, authority func(time.Time) target.Authority) *target.Owner {
	engine := &target.Engine{
		Address:      e.Address,
		SilenceLimit: i.Settings.Targets.SilenceLimit.Duration,
		OrderTimeout: team.LoadTimeout,
	}
	o := &target.Owner{
		TargetID:       e.ID,
		BaseModel:      e.BaseModel,
		Engine:         engine.Calls(),
		FencingNumber:  g.FencingNumber,
		ChecksFencing:  i.follower.State().Target(e.ID).ChecksFencing,
		Inherited:      g.Previous != "",
		Authority:      authority,
		AcquireLoad:    i.acquireLoad,
		QueueItems:     i.Settings.Limits.QueueItems,
		QueueTokens:    i.Settings.Limits.QueueTokens,
		ReportEvery:    i.Settings.Targets.ReportEvery.Duration,
		LongestRequest: i.Settings.Limits.LongestRequest(),
		MaxReportAge:   maxReportAge,
		Observer:       i.targetObserver(),
		Log:            i.Log,
	}
	if g.Previous != "" && g.Previous != i.Settings.Instance {
		o.PreviousInUse = i.syncer.PreviousInUse(g.Previous, e.ID)
	}
	return o
}

// acquireLoad waits for a permit to load an adapter from the weight store. The
// returned function settles the permit. If ctx ends first, acquireLoad returns
// the last refusal.
func (i *Instance) acquireLoad(ctx context.Context) (func(), error) {
	for {
		permit, err := i.allowances.AdmitLoad(ctx)
		if err == nil {
			return func() { permit.Settle(1) }, nil
		}
		if !sleep(ctx, max(permitPollInterval, refusal.From(err).RetryAfter/2)) {
			return nil, err
		}
	}
}

func (i *Instance) assemblePeerServer() {
	i.peerServer = &PeerServer{
		RunRequest:    i.router.ExecuteForPeer,
		Call:          i.sender.SendLocal,
		GrantTransfer: i.allowances.GrantTransfer,
		ReleasesAfter: i.releasesAfter,
		ChangesSince:  i.states.ChangesSince,
		ApplyClaims:   i.ownership.ApplyClaims,
	}
}

func (i *Instance) assembleCallerServer() error {
	config, err := i.callerTLS()
	if err != nil {
		return err
	}
	limits := i.Settings.Limits
	i.callerServer = &callerapi.Server{
		State:              i.servedState,
		Authenticate:       authenticate,
		CheckKeysConfirmed: i.checkKeysConfirmed,
		Admit:              i.allowances.Admit,
		Execute:            i.router.Execute,
		Call:               i.sender.Send,
		CheckReady:         i.checkReadiness,
		Observe:            i.recordOutcome,
		Listener:           i.listeners.callers,
		TLS:                config,
		Limits: callerapi.Limits{
			MaxBodyBytes:     limits.MaxBodyBytes,
			DefaultMaxTokens: limits.DefaultMaxTokens,
			MaxTokens:        limits.MaxTokens,
			BytesPerToken:    limits.BytesPerToken,
			RequestTimeout:   limits.RequestTimeout.Duration,
			PatientTimeout:   limits.PatientTimeout.Duration,
			RequestsInFlight: limits.RequestsInFlight,
		},
		DrainDelay: i.Settings.Shutdown.DrainDelay.Duration,
		Grace:      i.Settings.Shutdown.Grace.Duration,
		Log:        i.Log,
	}
	return nil
}

// authenticate returns the key that a caller's token belongs to, or an error if
// the token is malformed or not valid in s.
func authenticate(s *release.State, token string) (release.Key, error) {
	k, err := key.Parse(token)
	if err != nil {
		return release.Key{}, err
	}
	if _, err := k.Team(s); err != nil {
		return release.Key{}, err
	}
	granted, _ := s.Key(k.ID)
	return granted, nil
}

// baseModel returns the base model of an adapter in the release in force.
func (i *Instance) baseModel(adapterID string) (string, bool) {
	a, ok := i.follower.State().Adapter(adapterID)
	return a.BaseModel, ok
}

// servedState returns the release state that requests are checked against. It
// is nil until the follower is ready, because an older state may still contain
// withdrawn keys.
func (i *Instance) servedState() *release.State {
	if !i.follower.Ready() {
		return nil
	}
	return i.follower.State()
}

// checkReadiness returns an error if the instance should get no new requests:
// while it shuts down, or before it has read the releases and the target list.
func (i *Instance) checkReadiness() error {
	switch {
	case i.leaving.Load():
		return refusal.NotRun(refusal.CodeShuttingDown, "this instance is shutting down").WithRetryAfter(notReadyRetryAfter)
	case !i.ready():
		return refusal.NotRun(refusal.CodeNotReady, "this instance has not yet read the releases and the target list").WithRetryAfter(notReadyRetryAfter)
	}
	return nil
}

// checkKeysConfirmed returns an error if the key list has not been confirmed as
// current for longer than the stale key limit. A limit of zero means no limit.
func (i *Instance) checkKeysConfirmed() error {
	limit := i.Settings.Keys.StaleKeyLimit.Duration
	if limit == 0 || time.Since(i.follower.ConfirmedAt()) <= limit {
		return nil
	}
	return refusal.NotRun(refusal.CodeKeysStale, "withdrawn keys have not been confirmed for %s", limit).WithRetryAfter(staleKeysRetryAfter)
}

// peerIDs returns the IDs of the other live instances of all zones, which may
// have newer release notes.
func (i *Instance) peerIDs() []string {
	var ids []string
	for _, l := range i.directory.Live("") {
		if l.ID != i.Settings.Instance {
			ids = append(ids, l.ID)
		}
	}
	return ids
}

// pullFromPeer requests from a peer the release notes with numbers above after.
func (i *Instance) pullFromPeer(ctx context.Context, id string, after uint64) (publication.PullResponse, error) {
	address, err := i.peerAddress(id)
	if err != nil {
		return publication.PullResponse{}, err
	}
	m, err := i.peers.PullReleases(ctx, address, after)
	if err != nil {
		return publication.PullResponse{}, err
	}
	return publication.PullResponseFromMessage(m)
}

// releasesAfter returns the answer to a peer that requests the release notes with
// numbers above after: the notes, or a snapshot if they are no longer all kept.
func (i *Instance) releasesAfter(after uint64) (*v1.PullReleasesResponse, error) {
	releases, err := i.follower.Pull(after, time.Now())
	if err != nil {
		return nil, err
	}
	return releases.Message()
}

// peerAddress returns the address on which an instance serves its peers. For an
// instance that is not in the directory it returns an error of class ErrUnknownPeer.
func (i *Instance) peerAddress(id string) (netip.AddrPort, error) {
	address, ok := i.directory.Address(id)
	if !ok {
		return netip.AddrPort{}, ErrUnknownPeer.New("%s", id)
	}
	return address, nil
}

// allowanceDonors returns the live peers, which can grant allowance.
func (i *Instance) allowanceDonors() []team.Peer {
	var donors []team.Peer
	for _, l := range i.directory.Live("") {
		if l.ID != i.Settings.Instance {
			donors = append(donors, team.Peer{ID: l.ID, Zone: l.Zone})
		}
	}
	return donors
}

// requestAllowance sends a transfer request to the instance with the given ID.
func (i *Instance) requestAllowance(ctx context.Context, id string, r team.TransferRequest) (team.TransferReply, error) {
	address, err := i.peerAddress(id)
	if err != nil {
		return team.TransferReply{}, err
	}
	return i.peers.Transfer(ctx, address, r)
}

// publishClaims sends the groups that this instance acquired to all live peers
// of its zone. It does not wait for them; failures are only logged.
func (i *Instance) publishClaims(ctx context.Context, claims []*v1.GroupClaim) {
	for _, l := range i.directory.Live(i.Settings.Zone) {
		if l.ID == i.Settings.Instance {
			continue
		}
		go func() {
			if err := i.peers.Claim(context.WithoutCancel(ctx), l.Peer, claims); err != nil {
				i.Log.Debug("claim_not_told", zap.String("peer", l.ID), zap.Error(err))
			}
		}()
	}
}

// servePeers serves the protocol between instances until ctx ends.
func (i *Instance) servePeers(ctx context.Context) error {
	_, handler := heatherrelayv1connect.NewPeerServiceHandler(i.peerServer, connect.WithCompressMinBytes(peerCompressMinBytes))
	return servePeers(ctx, i.listeners.peers, handler, i.peerServerTLS(), shutdownStepTimeout)
}

// loadPeerCertificates sets peerFiles and checks that the files are usable.
// With plain-text peer connections peerFiles stays nil.
func (i *Instance) loadPeerCertificates() error {
	peers := i.Settings.TLS.Peers
	if peers.Plain {
		return nil
	}
	i.peerFiles = &certificate.Files{Certificate: peers.Certificate, Key: peers.Key, CA: peers.CA}
	return i.peerFiles.Load()
}

func (i *Instance) peerClientTLS() *tls.Config {
	if i.peerFiles == nil {
		return nil
	}
	return i.peerFiles.Client()
}

func (i *Instance) peerServerTLS() *tls.Config {
	if i.peerFiles == nil {
		return nil
	}
	return i.peerFiles.Server("h2")
}

// callerTLS returns the TLS configuration of the listeners for callers and
// operators, or nil if callers connect in plain text.
func (i *Instance) callerTLS() (*tls.Config, error) {
	callers := i.Settings.TLS.Callers
	if callers.Plain {
		return nil, nil
	}
	files := &certificate.Files{Certificate: callers.Certificate, Key: callers.Key}
	if err := files.Load(); err != nil {
		return nil, err
	}
	return files.Server("http/1.1"), nil
}
