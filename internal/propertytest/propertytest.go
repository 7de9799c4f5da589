// Package propertytest makes property tests reproducible: every run uses the same seed
// and number of cases, unless the command line sets others.
package propertytest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// defaultSeed is the seed of a run whose command line sets none.
const defaultSeed = 1

// Defaults holds the default values of the property-test flags.
type Defaults struct {
	// Checks is the number of cases per property; zero means the library's default.
	Checks int
}

// Main runs a package's tests with the defaults and exits. Packages with property tests
// call it from TestMain.
func (d Defaults) Main(m *testing.M) {
	flag.Parse()
	values := map[string]int{"rapid.seed": defaultSeed}
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
