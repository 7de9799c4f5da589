package simulation

import "container/heap"

// OfflineStalls returns a lower bound on the load-stalled requests of a workload:
// the number under Belady's optimal eviction, with all requests known in advance,
// when loads start only on demand and take no time and the slots of all engines
// form one pool. It also returns the number of requests. Like Run it counts only
// requests after the warm-up.
func OfflineStalls(w Workload, seed uint64) (stalled, requests int) {
	trace := w.generate(seed)
	nextUse := make([]int, len(trace))
	last := map[int]int{}
	for i := len(trace) - 1; i >= 0; i-- {
		nextUse[i] = len(trace)
		if n, ok := last[trace[i].adapter]; ok {
			nextUse[i] = n
		}
		last[trace[i].adapter] = i
	}
	resident := map[int]int{}
	var farthest useHeap
	for i, q := range trace {
		afterWarmup := q.at >= w.Warmup
		if afterWarmup {
			requests++
		}
		if _, ok := resident[q.adapter]; !ok {
			if afterWarmup {
				stalled++
			}
			if len(resident) == Engines*slotsPerEngine {
				farthest.evict(resident)
			}
		}
		resident[q.adapter] = nextUse[i]
		heap.Push(&farthest, scheduledUse{adapter: q.adapter, next: nextUse[i]})
	}
	return stalled, requests
}

// scheduledUse is an adapter with the index of the request that uses it next.
type scheduledUse struct{ adapter, next int }

// useHeap orders residents by their next use, the farthest first. A use of an
// adapter makes its earlier entries stale; evict skips them.
type useHeap []scheduledUse

// evict removes the adapter whose next use is farthest away from resident, which
// maps adapters to the index of the request that uses them next.
func (h *useHeap) evict(resident map[int]int) {
	for {
		u := heap.Pop(h).(scheduledUse)
		if next, ok := resident[u.adapter]; ok && next == u.next {
			delete(resident, u.adapter)
			return
		}
	}
}

func (h useHeap) Len() int           { return len(h) }
func (h useHeap) Less(i, j int) bool { return h[i].next > h[j].next }
func (h useHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *useHeap) Push(x any) { *h = append(*h, x.(scheduledUse)) }

// Pop implements heap.Interface.
func (h *useHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
