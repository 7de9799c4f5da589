package main

import (
	"fmt"

	"heatherrelay/internal/measure/fleet"
)

// printIsolation compares each team's first-token time beside a team at five
// times its rate with that beside the same team at its rate, and with the team
// alone on the fleet. A team's requests are the same in all three.
func printIsolation(seeds int) {
	noisy, calm := fleet.Workload{}, fleet.Workload{}
	for _, w := range fleet.Workloads() {
		switch w.Name {
		case "noisy team":
			noisy = w
		case "steady":
			calm = w
		}
	}
	queueInOrder := fleet.Policy{Name: "queue FIFO", QueueInOrder: true}
	for _, p := range []fleet.Policy{fleet.Product(), queueInOrder} {
		fmt.Printf("\n## %s\n\n", p.Name)
		fmt.Println("| team | p95 beside noisy s | p95 beside calm s | p95 alone s | noisy / calm | noisy / alone |")
		fmt.Println("|---|---|---|---|---|---|")
		beside, without := measure(noisy, p, seeds), measure(calm, p, seeds)
		for team := range fleet.Teams {
			if team == noisy.BurstTeam {
				continue
			}
			alone := calm
			alone.Alone, alone.AloneTeam = true, team
			fmt.Println(isolationRow(team, beside, without, measure(alone, p, seeds)))
		}
	}
}

func isolationRow(team int, noisy, calm, alone []fleet.Result) string {
	var n, c, a, besideCalm, besideAlone []float64
	for i := range noisy {
		n = append(n, noisy[i].TeamFirstP95[team])
		c = append(c, calm[i].TeamFirstP95[team])
		a = append(a, alone[i].TeamFirstP95[team])
		besideCalm = append(besideCalm, n[i]/c[i])
		besideAlone = append(besideAlone, n[i]/a[i])
	}
	return fmt.Sprintf("| %d | %s | %s | %s | %s | %s |", team,
		spread(n, "%.3f"), spread(c, "%.3f"), spread(a, "%.3f"),
		spread(besideCalm, "%.2f"), spread(besideAlone, "%.2f"))
}
