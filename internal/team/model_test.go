package team_test

import (
	"context"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/team"
)

// leaseTerm is how long a lease must stand still before its holder counts as gone.
const leaseTerm = 10 * time.Second

// node is one instance of the model.
type node struct {
	id, zone string
	share    team.Share
	keeper   team.Keeper
	release  uint64
	frozenAt time.Time
	dead     bool
	leaving  time.Time
	sequence int
}

// message is a transfer request or its reply on the way.
type message struct {
	from, to *node
	request  team.TransferRequest
	reply    *team.TransferReply
}

// spent is an admission that is not settled yet.
type spent struct {
	node   *node
	name   string
	tokens float64
}

// model runs several instances' state machines in virtual time, in one
// goroutine, over one store, and checks all admissions against the oracles.
// Actions of other instances run in the middle of every store call.
type model struct {
	t        *rapid.T
	now      time.Time
	store    objectstore.Memory
	nodes    []*node
	messages []message
	spent    []spent
	releases [][]team.Rate
	oracles  map[string]*oracle
	// floor is the last release known to be in force everywhere, since floorAt.
	floor, next uint64
	nextAt      time.Time
	cutZones    map[string]bool
	outage      bool
	loseAnswers bool
	depth       int
	// disabled names the kinds of actions that this run does without.
	disabled map[string]bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1_000_000, 0), cutZones: map[string]bool{}, oracles: map[string]*oracle{}, disabled: map[string]bool{}}
	m.releases = [][]team.Rate{nil}
	m.publish(map[string]team.Rate{"a": {TokensPerSecond: 100, BurstTokens: 1000}})
	m.start("z0")
	return m
}

// publish accepts a release with rates for all teams of the last one.
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
		m.oracles[name] = &oracle{updated: m.now, added: uint64(len(m.releases))}
	}
	m.releases = append(m.releases, rates)
	m.updateOracles()
}

func (m *model) latest() uint64 { return uint64(len(m.releases) - 1) }

// updateOracles sets each oracle to the releases that may still be spent by.
func (m *model) updateOracles() {
	lowest := m.latest()
	for _, n := range m.nodes {
		if !n.dead {
			lowest = min(lowest, n.release)
		}
	}
	if lowest != m.next {
		m.next, m.nextAt = lowest, m.now
	}
	if m.now.Sub(m.nextAt) >= team.LentTerm {
		m.floor = m.next
	}
	for name, o := range m.oracles {
		rate, burst := envelope(m.releases, min(m.floor, m.next), m.latest(), name)
		o.set(m.now, rate, burst)
		if m.floor < o.added {
			o.raise(burst)
		}
	}
}

func (m *model) start(zone string) {
	n := &node{id: fmt.Sprint("i", len(m.nodes)), zone: zone}
	n.keeper = team.Keeper{
		Zone: zone, InstanceID: n.id, Epoch: "e", Store: m.storeOf(n),
		Now:     func() time.Time { return m.now },
		Spend:   func(at time.Time, c team.Claim) team.Handed { return n.share.Resize(m.now, at, c) },
		GiveUp:  func() team.Handed { return n.share.Release(m.now) },
		Deposit: func(g team.Grant) { n.share.Deposit(m.now, g) },
		Release: n.share.Number,
		Gone:    m.gone,
	}
	n.share.Tick(m.now)
	m.nodes = append(m.nodes, n)
	m.apply(n)
}

func (m *model) apply(n *node) {
	n.release = m.latest()
	n.share.SetRates(m.now, n.release, m.releases[n.release])
	m.updateOracles()
}

// gone is what the instance list and the leases say.
func (m *model) gone(id string) bool {
	for _, n := range m.nodes {
		if n.id == id {
			return !n.frozenAt.IsZero() && m.now.Sub(n.frozenAt) >= leaseTerm
		}
	}
	return true
}

func (m *model) running(n *node) bool { return !n.dead && n.frozenAt.IsZero() }

// advance moves the clock; whoever runs ticks on the way.
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

// storeOf returns the store as an instance reaches it, with its failures.
func (m *model) storeOf(n *node) objectstore.Store {
	inner := m.store.Store()
	store := inner
	store.Get = func(ctx context.Context, key string) (objectstore.Object, error) {
		m.meanwhile(n)
		if m.unreachable(n) {
			return objectstore.Object{}, objectstore.ErrUnavailable.New("cut")
		}
		defer m.meanwhile(n)
		return inner.Get(ctx, key)
	}
	store.Put = func(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
		m.meanwhile(n)
		if m.unreachable(n) {
			return 0, objectstore.ErrUnavailable.New("cut")
		}
		version, err := inner.Put(ctx, key, value, ifVersion)
		lost := m.loseAnswers && rapid.Bool().Draw(m.t, "answer lost")
		m.meanwhile(n)
		if lost {
			return 0, objectstore.ErrUnavailable.New("answer lost")
		}
		return version, err
	}
	return store
}

func (m *model) unreachable(n *node) bool { return m.outage || m.cutZones[n.zone] }

// meanwhile lets other instances act, or this one freeze, inside a store call.
func (m *model) meanwhile(n *node) {
	if m.depth > 0 || !rapid.Bool().Draw(m.t, "meanwhile") {
		return
	}
	m.depth++
	defer func() { m.depth-- }()
	wasFrozen := n.frozenAt
	if !m.disabled["freeze"] && rapid.Bool().Draw(m.t, "paused in the call") {
		n.frozenAt = m.now
	}
	for range rapid.IntRange(1, 3).Draw(m.t, "actions meanwhile") {
		m.act()
	}
	if !n.dead {
		n.frozenAt = wasFrozen
	}
}

// pick returns one of the instances that run.
func (m *model) pick() *node {
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
	if m.take(n, name, tokens) {
		return
	}
	request := m.request(n, name, tokens)
	if to := m.pick(); to != nil && to != n && n.share.Ask(m.now, request) {
		m.messages = append(m.messages, message{from: n, to: to, request: request})
	}
}

// take reserves tokens and checks them against the oracle.
func (m *model) take(n *node, name string, tokens float64) bool {
	if n.share.Reserve(m.now, name, tokens) != team.Taken {
		return false
	}
	if over := m.oracles[name].take(m.now, tokens); over > 0 {
		m.t.Fatalf("team %s spent %v tokens over its rate and burst", name, over)
	}
	m.spent = append(m.spent, spent{n, name, tokens})
	return true
}

func (m *model) request(n *node, name string, tokens float64) team.TransferRequest {
	n.sequence++
	return team.TransferRequest{ID: fmt.Sprint(n.id, "-", n.sequence), Allowance: name, Tokens: tokens, FromInstance: n.id}
}

// deliver passes on, repeats or drops one message.
func (m *model) deliver() {
	if len(m.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	msg := m.messages[i]
	fate := rapid.SampledFrom([]string{"pass", "pass", "pass", "repeat", "drop"}).Draw(m.t, "fate")
	if fate != "repeat" {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	if fate == "drop" || !m.running(msg.to) || m.cutZones[msg.from.zone] != m.cutZones[msg.to.zone] {
		return
	}
	if msg.reply != nil {
		msg.to.share.Receive(m.now, *msg.reply)
		return
	}
	reply := msg.to.share.Give(m.now, msg.request)
	m.messages = append(m.messages, message{from: msg.to, to: msg.from, reply: &reply})
}

func (m *model) settle() {
	if len(m.spent) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.spent)-1).Draw(m.t, "reservation")
	s := m.spent[i]
	m.spent = append(m.spent[:i], m.spent[i+1:]...)
	used := s.tokens * rapid.Float64Range(0, 1).Draw(m.t, "used")
	if m.running(s.node) {
		s.node.share.Settle(m.now, s.name, s.tokens, used)
		m.oracles[s.name].refund(m.now, s.tokens-used)
	}
}

func (m *model) reconcile(n *node) {
	if !n.leaving.IsZero() {
		if m.now.Sub(n.leaving) >= team.LentTerm && n.keeper.FinishLeaving(context.Background()) == nil {
			n.dead = true
		}
		return
	}
	for range rapid.IntRange(1, 6).Draw(m.t, "steps") {
		if !m.running(n) || !n.leaving.IsZero() {
			return
		}
		if _, err := n.keeper.Reconcile(context.Background()); err != nil {
			return
		}
	}
}
