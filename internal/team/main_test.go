package team_test

import (
	"testing"

	"heatherrelay/internal/propertytest"
)

// TestMain sets the seed and the number of runs of property tests unless they
// are given as flags.
func TestMain(m *testing.M) { propertytest.Defaults{Checks: 200}.Main(m) }
