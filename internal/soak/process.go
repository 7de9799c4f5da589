package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"heatherrelay/internal/loopback"
)

// settingsTemplate is the format of an instance's settings file.
const settingsTemplate = `instance_id = "%s"
zone = "%s"
store = "%s"
key_limit = "%s"
configuration_limit = "2s"
targets_limit = "2s"
order_quiet_time = "500ms"
shutdown_grace = "%s"
allowance_window = "8s"
%s[listen]
clients = "%s"
ready = "%s"
peers = "%s"
[retry]
ratio = 0.2
extra = 58.0
`

// Process is an instance that runs as an operating system process. It can be
// started again after it has exited.
type Process struct {
	// ID is the instance's id.
	ID string
	// ClientAddress serves clients, ReadyAddress the readiness check.
	ClientAddress netip.AddrPort
	ReadyAddress  netip.AddrPort

	// binaries are the programs that the starts use in turn.
	binaries     []string
	starts       int
	settingsPath string
	logPath      string

	mu sync.Mutex
	// command is nil while the process does not run.
	command *exec.Cmd
	// exited is closed when the last started process has exited.
	exited chan struct{}
	// ending is set once the process was sent a signal that ends it. ownEnds describes the
	// ends of processes that none had been sent to, or that failed then.
	ending  bool
	ownEnds []string
	// peakMemory is the most memory that the process had when a signal was sent.
	peakMemory int
}

// newProcess writes the settings file of an instance to dir, with free loopback
// addresses; extra are further lines of it. Start runs the instance.
func newProcess(binaries []string, dir, id, zone string, store netip.AddrPort, keyLimit, shutdownGrace time.Duration, extra string) (*Process, error) {
	p := &Process{ID: id, binaries: binaries, settingsPath: filepath.Join(dir, id+".toml"), logPath: filepath.Join(dir, id+".log")}
	peers, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	if p.ClientAddress, err = loopback.FreeAddress(); err != nil {
		return nil, err
	}
	if p.ReadyAddress, err = loopback.FreeAddress(); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsTemplate, id, zone, store, keyLimit, shutdownGrace, extra, p.ClientAddress, p.ReadyAddress, peers)
	return p, os.WriteFile(p.settingsPath, []byte(text), 0o600)
}

// Start starts the instance unless it runs already. Its output is appended to a log
// file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.binaries[p.starts%len(p.binaries)], "gateway", "--config", p.settingsPath)
	p.starts++
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited, p.ending = command, exited, false
	go func() {
		// A process that is killed ends with an error too.
		_ = command.Wait()
		_ = logFile.Close()
		p.mu.Lock()
		p.recordEnd(command.ProcessState)
		p.command = nil
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process that Start started, if it still runs.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.peakMemory = max(p.peakMemory, peakMemory(p.command.Process.Pid))
		p.ending = p.ending || signal == syscall.SIGKILL || signal == syscall.SIGTERM
		_ = p.command.Process.Signal(signal)
	}
}

// shownLogBytes is the length of the part of the log that a violation shows: the panic's
// text, or the end of the log without one.
const shownLogBytes = 500

// recordEnd records an end that no signal of the run asked for. The caller holds mu.
func (p *Process) recordEnd(state *os.ProcessState) {
	if p.ending && state.ExitCode() <= 0 {
		return
	}
	log, err := os.ReadFile(p.logPath)
	if err != nil {
		log = []byte(err.Error())
	}
	from := bytes.LastIndex(log, []byte("panic: "))
	if from < 0 {
		from = max(len(log)-shownLogBytes, 0)
	}
	p.ownEnds = append(p.ownEnds, fmt.Sprintf("%s at %s: %s: %s", state, time.Now().Format(time.TimeOnly), p.logPath, log[from:min(from+shownLogBytes, len(log))]))
}

// peakMemory returns the most memory that a process has had, in kilobytes; 0 if it is not
// known.
func peakMemory(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kilobytes
}

// PeakMemory returns the most memory that the process had when a signal was sent, in
// kilobytes.
func (p *Process) PeakMemory() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakMemory
}

// OwnEnds describes the ends of the process that no signal of the run asked for.
func (p *Process) OwnEnds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownEnds
}

func (p *Process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil
}

// WaitForExit waits until the process has exited, but no longer than timeout.
func (p *Process) WaitForExit(timeout time.Duration) {
	p.mu.Lock()
	exited, running := p.exited, p.command != nil
	p.mu.Unlock()
	if !running {
		return
	}
	select {
	case <-exited:
	case <-time.After(timeout):
	}
}

// IsReady reports whether the instance answers its readiness check with status 200.
func (p *Process) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + p.ReadyAddress.String() + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
