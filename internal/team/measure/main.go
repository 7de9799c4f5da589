// Command measure compares ways to share a team's rate and burst, in virtual
// time and with fixed seeds. It drives the very state machines that run live.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// seeds are the seeds of each figure.
var seeds = []uint64{1, 2, 3, 4, 5}

func main() {
	flag.IntVar(&instances, "instances", instances, "number of instances")
	flag.IntVar(&zones, "zones", zones, "number of zones")
	flag.DurationVar(&runTime, "time", runTime, "virtual time of a run")
	teams := flag.Int("teams", 0, "number of teams that grow with the fleet; 0 takes the five of today")
	runs := flag.Int("seeds", len(seeds), "number of seeds")
	only := flag.String("only", "", "name of the only workload; transfers alone are measured then")
	flag.Parse()
	if *teams > 0 {
		growTeams(*teams)
	}
	seeds = seeds[:*runs]
	if *only != "" {
		policies = policies[:1]
		workloads = slices.DeleteFunc(workloads, func(w workload) bool { return w.name != *only })
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "workload\tpolicy\twrongful %\tlowest\thighest\twithin rate %\tworst team %\tover tokens\ttransfers/s\tper request\tplatform calls/s")
	for _, w := range workloads {
		for _, p := range policies {
			printRow(out, w, p, measure(w, p))
		}
	}
	if err := out.Flush(); err != nil {
		os.Exit(1)
	}
}

// measure runs one policy under one workload with every seed.
func measure(w workload, p policy) []result {
	var results []result
	for _, seed := range seeds {
		results = append(results, simulate(w, p, seed))
	}
	return results
}

func printRow(out *tabwriter.Writer, w workload, p policy, results []result) {
	wrongful := column(results, func(r result) float64 { return 100 * r.wrongfulShare() })
	within := column(results, func(r result) float64 { return 100 * r.wrongfulWithinShare() })
	worst := column(results, func(r result) float64 { return 100 * r.worstTeam() })
	over := column(results, func(r result) float64 { return r.over })
	transfers := column(results, func(r result) float64 { return r.perSecond(r.transfers) })
	perRequest := column(results, func(r result) float64 { return r.transfers / r.requests })
	calls := column(results, func(r result) float64 { return r.perSecond(r.platformCalls) })
	fmt.Fprintf(out, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%.1f\t%.3f\t%.1f\n", w.name, p.name,
		median(wrongful), wrongful[0], wrongful[len(wrongful)-1], median(within), median(worst), over[len(over)-1], median(transfers), median(perRequest), median(calls))
}

// column returns one figure of all results, sorted.
func column(results []result, figure func(result) float64) []float64 {
	var values []float64
	for _, r := range results {
		values = append(values, figure(r))
	}
	slices.Sort(values)
	return values
}

func median(sorted []float64) float64 { return stat.Quantile(0.5, stat.Empirical, sorted, nil) }
