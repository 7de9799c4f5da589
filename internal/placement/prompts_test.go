package placement_test

import (
	"testing"
	"time"

	"heatherrelay/internal/placement"
)

// TestPromptsAreSpaced answers the pattern of several instances that send prompts
// to one engine at the same moment: they are spaced so that the engine never reads
// more than about two thousand tokens in a tenth of a second, another engine is
// not held up by it, and no prompt is kept back for long.
func TestPromptsAreSpaced(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &placement.PromptPacer{Now: func() time.Time { return now }}
	const tokens = 1300
	var last time.Duration
	for i := range 3 {
		delay := p.Reserve("engine-1", tokens)
		if want := time.Duration(i) * 100 * time.Millisecond; delay != want {
			t.Errorf("prompt %d is kept back for %s, not %s", i, delay, want)
		}
		last = delay
	}
	if delay := p.Reserve("engine-2", tokens); delay != 0 {
		t.Errorf("an idle engine's prompt is kept back for %s", delay)
	}
	for range 100 {
		last = p.Reserve("engine-1", tokens)
	}
	if last > 500*time.Millisecond {
		t.Errorf("a prompt is kept back for %s", last)
	}
	now = now.Add(time.Second)
	if delay := p.Reserve("engine-1", tokens); delay != 0 {
		t.Errorf("a second later a prompt is kept back for %s", delay)
	}
}

// TestPacingStartsWithFrequentPauses checks that a pause now and then does not
// have prompts paced, and that frequent ones do, until they have ended.
func TestPacingStartsWithFrequentPauses(t *testing.T) {
	var p placement.Pauses
	for i := range 300 {
		p.Note(i%100 == 50)
	}
	if p.Frequent() {
		t.Error("one pause in a hundred streams counts as frequent")
	}
	for i := range 60 {
		p.Note(i%4 == 0)
	}
	if !p.Frequent() {
		t.Error("a pause in each fourth stream does not count as frequent")
	}
	for range 100 {
		p.Note(false)
	}
	if p.Frequent() {
		t.Error("pauses that have ended count as frequent")
	}
}
