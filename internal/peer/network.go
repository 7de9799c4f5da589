// Package peer connects the instances of a deployment: each tells the others
// what it has under way, what it admitted, which engines it orders and how new
// its copy of the store is, and takes what the others know better.
//
// In a small fleet every instance exchanges with every other one. In a larger
// one, a few instances of each zone relay: the zone's instances exchange with
// them, and they exchange sums with the relays of the other zones.
package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/connection"
	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/load"
	"heatherrelay/internal/object"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/quota"
)

// The pace of the exchange between instances.
const (
	// tick is the time between looks at which exchanges are due.
	tick = 50 * time.Millisecond
	// exchangeInterval is the time between two exchanges that an instance starts
	// with each other one; each instance starts its own, so news travel in half
	// of it on average.
	exchangeInterval = 300 * time.Millisecond
	// relayInterval is the same towards the first relay of the own zone, which the
	// sums of all zones come from; zoneInterval towards that of another zone.
	relayInterval   = 100 * time.Millisecond
	zoneInterval    = 150 * time.Millisecond
	exchangeTimeout = 700 * time.Millisecond
	// newsInterval is the least time between exchanges that news start at once.
	newsInterval = 60 * time.Millisecond
	// heardTime is how long an instance counts as heard after its last word.
	heardTime = 1200 * time.Millisecond
	// forgetTime is how long a silent instance still counts as a member.
	forgetTime = 20 * time.Second
	// leaveTime is the same for one that said that it leaves.
	leaveTime = 3 * time.Second
	// useTime is how long what a silent instance had under way still counts.
	useTime         = 3 * time.Second
	connectTimeout  = 400 * time.Millisecond
	idleConnTimeout = 30 * time.Second
)

// Member is an instance.
type Member struct {
	ID      string
	Zone    string
	Address netip.AddrPort
	// Capacity says how much the instance can carry beside its own work.
	Capacity float64
}

// remote is what this instance knows of another.
type remote struct {
	Member
	incarnation string
	sequence    uint64
	leaving     bool
	holds       bool
	waiting     int
	// heardAt is when this instance, or one that told of it, last heard of it.
	heardAt time.Time
	// membersAt is when it was last told of the others.
	membersAt time.Time
	// failedAt is when a call to it last failed.
	failedAt time.Time
	// uses are what it told this instance itself, at toldAt.
	uses    map[deployment.TargetID]load.TargetUse
	toldAt  time.Time
	calling bool
	// calledAt is when the last exchange with it was started.
	calledAt time.Time
	client   heatherrelayv1connect.FleetServiceClient
	// received is what it relayed last.
	received received
}

// Network is this instance's part in the exchange. Set the exported fields
// before Run.
type Network struct {
	Self        Member
	Incarnation string
	// Seeds are addresses of instances that may be known before the store answers.
	Seeds     []netip.AddrPort
	Catalog   *catalog.Catalog
	Meter     *quota.Meter
	Tracker   *load.Tracker
	Holder    *placement.Holder
	Directory *placement.Directory
	// Leaving says that this instance shuts down.
	Leaving func() bool
	Now     func() time.Time
	Log     *zap.Logger

	once       sync.Once
	news       chan struct{}
	http       *http.Client
	mu         sync.RWMutex
	sequence   uint64
	remotes    map[string]*remote
	seeds      map[netip.AddrPort]heatherrelayv1connect.FleetServiceClient
	seedsAsked time.Time
	role       role
	// zones are the sums of zones that others relay.
	zones map[string]*zoneSum
	// uses are the sums of the others' uses; summed says that they hold what was
	// told last.
	uses      map[deployment.TargetID]load.Use
	summed    bool
	originals originals
	waits     map[string]waits
}

func (n *Network) init() {
	n.once.Do(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		dialer := &connection.Dialer{ConnectTimeout: connectTimeout, AckTimeout: exchangeTimeout}
		n.http = &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}}
		n.news = make(chan struct{}, 1)
		n.remotes = map[string]*remote{}
		n.zones = map[string]*zoneSum{}
		n.seeds = map[netip.AddrPort]heatherrelayv1connect.FleetServiceClient{}
		for _, s := range n.Seeds {
			if s != n.Self.Address {
				n.seeds[s] = n.client(s)
			}
		}
	})
}

func (n *Network) client(address netip.AddrPort) heatherrelayv1connect.FleetServiceClient {
	return heatherrelayv1connect.NewFleetServiceClient(n.http, "http://"+address.String())
}

// Handler serves the protocol between instances.
func (n *Network) Handler() http.Handler {
	n.init()
	mux := http.NewServeMux()
	mux.Handle(heatherrelayv1connect.NewFleetServiceHandler(&server{network: n}))
	return mux
}

// Serve serves the protocol on a listener until ctx ends.
func (n *Network) Serve(ctx context.Context, listener net.Listener) error {
	s := &http.Server{Handler: n.Handler(), ReadHeaderTimeout: connectTimeout * 10}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(listener); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// Run exchanges with the others until ctx ends.
func (n *Network) Run(ctx context.Context) {
	n.init()
	var group conc.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	told := false
	for {
		for _, call := range n.due(told) {
			group.Go(func() { n.exchange(ctx, call) })
		}
		told = false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.news:
			time.Sleep(newsInterval)
			told = true
		}
		n.forget()
		n.settleRole()
		n.unsum()
	}
}

// Tell starts an exchange with the others soon. It does not wait.
func (n *Network) Tell() {
	n.init()
	select {
	case n.news <- struct{}{}:
	default:
	}
}

// Farewell tells the others at once that this instance leaves.
func (n *Network) Farewell(ctx context.Context) {
	var group conc.WaitGroup
	for _, call := range n.due(true) {
		group.Go(func() { n.exchange(ctx, call) })
	}
	group.Wait()
}

// outgoing is one exchange to start.
type outgoing struct {
	id     string
	client heatherrelayv1connect.FleetServiceClient
}

// due returns the instances to exchange with now, all of them if there are news,
// without those that have not answered the last exchange yet. Seeds are asked
// until they are known by name.
func (n *Network) due(news bool) []outgoing {
	n.mu.Lock()
	defer n.mu.Unlock()
	var calls []outgoing
	known := map[netip.AddrPort]bool{}
	for _, r := range n.remotes {
		known[r.Address] = true
	}
	now := n.Now()
	for _, p := range n.partners() {
		if !p.calling && (news || now.Sub(p.calledAt) >= p.interval-tick/2) {
			p.calling, p.calledAt = true, now
			calls = append(calls, outgoing{id: p.ID, client: p.client})
		}
	}
	if !news && now.Sub(n.seedsAsked) < exchangeInterval {
		return calls
	}
	n.seedsAsked = now
	for address, client := range n.seeds {
		if !known[address] {
			calls = append(calls, outgoing{client: client})
		}
	}
	return calls
}

func (n *Network) exchange(ctx context.Context, call outgoing) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := n.request(call.id)
	sentAt := n.Now()
	response, err := call.client.Exchange(ctx, request)
	n.mu.Lock()
	if r, ok := n.remotes[call.id]; ok {
		r.calling = false
	}
	n.mu.Unlock()
	if err != nil {
		n.Log.Debug("no exchange", zap.String("peer", call.id), zap.Error(err))
		return
	}
	n.hear(response.GetResponder())
	n.learnMembers(response.GetMembers(), sentAt)
	n.takeRelayed(response)
	n.takeZones(response, sentAt)
	for _, b := range response.GetBeliefs() {
		n.takeBelief(b, sentAt)
	}
}

// learnMembers takes what another instance knows of the others.
func (n *Network) learnMembers(members []*v1.Member, sentAt time.Time) {
	for _, message := range members {
		m := memberFrom(message)
		n.Learn(m)
		n.mu.Lock()
		if r, ok := n.remotes[m.ID]; ok {
			r.hearsay(message, sentAt)
		}
		n.mu.Unlock()
	}
}

// hearsay takes what a third instance heard, if that is newer.
func (r *remote) hearsay(m *v1.Member, sentAt time.Time) {
	heardAt := sentAt.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	if !heardAt.After(r.heardAt) {
		return
	}
	r.heardAt, r.Capacity = heardAt, m.GetCapacity()
	r.takeStatus(m)
}

func (r *remote) takeStatus(m *v1.Member) {
	r.leaving, r.holds, r.waiting = m.GetLeaving(), m.GetHoldsOrders(), int(m.GetWaitingLoads())
}

// Learn adds an instance that was not known.
func (n *Network) Learn(m Member) {
	n.init()
	if m.ID == n.Self.ID || !m.Address.IsValid() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.remotes[m.ID]; !ok {
		n.remotes[m.ID] = &remote{Member: m, heardAt: n.Now(), client: n.client(m.Address)}
		n.Log.Debug("instance learned of", zap.String("peer", m.ID), zap.String("zone", m.Zone), zap.Stringer("address", m.Address))
	}
}

// forget drops instances that have been silent for long.
func (n *Network) forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Now()
	for id, r := range n.remotes {
		limit := forgetTime
		if r.leaving {
			limit = leaveTime
		}
		if silence := now.Sub(r.heardAt); silence > limit {
			delete(n.remotes, id)
			n.originals.spendings.drop(func(s *v1.Spending) bool { return s.GetInstanceId() == id })
			n.Meter.Forget(id)
			n.Log.Info("instance forgotten", zap.String("peer", id), zap.Duration("silence", silence), zap.Bool("leaving", r.leaving))
		}
	}
}

// hear takes another instance's state.
func (n *Network) hear(s *v1.InstanceState) {
	m := memberFrom(s.GetMember())
	if m.ID == "" || m.ID == n.Self.ID || !m.Address.IsValid() {
		return
	}
	n.mu.Lock()
	r, ok := n.remotes[m.ID]
	if !ok || r.Address != m.Address {
		r = &remote{Member: m, client: n.client(m.Address)}
		n.remotes[m.ID] = r
	}
	stale := r.incarnation == s.GetIncarnation() && s.GetSequence() <= r.sequence
	since := n.Now().Sub(r.toldAt)
	if !stale {
		if !r.leaving && s.GetMember().GetLeaving() {
			n.Log.Info("instance leaves", zap.String("peer", m.ID))
		}
		r.Member, r.incarnation, r.sequence = m, s.GetIncarnation(), s.GetSequence()
		r.takeStatus(s.GetMember())
		r.heardAt, r.toldAt = n.Now(), n.Now()
		r.uses = usesFrom(s.GetTargets())
		n.summed = false
	}
	direct := n.countsDirectly(r)
	n.mu.Unlock()
	if stale {
		return
	}
	if direct {
		n.noteUses(s.GetTargets(), since)
	}
	n.takeSpending(spendingOf(s))
	for _, e := range s.GetEngines() {
		n.takeEngine(e, n.Now())
	}
}

// usualDuration is about how long a request runs. A request that is seen under
// way counts as used by the part of it that passed since the last sighting.
const usualDuration = 1500 * time.Millisecond

// noteUses tells the holder of orders which adapters other instances use, as seen
// a while after the last sighting.
func (n *Network) noteUses(uses []*v1.TargetUse, since time.Duration) {
	weight := float64(min(max(since, 0), exchangeInterval)) / float64(usualDuration)
	for _, u := range uses {
		for _, a := range u.GetAdapters() {
			name := deployment.AdapterName{Model: a.GetModel(), Adapter: a.GetAdapter()}
			n.Holder.Used(deployment.TargetID(u.GetTargetId()), name, weight*float64(a.GetRequests()))
		}
	}
}

// takeBelief takes a peer's copy of objects of the store. The peer's age counts
// from before the exchange was sent.
func (n *Network) takeBelief(b *v1.Belief, sentAt time.Time) {
	f, ok := n.Catalog.Followers()[object.Kind(b.GetState().GetKind())]
	if !ok {
		return
	}
	f.Merge(stateFrom(b.GetState(), sentAt), b.GetComplete(), objectsFrom(b.GetObjects()))
}
