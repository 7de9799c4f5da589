package team_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/team"
)

// Maximum numbers of live instances and of zones in the model.
const (
	modelInstances = 7
	modelZones     = 3
)

// runAction runs one random action.
func (m *model) runAction() {
	n := m.pickRunning()
	kind := rapid.SampledFrom([]string{
		"spend", "spend", "spend", "spend", "deliver", "deliver", "deliver", "settle",
		"reconcile", "reconcile", "reconcile", "converge", "drain", "exchange", "exchange", "time", "time", "time", "start",
		"kill", "leave", "pause", "resume", "partition", "store fault", "release", "apply",
	}).Draw(m.t, "action")
	if m.disabledActions[kind] {
		kind = rapid.SampledFrom([]string{"spend", "deliver", "time", "exchange"}).Draw(m.t, "instead")
	}
	switch {
	case kind == "deliver":
		m.deliverMessage()
	case kind == "settle":
		m.settleOne()
	case kind == "time":
		m.advance(rapid.SampledFrom([]time.Duration{
			100 * time.Microsecond, 5 * time.Millisecond, 60 * time.Millisecond, 250 * time.Millisecond,
			2 * time.Second, 4 * time.Second, 12 * time.Second,
		}).Draw(m.t, "time"))
	case kind == "converge":
		m.converge()
	case kind == "drain":
		m.drain()
	case kind == "resume":
		m.resume()
	case kind == "partition" || kind == "store fault":
		m.fault(kind)
	case kind == "release":
		m.publishRandomRates()
	case kind == "start":
		m.startNode()
	case n != nil:
		m.runNodeAction(n, kind)
	}
}

// runNodeAction runs an action of one running instance.
func (m *model) runNodeAction(n *node, kind string) {
	switch kind {
	case "spend":
		m.spend(n)
	case "exchange":
		m.exchange(n)
	case "reconcile":
		m.reconcile(n)
	case "kill":
		n.dead = true
		n.pausedAt = m.now
	case "leave":
		if n.leavingSince.IsZero() && m.nesting == 0 {
			n.reconciler.StartLeaving()
			n.leavingSince = m.now
		}
	case "pause":
		n.pausedAt = m.now
	case "apply":
		if m.nesting == 0 {
			m.applyLatestReleaseToMost()
		} else {
			m.applyLatestRelease(n)
		}
	}
}

// converge runs rounds of reconciliation on all running instances.
func (m *model) converge() {
	if m.nesting > 0 {
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
				m.reserve(n, name, balance)
			}
		}
	}
}

// applyLatestReleaseToMost applies the latest release on most running
// instances.
func (m *model) applyLatestReleaseToMost() {
	for _, n := range m.nodes {
		if m.running(n) && rapid.IntRange(0, 3).Draw(m.t, "applies") > 0 {
			m.applyLatestRelease(n)
		}
	}
}

// exchange requests tokens from a peer and delivers the request and its reply.
// The reply may be lost or delivered twice.
func (m *model) exchange(n *node) {
	to := m.pickRunning()
	if to == n || m.partitionedZones[n.zone] != m.partitionedZones[to.zone] {
		return
	}
	request := m.newRequest(n, rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "team"), 1000)
	if !n.share.RecordRequest(m.now, request) {
		return
	}
	m.advance(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 100 * time.Millisecond}).Draw(m.t, "request delay"))
	reply := to.share.GrantTransfer(m.now, request)
	m.advance(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 100 * time.Millisecond}).Draw(m.t, "reply delay"))
	for range rapid.IntRange(0, 2).Draw(m.t, "times received") {
		n.share.ApplyReply(m.now, reply)
	}
	m.messages = append(m.messages, message{from: n, to: to, request: request})
}

func (m *model) startNode() {
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

// resume lets a paused instance continue. It spends before anything else runs.
func (m *model) resume() {
	if m.nesting > 0 {
		return
	}
	for _, n := range m.nodes {
		if !n.dead && !n.pausedAt.IsZero() {
			n.pausedAt = time.Time{}
			m.spend(n)
			return
		}
	}
}

// fault starts or ends the partition of a zone, or changes the store's faults.
func (m *model) fault(kind string) {
	if kind == "partition" {
		zone := rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(m.t, "partitioned zone")
		m.partitionedZones[zone] = !m.partitionedZones[zone]
		return
	}
	m.storeOutage = rapid.IntRange(0, 3).Draw(m.t, "outage") == 0
	m.loseReplies = rapid.Bool().Draw(m.t, "lose replies")
}

// publishRandomRates publishes a release with a random rate and burst for one
// team.
func (m *model) publishRandomRates() {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "changed team")
	rate := float64(rapid.SampledFrom([]int{10, 100, 200}).Draw(m.t, "rate"))
	fill := float64(rapid.IntRange(1, 10).Draw(m.t, "seconds to fill"))
	m.publish(map[string]team.Rate{name: {TokensPerSecond: rate, BurstTokens: rate * fill}})
}

// TestNoTeamSpendsMoreThanItsRateAndBurst runs the state machines through lost,
// repeated and late transfers, killed, paused and replaced instances,
// partitioned zones, store outages, lost store replies and changing rates.
func TestNoTeamSpendsMoreThanItsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.nesting = 1
		for m.nodes[0].share.Claim().Teams == 0 {
			if _, err := m.nodes[0].reconciler.Reconcile(t.Context()); err != nil {
				t.Fatal(err)
			}
			m.advance(time.Millisecond)
		}
		for _, kind := range []string{"start", "kill", "leave", "pause", "partition", "store fault", "release", "drain"} {
			m.disabledActions[kind] = rapid.Bool().Draw(t, "without "+kind)
		}
		m.publishRandomRates()
		for i := range rapid.IntRange(0, modelInstances-1).Draw(t, "more instances") {
			m.start([]string{"z0", "z1", "z2"}[i%modelZones])
		}
		m.nesting = 0
		m.converge()
		m.converge()
		m.advance(10 * time.Second)
		for range rapid.IntRange(20, 200).Draw(t, "length") {
			m.runAction()
		}
		m.drain()
	})
}
