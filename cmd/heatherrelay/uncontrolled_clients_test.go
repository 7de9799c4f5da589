package main_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/loopback"
	"heatherrelay/platform/platformtest"
)

// The process, the crowd of clients and the bounds. The memory of the process is less than
// that of the smallest machines, so that a small crowd is enough.
const (
	memoryMB       = 96
	crowdSize      = 60
	maxDescriptors = 400
	bodyLimit      = 4 << 20
	shortBy        = 100
	// crowdTime bounds how long the clients of a crowd send.
	crowdTime    = 10 * time.Second
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	testKey      = "key-of-roads"
)

// settingsFormat renders the settings of the process.
const settingsFormat = `instance_id = "instance-1"
zone = "north"
log_level = "info"
store = "%s"
key_limit = "5s"
configuration_limit = "2s"
targets_limit = "2s"
order_quiet_time = "3s"
shutdown_grace = "%s"
memory_mb = %d
allowance_window = "8s"

[listen]
clients = "%s"
ready = "%s"
peers = "%s"

[retry]
ratio = 0.2
extra = 50
`

// gatewayProcess is the gateway command in a process of its own, in front of a target.
type gatewayProcess struct {
	t              *testing.T
	store          *platformtest.Store
	target         *platformtest.Target
	clients, ready netip.AddrPort
	pid            int
	exited         chan struct{}
}

// binary returns the path of the command, without the race detector, whose memory no bound
// covers.
var binary = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "heatherrelay")
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, "heatherrelay")
	out, err := exec.Command("go", "build", "-o", path, "heatherrelay/cmd/heatherrelay").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// TestMain removes the binary after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// startGateway starts a store, a target and a gateway, which end with the test, and returns
// when the gateway is ready.
func startGateway(t *testing.T, maxBodyBytes int) *gatewayProcess {
	t.Helper()
	return startGatewayWith(t, maxBodyBytes, usualGrace)
}

// usualGrace is the time from SIGTERM until a process must have ended.
const usualGrace = 8 * time.Second

// startGatewayWith is startGateway of a process with a given shutdown grace.
func startGatewayWith(t *testing.T, maxBodyBytes int, grace time.Duration) *gatewayProcess {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	routes := append(platformtest.StandardRoutes(), platformtest.Route{
		"name": "events", "host": platformtest.Host, "path-prefix": "/events/", "kind": "streaming", "timeout-ms": 4000, "target-latency-ms": 1000,
		"gap-aim-ms": 300, "service": platformtest.PlainService, "max-attempts": 2, "can-resume": true,
	})
	platformtest.Config{
		Version: 1, Routes: routes, Keys: map[string]string{testKey: "roads"}, Rate: 1_000_000, Burst: 1_000_000, MaxBodyBytes: maxBodyBytes,
	}.Publish(store)
	p := &gatewayProcess{t: t, store: store, clients: freeAddress(t), ready: freeAddress(t), exited: make(chan struct{})}
	p.target = &platformtest.Target{ID: "plain-1", Service: platformtest.PlainService, Zone: "north"}
	p.target.Start()
	t.Cleanup(p.target.Close)
	p.target.Register(store, "ready")
	settings := filepath.Join(t.TempDir(), "instance.toml")
	text := fmt.Sprintf(settingsFormat, store.Address(), grace, memoryMB, p.clients, p.ready, freeAddress(t))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	path, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(path, "gateway", "--config", settings)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	p.pid = command.Process.Pid
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-p.exited
	})
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	p.waitFor("ready", func() bool {
		response, err := http.Get("http://" + p.ready.String() + "/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return p
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (p *gatewayProcess) waitFor(what string, condition func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	p.t.Fatalf("%s: condition not met in time", what)
}

// highestMemory returns the most memory that the process ever held, in bytes.
func (p *gatewayProcess) highestMemory() int {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		p.t.Fatalf("the process ended: %v", err)
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		p.t.Fatalf("the process ended: %s", status)
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		p.t.Fatal(err)
	}
	return kilobytes << 10
}

// descriptors returns how many descriptors the process has open.
func (p *gatewayProcess) descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		p.t.Fatalf("the process ended: %v", err)
	}
	return len(entries)
}

// check checks that the process lives within its bounds and answers an ordinary request,
// which may be told to come again.
func (p *gatewayProcess) check() {
	p.t.Helper()
	if n := p.descriptors(); n > maxDescriptors {
		p.t.Errorf("%d descriptors are open, want at most %d", n, maxDescriptors)
	}
	p.checkMemory()
}

// checkMemory is check without the descriptors.
func (p *gatewayProcess) checkMemory() {
	p.t.Helper()
	p.waitFor("an ordinary request is answered", func() bool { return p.send(strings.NewReader("body")) == http.StatusOK })
	select {
	case <-p.exited:
		p.t.Fatal("the process ended")
	default:
	}
	highest := p.highestMemory()
	p.t.Logf("at most %d MB", highest>>20)
	if highest > memoryMB<<20 {
		p.t.Errorf("the process held %d MB, want at most %d", highest>>20, memoryMB)
	}
}

// send sends a request on a connection of its own and returns the status, or 0.
func (p *gatewayProcess) send(body io.Reader) int {
	p.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+p.clients.String()+"/read/x", body)
	if err != nil {
		p.t.Fatal(err)
	}
	request.Host, request.Close = platformtest.Host, true
	request.Header.Set("Request-Id", fmt.Sprint("request-", time.Now().UnixNano()))
	request.Header.Set("Key", testKey)
	request.Header.Set("Deadline-Ms", "3000")
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// crowdClient sends a request whose body it may not end.
type crowdClient struct {
	framing string
	// piece is repeated until the bytes are sent.
	piece []byte
	bytes int
	pause time.Duration
}

// inChunks returns a client that sends a body in chunks of one size, up to a number of bytes
// of the body.
func inChunks(size, body int) crowdClient {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("x"), size))
	// Small chunks are sent many at a time.
	piece := bytes.Repeat(chunk, max(1, 32<<10/len(chunk)))
	return crowdClient{framing: "Transfer-Encoding: chunked", piece: piece, bytes: body / size * len(chunk)}
}

// withLength returns a client that states a length and sends a number of bytes of it.
func withLength(length, body int, pause time.Duration) crowdClient {
	return crowdClient{framing: fmt.Sprint("Content-Length: ", length), piece: bytes.Repeat([]byte("x"), 32<<10), bytes: body, pause: pause}
}

// endOfHead returns the end of a head that has one.
func (c crowdClient) endOfHead() string {
	if strings.HasPrefix(c.framing, "Part") {
		return ""
	}
	return "\r\n"
}

// send sends the request until all is sent, the other end closes, or the deadline.
func (c crowdClient) send(conn net.Conn, id int, deadline time.Time) {
	if conn.SetWriteDeadline(deadline) != nil {
		return
	}
	if _, err := fmt.Fprintf(conn, "POST /read/x HTTP/1.1\r\nHost: %s\r\nKey: %s\r\nRequest-Id: crowd-%d\r\nDeadline-Ms: 3000\r\n%s\r\n%s", platformtest.Host, testKey, id, c.framing, c.endOfHead()); err != nil {
		return
	}
	for left := c.bytes; left > 0; left -= len(c.piece) {
		if _, err := conn.Write(c.piece[:min(left, len(c.piece))]); err != nil {
			return
		}
		time.Sleep(c.pause)
	}
}

// gather has a crowd send at once, returns when all have sent what they can, and leaves the
// connections open until the test ends.
func (p *gatewayProcess) gather(c crowdClient) {
	p.t.Helper()
	p.gatherMany(crowdSize, c)
}

func (p *gatewayProcess) gatherMany(clients int, c crowdClient) {
	p.t.Helper()
	deadline := time.Now().Add(crowdTime)
	var group sync.WaitGroup
	for id := range clients {
		conn, err := net.Dial("tcp", p.clients.String())
		if err != nil {
			p.t.Fatal(err)
		}
		p.t.Cleanup(func() { _ = conn.Close() })
		group.Go(func() { c.send(conn, id, deadline) })
	}
	group.Wait()
}

// TestCrowdsStayWithinMemory guards against a process that runs out of memory, or answers
// nobody any more, because many clients send large bodies at once and most of them stop
// within the body.
func TestCrowdsStayWithinMemory(t *testing.T) {
	const oneByteLimit = 2 << 20
	for _, c := range []struct {
		name   string
		limit  int
		client crowdClient
	}{
		{"chunks of 32 KiB that stop short", bodyLimit, inChunks(32<<10, bodyLimit-shortBy)},
		{"chunks of one byte that stop short", oneByteLimit, inChunks(1, oneByteLimit-shortBy)},
		{"length over the limit", bodyLimit, withLength(7<<20, 7<<20-shortBy, 0)},
		{"chunks over the limit", bodyLimit, inChunks(32<<10, 7<<20)},
		{"whole bodies", bodyLimit, withLength(bodyLimit, bodyLimit, 0)},
		{"length that stops short", bodyLimit, withLength(bodyLimit, bodyLimit-shortBy, 0)},
		{"pieces that stop short", bodyLimit, withLength(bodyLimit, bodyLimit-shortBy, 5*time.Millisecond)},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startGateway(t, c.limit)
			p.gather(c.client)
			p.check()
		})
	}
}

// TestManyConnectionsStayWithinBounds guards against a process that runs out of memory or
// descriptors because very many clients begin requests and stop.
func TestManyConnectionsStayWithinBounds(t *testing.T) {
	const clients, maxOfMany = 1500, 1000
	for name, c := range map[string]crowdClient{
		"no body":        {framing: "Content-Length: 1"},
		"part of a body": withLength(bodyLimit, 30_000, 0),
		"part of a head": {framing: "Part: of a head"},
	} {
		t.Run(name, func(t *testing.T) {
			p := startGateway(t, bodyLimit)
			p.gatherMany(clients, c)
			if n := p.descriptors(); n > maxOfMany {
				t.Errorf("%d descriptors are open, want at most %d", n, maxOfMany)
			}
			p.checkMemory()
		})
	}
}

// TestUnreadResponsesStayWithinMemory guards against a process that runs out of memory, or
// answers nobody any more, because many clients do not read large responses.
func TestUnreadResponsesStayWithinMemory(t *testing.T) {
	p := startGateway(t, bodyLimit)
	p.target.Inject(func(target *platformtest.Target) { target.BodyBytes = bodyLimit })
	p.gather(withLength(1, 1, 0))
	for deadline := time.Now().Add(crowdTime); time.Now().Before(deadline) && len(p.target.ReceivedRequests()) < crowdSize; {
		time.Sleep(pollInterval)
	}
	p.check()
}

// TestLargestBodyIsServedInCalm guards against limits that a client within those of the
// configuration meets.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	p := startGateway(t, bodyLimit)
	body := strings.Repeat("x", bodyLimit)
	if status := p.send(strings.NewReader(body)); status != http.StatusOK {
		t.Errorf("status %d for a body with a length", status)
	}
	if status := p.send(io.MultiReader(strings.NewReader(body))); status != http.StatusOK {
		t.Errorf("status %d for a body in chunks", status)
	}
	received := p.target.ReceivedRequests()
	if len(received) != 2 || received[0].Body != body || received[1].Body != body {
		t.Errorf("%d requests reached the target, or not as they were sent", len(received))
	}
	p.check()
}
