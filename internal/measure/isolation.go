package main

import (
	"fmt"
	"strings"

	"heatherrelay/internal/measure/simulation"
)

// printIsolation compares each team's time to first token in three runs: with a
// noisy team that sends five times its rate, with that team at its normal rate, and
// with no other team on the fleet. A team's requests are the same in all three.
func printIsolation(seeds int, policy string) {
	byName := map[string]simulation.Workload{}
	for _, w := range simulation.Workloads() {
		byName[w.Name] = w
	}
	steady := byName["steady"]
	for _, p := range []simulation.Policy{simulation.Product(), {Name: "queue FIFO", QueueFIFO: true}, {Name: "loads shared order", SharedLoadQueue: true}} {
		if !strings.Contains(p.Name, policy) {
			continue
		}
		var alone [simulation.Teams][]simulation.Result
		for team := range simulation.Teams {
			w := steady
			w.SingleTeam, w.OnlyTeam = true, team
			alone[team] = runSeeds(w, p, seeds)
		}
		steadyResults := runSeeds(steady, p, seeds)
		for _, name := range []string{"noisy team, admitted", "noisy team"} {
			noisy := byName[name]
			fmt.Printf("\n## %s, %s\n\n", p.Name, name)
			fmt.Println("| team | p95 beside noisy s | p95 beside calm s | p95 alone s | noisy / calm | noisy / alone | stalled beside noisy | beside calm |")
			fmt.Println("|---|---|---|---|---|---|---|---|")
			noisyResults := runSeeds(noisy, p, seeds)
			for team := range simulation.Teams {
				if team != noisy.BurstTeam {
					fmt.Println(isolationRow(team, noisyResults, steadyResults, alone[team]))
				}
			}
		}
	}
}

// isolationRow returns the Markdown table row of a team. The results are of the runs
// with a noisy team, without one, and with the team alone, each by seed.
func isolationRow(team int, noisy, steady, alone []simulation.Result) string {
	var noisyP95, steadyP95, aloneP95, ratioToSteady, ratioToAlone, stalledNoisy, stalledSteady []float64
	for i := range noisy {
		noisyP95 = append(noisyP95, noisy[i].TeamFirstTokenP95[team])
		steadyP95 = append(steadyP95, steady[i].TeamFirstTokenP95[team])
		aloneP95 = append(aloneP95, alone[i].TeamFirstTokenP95[team])
		stalledNoisy = append(stalledNoisy, noisy[i].TeamStalled[team])
		stalledSteady = append(stalledSteady, steady[i].TeamStalled[team])
		ratioToSteady = append(ratioToSteady, noisyP95[i]/steadyP95[i])
		ratioToAlone = append(ratioToAlone, noisyP95[i]/aloneP95[i])
	}
	return fmt.Sprintf("| %d | %s | %s | %s | %s | %s | %s | %s |", team,
		formatSpread(noisyP95, "%.3f"), formatSpread(steadyP95, "%.3f"), formatSpread(aloneP95, "%.3f"),
		formatSpread(ratioToSteady, "%.2f"), formatSpread(ratioToAlone, "%.2f"),
		formatSpread(stalledNoisy, "%.0f"), formatSpread(stalledSteady, "%.0f"))
}
