package harness

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"heatherrelay/internal/loopback"
)

// settingsFormat renders the settings that deploy/instance.toml.tmpl gives an instance of
// a small deployment.
const settingsFormat = `instance_id = "%s"
zone = "%s"
log_level = "info"
store = "%s"
%s
seeds = [%s]
key_limit = "5000ms"
configuration_limit = "2000ms"
targets_limit = "2000ms"
order_quiet_time = "3000ms"
shutdown_grace = "8s"
cpu_share = 0.4
link_mbps = 1000.0
memory_mb = 284
allowance_window = "8s"

[listen]
clients = "%s"
ready = "%s"
peers = "%s"
metrics = "%s"

[retry]
ratio = 0.2
extra = 58
`

// Instance is a gateway process. The platform starts it again after it has ended.
type Instance struct {
	ID, Zone string
	Clients  netip.AddrPort
	Ready    netip.AddrPort

	settings, log, program string
	record                 *Record

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// killed is set while the test has the process end.
	killed bool
	// ownEnds are the times at which the process ended by itself.
	ownEnds []time.Time
}

// Fleet is a set of instances, each with a loopback address of its own and the same ports.
type Fleet struct {
	// Root is the root of the repository, Dir the folder for settings and logs.
	Root, Dir string
	// Store is the address of the platform's store.
	Store     netip.AddrPort
	Record    *Record
	Instances []*Instance
}

const portsPerInstance = 4

// addresses returns free ports, each of them on all the given loopback addresses.
func addresses(hosts []netip.Addr) ([portsPerInstance]uint16, error) {
	var ports [portsPerInstance]uint16
	for i := range ports {
		for {
			address, err := loopback.FreeAddress()
			if err != nil {
				return ports, err
			}
			if ports[i] = address.Port(); free(hosts, ports[i]) {
				break
			}
		}
	}
	return ports, nil
}

// free reports whether nothing listens on a port of the hosts.
func free(hosts []netip.Addr, port uint16) bool {
	for _, host := range hosts {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(host, port).String())
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// Add adds instances, one for each of the zones, and writes their settings.
func (f *Fleet) Add(zones ...string) error {
	network := byte(1 + os.Getpid()%200)
	var hosts []netip.Addr
	for i := range zones {
		hosts = append(hosts, netip.AddrFrom4([4]byte{127, 77, network, byte(1 + i)}))
	}
	ports, err := addresses(hosts)
	if err != nil {
		return err
	}
	var seeds []string
	for _, host := range hosts[:min(3, len(hosts))] {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(host, ports[2])))
	}
	for i, zone := range zones {
		at := func(port int) netip.AddrPort { return netip.AddrPortFrom(hosts[i], ports[port]) }
		p := &Instance{ID: fmt.Sprintf("front-%s-%d", zone, i+1), Zone: zone, Clients: at(0), Ready: at(1), program: filepath.Join(f.Root, "target", "heatherrelay"), record: f.Record}
		p.settings, p.log = filepath.Join(f.Dir, p.ID+".toml"), filepath.Join(f.Dir, p.ID+".log")
		text := fmt.Sprintf(settingsFormat, p.ID, zone, f.Store, "bootstrap = true", strings.Join(seeds, ", "), at(0), at(1), at(2), at(3))
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			return err
		}
		f.Instances = append(f.Instances, p)
	}
	return nil
}

// startTimeout bounds the time until all instances are ready.
const startTimeout = 20 * time.Second

// Start starts all instances and waits until they are ready.
func (f *Fleet) Start() error {
	for _, p := range f.Instances {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return f.AwaitReady()
}

// AwaitReady waits until all instances are ready.
func (f *Fleet) AwaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if f.ready() {
			return nil
		}
	}
	return errors.New("the instances did not become ready")
}

func (f *Fleet) ready() bool {
	for _, p := range f.Instances {
		if !p.IsReady() {
			return false
		}
	}
	return true
}

// Stop kills all instances.
func (f *Fleet) Stop() {
	for _, p := range f.Instances {
		p.Kill()
	}
}

// Start starts the process.
func (p *Instance) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.program, "gateway")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HEATHERRELAY_CONFIG=" + p.settings}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited, p.killed = command, exited, false
	go func() {
		err := command.Wait()
		_ = logFile.Close()
		p.mu.Lock()
		if !p.killed {
			p.ownEnds = append(p.ownEnds, time.Now())
			p.record.Printf("instance %s ended by itself: %v; last lines of its log: %s", p.ID, err, p.lastPanic())
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// lastPanic returns the line of the log that says why the process ended by itself.
func (p *Instance) lastPanic() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	reason := "none found"
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			reason = line
		}
	}
	return reason
}

// DropBootstrap rewrites the settings as for a later start than the whole system's first.
func (p *Instance) DropBootstrap() error {
	data, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, []byte(strings.Replace(string(data), "bootstrap = true", "bootstrap = false", 1)), 0o600)
}

// PID returns the id of the process.
func (p *Instance) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

// Signal sends a signal to the process.
func (p *Instance) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.killed = true
	}
	_ = p.command.Process.Signal(signal)
}

// Kill kills the process and waits for its end.
func (p *Instance) Kill() {
	p.mu.Lock()
	started := p.command != nil
	p.mu.Unlock()
	if !started {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited returns a channel that is closed when the process has ended.
func (p *Instance) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// OwnEnds returns how often the process ended by itself.
func (p *Instance) OwnEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ownEnds)
}

// IsReady reports whether the instance answers its readiness check with 200.
func (p *Instance) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.Ready.String() + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
