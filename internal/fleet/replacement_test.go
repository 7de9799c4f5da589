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

// replacementCallerCount is the number of concurrent callers of
// TestRollingReplacement.
const replacementCallerCount = 6

// TestRollingReplacement shuts down and replaces every instance in turn while
// callers send requests, and checks that no request is cut off or refused.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	f := &fleet{adjustSettings: shortLeases}
	startFleet(t, f, 2, 1, "--step-time", engineStep, "--slots", "8")
	f.waitUntilReady = true
	models := f.publishAdapters(t)
	live := &liveFleet{fleet: f}
	observed := &results{refused: map[string]int{}}
	ctx, stop := context.WithCancel(t.Context())
	var workers conc.WaitGroup
	for n := range replacementCallerCount {
		w := &worker{number: n, team: teamCrews, models: models, maxTokens: maxAnswerTokens, fleet: live, results: observed, random: rand.New(rand.NewPCG(*faultSeed, uint64(n)))}
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
	checkResults(t, observed)
	if observed.broken > 0 || len(observed.refused) > 0 {
		t.Errorf("%d requests were cut off, refusals by code: %v", observed.broken, observed.refused)
	}
	f.checkTargets(t)
}

// shortLeases shortens leases and timeouts so that instances notice failures of
// others within seconds, and sets two target groups per zone.
func shortLeases(s *settings.Settings) {
	s.Lease.Term.Duration = leaseTerm
	s.Lease.RenewEvery.Duration = leaseRenewal
	s.Lease.Margin.Duration = leaseMargin
	s.Targets.SilenceLimit.Duration = silenceLimit
	s.Targets.GroupsPerZone = 2
}
