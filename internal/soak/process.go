package soak

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"heatherrelay/internal/loopback"
)

// settingsTemplate is an instance's settings.
const settingsTemplate = `instance_id = "%s"
zone = "%s"
store = "%s"
key_limit = "%s"
configuration_limit = "2s"
targets_limit = "2s"
order_quiet_time = "500ms"
shutdown_grace = "5s"
allowance_window = "8s"
[listen]
clients = "%s"
ready = "%s"
peers = "%s"
[retry]
ratio = 0.2
extra = 58.0
`

// Process is one instance that runs as a process of its own.
type Process struct {
	ID      string
	Clients netip.AddrPort
	Ready   netip.AddrPort

	binary string
	config string
	log    string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// newProcess writes an instance's settings; Start runs it.
func newProcess(binary, folder, id, zone string, store netip.AddrPort, keyLimit time.Duration) (*Process, error) {
	p := &Process{ID: id, binary: binary, config: filepath.Join(folder, id+".toml"), log: filepath.Join(folder, id+".log")}
	peers, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	if p.Clients, err = loopback.FreeAddress(); err != nil {
		return nil, err
	}
	if p.Ready, err = loopback.FreeAddress(); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsTemplate, id, zone, store, keyLimit, p.Clients, p.Ready, peers)
	return p, os.WriteFile(p.config, []byte(text), 0o600)
}

// Start runs the instance, if it does not run.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.binary, "gateway", "--config", p.config)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	go func() {
		// How it ended is what the fault asked for; the log tells the rest.
		_ = command.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.command = nil
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process that this soak started, if it runs.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// Await waits until the process has ended, or the time is over.
func (p *Process) Await(limit time.Duration) {
	p.mu.Lock()
	done, runs := p.done, p.command != nil
	p.mu.Unlock()
	if !runs {
		return
	}
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// IsReady asks the instance whether it is ready.
func (p *Process) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + p.Ready.String() + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
