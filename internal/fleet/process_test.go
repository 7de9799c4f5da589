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

// waitTimeout bounds every wait of these tests. It is a safety net, not a limit
// that the tests check.
const waitTimeout = 60 * time.Second

// programDirectory is the directory of the built programs.
var programDirectory string

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
	programDirectory = directory
	return m.Run()
}

// process is a running program and its output.
type process struct {
	name   string
	cmd    *exec.Cmd
	output output
	ended  chan struct{}
}

// output collects what a process writes to standard output and standard error.
type output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends b.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(b)
}

func (o *output) bytes() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Clone(o.buffer.Bytes())
}

// startProcess starts a program and kills it at the end of the test. If the
// test failed, it logs the last lines of the program's output.
func startProcess(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, ended: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(programDirectory, program), args...)
	p.cmd.Stdout = &p.output
	p.cmd.Stderr = &p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		// The exit status is read from ProcessState.
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.ended
		if t.Failed() {
			lines := bytes.Split(bytes.TrimSpace(p.output.bytes()), []byte("\n"))
			t.Logf("last output of %s:\n%s", name, bytes.Join(lines[max(0, len(lines)-30):], []byte("\n")))
		}
	})
	return p
}

// signal sends a signal to the process, unless it has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// exit waits for the process to end and returns its exit code.
func (p *process) exit(t testing.TB) int {
	t.Helper()
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit", p.name)
		return 0
	}
}

// awaitLine waits until the process writes a line of JSON that matches, and
// returns it decoded.
func awaitLine[T any](t testing.TB, p *process, matches func(T) bool) T {
	t.Helper()
	var found T
	eventually(t, p.name+" logs its listening address", func() bool {
		lines := bufio.NewScanner(bytes.NewReader(p.output.bytes()))
		for lines.Scan() {
			var candidate T
			if err := json.Unmarshal(lines.Bytes(), &candidate); err == nil && matches(candidate) {
				found = candidate
				return true
			}
		}
		select {
		case <-p.ended:
			t.Fatalf("%s exited before it listened", p.name)
		default:
		}
		return false
	})
	return found
}

// standinLine is the line that a stand-in prints when it listens.
type standinLine struct {
	Listening netip.AddrPort `json:"listening"`
}

// startStandin starts a stand-in and returns its listening address.
func startStandin(t testing.TB, name string, args ...string) netip.AddrPort {
	t.Helper()
	p := startProcess(t, name, "standin", args...)
	l := awaitLine(t, p, func(l standinLine) bool { return l.Listening.IsValid() })
	return l.Listening
}

// runProgram runs a program until it exits, and returns its output and exit
// code.
func runProgram(t testing.TB, stdin io.Reader, program string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), filepath.Join(programDirectory, program), args...)
	cmd.Stdin = stdin
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// eventually waits until a condition holds, and fails the test after
// waitTimeout.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
