package relay_test

import (
	"os"
	"strings"
	"testing"
)

// TestMetricsAreServedAndDocumented checks that the counts that the parts keep are served,
// move, and are on the operators' page.
func TestMetricsAreServedAndDocumented(t *testing.T) {
	cluster := newTestCluster(t, 1)
	families, err := cluster.instances[0].registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	documentation, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	calls := 0.0
	for _, f := range families {
		if f.GetName() == "heatherrelay_relay_store_calls_total" {
			calls = f.GetMetric()[0].GetCounter().GetValue()
		}
		documentedName := f.GetName()
		if i := strings.LastIndex(documentedName, "adapter_unloads"); i >= 0 {
			documentedName = "_unloads_total"
		}
		if !strings.Contains(string(documentation), documentedName) {
			t.Errorf("docs/OPERATIONS.md lacks %s", f.GetName())
		}
	}
	if calls == 0 {
		t.Error("an instance that is ready has made no calls to the store")
	}
}
