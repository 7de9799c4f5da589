package fleet_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"heatherrelay/internal/standin"
)

// zoneFaultDuration is how long TestFailures cuts off a zone.
const zoneFaultDuration = 1500 * time.Millisecond

// zoneCutLeaseTerms is how long TestZoneCut cuts off a zone, in lease terms.
const zoneCutLeaseTerms = 2

// TestZoneCut cuts a zone off from the platform and from the other zones for
// longer than its leases last. It checks that all instances keep answering
// model requests, that calls that must not be run twice are refused where the
// platform is unreachable and run elsewhere, and that all instances recover.
func TestZoneCut(t *testing.T) {
	t.Parallel()
	f := &fleet{adjustSettings: shortLeases}
	startFleet(t, f, 2, 2, "--step-time", engineStep)
	zone := zones[1]
	for _, i := range f.instances {
		f.mustAnswer(t, i, "before the cut")
	}
	f.cutZone(zone)
	live := &liveFleet{fleet: f}
	live.setPlatformLinks(zone, linkCut)
	end := time.Now().Add(zoneCutLeaseTerms * leaseTerm)
	for time.Now().Before(end) {
		for _, i := range f.instances {
			f.mustAnswer(t, i, "during the cut")
		}
	}
	for _, i := range f.instances {
		f.checkCallDuringCut(t, i, i.zone == zone)
	}
	if f.blockedPeerConns() == 0 {
		t.Error("no connection between zones was closed")
	}
	live.setPlatformLinks(zone, linkUp)
	f.healZones()
	for _, i := range f.instances {
		f.mustAnswer(t, i, "after the cut")
		eventually(t, i.id+" forwards service calls again", func() bool {
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

// cutZone closes all connections between the instances of a zone and those of
// the other zones, until healZones is called.
func (f *fleet) cutZone(zone string) {
	for _, i := range f.instances {
		inside := i.zone == zone
		i.peers.setBlocked(func(from string) bool { return (from == zone) != inside })
	}
}

func (f *fleet) healZones() {
	for _, i := range f.instances {
		i.peers.setBlocked(nil)
	}
}

// cutZones cuts a random zone off from the other zones, and then a random zone
// off from the other zones and the platform.
func cutZones(t *testing.T, f *liveFleet, random *rand.Rand) {
	t.Helper()
	for _, platformToo := range []bool{false, true} {
		zone := zones[random.IntN(len(zones))]
		t.Logf("%s: cut zone %s from the others, from the platform too: %v", time.Now().Format(time.TimeOnly), zone, platformToo)
		f.cutZone(zone)
		if platformToo {
			f.setPlatformLinks(zone, linkCut)
		}
		time.Sleep(zoneFaultDuration)
		f.setPlatformLinks(zone, linkUp)
		f.healZones()
		time.Sleep(pauseAfterFault)
	}
}

// blockedPeerConns returns the number of connections between instances that
// were closed because of their zone.
func (f *fleet) blockedPeerConns() int {
	blocked := 0
	for _, i := range f.instances {
		i.peers.mu.Lock()
		blocked += i.peers.blockedConns
		i.peers.mu.Unlock()
	}
	return blocked
}

// mustAnswer checks that an instance answers a request for an adapter that is
// loaded in its zone.
func (f *fleet) mustAnswer(t *testing.T, i *instance, prompt string) {
	t.Helper()
	r := request(crewsAdapter, prompt, 8)
	reply, err := f.caller(i, teamCrews).Complete(t.Context(), r)
	if err != nil || !reply.IsComplete(r) {
		t.Errorf("%s, %s: %v, status %d, %+v", i.id, prompt, err, reply.Status, reply.Refusal)
	}
}

// post sends a call that must not be run twice, with an idempotency key.
func (f *fleet) post(t *testing.T, i *instance, path string) (standin.Reply, error) {
	t.Helper()
	header := http.Header{"Content-Type": {"text/plain"}, "Idempotency-Key": {path}}
	return f.caller(i, teamCrews).Call(t.Context(), http.MethodPost, "/services/dispatch"+path, []byte("go"), header)
}

// checkCallDuringCut checks that a call that must not be run twice is refused
// as not run by an instance without access to the platform, and runs on all
// others.
func (f *fleet) checkCallDuringCut(t *testing.T, i *instance, partitioned bool) {
	t.Helper()
	path := "/rounds/during-" + i.id
	reply, err := f.post(t, i, path)
	if err != nil {
		t.Errorf("%s: %v", i.id, err)
		return
	}
	if !partitioned && reply.Status != http.StatusOK {
		t.Errorf("%s: status %d, %s", i.id, reply.Status, reply.Body)
	}
	if partitioned && (reply.Refusal == nil || !reply.Refusal.NotRun || reply.Refusal.RetryAfterMS == 0) {
		t.Errorf("%s, without the platform: status %d, %s", i.id, reply.Status, reply.Body)
	}
	counts := getJSON[standin.ServiceCounts](t, f.service, "/admin/counts")
	if ran := counts.Paths[path]; partitioned == (ran > 0) {
		t.Errorf("%s ran %d times", path, ran)
	}
}
