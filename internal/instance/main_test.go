package instance_test

import (
	"testing"

	"heatherrelay/internal/propertytest"
)

// TestMain sets a fixed seed for the property tests unless one is given.
func TestMain(m *testing.M) { propertytest.Defaults{}.Main(m) }
