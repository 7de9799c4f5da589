package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"heatherrelay/internal/soak"
)

// shortSeed is the seed of CI's short run.
const shortSeed = 1

// regressionSeeds are seeds that failed once, with the command's sizes.
var regressionSeeds = []uint64{
	// Two changes of a copy were told out of order: an instance went back to an
	// older configuration and served a withdrawn key (catalog.Follower).
	111,
}

// play runs one seed and reports what was broken.
func play(t *testing.T, w *soak.World) {
	t.Helper()
	broken, err := w.Run()
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range broken {
		t.Errorf("seed %d: %s", w.Seed, b)
	}
}

// TestSoak plays real processes under faults from outside.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "heatherrelay")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/heatherrelay").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	play(t, &soak.World{Seed: shortSeed, Binary: binary, Folder: t.TempDir(), Instances: 3, Clients: 6, Faulty: 5 * time.Second})
	for _, seed := range regressionSeeds {
		play(t, &soak.World{Seed: seed, Binary: binary, Folder: t.TempDir(), Instances: 6, Clients: 12, Faulty: 10 * time.Second})
	}
}
