package main

import (
	"fmt"
	"strings"

	"heatherrelay/internal/measure/fleet"
)

// printIsolation compares each team's first-token time beside a team at five
// times its rate with that beside the same team at its rate, and with the team
// alone on the fleet. A team's requests are the same in all three.
func printIsolation(seeds int, policy string) {
	byName := map[string]fleet.Workload{}
	for _, w := range fleet.Workloads() {
		byName[w.Name] = w
	}
	calm := byName["steady"]
	for _, p := range []fleet.Policy{fleet.Product(), {Name: "queue FIFO", QueueInOrder: true}, {Name: "loads shared order", SharedLoadOrder: true}} {
		if !strings.Contains(p.Name, policy) {
			continue
		}
		var alone [fleet.Teams][]fleet.Result
		for team := range fleet.Teams {
			w := calm
			w.Alone, w.AloneTeam = true, team
			alone[team] = measure(w, p, seeds)
		}
		without := measure(calm, p, seeds)
		for _, name := range []string{"noisy team, admitted", "noisy team"} {
			noisy := byName[name]
			fmt.Printf("\n## %s, %s\n\n", p.Name, name)
			fmt.Println("| team | p95 beside noisy s | p95 beside calm s | p95 alone s | noisy / calm | noisy / alone | stalled beside noisy | beside calm |")
			fmt.Println("|---|---|---|---|---|---|---|---|")
			beside := measure(noisy, p, seeds)
			for team := range fleet.Teams {
				if team != noisy.BurstTeam {
					fmt.Println(isolationRow(team, beside, without, alone[team]))
				}
			}
		}
	}
}

func isolationRow(team int, noisy, calm, alone []fleet.Result) string {
	var n, c, a, besideCalm, besideAlone, stalled, stalledCalm []float64
	for i := range noisy {
		n = append(n, noisy[i].TeamFirstP95[team])
		c = append(c, calm[i].TeamFirstP95[team])
		a = append(a, alone[i].TeamFirstP95[team])
		stalled = append(stalled, noisy[i].TeamStalled[team])
		stalledCalm = append(stalledCalm, calm[i].TeamStalled[team])
		besideCalm = append(besideCalm, n[i]/c[i])
		besideAlone = append(besideAlone, n[i]/a[i])
	}
	return fmt.Sprintf("| %d | %s | %s | %s | %s | %s | %s | %s |", team,
		spread(n, "%.3f"), spread(c, "%.3f"), spread(a, "%.3f"),
		spread(besideCalm, "%.2f"), spread(besideAlone, "%.2f"),
		spread(stalled, "%.0f"), spread(stalledCalm, "%.0f"))
}
