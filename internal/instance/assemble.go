package instance

import (
	"context"
	"crypto/tls"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"heatherrelay/internal/certificate"
	"heatherrelay/internal/dispatch"
	"heatherrelay/internal/entry"
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
	notReadyRetry   = 2 * time.Second
	staleKeysRetry  = 5 * time.Second
	permitPollPause = 50 * time.Millisecond
)

// assemble sets the fields of all slices; nothing runs yet.
func (i *Instance) assemble() error {
	if err := i.loadPeerCertificates(); err != nil {
		return err
	}
	store := i.store()
	i.peers = &Peers{InstanceID: i.Settings.Instance, TLS: i.peerClientTLS()}
	i.directory = &Directory{Store: store, Term: i.Settings.Lease.Term.Duration, Every: directoryEvery, Log: i.Log}
	i.renewer = &objectstore.Renewer{
		Store:    store,
		Key:      objectstore.InstanceLeaseKey(i.Settings.Instance),
		Holding:  objectstore.Holding{Term: i.Settings.Lease.Term.Duration, Margin: i.Settings.Lease.Margin.Duration},
		Interval: i.Settings.Lease.RenewEvery.Duration,
		Value:    i.leaseValue,
		Regain:   func(ctx context.Context) error { return i.ownership.Resync(ctx) },
		Failed:   func(err error) { i.Log.Warn("lease_not_renewed", zap.Error(err)) },
	}
	i.follower = &publication.Follower{
		Store:    store,
		Peers:    i.peerIDs,
		PullPeer: i.pullPeer,
		// Without the directory an instance that starts would take itself for the first.
		PeersKnown: i.directory.Loaded,
		Failed:     func(err error) { i.Log.Debug("release_pull_failed", zap.Error(err)) },
	}
	i.allowances = &team.Allowances{
		Zone:           i.Settings.Zone,
		InstanceID:     i.Settings.Instance,
		Store:          store,
		State:          i.follower.State,
		Peers:          i.lenders,
		Ask:            i.askAllowance,
		Gone:           i.directory.Gone,
		LoadsPerSecond: i.Settings.Loads.PerSecond,
		LoadPermits:    float64(i.Settings.Loads.InFlight),
		Log:            i.Log,
	}
	i.assembleTargets(store)
	i.sender = &dispatch.Sender{
		Targets:      i.serviceTargets,
		Store:        store,
		Forward:      i.forwardCall,
		StoreTimeout: i.Settings.Platform.RequestTimeout.Duration,
		Retention:    i.Settings.Dispatch.Retention.Duration,
		SweepEvery:   i.Settings.Dispatch.SweepEvery.Duration,
	}
	i.assemblePeerServer()
	i.assembleMetrics()
	return i.assembleEntry()
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
		Zone:       i.Settings.Zone,
		Self:       Member{ID: i.Settings.Instance, Incarnation: i.incarnation},
		GroupCount: i.Settings.Targets.GroupsPerZone,
		Store:      store,
		Directory:  i.directory,
		LeaseValid: i.renewer.Valid,
		AskedPeers: func() bool { return i.syncer.Asked(time.Now()) },
		Leaving:    i.leaving.Load,
		Ready:      i.ready,
		WatchWait:  i.Settings.Platform.WatchWait.Duration,
		NewOwner:   i.newOwner,
		Tell:       i.tellClaims,
		Log:        i.Log,
	}
	i.router = &Router{
		Zone:      i.Settings.Zone,
		BaseModel: i.baseModel,
		Ownership: i.ownership,
		Directory: i.directory,
		Peers:     i.peers,
		Self:      i.Settings.Instance,
	}
	i.syncer = &Syncer{
		Router:     i.router,
		Ownership:  i.ownership,
		Directory:  i.directory,
		Peers:      i.peers,
		Every:      i.Settings.Targets.SyncEvery.Duration,
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

// newOwner makes the owner of one target.
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
		ReportLag:      reportLag,
		Observe:        i.targetObserver(),
		Log:            i.Log,
	}
	if g.Previous != "" && g.Previous != i.Settings.Instance {
		o.PreviousInUse = i.syncer.Former(g.Previous, e.ID)
	}
	return o
}

// acquireLoad waits for a permit to load from the weight store.
func (i *Instance) acquireLoad(ctx context.Context) (func(), error) {
	for {
		permit, err := i.allowances.AdmitLoad(ctx)
		if err == nil {
			return func() { permit.Settle(1) }, nil
		}
		if !sleep(ctx, max(permitPollPause, refusal.From(err).RetryAfter/2)) {
			return nil, err
		}
	}
}

func (i *Instance) assemblePeerServer() {
	i.peerServer = &PeerServer{
		Run:     i.router.ExecuteForPeer,
		Call:    i.sender.SendHere,
		Give:    i.allowances.Give,
		Pull:    i.pulled,
		Changes: i.states.Since,
		Claimed: i.ownership.Heard,
	}
}

func (i *Instance) assembleEntry() error {
	config, err := i.callerTLS()
	if err != nil {
		return err
	}
	limits := i.Settings.Limits
	i.entry = &entry.Server{
		State:         i.servedState,
		Authenticate:  authenticate,
		KeysConfirmed: i.keysConfirmed,
		Admit:         i.allowances.Admit,
		Execute:       i.router.Execute,
		Call:          i.sender.Send,
		Ready:         i.readiness,
		Observe:       i.observe,
		Listener:      i.listeners.callers,
		TLS:           config,
		Limits: entry.Limits{
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

func (i *Instance) baseModel(adapterID string) (string, bool) {
	a, ok := i.follower.State().Adapter(adapterID)
	return a.BaseModel, ok
}

// servedState returns the releases in force, or nil before they have been read:
// an older state could still hold keys that were withdrawn.
func (i *Instance) servedState() *release.State {
	if !i.follower.Ready() {
		return nil
	}
	return i.follower.State()
}

// readiness says why the instance should get no new callers.
func (i *Instance) readiness() error {
	switch {
	case i.leaving.Load():
		return refusal.NotRun(refusal.CodeShuttingDown, "this instance is shutting down").After(notReadyRetry)
	case !i.ready():
		return refusal.NotRun(refusal.CodeNotReady, "this instance has not yet read the releases and the target list").After(notReadyRetry)
	}
	return nil
}

// keysConfirmed fails when withdrawals could not be learned for too long.
func (i *Instance) keysConfirmed() error {
	limit := i.Settings.Keys.StaleKeyLimit.Duration
	if limit == 0 || time.Since(i.follower.ConfirmedAt()) <= limit {
		return nil
	}
	return refusal.NotRun(refusal.CodeStaleKeys, "withdrawn keys have not been confirmed for %s", limit).After(staleKeysRetry)
}

// peerIDs returns the instances that may have newer release notes.
func (i *Instance) peerIDs() []string {
	var ids []string
	for _, l := range i.directory.Live("") {
		if l.ID != i.Settings.Instance {
			ids = append(ids, l.ID)
		}
	}
	return ids
}

func (i *Instance) pullPeer(ctx context.Context, id string, after uint64) (publication.Pulled, error) {
	address, err := i.address(id)
	if err != nil {
		return publication.Pulled{}, err
	}
	m, err := i.peers.PullReleases(ctx, address, after)
	if err != nil {
		return publication.Pulled{}, err
	}
	return publication.PulledFrom(m)
}

func (i *Instance) pulled(after uint64) (*v1.PullReleasesResponse, error) {
	pulled, err := i.follower.Pull(after, time.Now())
	if err != nil {
		return nil, err
	}
	return pulled.Message()
}

func (i *Instance) address(id string) (netip.AddrPort, error) {
	address, ok := i.directory.Address(id)
	if !ok {
		return netip.AddrPort{}, ErrNoPeer.New("%s", id)
	}
	return address, nil
}

// lenders returns the instances that may lend allowance.
func (i *Instance) lenders() []team.Peer {
	var lenders []team.Peer
	for _, l := range i.directory.Live("") {
		if l.ID != i.Settings.Instance {
			lenders = append(lenders, team.Peer{ID: l.ID, Zone: l.Zone})
		}
	}
	return lenders
}

func (i *Instance) askAllowance(ctx context.Context, id string, r team.TransferRequest) (team.TransferReply, error) {
	address, err := i.address(id)
	if err != nil {
		return team.TransferReply{}, err
	}
	return i.peers.Transfer(ctx, address, r)
}

// tellClaims spreads word of groups taken to the zone's instances.
func (i *Instance) tellClaims(ctx context.Context, claims []*v1.GroupClaim) {
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

func (i *Instance) servePeers(ctx context.Context) error {
	_, handler := heatherrelayv1connect.NewPeerServiceHandler(i.peerServer, connect.WithCompressMinBytes(peerCompressMinBytes))
	return servePeers(ctx, i.listeners.peers, handler, i.peerServerTLS(), lastActsTime)
}

func (i *Instance) loadPeerCertificates() error {
	peers := i.Settings.TLS.Peers
	if peers.Plain {
		return nil
	}
	i.peerFiles = &certificate.Files{Certificate: peers.Certificate, Key: peers.Key, CA: peers.CA}
	return i.peerFiles.Check()
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

func (i *Instance) callerTLS() (*tls.Config, error) {
	callers := i.Settings.TLS.Callers
	if callers.Plain {
		return nil, nil
	}
	files := &certificate.Files{Certificate: callers.Certificate, Key: callers.Key}
	if err := files.Check(); err != nil {
		return nil, err
	}
	return files.Server("http/1.1"), nil
}
