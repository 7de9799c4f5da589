package retry_test

import (
	"testing"

	"heatherrelay/internal/retry"
)

// TestBudgetHoldsOverAllInstances checks that all instances together send no more
// retries than the ratio of their requests plus the extra retries.
func TestBudgetHoldsOverAllInstances(t *testing.T) {
	const members, requests, ratio, extra = 9, 200, 0.2, 58.0
	retries := 0
	for range members {
		b := &retry.Budget{Ratio: ratio, Extra: extra, Members: func() int { return members }}
		for range requests {
			b.Deposit("s")
			for b.TryWithdraw("s") {
				retries++
			}
		}
	}
	if limit := ratio*members*requests + extra; float64(retries) > limit {
		t.Errorf("%d retries, limit is %.0f", retries, limit)
	}
	if retries == 0 {
		t.Error("no retry was allowed")
	}
}
