package publication_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
