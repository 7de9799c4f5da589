package fleet_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"heatherrelay/internal/key"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/settings"
	"heatherrelay/internal/standin"
	"heatherrelay/pkg/release"
)

// Teams, adapters and the service of the test release.
const (
	teamCrews    = "crews"
	teamDesk     = "desk"
	crewsAdapter = "verges@1"
	deskAdapter  = "statements@2"
	service      = "dispatch"
)

var zones = []string{"landerneau", "lesneven", "saint-pol"}

// fleet consists of a platform, targets and instances, each running as its own
// process.
type fleet struct {
	directory string
	platform  netip.AddrPort
	engines   map[string]netip.AddrPort
	service   netip.AddrPort
	instances []*instance
	targets   []objectstore.TargetEntry
	keys      map[string]key.Key
	// adjustSettings changes an instance's settings before it starts.
	adjustSettings func(*settings.Settings)
	// registry maps the processes of instances to zones.
	registry zoneRegistry
	// waitUntilReady makes start wait until the instance is ready.
	waitUntilReady bool
}

// instance is one instance of the fleet, with the forwarders in front of it and
// of the platform.
type instance struct {
	id      string
	zone    string
	process *process
	// previous holds the processes that the current one replaced.
	previous []*process
	// listenAddress is the address on which the process serves callers;
	// callerAddress is the address that callers use. They differ while the
	// instance is being replaced.
	listenAddress netip.AddrPort
	callerAddress netip.AddrPort
	// drained is set while callers send no new requests to the instance.
	drained bool
	// platform forwards the instance's connections to the platform; peers
	// forwards connections of other instances to this one.
	platform *forwarder
	peers    *forwarder
}

// startedLine is the log entry of an instance that has started to listen.
type startedLine struct {
	Message string         `json:"msg"`
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
}

// startFleet starts the stand-ins and the instances of a fleet, and waits until
// the first release is in force and every instance answers requests.
func startFleet(t testing.TB, f *fleet, instancesPerZone, enginesPerZone int, engineArgs ...string) {
	t.Helper()
	f.directory = t.TempDir()
	f.engines = map[string]netip.AddrPort{}
	f.platform = startStandin(t, "platform", "platform")
	f.service = startStandin(t, "service", "service", "--name", service)
	for i, zone := range zones {
		for n := range enginesPerZone {
			args := append([]string{"engine", "--weight-store", "http://" + f.platform.String()}, engineArgs...)
			if n%2 == 0 {
				args = append(args, "--checks-fencing")
			}
			f.addEngine(t, zone, fmt.Sprintf("%s-engine-%d", zone, n), args)
		}
		f.targets = append(f.targets, objectstore.TargetEntry{
			ID: fmt.Sprintf("%s-service", zone), Zone: zone, Kind: objectstore.TargetService, Address: f.service, Service: service,
		})
		for n := range instancesPerZone {
			f.instances = append(f.instances, f.newInstance(t, fmt.Sprintf("instance-%d-%d", i, n), zone))
		}
	}
	f.putPlatform(t, "/admin/targets", f.targets)
	f.publishInstances(t)
	for _, i := range f.instances {
		f.start(t, i)
		i.callerAddress = i.listenAddress
	}
	number := f.publish(t, f.firstRelease())
	f.awaitRelease(t, number)
	f.awaitGroupHolders(t)
	for _, i := range f.instances {
		eventually(t, i.id+" answers", func() bool {
			reply, err := f.caller(i, teamCrews).Complete(t.Context(), request(crewsAdapter, "ready?", 1))
			return err == nil && reply.Status == http.StatusOK
		})
	}
}

// awaitGroupHolders waits until every target group of every zone has a holder.
// A zone whose groups never had a holder cannot serve on its own when it is cut
// off.
func (f *fleet) awaitGroupHolders(t testing.TB) {
	t.Helper()
	s := settings.Defaults()
	if f.adjustSettings != nil {
		f.adjustSettings(&s)
	}
	store := (&objectstore.Client{Address: f.platform}).Store()
	eventually(t, "all groups have holders", func() bool {
		listing, err := store.List(t.Context(), "group/")
		return err == nil && len(listing.Objects) == len(zones)*s.Targets.GroupsPerZone
	})
}

func (f *fleet) addEngine(t testing.TB, zone, id string, args []string) {
	t.Helper()
	address := startStandin(t, id, append(args, "--id", id)...)
	f.engines[id] = address
	f.targets = append(f.targets, objectstore.TargetEntry{ID: id, Zone: zone, Kind: objectstore.TargetEngine, Address: address, BaseModel: "base"})
}

func (f *fleet) newInstance(t testing.TB, id, zone string) *instance {
	t.Helper()
	i := &instance{id: id, zone: zone, platform: startForwarder(t), peers: startForwarder(t)}
	i.peers.zoneOf = f.registry.zoneOf
	i.platform.setUpstream(f.platform)
	return i
}

// publishInstances sends the list of instances to the platform.
func (f *fleet) publishInstances(t testing.TB) {
	t.Helper()
	var entries []objectstore.InstanceEntry
	for _, i := range f.instances {
		entries = append(entries, objectstore.InstanceEntry{ID: i.id, Zone: i.zone, State: objectstore.InstanceLive, Peer: i.peers.address})
	}
	f.putPlatform(t, "/admin/instances", entries)
}

// start starts the process of an instance, or a new one if the previous process
// has ended.
func (f *fleet) start(t testing.TB, i *instance) {
	t.Helper()
	s := settings.Defaults()
	s.Instance, s.Zone = i.id, i.zone
	s.Listen = settings.Listen{Callers: standin.Loopback, Peers: standin.Loopback, Administration: standin.Loopback, Metrics: standin.Loopback}
	s.Advertise.Peers = i.peers.address
	s.Platform.Address = i.platform.address
	s.TLS.Callers.Plain, s.TLS.Peers.Plain = true, true
	s.Shutdown.DrainDelay = settings.Duration{Duration: 200 * time.Millisecond}
	if f.adjustSettings != nil {
		f.adjustSettings(&s)
	}
	text, err := settings.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(f.directory, i.id+".toml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	i.process = startProcess(t, i.id, "heatherrelay", "serve", "--config", file)
	f.registry.add(i.process, i.zone)
	started := awaitLine(t, i.process, func(l startedLine) bool { return l.Callers.IsValid() && l.Peers.IsValid() })
	i.listenAddress = started.Callers
	if f.waitUntilReady {
		f.awaitReady(t, i)
	}
	i.peers.setUpstream(started.Peers)
}

// firstRelease generates a key for each team and returns a release note with
// teams, keys, adapters, routes and targets.
func (f *fleet) firstRelease() release.Note {
	f.keys = map[string]key.Key{}
	note := release.Note{
		Title: "First release",
		Adapters: []release.Adapter{
			{Name: "verges", Version: "1", BaseModel: "base", Teams: []string{teamCrews}},
			{Name: "statements", Version: "2", BaseModel: "base", Teams: []string{teamDesk}},
		},
		Routes: []release.Route{
			{Name: "dispatch", Kind: release.ServiceRoute, Service: service, PathPrefix: "/", Teams: []string{teamCrews}},
			{Name: "lookups", Kind: release.ServiceRoute, Service: service, PathPrefix: "/lookups", Repeatable: true},
		},
	}
	for _, team := range []string{teamCrews, teamDesk} {
		f.keys[team] = key.Generate()
		note.Teams = append(note.Teams, release.Team{Name: team, TokensPerSecond: 1e6, BurstTokens: 1e6})
		note.Keys = append(note.Keys, release.Key{ID: f.keys[team].ID, Hash: f.keys[team].Hash(), Team: team})
	}
	for _, target := range f.targets {
		if target.Kind == objectstore.TargetEngine {
			note.Targets = append(note.Targets, release.Target{ID: target.ID, ChecksFencing: strings.HasSuffix(target.ID, "0")})
		}
	}
	return note
}

// publish publishes a release note with the operators' command line, and
// returns its number.
func (f *fleet) publish(t testing.TB, note release.Note) string {
	t.Helper()
	text, err := toml.Marshal(note)
	if err != nil {
		t.Fatal(err)
	}
	out, code := runProgram(t, bytes.NewReader(text), "heatherrelay", "release", "publish", "-", "--platform", f.platform.String())
	if code != 0 {
		t.Fatalf("publish: exit code %d: %s", code, out)
	}
	return strings.TrimSpace(out)
}

// awaitRelease waits until a release note is in force on every instance.
func (f *fleet) awaitRelease(t testing.TB, number string) {
	t.Helper()
	out, code := runProgram(t, nil, "heatherrelay", "release", "status", number, "--platform", f.platform.String(), "--wait", waitTimeout.String())
	if code != 0 {
		t.Fatalf("status: exit code %d: %s", code, out)
	}
}

// caller returns a caller that sends requests to an instance with the key of a
// team.
func (f *fleet) caller(i *instance, team string) *standin.Caller {
	return &standin.Caller{URL: "http://" + i.callerAddress.String(), Key: f.keys[team].Text()}
}

// putPlatform sends a value as JSON to the administration API of the platform
// stand-in.
func (f *fleet) putPlatform(t testing.TB, path string, value any) {
	t.Helper()
	putJSON(t, f.platform, path, value)
}

func putJSON(t testing.TB, address netip.AddrPort, path string, value any) {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("PUT %s: status %d, %v", path, response.StatusCode, err)
	}
}

func getJSON[T any](t testing.TB, address netip.AddrPort, path string) T {
	t.Helper()
	response, err := http.Get("http://" + address.String() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close() //nolint:errcheck // the body is read to its end
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var value T
	if err := json.Unmarshal(body, &value); err != nil {
		t.Fatalf("GET %s: %v: %s", path, err, body)
	}
	return value
}

// request returns a request for a streamed completion.
func request(model, prompt string, tokens int) standin.CompletionRequest {
	return standin.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: &tokens, Stream: true}
}

// checkTargets checks that no engine evicted an adapter in use or answered with
// another model, and that no caller's key has leaked.
func (f *fleet) checkTargets(t testing.TB) {
	t.Helper()
	for id, address := range f.engines {
		stats := getJSON[standin.EngineStats](t, address, "/admin/stats")
		if stats.EvictedInUse != 0 || stats.WrongModel != 0 {
			t.Errorf("%s: evicted in use %d, wrong model %d", id, stats.EvictedInUse, stats.WrongModel)
		}
	}
	f.checkKeys(t)
}

// checkKeys searches all requests received by stand-ins and all output of
// instances for callers' keys.
func (f *fleet) checkKeys(t testing.TB) {
	t.Helper()
	receivers := map[string]netip.AddrPort{"platform": f.platform, "service": f.service}
	for id, address := range f.engines {
		receivers[id] = address
	}
	for team, k := range f.keys {
		secret := k.Text()[strings.LastIndexByte(k.Text(), '_')+1:]
		for name, address := range receivers {
			found := getJSON[standin.SearchResult](t, address, "/admin/received?contains="+secret)
			if found.Found || found.DroppedBytes > 0 {
				t.Errorf("%s received the key of %s, or more requests than it could keep: %+v", name, team, found)
			}
		}
		for _, i := range f.instances {
			for _, p := range append(i.previous, i.process) {
				if bytes.Contains(p.output.bytes(), []byte(secret)) {
					t.Errorf("the output of %s contains the key of %s", i.id, team)
				}
			}
		}
	}
}
