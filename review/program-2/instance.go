package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"heatherrelay/internal/loopback"
)

const (
	// program is what the deploy file runs, from the root of the repository.
	program = "target/heatherrelay"
	// readyTimeout bounds the start of an instance.
	readyTimeout = 15 * time.Second
	// graceTime is the platform's time from SIGTERM to SIGKILL.
	graceTime = 8 * time.Second
)

// settingsFormat has the settings of a small deployment, as the template of the deploy file
// fills them in.
const settingsFormat = `instance_id = "%s"
zone = "%s"
log_level = "info"
store = "%s"
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
[retry]
ratio = 0.2
extra = 58
[zones]
"z1" = "r1"
"z2" = "r1"
[decisions]
prompts = "auto"
speeds = "auto"
prompt_cache = "auto"
`

// instance is an instance that runs as a process.
type instance struct {
	id, zone, dir         string
	clients, ready, peers netip.AddrPort
	command               *exec.Cmd
	exited                chan struct{}
}

// newInstance chooses the addresses of an instance.
func newInstance(dir, id, zone string) (*instance, error) {
	i := &instance{id: id, zone: zone, dir: dir}
	for _, a := range []*netip.AddrPort{&i.clients, &i.ready, &i.peers} {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	return i, nil
}

// start starts the process. The instance finds the others in the store.
func (i *instance) start(store netip.AddrPort) error {
	path := filepath.Join(i.dir, i.id+".toml")
	text := fmt.Sprintf(settingsFormat, i.id, i.zone, store, "", i.clients, i.ready, i.peers)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.dir, i.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.command = exec.Command(program, "gateway")
	i.command.Env = []string{"HEATHERRELAY_CONFIG=" + path, "PATH=" + os.Getenv("PATH")}
	i.command.Stdout, i.command.Stderr = log, log
	// No process outlives the case.
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	i.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		// A process that is killed ends with an error too.
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}(i.command, i.exited)
	return nil
}

// awaitReady returns once the instance says that it is ready.
func (i *instance) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + i.ready.String() + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("instance %s is not ready", i.id)
}

// terminate sends SIGTERM. The process is killed when it still runs after the grace.
func (i *instance) terminate() error {
	command, exited := i.command, i.exited
	if err := command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.AfterFunc(graceTime, func() {
		select {
		case <-exited:
		default:
			_ = command.Process.Kill()
		}
	})
	return nil
}

// kill ends the process at once.
func (i *instance) kill() {
	if i.command == nil || i.command.Process == nil {
		return
	}
	// The process may have ended.
	_ = i.command.Process.Kill()
	<-i.exited
}
