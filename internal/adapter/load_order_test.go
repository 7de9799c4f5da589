package adapter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/adapter"
	"heatherrelay/pkg/release"
)

// However heavy the loads that follow, a patient load of the lightest team
// starts once each later one has waited too short a time to outweigh it.
func TestLoadOrderStarvesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heavy := rapid.Float64Range(1, 5).Draw(t, "heavy")
		order := &adapter.LoadOrder{}
		light := adapter.Load{TargetID: "e", Adapter: numbered(0)}
		order.Add(light, 1, release.Patient, start)
		now := start
		// A later load weighs heavy against 0.1 and waits one round of 100 ms.
		bound := time.Duration(heavy/0.1*100)*time.Millisecond + 200*time.Millisecond
		for i := 1; ; i++ {
			order.Add(adapter.Load{TargetID: "e", Adapter: numbered(i)}, heavy, release.Interactive, now)
			now = now.Add(100 * time.Millisecond)
			next, ok := order.Next(now, nil)
			if !ok {
				t.Fatal("Next() = false with loads pending")
			}
			if next == light {
				return
			}
			if now.Sub(start) > bound {
				t.Fatalf("still waiting after %v, bound %v", now.Sub(start), bound)
			}
		}
	})
}

// Two teams with loads pending all the time: the loads that each is given
// differ by no more than one, however many requests wait.
func TestLoadOrderSharesBetweenTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := &adapter.LoadOrder{}
		given := map[string]int{}
		now := start
		next := 0
		add := func(team string) {
			next++
			waiter := adapter.Waiter{Team: team, Class: release.Interactive}
			for range rapid.IntRange(1, 20).Draw(t, "waiters") {
				order.AddFor(adapter.Load{TargetID: team, Adapter: numbered(next)}, waiter, now)
			}
		}
		for range 3 {
			add("x")
			add("y")
		}
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			load, _ := order.Next(now, nil)
			given[load.TargetID]++
			if apart := given["x"] - given["y"]; apart > 1 || apart < -1 {
				t.Fatalf("%d loads for x, %d for y", given["x"], given["y"])
			}
			add(load.TargetID)
		}
	})
}

func ExampleLoadOrder() {
	order := &adapter.LoadOrder{}
	one := adapter.Load{TargetID: "e001", Adapter: numbered(1)}
	many := adapter.Load{TargetID: "e001", Adapter: numbered(2)}
	order.Add(one, 1, release.Interactive, start)
	for range 3 {
		order.Add(many, 1, release.Interactive, start.Add(time.Second))
	}
	now := start.Add(4 * time.Second)
	for {
		load, ok := order.Next(now, nil)
		if !ok {
			break
		}
		fmt.Println(load.Adapter)
	}
	// Output:
	// a00002@1
	// a00001@1
}
