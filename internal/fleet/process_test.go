package fleet_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// patience bounds every wait of these tests; it is a safety net and no measure.
const patience = 60 * time.Second

// programs holds the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "heatherrelay-fleet-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory) //nolint:errcheck // a leftover does no harm
	build := exec.Command("go", "build", "-o", directory, "heatherrelay/cmd/heatherrelay", "heatherrelay/cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	programs = directory
	return m.Run()
}

// process is a started program with its output.
type process struct {
	name   string
	cmd    *exec.Cmd
	output output
	ended  chan struct{}
}

// output keeps what a process wrote.
type output struct {
	mu  sync.Mutex
	all bytes.Buffer
}

// Write keeps b.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.all.Write(b)
}

func (o *output) bytes() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Clone(o.all.Bytes())
}

// startProcess starts a program and ends it with the test.
func startProcess(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, ended: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(programs, program), args...)
	p.cmd.Stdout = &p.output
	p.cmd.Stderr = &p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		// The exit status is in ProcessState.
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.ended
		if t.Failed() {
			lines := bytes.Split(bytes.TrimSpace(p.output.bytes()), []byte("\n"))
			t.Logf("%s wrote last:\n%s", name, bytes.Join(lines[max(0, len(lines)-30):], []byte("\n")))
		}
	})
	return p
}

// signal sends a signal to this process; one that has ended is left alone.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// exit waits for the end of the process and returns its exit code.
func (p *process) exit(t testing.TB) int {
	t.Helper()
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(patience):
		t.Fatalf("%s did not end", p.name)
		return 0
	}
}

// line waits for a line of JSON that fits and returns it decoded.
func line[T any](t testing.TB, p *process, fits func(T) bool) T {
	t.Helper()
	var found T
	eventually(t, p.name+" says where it listens", func() bool {
		lines := bufio.NewScanner(bytes.NewReader(p.output.bytes()))
		for lines.Scan() {
			var candidate T
			if err := json.Unmarshal(lines.Bytes(), &candidate); err == nil && fits(candidate) {
				found = candidate
				return true
			}
		}
		select {
		case <-p.ended:
			t.Fatalf("%s ended early", p.name)
		default:
		}
		return false
	})
	return found
}

// standinLine is what a stand-in prints when it listens.
type standinLine struct {
	Listening netip.AddrPort `json:"listening"`
}

// startStandin starts a stand-in and returns its address.
func startStandin(t testing.TB, name string, args ...string) netip.AddrPort {
	t.Helper()
	p := startProcess(t, name, "standin", args...)
	l := line(t, p, func(l standinLine) bool { return l.Listening.IsValid() })
	return l.Listening
}

// runProgram runs a program to its end and returns its output and exit code.
func runProgram(t testing.TB, stdin io.Reader, program string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), filepath.Join(programs, program), args...)
	cmd.Stdin = stdin
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// eventually waits for a condition that must come about.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("in vain: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
