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

// TestRefundedRetryCanBeSpentAgain guards against losing the budget of a retry that was
// not sent, and against a balance above the limit.
func TestRefundedRetryCanBeSpentAgain(t *testing.T) {
	b := &retry.Budget{Extra: 1, Members: func() int { return 1 }}
	for range 3 {
		if !b.TryWithdraw("s") || b.TryWithdraw("s") {
			t.Fatal("want exactly one retry")
		}
		b.Refund("s")
		b.Refund("s")
	}
}
