package relay_test

import (
	"os"
	"strings"
	"testing"
)

// TestCountsAreOnThePage checks that the counts that the parts keep are served,
// move, and are on the operators' page.
func TestCountsAreOnThePage(t *testing.T) {
	w := newWorld(t, 1)
	families, err := w.instances[0].registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	calls := 0.0
	for _, f := range families {
		if f.GetName() == "heatherrelay_relay_store_calls_total" {
			calls = f.GetMetric()[0].GetCounter().GetValue()
		}
		short := f.GetName()
		if i := strings.LastIndex(short, "adapter_unloads"); i >= 0 {
			short = "_unloads_total"
		}
		if !strings.Contains(string(page), short) {
			t.Errorf("docs/OPERATIONS.md lacks %s", f.GetName())
		}
	}
	if calls == 0 {
		t.Error("an instance that is ready has made no calls to the store")
	}
}
