package adapter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/adapter"
	"heatherrelay/pkg/release"
)

// A patient load competes with a new, heavier interactive load in each round. It
// must start once its weighted waiting time exceeds that of any load added later,
// otherwise the loads of patient requests could starve.
func TestLoadQueueNeverStarvesALoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heavy := rapid.Float64Range(1, 5).Draw(t, "heavy")
		queue := &adapter.LoadQueue{}
		light := adapter.Load{TargetID: "e", Adapter: adapterID(0)}
		queue.Add(light, 1, release.Patient, start)
		now := start
		// The patient load has weight 0.1. Each later load has weight heavy and has
		// waited for one round of 100 ms when it competes.
		bound := time.Duration(heavy/0.1*100)*time.Millisecond + 200*time.Millisecond
		for i := 1; ; i++ {
			queue.Add(adapter.Load{TargetID: "e", Adapter: adapterID(i)}, heavy, release.Interactive, now)
			now = now.Add(100 * time.Millisecond)
			next, ok := queue.Next(now, nil)
			if !ok {
				t.Fatal("Next() = false with loads pending")
			}
			if next == light {
				return
			}
			if now.Sub(start) > bound {
				t.Fatalf("patient load still pending after %v, bound %v", now.Sub(start), bound)
			}
		}
	})
}

// Two teams always have loads pending. The numbers of loads started for them must
// differ by at most one, however many requests wait for each load.
func TestLoadQueueSharesLoadsEquallyBetweenTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := &adapter.LoadQueue{}
		started := map[string]int{}
		now := start
		next := 0
		add := func(team string) {
			next++
			waiter := adapter.Waiter{Team: team, Class: release.Interactive}
			for range rapid.IntRange(1, 20).Draw(t, "waiters") {
				queue.AddWaiter(adapter.Load{TargetID: team, Adapter: adapterID(next)}, waiter, now)
			}
		}
		for range 3 {
			add("x")
			add("y")
		}
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			load, _ := queue.Next(now, nil)
			started[load.TargetID]++
			if difference := started["x"] - started["y"]; difference > 1 || difference < -1 {
				t.Fatalf("%d loads started for team x, %d for team y", started["x"], started["y"])
			}
			add(load.TargetID)
		}
	})
}

func ExampleLoadQueue() {
	queue := &adapter.LoadQueue{}
	one := adapter.Load{TargetID: "e001", Adapter: adapterID(1)}
	many := adapter.Load{TargetID: "e001", Adapter: adapterID(2)}
	queue.Add(one, 1, release.Interactive, start)
	for range 3 {
		queue.Add(many, 1, release.Interactive, start.Add(time.Second))
	}
	now := start.Add(4 * time.Second)
	for {
		load, ok := queue.Next(now, nil)
		if !ok {
			break
		}
		fmt.Println(load.Adapter)
	}
	// Output:
	// a00002@1
	// a00001@1
}
