package placement_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
)

// TestUrgentLoadsGoFirst guards against urgent requests whose adapters wait for the weight
// store behind those of a burst of patient ones.
func TestUrgentLoadsGoFirst(t *testing.T) {
	e := &testEngine{answer: placement.Started}
	h := newHolder(t, e)
	var group sync.WaitGroup
	load := func(adapter int, rank inflight.Rank) {
		group.Go(func() { h.LoadRanked(context.Background(), testTarget, adapterName(adapter), 0, rank) })
	}
	load(1, 2)
	for ordered := 0; ordered < 1; {
		e.mu.Lock()
		ordered = len(e.orders)
		e.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	load(2, 2)
	for h.WaitingLoads() < 1 {
		time.Sleep(time.Millisecond)
	}
	load(3, 0)
	group.Wait()
	var order []deployment.AdapterName
	for _, o := range e.orders {
		order = append(order, o.AdapterName)
	}
	if want := []deployment.AdapterName{adapterName(1), adapterName(3), adapterName(2)}; !slices.Equal(order, want) {
		t.Errorf("loads in the order %v, want %v", order, want)
	}
}
