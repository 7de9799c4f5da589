package target_test

import (
	"testing"

	"heatherrelay/internal/propertytest"
)

// TestMain runs the property tests with a fixed seed unless a flag sets one.
func TestMain(m *testing.M) { propertytest.Defaults{}.Main(m) }
