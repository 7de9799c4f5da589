package eventstream_test

import (
	"testing"

	"heatherrelay/internal/propertytest"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) { propertytest.Defaults{}.Main(m) }
