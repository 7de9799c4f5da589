// Command measure replays seeded workloads against the decisions and their
// baselines, and prints medians and spreads over the seeds.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"

	"github.com/sourcegraph/conc/pool"

	"heatherrelay/internal/measure/fleet"
)

func main() {
	workload := flag.String("workload", "", "only workloads whose name contains this")
	policy := flag.String("policy", "", "only policies whose name contains this")
	seeds := flag.Int("seeds", 5, "seeds per figure")
	isolation := flag.Bool("isolation", false, "compare the teams beside a noisy one with their figures without it")
	flag.Parse()
	if *isolation {
		printIsolation(*seeds, *policy)
		return
	}
	policies := append([]fleet.Policy{fleet.Product()}, fleet.Baselines()...)
	for _, w := range fleet.Workloads() {
		if !strings.Contains(w.Name, *workload) {
			continue
		}
		fmt.Fprintf(os.Stdout, "\n## %s\n\n", w.Name)
		printBound(w, *seeds)
		fmt.Println(header)
		for _, p := range policies {
			if strings.Contains(p.Name, *policy) {
				fmt.Println(row(p.Name, measure(w, p, *seeds)))
			}
		}
	}
}

func measure(w fleet.Workload, p fleet.Policy, seeds int) []fleet.Result {
	results := make([]fleet.Result, seeds)
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for i := range seeds {
		workers.Go(func() { results[i] = fleet.Run(w, p, uint64(i+1)) })
	}
	workers.Wait()
	return results
}

func printBound(w fleet.Workload, seeds int) {
	var bounds []float64
	for i := range seeds {
		stalled, requests := fleet.OfflineStalls(w, uint64(i+1))
		bounds = append(bounds, 1000*float64(stalled)/float64(requests))
	}
	fmt.Printf("Offline bound: %s stalled per 1,000 requests.\n\n", spread(bounds, "%.0f"))
}

const header = "| policy | stalled per 1,000 | stall p50 / p95 / p99 s | first token p50 / p95 s | " +
	"worst team x | served share | patient max s | batch | loads | at once | refused |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|"

func row(name string, results []fleet.Result) string {
	of := func(format string, get func(*fleet.Result) float64) string {
		var values []float64
		for i := range results {
			values = append(values, get(&results[i]))
		}
		return spread(values, format)
	}
	cells := []string{
		name,
		of("%.0f", (*fleet.Result).StalledPer1000),
		of("%.2f", func(r *fleet.Result) float64 { return r.StallP50 }) + " / " +
			of("%.2f", func(r *fleet.Result) float64 { return r.StallP95 }) + " / " +
			of("%.2f", func(r *fleet.Result) float64 { return r.StallP99 }),
		of("%.3f", func(r *fleet.Result) float64 { return r.FirstP50 }) + " / " +
			of("%.2f", func(r *fleet.Result) float64 { return r.FirstP95 }),
		of("%.2f", func(r *fleet.Result) float64 { return r.WorstTeam }),
		of("%.3f", func(r *fleet.Result) float64 { return r.WorstShare }),
		of("%.0f", func(r *fleet.Result) float64 { return r.PatientMax }),
		of("%.2f", func(r *fleet.Result) float64 { return r.Occupancy }),
		of("%.0f", func(r *fleet.Result) float64 { return float64(r.Loads) }),
		of("%.0f", func(r *fleet.Result) float64 { return float64(r.MostAtOne) }),
		of("%.0f", func(r *fleet.Result) float64 { return float64(r.Refused) }),
	}
	return "| " + strings.Join(cells, " | ") + " |"
}

// spread prints the median and, when they differ, the least and greatest value.
func spread(values []float64, format string) string {
	sorted := slices.Sorted(slices.Values(values))
	text := func(v float64) string { return fmt.Sprintf(format, v) }
	low, high := text(sorted[0]), text(sorted[len(sorted)-1])
	if low == high {
		return low
	}
	return text(sorted[len(sorted)/2]) + " (" + low + ".." + high + ")"
}
