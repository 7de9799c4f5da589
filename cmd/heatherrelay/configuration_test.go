package main_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"heatherrelay/internal/configcheck"
	"heatherrelay/platform/platformtest"
)

// The exit codes that the documentation names.
const (
	exitOK           = 0
	exitFailure      = 1
	exitInvalidInput = 2
)

// TestConfigurationCheckTellsByExitCode covers files that are sound, have findings, or cannot
// be read, alone and against another file and the store.
func TestConfigurationCheckTellsByExitCode(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	inForce := platformtest.Config{Version: 7, Routes: platformtest.StandardRoutes(), Keys: map[string]string{"key-1": "roads"}, Rate: 1e6, Burst: 1e6}
	inForce.Publish(store)
	directory := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	route := `{"name":"r","host":"app.example","path-prefix":"/","kind":"idempotent","service":"plain","max-attempts":1}`
	sound := write("sound.json", `{"version":8,"routes":[`+route+`],"services":[{"name":"plain"}]}`)
	older := write("older.json", `{"version":7,"routes":[`+route+`],"services":[{"name":"plain","max-connections":9}]}`)
	shadowed := write("shadowed.json", `{"version":8,"routes":[`+route+`,`+strings.Replace(route, `"r"`, `"s"`, 1)+`],"services":[{"name":"plain"}]}`)
	cut := write("cut.json", `{"version":8,`)
	for _, c := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{sound}, exitOK, "nothing found"},
		{[]string{shadowed}, exitFailure, "shadowed.json:1:"},
		{[]string{cut}, exitInvalidInput, "syntax"},
		{[]string{filepath.Join(directory, "none.json")}, exitInvalidInput, ""},
		{[]string{sound, "--format", "yaml"}, exitInvalidInput, ""},
		{[]string{sound, "--against", older}, exitOK, "change: service plain: connections 9 -> unlimited"},
		{[]string{older, "--against", sound}, exitFailure, "(lower)"},
		{[]string{sound, "--against", cut}, exitInvalidInput, ""},
		{[]string{sound, "--against", "store"}, exitInvalidInput, ""},
		{[]string{sound, "--against", "store", "--store", store.Address().String()}, exitFailure, "no_targets"},
		{[]string{sound, "--against", "store", "--store", store.Address().String()}, exitFailure, "change: route app.example/ added"},
	} {
		var stdout, stderr bytes.Buffer
		if code := runBinary(t, append([]string{"configuration", "check"}, c.args...), &stdout, &stderr); code != c.code || !strings.Contains(stdout.String(), c.says) {
			t.Errorf("%v: exit code %d, %s%s", c.args, code, stdout.String(), stderr.String())
		}
		stdout.Reset()
		if strings.Contains(strings.Join(c.args, " "), "--format") {
			continue
		}
		_ = runBinary(t, append([]string{"configuration", "check", "--format", "json"}, c.args...), &stdout, &stderr)
		var report configcheck.Report
		if err := json.Unmarshal(stdout.Bytes(), &report); c.says != "" && (err != nil || c.code != exitOK && len(report.Findings) == 0) {
			t.Errorf("%v: %v in %s", c.args, err, stdout.String())
		}
	}
}

// runBinary runs the command and returns its exit code.
func runBinary(t *testing.T, args []string, stdout, stderr io.Writer) int {
	t.Helper()
	path, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(path, args...)
	command.Stdout, command.Stderr = stdout, stderr
	var exit *exec.ExitError
	switch err := command.Run(); {
	case errors.As(err, &exit):
		return exit.ExitCode()
	case err != nil:
		t.Fatal(err)
	}
	return 0
}
