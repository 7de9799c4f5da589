package callerapi_test

import (
	"testing"

	"heatherrelay/internal/propertytest"
)

// TestMain runs the property tests with a fixed seed unless a flag sets another.
func TestMain(m *testing.M) { propertytest.Defaults{}.Main(m) }
