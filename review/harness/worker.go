package harness

import (
	"bufio"
	"cmp"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"syscall"
	"time"

	"heatherrelay/internal/loopback"
	"heatherrelay/platform/platformtest"
)

// WorkerProcess is a stand-in of a worker that runs as a process, so that its end is that of
// a process.
type WorkerProcess struct {
	ID, Service, Zone string
	// Model is the base model of an engine; empty for plain workers.
	Model  string
	Record *Record
	// Mode is the argument with which this program runs as the worker, by default worker.
	Mode string
	// OnLine is called with each line that the worker writes; may be nil.
	OnLine func(line string)

	address netip.AddrPort
	command *exec.Cmd
}

// workerStartTime bounds the time until a worker accepts connections.
const workerStartTime = 5 * time.Second

// Start starts the process, which is this program with the argument worker, and waits
// until it accepts connections.
func (w *WorkerProcess) Start() error {
	address, err := loopback.FreeAddress()
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	w.address, w.command = address, exec.Command(program, cmp.Or(w.Mode, "worker"), address.String())
	w.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := w.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := w.command.Start(); err != nil {
		return err
	}
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			w.Record.Printf("worker %s has %s", w.ID, lines.Text())
			if w.OnLine != nil {
				w.OnLine(lines.Text())
			}
		}
	}()
	for deadline := time.Now().Add(workerStartTime); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address.String())
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(deadline) {
			return err
		}
	}
}

// Register writes the worker's entry to the store. A remaining time other than zero is
// how long a worker still has that is taken away.
func (w *WorkerProcess) Register(store *platformtest.Store, state string, remaining time.Duration) {
	entry := map[string]any{
		"service": w.Service, "address": w.address.String(), "zone": w.Zone, "version": "v1", "slots": 64,
		"state": state, "cold-remaining-ms": 0, "sequence": 0, "born": 1,
	}
	if remaining > 0 {
		entry["remaining-ms"] = remaining.Milliseconds()
	}
	if w.Model != "" {
		entry["models"] = []any{map[string]any{"name": w.Model, "version": 1, "adapters": []string{}}}
	}
	store.Put("servers", w.ID, entry)
}

// Kill kills the process and waits for its end.
func (w *WorkerProcess) Kill() {
	if w.command == nil || w.command.Process == nil {
		return
	}
	_ = w.command.Process.Kill()
	// The process ends by the signal.
	_ = w.command.Wait()
	w.command = nil
}
