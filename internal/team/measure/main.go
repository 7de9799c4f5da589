// Command measure compares policies for sharing a team's rate and burst among
// instances, in virtual time and with fixed seeds. It runs the same state
// machines as production.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// seeds are the random seeds of the runs behind each figure.
var seeds = []uint64{1, 2, 3, 4, 5}

func main() {
	flag.IntVar(&instances, "instances", instances, "number of instances")
	flag.IntVar(&zones, "zones", zones, "number of zones")
	flag.DurationVar(&runTime, "time", runTime, "virtual time of a run")
	teams := flag.Int("teams", 0, "number of teams whose rates grow with the fleet; 0 selects the five built-in teams")
	seedCount := flag.Int("seeds", len(seeds), "number of seeds")
	only := flag.String("only", "", "run only the workload of this name, with the transfers policy only")
	flag.Parse()
	if *teams > 0 {
		growTeams(*teams)
	}
	seeds = seeds[:*seedCount]
	if *only != "" {
		policies = policies[:1]
		workloads = slices.DeleteFunc(workloads, func(w workload) bool { return w.name != *only })
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "workload\tpolicy\tunjustified %\tlowest\thighest\twithin rate %\tworst team %\toverspent tokens\ttransfers/s\tper request\tplatform calls/s")
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
	unjustified := sortedColumn(results, func(r result) float64 { return 100 * r.unjustifiedShare() })
	unjustifiedWithin := sortedColumn(results, func(r result) float64 { return 100 * r.unjustifiedWithinShare() })
	worstTeam := sortedColumn(results, func(r result) float64 { return 100 * r.worstTeamShare() })
	overspent := sortedColumn(results, func(r result) float64 { return r.overspent })
	transfers := sortedColumn(results, func(r result) float64 { return r.perSecond(r.transfers) })
	perRequest := sortedColumn(results, func(r result) float64 { return r.transfers / r.requests })
	calls := sortedColumn(results, func(r result) float64 { return r.perSecond(r.platformCalls) })
	fmt.Fprintf(out, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%.1f\t%.3f\t%.1f\n", w.name, p.name,
		median(unjustified), unjustified[0], unjustified[len(unjustified)-1], median(unjustifiedWithin), median(worstTeam), overspent[len(overspent)-1], median(transfers), median(perRequest), median(calls))
}

// sortedColumn returns one value of each result, sorted.
func sortedColumn(results []result, valueOf func(result) float64) []float64 {
	var values []float64
	for _, r := range results {
		values = append(values, valueOf(r))
	}
	slices.Sort(values)
	return values
}

func median(sorted []float64) float64 { return stat.Quantile(0.5, stat.Empirical, sorted, nil) }
