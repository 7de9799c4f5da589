package gatewayinstance_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"heatherrelay/platform/platformtest"
)

const (
	// brittleLearnTime is the time after targets first say that they are brittle from
	// which their falls count; maxFalls is how many of brittleTargets may fall then.
	brittleLearnTime = 3 * time.Second
	brittleTargets   = 3
	maxFalls         = 2 + brittleTargets/10
	// maxRefusalsPerSecond is what a brittle target bears.
	maxRefusalsPerSecond = 3
	brittleRoom          = 2
	brittleWork          = 50 * time.Millisecond
)

// newBrittleCluster starts a cluster whose plain targets have little room and are brittle.
func newBrittleCluster(t *testing.T, instances int) (*testCluster, []*platformtest.Target) {
	t.Helper()
	cluster := newTestCluster(t, 0)
	targets := []*platformtest.Target{cluster.plain}
	for n := 2; n <= brittleTargets; n++ {
		targets = append(targets, cluster.startTarget(platformtest.PlainService, fmt.Sprint("plain-", n)))
	}
	for _, target := range targets {
		target.Inject(func(p *platformtest.Target) {
			p.Brittle, p.Room, p.AnswerDelay = maxRefusalsPerSecond, brittleRoom, brittleWork
			p.Downtime, p.CrashStore = time.Second, cluster.store
		})
	}
	for range instances {
		cluster.startInstance()
	}
	cluster.waitForPeers()
	return cluster, targets
}

// fallsAfter returns how often targets have crashed after a moment.
func fallsAfter(targets []*platformtest.Target, at time.Time) int {
	n := 0
	for _, target := range targets {
		for _, crash := range target.Crashes() {
			if crash.After(at) {
				n++
			}
		}
	}
	return n
}

// TestBrittleTargetsAreNotPushedOver guards against brittle targets that fall over because
// the instances together have them refuse more requests than they bear, under several
// times the load that they have room for, while an instance starts again; and against
// using only a part of their room.
func TestBrittleTargetsAreNotPushedOver(t *testing.T) {
	t.Parallel()
	cluster, targets := newBrittleCluster(t, 5)
	started := time.Now()
	cluster.sendFor(brittleLearnTime, 4*time.Millisecond, http.MethodPost, "/read/", nil)
	last := cluster.instances[len(cluster.instances)-1]
	last.stopAndWait(t)
	cluster.instances = cluster.instances[:len(cluster.instances)-1]
	cluster.startInstance()
	const duration = 5 * time.Second
	served := cluster.sendFor(duration, 4*time.Millisecond, http.MethodPost, "/read/", nil)
	if n := fallsAfter(targets, started.Add(brittleLearnTime)); n > maxFalls {
		t.Errorf("%d falls of %d brittle targets, %d are allowed", n, brittleTargets, maxFalls)
	}
	room := int(duration/brittleWork) * brittleRoom * brittleTargets
	if served < room/2 {
		t.Errorf("%d requests served, there was room for %d", served, room)
	}
}
