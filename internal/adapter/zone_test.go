package adapter_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"heatherrelay/internal/adapter"
)

func TestChooseZoneIsProportionalToSlotsAndMovesOnlyALostZonesAdapters(t *testing.T) {
	zones := []adapter.ZoneInfo{
		{Zone: "landerneau", Slots: 64}, {Zone: "lesneven", Slots: 64}, {Zone: "saint-pol", Slots: 128},
	}
	const adapters = 4000
	count := map[string]int{}
	for i := range adapters {
		before, _ := adapter.ChooseZone(adapterID(i), zones)
		count[before]++
		after, ok := adapter.ChooseZone(adapterID(i), zones[1:])
		if !ok || before != zones[0].Zone && after != before {
			t.Errorf("adapter %d moved from %s to %s", i, before, after)
		}
	}
	// Five standard deviations of a binomial count.
	const bound = 160
	for _, z := range zones {
		if want := adapters * z.Slots / 256; count[z.Zone] < want-bound || count[z.Zone] > want+bound {
			t.Errorf("%s has %d adapters, want %d within %d", z.Zone, count[z.Zone], want, bound)
		}
	}
}

func TestChooseZoneAlwaysFindsAZoneWithSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var zones []adapter.ZoneInfo
		any := false
		for i := range rapid.IntRange(0, 7).Draw(t, "zones") {
			z := adapter.ZoneInfo{
				Zone: fmt.Sprint(i), Slots: rapid.IntRange(0, 100).Draw(t, "slots"),
				LoadTokens: rapid.IntRange(0, 100_000).Draw(t, "load"),
			}
			any = any || z.Slots > 0
			zones = append(zones, z)
		}
		chosen, ok := adapter.ChooseZone(adapterID(rapid.IntRange(0, 999).Draw(t, "adapter")), zones)
		if ok != any {
			t.Fatalf("ChooseZone() = %v, want %v", ok, any)
		}
		for _, z := range zones {
			if ok && z.Zone == chosen && z.Slots == 0 {
				t.Fatalf("chose %s without slots", chosen)
			}
		}
	})
}
