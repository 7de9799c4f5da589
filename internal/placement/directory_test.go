package placement_test

import (
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/placement"
)

// TestObservationsOverrideHolderUntilTheyExpire checks that this instance's own
// observations of an engine take precedence over the state that the lease holder
// published, and that this state applies again after a while although it is not
// published again.
func TestObservationsOverrideHolderUntilTheyExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &placement.Directory{Now: func() time.Time { return now }}
	engine := deployment.Target{ID: "engine-1", Generation: 1}
	has := func(name deployment.AdapterName) bool {
		_, ok := d.Resident(&engine, name)
		return ok
	}
	d.Update(placement.EngineState{
		Target: engine.ID, Generation: 1, Models: []string{"base"},
		Residents: []placement.Resident{{AdapterName: popular, Version: 1}},
	})
	d.RecordAbsent(engine.ID, popular)
	d.RecordLoad(engine, placement.Resident{AdapterName: rare, Version: 1, ReadyAt: now})
	if has(popular) || !has(rare) {
		t.Errorf("just observed: popular %v, rare %v", has(popular), has(rare))
	}
	now = now.Add(5 * time.Second)
	if !has(popular) || has(rare) {
		t.Errorf("seconds later: popular %v, rare %v", has(popular), has(rare))
	}
}

// TestRequestedVersionIsVisibleAtOnce checks that a newer version whose load this
// instance requested is visible before the lease holder publishes it.
func TestRequestedVersionIsVisibleAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &placement.Directory{Now: func() time.Time { return now }}
	engine := deployment.Target{ID: "engine-1", Generation: 1}
	d.Update(placement.EngineState{
		Target: engine.ID, Generation: 1, Models: []string{"base"},
		Residents: []placement.Resident{{AdapterName: popular, Version: 1}},
	})
	d.RecordLoad(engine, placement.Resident{AdapterName: popular, Version: 2, ReadyAt: now.Add(time.Second)})
	if r, ok := d.Resident(&engine, popular); !ok || r.Version != 2 {
		t.Errorf("%+v, %v", r, ok)
	}
}
