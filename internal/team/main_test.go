package team_test

import (
	"testing"

	"heatherrelay/internal/propertytest"
)

// TestMain fixes the seed and the number of runs of the property tests unless
// they are given.
func TestMain(m *testing.M) { propertytest.Defaults{Checks: 200}.Main(m) }
