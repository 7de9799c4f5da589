package clock_test

import (
	"testing"
	"time"

	"heatherrelay/internal/clock"
)

// TestSuspensionIsNoticed checks that a suspension is noticed from its end on, before the next
// beat and for a time after it, and that a late beat is none.
func TestSuspensionIsNoticed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := &clock.Beats{Now: func() time.Time { return now }}
	check := func(when string, want bool) {
		t.Helper()
		if got := b.WokeWithin(time.Second); got != want {
			t.Errorf("%s: suspended lately: %v, want %v", when, got, want)
		}
	}
	check("before the first beat", false)
	b.Beat()
	now = now.Add(1500 * time.Millisecond)
	check("late beat", false)
	b.Beat()
	now = now.Add(3 * time.Second)
	check("before the next beat", true)
	b.Beat()
	now = now.Add(900 * time.Millisecond)
	check("soon after it", true)
	b.Beat()
	now = now.Add(200 * time.Millisecond)
	check("later", false)
}
