package team_test

import (
	"context"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/team"
)

// leaseTerm is how long a lease must go without renewal before its holder
// counts as gone.
const leaseTerm = 10 * time.Second

// node is one instance of the model.
type node struct {
	id, zone     string
	share        team.Share
	reconciler   team.Reconciler
	release      uint64
	pausedAt     time.Time
	dead         bool
	leavingSince time.Time
	sequence     int
}

// message is a transfer request, or its reply, in transit.
type message struct {
	from, to *node
	request  team.TransferRequest
	reply    *team.TransferReply
}

// admission is a reservation that is not settled yet.
type admission struct {
	node   *node
	name   string
	tokens float64
}

// model runs the state machines of several instances in virtual time, in one
// goroutine, over one store. It checks all admissions against the oracles.
// Actions of other instances run in the middle of every store call.
type model struct {
	t         *rapid.T
	now       time.Time
	store     objectstore.Memory
	nodes     []*node
	messages  []message
	unsettled []admission
	releases  [][]team.Rate
	oracles   map[string]*oracle
	// pendingFloor is the lowest release in force at any live instance, since
	// pendingFloorAt. confirmedFloor is the last one that stayed so for
	// GrantedTerm.
	confirmedFloor, pendingFloor uint64
	pendingFloorAt               time.Time
	partitionedZones             map[string]bool
	storeOutage                  bool
	loseReplies                  bool
	// nesting is positive during setup and while an action runs inside a store
	// call. Store calls then run without interleaved actions.
	nesting int
	// disabledActions names the kinds of actions that are off in this run.
	disabledActions map[string]bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1_000_000, 0), partitionedZones: map[string]bool{}, oracles: map[string]*oracle{}, disabledActions: map[string]bool{}}
	m.releases = [][]team.Rate{nil}
	m.publish(map[string]team.Rate{"a": {TokensPerSecond: 100, BurstTokens: 1000}})
	m.start("z0")
	return m
}

// publish adds a release with the rates of the previous one and the changes.
func (m *model) publish(changed map[string]team.Rate) {
	var rates []team.Rate
	for _, r := range m.releases[len(m.releases)-1] {
		if c, ok := changed[r.Name]; ok {
			c.Name = r.Name
			r = c
			delete(changed, r.Name)
		}
		rates = append(rates, r)
	}
	for name, r := range changed {
		r.Name = name
		rates = append(rates, r)
		m.oracles[name] = &oracle{updated: m.now, addedRelease: uint64(len(m.releases))}
	}
	m.releases = append(m.releases, rates)
	m.updateOracles()
}

func (m *model) latest() uint64 { return uint64(len(m.releases) - 1) }

// updateOracles sets each oracle to the rates of the releases that instances
// may still spend under.
func (m *model) updateOracles() {
	lowest := m.latest()
	for _, n := range m.nodes {
		if !n.dead {
			lowest = min(lowest, n.release)
		}
	}
	if lowest != m.pendingFloor {
		m.pendingFloor, m.pendingFloorAt = lowest, m.now
	}
	if m.now.Sub(m.pendingFloorAt) >= team.GrantedTerm {
		m.confirmedFloor = m.pendingFloor
	}
	for name, o := range m.oracles {
		rate, burst := maxRateAndBurst(m.releases, min(m.confirmedFloor, m.pendingFloor), m.latest(), name)
		o.setLimits(m.now, rate, burst)
		if m.confirmedFloor < o.addedRelease {
			o.raiseInitialBurst(burst)
		}
	}
}

func (m *model) start(zone string) {
	n := &node{id: fmt.Sprint("i", len(m.nodes)), zone: zone}
	n.reconciler = team.Reconciler{
		Zone: zone, InstanceID: n.id, Epoch: "e", Store: m.storeFor(n),
		Now:           func() time.Time { return m.now },
		ApplyClaim:    func(at time.Time, c team.Claim) team.CarryOver { return n.share.ApplyClaim(m.now, at, c) },
		DropClaim:     func() team.CarryOver { return n.share.DropClaim(m.now) },
		Deposit:       func(p team.Parts) { n.share.Deposit(m.now, p) },
		ReleaseNumber: n.share.ReleaseNumber,
		Gone:          m.gone,
	}
	n.share.Tick(m.now)
	m.nodes = append(m.nodes, n)
	m.applyLatestRelease(n)
}

func (m *model) applyLatestRelease(n *node) {
	n.release = m.latest()
	n.share.SetRates(m.now, n.release, m.releases[n.release])
	m.updateOracles()
}

// gone reports whether an instance counts as gone, because it has not run for a
// lease term.
func (m *model) gone(id string) bool {
	for _, n := range m.nodes {
		if n.id == id {
			return !n.pausedAt.IsZero() && m.now.Sub(n.pausedAt) >= leaseTerm
		}
	}
	return true
}

func (m *model) running(n *node) bool { return !n.dead && n.pausedAt.IsZero() }

// advance moves the clock. Running instances tick at least every second.
func (m *model) advance(d time.Duration) {
	for d > 0 {
		step := min(d, time.Second)
		d -= step
		m.now = m.now.Add(step)
		for _, n := range m.nodes {
			if m.running(n) {
				n.share.Tick(m.now)
			}
		}
		m.updateOracles()
	}
}

// storeFor returns the store as seen by one instance, with simulated failures.
func (m *model) storeFor(n *node) objectstore.Store {
	inner := m.store.Store()
	store := inner
	store.Get = func(ctx context.Context, key string) (objectstore.Object, error) {
		m.interleave(n)
		if m.unreachable(n) {
			return objectstore.Object{}, objectstore.ErrUnavailable.New("store unreachable")
		}
		defer m.interleave(n)
		return inner.Get(ctx, key)
	}
	store.Put = func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
		m.interleave(n)
		if m.unreachable(n) {
			return 0, objectstore.ErrUnavailable.New("store unreachable")
		}
		version, err := inner.Put(ctx, key, value, ifVersion)
		lost := m.loseReplies && rapid.Bool().Draw(m.t, "reply lost")
		m.interleave(n)
		if lost {
			return 0, objectstore.ErrUnavailable.New("reply lost")
		}
		return version, err
	}
	return store
}

func (m *model) unreachable(n *node) bool { return m.storeOutage || m.partitionedZones[n.zone] }

// interleave runs actions of other instances during a store call, and may pause
// this instance for the call.
func (m *model) interleave(n *node) {
	if m.nesting > 0 || !rapid.Bool().Draw(m.t, "interleave") {
		return
	}
	m.nesting++
	defer func() { m.nesting-- }()
	pausedBefore := n.pausedAt
	if !m.disabledActions["pause"] && rapid.Bool().Draw(m.t, "paused in the call") {
		n.pausedAt = m.now
	}
	for range rapid.IntRange(1, 3).Draw(m.t, "interleaved actions") {
		m.runAction()
	}
	if !n.dead {
		n.pausedAt = pausedBefore
	}
}

// pickRunning returns a random running instance, or nil if there is none.
func (m *model) pickRunning() *node {
	var running []*node
	for _, n := range m.nodes {
		if m.running(n) {
			running = append(running, n)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return rapid.SampledFrom(running).Draw(m.t, "instance")
}

func (m *model) spend(n *node) {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "team")
	tokens := float64(rapid.IntRange(1, 1000).Draw(m.t, "tokens"))
	if rapid.Bool().Draw(m.t, "spend all") {
		tokens = max(1, n.share.Balance(m.now, name))
	}
	if m.reserve(n, name, tokens) {
		return
	}
	request := m.newRequest(n, name, tokens)
	if to := m.pickRunning(); to != nil && to != n && n.share.RecordRequest(m.now, request) {
		m.messages = append(m.messages, message{from: n, to: to, request: request})
	}
}

// reserve reserves tokens and fails the test if the oracle is overdrawn.
func (m *model) reserve(n *node, name string, tokens float64) bool {
	if n.share.Reserve(m.now, name, tokens) != team.Reserved {
		return false
	}
	if over := m.oracles[name].take(m.now, tokens); over > 0 {
		m.t.Fatalf("team %s spent %v tokens over its rate and burst", name, over)
	}
	m.unsettled = append(m.unsettled, admission{n, name, tokens})
	return true
}

func (m *model) newRequest(n *node, name string, tokens float64) team.TransferRequest {
	n.sequence++
	return team.TransferRequest{ID: fmt.Sprint(n.id, "-", n.sequence), Allowance: name, Tokens: tokens, FromInstance: n.id}
}

// deliverMessage delivers, repeats or drops one random message.
func (m *model) deliverMessage() {
	if len(m.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	msg := m.messages[i]
	outcome := rapid.SampledFrom([]string{"pass", "pass", "pass", "repeat", "drop"}).Draw(m.t, "outcome")
	if outcome != "repeat" {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	if outcome == "drop" || !m.running(msg.to) || m.partitionedZones[msg.from.zone] != m.partitionedZones[msg.to.zone] {
		return
	}
	if msg.reply != nil {
		msg.to.share.ApplyReply(m.now, *msg.reply)
		return
	}
	reply := msg.to.share.GrantTransfer(m.now, msg.request)
	m.messages = append(m.messages, message{from: msg.to, to: msg.from, reply: &reply})
}

func (m *model) settleOne() {
	if len(m.unsettled) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.unsettled)-1).Draw(m.t, "reservation")
	s := m.unsettled[i]
	m.unsettled = append(m.unsettled[:i], m.unsettled[i+1:]...)
	used := s.tokens * rapid.Float64Range(0, 1).Draw(m.t, "used")
	if m.running(s.node) {
		s.node.share.Settle(m.now, s.name, s.tokens, used)
		m.oracles[s.name].refund(m.now, s.tokens-used)
	}
}

func (m *model) reconcile(n *node) {
	if !n.leavingSince.IsZero() {
		if m.now.Sub(n.leavingSince) >= team.GrantedTerm && n.reconciler.FinishLeaving(context.Background()) == nil {
			n.dead = true
		}
		return
	}
	for range rapid.IntRange(1, 6).Draw(m.t, "steps") {
		if !m.running(n) || !n.leavingSince.IsZero() {
			return
		}
		if _, err := n.reconciler.Reconcile(context.Background()); err != nil {
			return
		}
	}
}
