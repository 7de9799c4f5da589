// Command soak runs instances as processes, injects faults from outside them,
// and checks what their callers and targets see.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"heatherrelay/internal/soak"
)

// options are the command's settings.
type options struct {
	seed      uint64
	seeds     int
	instances int
	clients   int
	faulty    time.Duration
	verbose   bool
}

func main() {
	var o options
	command := &cobra.Command{
		Use:          "soak",
		Short:        "Inject faults into instances and check what callers and targets see",
		Example:      "  go run ./cmd/soak --seed 1 --seeds 50",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return run(o) },
	}
	flags := command.Flags()
	flags.Uint64Var(&o.seed, "seed", uint64(time.Now().Unix()), "first seed; a fresh one by default")
	flags.IntVar(&o.seeds, "seeds", 1, "number of seeds")
	flags.IntVar(&o.instances, "instances", 6, "instances")
	flags.IntVar(&o.clients, "clients", 12, "clients")
	flags.DurationVar(&o.faulty, "faulty", 10*time.Second, "how long faults are injected")
	flags.BoolVar(&o.verbose, "verbose", false, "print each fault")
	if err := command.Execute(); err != nil {
		os.Exit(1)
	}
}

func run(o options) error {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	binary := filepath.Join(folder, "heatherrelay")
	build := exec.Command("go", "build", "-o", binary, "./cmd/heatherrelay")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return err
	}
	failed := 0
	for i := range o.seeds {
		if !runSeed(o, o.seed+uint64(i), binary, folder) {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed; the logs are in %s", failed, o.seeds, folder)
	}
	fmt.Printf("%d seeds passed\n", o.seeds)
	return os.RemoveAll(folder)
}

// runSeed runs one seed; it reports whether nothing was broken.
func runSeed(o options, seed uint64, binary, folder string) bool {
	logs := filepath.Join(folder, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(logs, 0o700); err != nil {
		fmt.Println(err)
		return false
	}
	world := &soak.World{Seed: seed, Binary: binary, Folder: logs, Instances: o.instances, Clients: o.clients, Faulty: o.faulty}
	world.Say = func(text string) {
		if o.verbose {
			fmt.Println("  ", text)
		}
	}
	broken, err := world.Run()
	if err != nil {
		broken = append(broken, err.Error())
	}
	fmt.Printf("seed %d: %d broken\n", seed, len(broken))
	for _, b := range broken {
		fmt.Println("  ", b)
	}
	return len(broken) == 0
}
