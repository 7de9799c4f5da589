package placement_test

import (
	"testing"
	"time"

	"heatherrelay/internal/placement"
)

// TestPromptsAreSpaced covers several instances that send prompts to one engine at
// the same moment: the prompts are spaced so that the engine never prefills more than
// about two thousand tokens in a tenth of a second, prompts for another engine are
// not delayed, and the delay stays bounded.
func TestPromptsAreSpaced(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &placement.PromptPacer{Now: func() time.Time { return now }}
	const tokens = 1300
	var last time.Duration
	for i := range 3 {
		delay := p.Reserve("engine-1", tokens)
		if want := time.Duration(i) * 100 * time.Millisecond; delay != want {
			t.Errorf("prompt %d is delayed by %s, want %s", i, delay, want)
		}
		last = delay
	}
	if delay := p.Reserve("engine-2", tokens); delay != 0 {
		t.Errorf("prompt for an idle engine is delayed by %s", delay)
	}
	for range 100 {
		last = p.Reserve("engine-1", tokens)
	}
	if last > 500*time.Millisecond {
		t.Errorf("prompt is delayed by %s", last)
	}
	now = now.Add(time.Second)
	if delay := p.Reserve("engine-1", tokens); delay != 0 {
		t.Errorf("one second later a prompt is delayed by %s", delay)
	}
}

// TestPacingStartsWithFrequentPauses checks that occasional pauses do not count as
// frequent, and that frequent ones do until they have ended.
func TestPacingStartsWithFrequentPauses(t *testing.T) {
	var p placement.PauseMonitor
	for i := range 300 {
		p.Observe(i%100 == 50)
	}
	if p.Frequent() {
		t.Error("one pause in a hundred streams counts as frequent")
	}
	for i := range 60 {
		p.Observe(i%4 == 0)
	}
	if !p.Frequent() {
		t.Error("a pause in every fourth stream does not count as frequent")
	}
	for range 100 {
		p.Observe(false)
	}
	if p.Frequent() {
		t.Error("pauses that have ended count as frequent")
	}
}
