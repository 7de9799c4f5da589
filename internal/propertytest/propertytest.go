// Package propertytest gives property tests the same verdict on every run.
package propertytest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// fixedSeed is the seed of a run whose command line names none.
const fixedSeed = 1

// Defaults are the flags of property tests that the command line does not give.
type Defaults struct {
	// Checks is how many runs a property gets; zero leaves the library's default.
	Checks int
}

// Main runs a package's tests with a fixed seed. A package with property tests
// calls it from its TestMain.
func (d Defaults) Main(m *testing.M) {
	flag.Parse()
	values := map[string]int{"rapid.seed": fixedSeed}
	if d.Checks > 0 {
		values["rapid.checks"] = d.Checks
	}
	flag.Visit(func(f *flag.Flag) { delete(values, f.Name) })
	for name, value := range values {
		if err := flag.Set(name, strconv.Itoa(value)); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
