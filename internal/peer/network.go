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
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/load"
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
	// useTime is how long what a silent instance had under way still counts.
	useTime         = 3 * time.Second
	connectTimeout  = 400 * time.Millisecond
	idleConnTimeout = 30 * time.Second
)

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
	Prompts   *placement.PromptPacer
	// Leaving says that this instance shuts down.
	Leaving func() bool
	Now     func() time.Time
	Log     *zap.Logger

	once     sync.Once
	news     chan struct{}
	http     *http.Client
	mu       sync.RWMutex
	sequence uint64
	remotes  map[string]*remote
	seeds    map[netip.AddrPort]heatherrelayv1connect.FleetServiceClient
	// searchedAt is when a silent instance and the seeds were last tried.
	searchedAt time.Time
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
// without those that have not answered the last exchange yet. One that is silent
// is tried with them: those that relay for it may have ended. Seeds are asked
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
	if !news && now.Sub(n.searchedAt) < exchangeInterval {
		return calls
	}
	n.searchedAt = now
	if r := n.silent(now); r != nil {
		r.calling, r.calledAt = true, now
		calls = append(calls, outgoing{id: r.ID, client: r.client})
	}
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
