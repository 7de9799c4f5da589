// Package reach knows which targets this instance reaches only through its peers, because
// the path from here is cut while the target runs.
package reach

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/wait"
)

const (
	// probeTimeout bounds the connection attempt of a probe, which takes a few round
	// trips between zones.
	probeTimeout = 400 * time.Millisecond
	// minSuspectInterval is the least time between two checks of a target.
	minSuspectInterval = 500 * time.Millisecond
	// minCutTargets is the number of targets of a service behind a cut path from which
	// the others are expected to be behind it too.
	minCutTargets = 2
	// connectedTime is how long a connection that was opened shows that the path to a
	// target is not cut.
	connectedTime = 2 * time.Second
	// healInterval is the time between two rounds of probes of the targets behind a cut
	// path; healProbes of each service are probed.
	healInterval = 500 * time.Millisecond
	healProbes   = 4
)

// Monitor knows the targets behind a cut path: those that accept no connection from this
// instance, but one from a peer. A target that accepts none from anybody is down, and is
// none of them; nor is one that is silent on a connection that it has. Once several
// targets of a service are behind a cut path, the others count as such until they accept
// a connection. It is safe for concurrent use. Set the exported fields before the first
// use.
type Monitor struct {
	// Zone is this instance's availability zone.
	Zone string
	// Probe opens a connection from this instance to an address.
	Probe func(ctx context.Context, address netip.AddrPort) error
	// PeerProbe has peers open a connection to a target; nil means that one did.
	PeerProbe func(ctx context.Context, target deployment.Target) error
	// Targets returns all listed targets.
	Targets func() map[deployment.TargetID]deployment.Target
	// OnChange is called, without the lock, when the path to a target is found to be cut
	// or no longer so.
	OnChange func(target deployment.Target, cut bool)
	Now      func() time.Time
	Log      *zap.Logger

	mu    sync.Mutex
	paths map[deployment.TargetID]*path
}

// path is what is known of the path from this instance to a target.
type path struct {
	cut bool
	// connectedAt is when a connection was last opened, suspectedAt when the target was
	// last checked.
	connectedAt, suspectedAt time.Time
}

// path returns the path to a target. The caller holds the lock.
func (m *Monitor) path(id deployment.TargetID) *path {
	if m.paths == nil {
		m.paths = map[deployment.TargetID]*path{}
	}
	p, ok := m.paths[id]
	if !ok {
		p = &path{}
		m.paths[id] = p
	}
	return p
}

// Cut reports whether the path to a target is cut, or can be expected to be.
func (m *Monitor) Cut(target deployment.Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.paths) == 0 {
		return false
	}
	now := m.Now()
	if p, ok := m.paths[target.ID]; ok && (p.cut || now.Sub(p.connectedAt) < connectedTime) {
		return p.cut
	}
	cut, connected := 0, 0
	for id, t := range m.Targets() {
		p, ok := m.paths[id]
		switch {
		case !ok || t.Service != target.Service:
		case p.cut:
			cut++
		case now.Sub(p.connectedAt) < connectedTime:
			connected++
		}
	}
	return cut >= minCutTargets && cut > connected
}

// CutOffServices returns the services with at least half of their targets, or of those in
// this instance's availability zone, behind a cut path.
func (m *Monitor) CutOffServices() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.paths) == 0 {
		return nil
	}
	all, near := map[string]*cutCount{}, map[string]*cutCount{}
	for id, t := range m.Targets() {
		p, ok := m.paths[id]
		cut := ok && p.cut
		countCut(all, t.Service, cut)
		if t.Zone == m.Zone {
			countCut(near, t.Service, cut)
		}
	}
	var services []string
	for service, c := range all {
		if c.half() || near[service].half() {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// cutCount counts targets, and those behind a cut path.
type cutCount struct{ targets, cut int }

func countCut(counts map[string]*cutCount, service string, cut bool) {
	c, ok := counts[service]
	if !ok {
		c = &cutCount{}
		counts[service] = c
	}
	c.targets++
	if cut {
		c.cut++
	}
}

// half reports whether at least half of the targets are behind a cut path.
func (c *cutCount) half() bool { return c != nil && c.cut > 0 && 2*c.cut >= c.targets }

// RecordConnected records that an address has accepted a connection from this instance.
func (m *Monitor) RecordConnected(address netip.AddrPort) {
	for _, t := range m.Targets() {
		if t.Address == address {
			m.set(t, false)
		}
	}
}

// RecordPeerConnected records that a peer has reached a target that accepted no connection
// from this instance.
func (m *Monitor) RecordPeerConnected(target deployment.Target) { m.set(target, true) }

// Suspect finds out in the background whether the path to a target is cut, after a
// connection to it has failed or fallen silent.
func (m *Monitor) Suspect(target deployment.Target) {
	now := m.Now()
	m.mu.Lock()
	p := m.path(target.ID)
	due := !p.cut && now.Sub(p.connectedAt) >= minSuspectInterval && now.Sub(p.suspectedAt) >= minSuspectInterval
	if due {
		p.suspectedAt = now
	}
	m.mu.Unlock()
	if due {
		go m.check(target)
	}
}

// check finds out whether the path to a target is cut.
func (m *Monitor) check(target deployment.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if m.Probe(ctx, target.Address) == nil {
		return
	}
	peerCtx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if m.PeerProbe(peerCtx, target) == nil {
		m.set(target, true)
	}
}

// Run finds out when cut paths are whole again, until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for wait.Sleep(ctx, healInterval) == nil {
		m.retain()
		var group sync.WaitGroup
		for _, t := range m.sampleCut() {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				if m.Probe(ctx, t.Address) == nil {
					m.set(t, false)
				}
			})
		}
		group.Wait()
	}
}

// sampleCut returns random targets behind cut paths, up to healProbes of each service.
func (m *Monitor) sampleCut() []deployment.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var cut []deployment.Target
	for id, t := range m.Targets() {
		if p, ok := m.paths[id]; ok && p.cut {
			cut = append(cut, t)
		}
	}
	rand.Shuffle(len(cut), func(i, j int) { cut[i], cut[j] = cut[j], cut[i] })
	sampled := map[string]int{}
	return slices.DeleteFunc(cut, func(t deployment.Target) bool {
		sampled[t.Service]++
		return sampled[t.Service] > healProbes
	})
}

// retain forgets the paths to targets that are no longer listed, and those of which
// nothing is known any more.
func (m *Monitor) retain() {
	listed, now := m.Targets(), m.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, p := range m.paths {
		_, ok := listed[id]
		if !ok || !p.cut && now.Sub(p.connectedAt) > connectedTime && now.Sub(p.suspectedAt) > connectedTime {
			delete(m.paths, id)
		}
	}
}

// set records whether the path to a target is cut.
func (m *Monitor) set(target deployment.Target, cut bool) {
	m.mu.Lock()
	p := m.path(target.ID)
	changed := p.cut != cut
	p.cut = cut
	if !cut {
		p.connectedAt = m.Now()
	}
	m.mu.Unlock()
	if !changed {
		return
	}
	m.Log.Warn("path to a target changed", zap.String("target", string(target.ID)), zap.String("service", target.Service), zap.Bool("cut", cut))
	if m.OnChange != nil {
		m.OnChange(target, cut)
	}
}
