package team_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of the property tests,
// unless the command line gives them.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "200"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}
