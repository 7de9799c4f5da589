package fleet_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"heatherrelay/internal/standin"
)

// zoneFaultTime is how long a zone is cut in the failure test.
const zoneFaultTime = 1500 * time.Millisecond

// zoneCutLeases is how many lease terms a zone stays cut off.
const zoneCutLeases = 2

// TestZoneCut cuts a zone from the platform and from the other zones for longer
// than its leases last, and checks that each side serves what it can.
func TestZoneCut(t *testing.T) {
	t.Parallel()
	f := &fleet{adjust: shortLeases}
	startFleet(t, f, 2, 2, "--step-time", engineStep)
	zone := zones[1]
	for _, i := range f.instances {
		f.mustAnswer(t, i, "before the cut")
	}
	f.cutZone(zone)
	live := &liveFleet{fleet: f}
	live.setZone(zone, linkCut)
	until := time.Now().Add(zoneCutLeases * leaseTerm)
	for time.Now().Before(until) {
		for _, i := range f.instances {
			f.mustAnswer(t, i, "during the cut")
		}
	}
	for _, i := range f.instances {
		f.checkCallDuringCut(t, i, i.zone == zone)
	}
	if f.refusedPeers() == 0 {
		t.Error("no connection between zones was cut")
	}
	live.setZone(zone, linkUp)
	f.healZones()
	for _, i := range f.instances {
		f.mustAnswer(t, i, "after the cut")
		eventually(t, i.id+" sends calls again", func() bool {
			reply, err := f.post(t, i, "/rounds/after-"+i.id)
			return err == nil && reply.Status == http.StatusOK
		})
	}
	counts := getJSON[standin.ServiceCounts](t, f.service, "/admin/counts")
	for path, ran := range counts.Paths {
		if ran > 1 {
			t.Errorf("%s ran %d times", path, ran)
		}
	}
	f.checkTargets(t)
}

// cutZone cuts all connections between the instances of a zone and those of the
// others; healZones ends that.
func (f *fleet) cutZone(zone string) {
	for _, i := range f.instances {
		inside := i.zone == zone
		i.peers.block(func(from string) bool { return (from == zone) != inside })
	}
}

func (f *fleet) healZones() {
	for _, i := range f.instances {
		i.peers.block(nil)
	}
}

// cutZones cuts one zone from the others, and then one from the platform too.
func cutZones(t *testing.T, f *liveFleet, random *rand.Rand) {
	t.Helper()
	for _, platformToo := range []bool{false, true} {
		zone := zones[random.IntN(len(zones))]
		t.Logf("%s: cut zone %s from the others, from the platform too: %v", time.Now().Format(time.TimeOnly), zone, platformToo)
		f.cutZone(zone)
		if platformToo {
			f.setZone(zone, linkCut)
		}
		time.Sleep(zoneFaultTime)
		f.setZone(zone, linkUp)
		f.healZones()
		time.Sleep(pauseAfterFault)
	}
}

// refusedPeers returns how many connections between instances were cut.
func (f *fleet) refusedPeers() int {
	refused := 0
	for _, i := range f.instances {
		i.peers.mu.Lock()
		refused += i.peers.refused
		i.peers.mu.Unlock()
	}
	return refused
}

// mustAnswer checks that an instance answers a request for an adapter that its
// zone has loaded.
func (f *fleet) mustAnswer(t *testing.T, i *instance, prompt string) {
	t.Helper()
	r := request(crewsAdapter, prompt, 8)
	reply, err := f.caller(i, teamCrews).Complete(t.Context(), r)
	if err != nil || !reply.IsComplete(r) {
		t.Errorf("%s, %s: %v, status %d, %+v", i.id, prompt, err, reply.Status, reply.Refusal)
	}
}

// post sends a call that may not be repeated, with an idempotency key.
func (f *fleet) post(t *testing.T, i *instance, path string) (standin.Reply, error) {
	t.Helper()
	header := http.Header{"Content-Type": {"text/plain"}, "Idempotency-Key": {path}}
	return f.caller(i, teamCrews).Call(t.Context(), http.MethodPost, "/services/dispatch"+path, []byte("go"), header)
}

// checkCallDuringCut checks that a call that may not be repeated is refused as
// not run where the platform is away, and runs elsewhere.
func (f *fleet) checkCallDuringCut(t *testing.T, i *instance, away bool) {
	t.Helper()
	path := "/rounds/during-" + i.id
	reply, err := f.post(t, i, path)
	if err != nil {
		t.Errorf("%s: %v", i.id, err)
		return
	}
	if !away && reply.Status != http.StatusOK {
		t.Errorf("%s: status %d, %s", i.id, reply.Status, reply.Body)
	}
	if away && (reply.Refusal == nil || !reply.Refusal.NotRun || reply.Refusal.RetryAfterMS == 0) {
		t.Errorf("%s, without the platform: status %d, %s", i.id, reply.Status, reply.Body)
	}
	counts := getJSON[standin.ServiceCounts](t, f.service, "/admin/counts")
	if ran := counts.Paths[path]; away == (ran > 0) {
		t.Errorf("%s ran %d times", path, ran)
	}
}
