package placement_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/placement"
)

// overtakingEngine is an engine whose first report arrives while the answer to its first
// order is still on the way, and already counts that order.
type overtakingEngine struct {
	testEngine
	ordered   chan struct{}
	reports   int
	conflicts int
}

func (e *overtakingEngine) order(_ context.Context, _ deployment.Target, o placement.Order) (placement.Outcome, error) {
	e.mu.Lock()
	if o.Sequence != e.sequence {
		e.conflicts++
		e.mu.Unlock()
		return placement.Conflicting, nil
	}
	e.sequence++
	e.adapters = append(e.adapters, deployment.Adapter{Name: o.Adapter, Version: 1})
	first := e.sequence == 1
	e.mu.Unlock()
	if first {
		close(e.ordered)
		time.Sleep(100 * time.Millisecond)
	}
	return placement.Started, nil
}

func (e *overtakingEngine) report(ctx context.Context, t deployment.Target) (placement.Report, error) {
	e.mu.Lock()
	e.reports++
	first := e.reports == 1
	e.mu.Unlock()
	if first {
		<-e.ordered
	}
	return e.testEngine.report(ctx, t)
}

// TestReportDuringOrderIsIgnored guards against an order that is counted twice, by a
// report that overtakes its answer and by the answer: the engine then refuses the next
// orders as conflicting.
func TestReportDuringOrderIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &overtakingEngine{ordered: make(chan struct{})}
		h := newHolderOf(t, &deployment.Engine{AdapterSlots: testSlots, Models: []deployment.Model{{Name: testModel}}}, testTarget)
		h.Order, h.Report = e.order, e.report
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); h.Run(ctx) }()
		time.Sleep(260 * time.Millisecond)
		for _, name := range []string{"a", "b"} {
			result, _, _ := h.Load(t.Context(), testTarget, deployment.AdapterName{Model: testModel, Adapter: name}, 0)
			if result != placement.Ready {
				t.Errorf("load of %s: %s", name, result)
			}
		}
		if e.conflicts != 0 {
			t.Errorf("%d orders refused as conflicting", e.conflicts)
		}
		cancel()
		<-done
	})
}
