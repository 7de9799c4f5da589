package team_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/team"
)

// The most instances and zones of the model.
const (
	modelInstances = 7
	modelZones     = 3
)

// act takes one step of one kind.
func (m *model) act() {
	n := m.pick()
	kind := rapid.SampledFrom([]string{
		"spend", "spend", "spend", "spend", "deliver", "deliver", "deliver", "settle",
		"reconcile", "reconcile", "reconcile", "converge", "drain", "exchange", "exchange", "time", "time", "time", "start",
		"kill", "leave", "freeze", "wake", "cut", "fault", "release", "apply",
	}).Draw(m.t, "action")
	if m.disabled[kind] {
		kind = rapid.SampledFrom([]string{"spend", "deliver", "time", "exchange"}).Draw(m.t, "instead")
	}
	switch {
	case kind == "deliver":
		m.deliver()
	case kind == "settle":
		m.settle()
	case kind == "time":
		m.advance(rapid.SampledFrom([]time.Duration{
			100 * time.Microsecond, 5 * time.Millisecond, 60 * time.Millisecond, 250 * time.Millisecond,
			2 * time.Second, 4 * time.Second, 12 * time.Second,
		}).Draw(m.t, "time"))
	case kind == "converge":
		m.converge()
	case kind == "drain":
		m.drain()
	case kind == "wake":
		m.wake()
	case kind == "cut" || kind == "fault":
		m.fault(kind)
	case kind == "release":
		m.release()
	case kind == "start":
		m.startSome()
	case n != nil:
		m.actOf(n, kind)
	}
}

// actOf takes a step that belongs to one running instance.
func (m *model) actOf(n *node, kind string) {
	switch kind {
	case "spend":
		m.spend(n)
	case "exchange":
		m.exchange(n)
	case "reconcile":
		m.reconcile(n)
	case "kill":
		n.dead = true
		n.frozenAt = m.now
	case "leave":
		if n.leaving.IsZero() && m.depth == 0 {
			n.keeper.StartLeaving()
			n.leaving = m.now
		}
	case "freeze":
		n.frozenAt = m.now
	case "apply":
		if m.depth == 0 {
			m.applyAll()
		} else {
			m.apply(n)
		}
	}
}

// converge lets all running instances reconcile for a while.
func (m *model) converge() {
	if m.depth > 0 {
		return
	}
	for range rapid.IntRange(5, 20).Draw(m.t, "rounds") {
		for _, n := range m.nodes {
			if m.running(n) {
				m.reconcile(n)
			}
		}
		m.advance(50 * time.Millisecond)
	}
}

// drain spends everything that the running instances hold, at one moment.
func (m *model) drain() {
	for _, n := range m.nodes {
		if !m.running(n) {
			continue
		}
		for _, name := range []string{"a", "b"} {
			if balance := n.share.Balance(m.now, name); balance > 0 {
				m.take(n, name, balance)
			}
		}
	}
}

// applyAll lets most running instances take the latest release.
func (m *model) applyAll() {
	for _, n := range m.nodes {
		if m.running(n) && rapid.IntRange(0, 3).Draw(m.t, "applies") > 0 {
			m.apply(n)
		}
	}
}

// exchange asks a peer for tokens and passes both messages on, perhaps twice.
func (m *model) exchange(n *node) {
	to := m.pick()
	if to == n || m.cutZones[n.zone] != m.cutZones[to.zone] {
		return
	}
	request := m.request(n, rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "team"), 1000)
	if !n.share.Ask(m.now, request) {
		return
	}
	m.advance(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 100 * time.Millisecond}).Draw(m.t, "there"))
	reply := to.share.Give(m.now, request)
	m.advance(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 100 * time.Millisecond}).Draw(m.t, "back"))
	for range rapid.IntRange(0, 2).Draw(m.t, "times received") {
		n.share.Receive(m.now, reply)
	}
	m.messages = append(m.messages, message{from: n, to: to, request: request})
}

func (m *model) startSome() {
	alive := 0
	for _, n := range m.nodes {
		if !n.dead {
			alive++
		}
	}
	if alive < modelInstances {
		m.start([]string{"z0", "z1", "z2"}[rapid.IntRange(0, modelZones-1).Draw(m.t, "zone")])
	}
}

// wake lets a frozen instance go on; it spends before anything else runs.
func (m *model) wake() {
	if m.depth > 0 {
		return
	}
	for _, n := range m.nodes {
		if !n.dead && !n.frozenAt.IsZero() {
			n.frozenAt = time.Time{}
			m.spend(n)
			return
		}
	}
}

func (m *model) fault(kind string) {
	if kind == "cut" {
		zone := rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(m.t, "cut zone")
		m.cutZones[zone] = !m.cutZones[zone]
		return
	}
	m.outage = rapid.IntRange(0, 3).Draw(m.t, "outage") == 0
	m.loseAnswers = rapid.Bool().Draw(m.t, "lose answers")
}

func (m *model) release() {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "changed team")
	rate := float64(rapid.SampledFrom([]int{10, 100, 200}).Draw(m.t, "rate"))
	fill := float64(rapid.IntRange(1, 10).Draw(m.t, "seconds to fill"))
	m.publish(map[string]team.Rate{name: {TokensPerSecond: rate, BurstTokens: rate * fill}})
}

// TestNoTeamSpendsMoreThanItsRateAndBurst drives the state machines through
// lost, repeated and late transfers, instances killed, frozen and replaced,
// zones cut, the platform away, lost answers and changing rates.
func TestNoTeamSpendsMoreThanItsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.depth = 1
		for m.nodes[0].share.Claim().Teams == 0 {
			if _, err := m.nodes[0].keeper.Reconcile(t.Context()); err != nil {
				t.Fatal(err)
			}
			m.advance(time.Millisecond)
		}
		for _, kind := range []string{"start", "kill", "leave", "freeze", "cut", "fault", "release", "drain"} {
			m.disabled[kind] = rapid.Bool().Draw(t, "without "+kind)
		}
		m.release()
		for i := range rapid.IntRange(0, modelInstances-1).Draw(t, "more instances") {
			m.start([]string{"z0", "z1", "z2"}[i%modelZones])
		}
		m.depth = 0
		m.converge()
		m.converge()
		m.advance(10 * time.Second)
		for range rapid.IntRange(20, 200).Draw(t, "length") {
			m.act()
		}
		m.drain()
	})
}
