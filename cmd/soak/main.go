// Command soak runs instances as processes, injects faults into them and the network
// around them, and checks what their clients and targets receive.
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"heatherrelay/internal/soak"
)

// options holds the values of the flags.
type options struct {
	seed          uint64
	seeds         int
	instances     int
	clients       int
	faultDuration time.Duration
	planned       bool
	restores      bool
	crashes       bool
	incident      bool
	evacuations   bool
	verbose       bool
	// previous is a commit of this repository.
	previous string
}

// The numbers of clients by default.
const (
	defaultClients  = 12
	incidentClients = 36
)

func main() {
	var o options
	command := &cobra.Command{
		Use:          "soak",
		Short:        "Inject faults into instances and check what clients and targets receive",
		Example:      "  go run ./cmd/soak --seed 1 --seeds 50",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return run(o) },
	}
	flags := command.Flags()
	flags.Uint64Var(&o.seed, "seed", uint64(time.Now().Unix()), "first seed; the time in seconds by default")
	flags.IntVar(&o.seeds, "seeds", 1, "number of consecutive seeds to run")
	flags.IntVar(&o.instances, "instances", 6, "number of instances")
	flags.IntVar(&o.clients, "clients", 0, "number of clients; 12, with --incident 36 by default")
	flags.DurationVar(&o.faultDuration, "faulty", 10*time.Second, "how long faults are injected")
	flags.BoolVar(&o.planned, "planned", false, "inject only planned work and silent targets, and check that no request is lost")
	flags.BoolVar(&o.restores, "restores", false, "restore the store from older copies too")
	flags.BoolVar(&o.crashes, "crashes", false, "send prompts that crash engines and have targets state limits, beside fewer other faults")
	flags.BoolVar(&o.incident, "incident", false, "serve two software versions, replace engines, kill many instances, and have clients take streams up again")
	flags.BoolVar(&o.evacuations, "evacuations", false, "evacuate zones and have targets be cold, beside fewer other faults")
	flags.StringVar(&o.previous, "upgrade-from", "", "commit whose version runs at first; restarts replace it by this one, and back")
	flags.BoolVar(&o.verbose, "verbose", false, "print each fault")
	if err := command.Execute(); err != nil {
		os.Exit(1)
	}
}

// run builds the heatherrelay binary and runs each seed. The logs are kept if a seed
// failed.
func run(o options) error {
	if o.clients == 0 {
		o.clients = defaultClients
		if o.incident {
			o.clients = incidentClients
		}
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	binary := filepath.Join(dir, "heatherrelay")
	build := exec.Command("go", "build", "-o", binary, "./cmd/heatherrelay")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return err
	}
	previous := ""
	if o.previous != "" {
		if previous, err = buildCommit(o.previous, dir); err != nil {
			return err
		}
	}
	failed := 0
	for i := range o.seeds {
		if !runSeed(o, o.seed+uint64(i), binary, previous, dir) {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed; the logs are in %s", failed, o.seeds, dir)
	}
	fmt.Printf("%d seeds passed\n", o.seeds)
	return os.RemoveAll(dir)
}

// buildCommit builds the heatherrelay binary of a commit in dir and returns its path.
func buildCommit(commit, dir string) (string, error) {
	source, binary := filepath.Join(dir, "previous"), filepath.Join(dir, "heatherrelay-previous")
	for _, command := range []*exec.Cmd{
		exec.Command("git", "clone", "--quiet", "--no-checkout", ".", source),
		exec.Command("git", "-C", source, "checkout", "--quiet", commit),
		exec.Command("go", "build", "-C", source, "-o", binary, "./cmd/heatherrelay"),
	} {
		command.Stderr = os.Stderr
		if err := command.Run(); err != nil {
			return "", fmt.Errorf("build of %s: %w", commit, err)
		}
	}
	return binary, nil
}

// runSeed runs one seed, prints its violations, and reports whether there were none.
func runSeed(o options, seed uint64, binary, previous, dir string) bool {
	runDir := filepath.Join(dir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(runDir, 0o700); err != nil {
		fmt.Println(err)
		return false
	}
	cluster := &soak.Cluster{Seed: seed, Binary: binary, PreviousBinary: previous, Dir: runDir, Instances: o.instances, Clients: o.clients, FaultDuration: o.faultDuration, Planned: o.planned, Restores: o.restores, Crashes: o.crashes, Incident: o.incident, Evacuations: o.evacuations}
	logFile, err := os.Create(filepath.Join(runDir, "soak.log"))
	if err != nil {
		fmt.Println(err)
		return false
	}
	defer func() { _ = logFile.Close() }()
	log := io.Writer(logFile)
	if o.verbose {
		log = io.MultiWriter(logFile, os.Stdout)
	}
	cluster.Log = func(text string) { _, _ = fmt.Fprintln(log, text) }
	violations, err := cluster.Run()
	if err != nil {
		violations = append(violations, err.Error())
	}
	fmt.Printf("seed %d: %d violations; logs in %s\n", seed, len(violations), runDir)
	for _, violation := range violations {
		fmt.Println("  ", violation)
	}
	return len(violations) == 0
}
