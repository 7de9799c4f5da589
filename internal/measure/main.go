// Command measure simulates seeded workloads with the product's algorithms and with
// baseline policies, and prints the median and range over the seeds of each result.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"

	"github.com/sourcegraph/conc/pool"

	"heatherrelay/internal/measure/simulation"
)

func main() {
	workload := flag.String("workload", "", "only workloads whose name contains this")
	policy := flag.String("policy", "", "only policies whose name contains this")
	seeds := flag.Int("seeds", 5, "number of seeds per workload and policy")
	isolation := flag.Bool("isolation", false, "compare the results of each team with and without a noisy team")
	flag.Parse()
	if *isolation {
		printIsolation(*seeds, *policy)
		return
	}
	policies := append([]simulation.Policy{simulation.Product()}, simulation.Baselines()...)
	for _, w := range simulation.Workloads() {
		if !strings.Contains(w.Name, *workload) {
			continue
		}
		fmt.Fprintf(os.Stdout, "\n## %s\n\n", w.Name)
		printOfflineBound(w, *seeds)
		fmt.Println(tableHeader)
		for _, p := range policies {
			if strings.Contains(p.Name, *policy) {
				fmt.Println(tableRow(p.Name, runSeeds(w, p, *seeds)))
			}
		}
	}
}

// runSeeds runs a workload with a policy for seeds 1 to seeds, in parallel.
func runSeeds(w simulation.Workload, p simulation.Policy, seeds int) []simulation.Result {
	results := make([]simulation.Result, seeds)
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for i := range seeds {
		workers.Go(func() { results[i] = simulation.Run(w, p, uint64(i+1)) })
	}
	workers.Wait()
	return results
}

// printOfflineBound prints the lower bound on stalled requests of a workload.
func printOfflineBound(w simulation.Workload, seeds int) {
	var bounds []float64
	for i := range seeds {
		stalled, requests := simulation.OfflineStalls(w, uint64(i+1))
		bounds = append(bounds, 1000*float64(stalled)/float64(requests))
	}
	fmt.Printf("Offline bound: %s stalled per 1,000 requests.\n\n", formatSpread(bounds, "%.0f"))
}

const tableHeader = "| policy | stalled per 1,000 | stall p50 / p95 / p99 s | first token p50 / p95 s | " +
	"worst team x | served share | patient max s | batch | loads | at once | refused |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|"

// tableRow returns the Markdown table row of a policy's results; its columns are
// those of tableHeader.
func tableRow(name string, results []simulation.Result) string {
	cell := func(format string, get func(*simulation.Result) float64) string {
		var values []float64
		for i := range results {
			values = append(values, get(&results[i]))
		}
		return formatSpread(values, format)
	}
	cells := []string{
		name,
		cell("%.0f", (*simulation.Result).StalledPer1000),
		cell("%.2f", func(r *simulation.Result) float64 { return r.StallP50 }) + " / " +
			cell("%.2f", func(r *simulation.Result) float64 { return r.StallP95 }) + " / " +
			cell("%.2f", func(r *simulation.Result) float64 { return r.StallP99 }),
		cell("%.3f", func(r *simulation.Result) float64 { return r.FirstTokenP50 }) + " / " +
			cell("%.2f", func(r *simulation.Result) float64 { return r.FirstTokenP95 }),
		cell("%.2f", func(r *simulation.Result) float64 { return r.WorstTeamRatio }),
		cell("%.3f", func(r *simulation.Result) float64 { return r.WorstServedShare }),
		cell("%.0f", func(r *simulation.Result) float64 { return r.PatientMax }),
		cell("%.2f", func(r *simulation.Result) float64 { return r.Occupancy }),
		cell("%.0f", func(r *simulation.Result) float64 { return float64(r.Loads) }),
		cell("%.0f", func(r *simulation.Result) float64 { return float64(r.MaxLoadsInFlight) }),
		cell("%.0f", func(r *simulation.Result) float64 { return float64(r.Refused) }),
	}
	return "| " + strings.Join(cells, " | ") + " |"
}

// formatSpread returns the median of the values, followed by their minimum and
// maximum if those differ as formatted.
func formatSpread(values []float64, format string) string {
	sorted := slices.Sorted(slices.Values(values))
	text := func(v float64) string { return fmt.Sprintf(format, v) }
	low, high := text(sorted[0]), text(sorted[len(sorted)-1])
	if low == high {
		return low
	}
	return text(sorted[len(sorted)/2]) + " (" + low + ".." + high + ")"
}
