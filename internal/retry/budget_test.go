package retry_test

import (
	"testing"

	"heatherrelay/internal/retry"
)

// TestBudgetHoldsOverAllInstances checks that all instances together repeat no
// more than a part of the requests and what is free.
func TestBudgetHoldsOverAllInstances(t *testing.T) {
	const members, requests, ratio, extra = 9, 200, 0.2, 58.0
	repeats := 0
	for range members {
		b := &retry.Budget{Ratio: ratio, Extra: extra, Members: func() int { return members }}
		for range requests {
			b.Sent("s")
			for b.Take("s") {
				repeats++
			}
		}
	}
	if limit := ratio*members*requests + extra; float64(repeats) > limit {
		t.Errorf("%d repeats, allowed are %.0f", repeats, limit)
	}
	if repeats == 0 {
		t.Error("no repeat at all")
	}
}
