package fleet_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"

	"github.com/sourcegraph/conc"

	"heatherrelay/internal/settings"
)

// replacementCallers is the number of callers during the replacement.
const replacementCallers = 6

// TestRollingReplacement ends and replaces every instance of a fleet in turn
// while callers stream, and checks that no request is cut or refused.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	f := &fleet{adjust: shortLeases}
	startFleet(t, f, 2, 1, "--step-time", engineStep, "--slots", "8")
	f.awaitsReady = true
	models := f.publishAdapters(t)
	live := &liveFleet{fleet: f}
	seen := &journal{refused: map[string]int{}}
	ctx, stop := context.WithCancel(t.Context())
	var workers conc.WaitGroup
	for n := range replacementCallers {
		w := &worker{number: n, team: teamCrews, models: models, longest: longestAnswer, fleet: live, journal: seen, random: rand.New(rand.NewPCG(*faultSeed, uint64(n)))}
		workers.Go(func() { w.runModels(ctx) })
	}
	for _, i := range f.instances {
		live.drain(i)
		i.process.signal(syscall.SIGTERM)
		if code := i.process.exit(t); code != 0 {
			t.Errorf("%s ended with exit code %d", i.id, code)
		}
		live.replace(t, i)
		eventually(t, i.id+" is ready", func() bool {
			reply, err := f.caller(i, teamCrews).Call(t.Context(), http.MethodGet, "/readyz", nil, nil)
			return err == nil && reply.Status == http.StatusOK
		})
	}
	stop()
	workers.Wait()
	checkJournal(t, seen)
	if seen.broken > 0 || len(seen.refused) > 0 {
		t.Errorf("%d requests were cut, refused were %v", seen.broken, seen.refused)
	}
	f.checkTargets(t)
}

// shortLeases makes failures of instances noticed within seconds.
func shortLeases(s *settings.Settings) {
	s.Lease.Term.Duration = leaseTerm
	s.Lease.RenewEvery.Duration = leaseRenewal
	s.Lease.Margin.Duration = leaseMargin
	s.Targets.SilenceLimit.Duration = silenceLimit
	s.Targets.GroupsPerZone = 2
}
