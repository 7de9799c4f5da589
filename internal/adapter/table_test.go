package adapter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/adapter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// adapterID returns the id of test adapter i.
func adapterID(i int) adapter.ID {
	return adapter.ID{Name: fmt.Sprintf("a%05d", i), Version: "1"}
}

// slotModel is the reference model of a table: sets of adapters and pin counts.
type slotModel struct {
	slots                   int
	now                     time.Time
	evictionsForbiddenUntil time.Time
	resident                map[adapter.ID]bool
	reserved                map[adapter.ID]bool
	evicting                map[adapter.ID]bool
	pins                    map[adapter.ID]int
}

func (m *slotModel) used() int { return len(m.resident) + len(m.reserved) + len(m.evicting) }

func (m *slotModel) holds(id adapter.ID) bool {
	return m.resident[id] || m.reserved[id] || m.evicting[id]
}

func (m *slotModel) evictable(id adapter.ID) bool {
	return m.resident[id] && m.pins[id] == 0 && !m.now.Before(m.evictionsForbiddenUntil)
}

func (m *slotModel) release(id adapter.ID) {
	delete(m.resident, id)
	delete(m.reserved, id)
	delete(m.evicting, id)
}

func TestTableNeverEvictsAPinnedAdapterNorExceedsItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &slotModel{
			slots: rapid.IntRange(1, 4).Draw(t, "slots"), now: start,
			resident: map[adapter.ID]bool{}, reserved: map[adapter.ID]bool{},
			evicting: map[adapter.ID]bool{}, pins: map[adapter.ID]int{},
		}
		table := &adapter.Table{Slots: m.slots}
		draw := func(t *rapid.T) adapter.ID { return adapterID(rapid.IntRange(0, 6).Draw(t, "adapter")) }
		want := func(t *rapid.T, call string, got, want bool) {
			if got != want {
				t.Fatalf("%s = %v, want %v", call, got, want)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"touch": func(t *rapid.T) { table.Touch(draw(t), m.now, rapid.IntRange(1, 500).Draw(t, "tokens")) },
			"wait":  func(t *rapid.T) { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second) },
			"pin": func(t *rapid.T) {
				id := draw(t)
				want(t, "Pin", table.Pin(id), m.resident[id])
				if m.resident[id] {
					m.pins[id]++
				}
			},
			"unpin": func(t *rapid.T) {
				id := draw(t)
				table.Unpin(id, m.now)
				m.pins[id] = max(m.pins[id]-1, 0)
			},
			"add": func(t *rapid.T) {
				id := draw(t)
				ok := m.holds(id) || m.used() < m.slots
				want(t, "Add", table.Add(id, m.now), ok)
				if ok {
					m.release(id)
					m.resident[id] = true
				}
			},
			"remove": func(t *rapid.T) {
				id := draw(t)
				table.Remove(id)
				m.release(id)
			},
			"reserve": func(t *rapid.T) {
				id := draw(t)
				ok := !m.holds(id) && m.used() < m.slots
				want(t, "Reserve", table.Reserve(id), ok)
				if ok {
					m.reserved[id] = true
				}
			},
			"cancel": func(t *rapid.T) {
				id := draw(t)
				table.CancelReserve(id)
				delete(m.reserved, id)
			},
			"forbid_evictions": func(t *rapid.T) {
				m.evictionsForbiddenUntil = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "s")) * time.Second)
				table.ForbidEvictionsUntil(m.evictionsForbiddenUntil)
			},
			"evict": func(t *rapid.T) {
				id := draw(t)
				want(t, "BeginEvict", table.BeginEvict(id, m.now), m.evictable(id))
				if m.evictable(id) {
					m.release(id)
					m.evicting[id] = true
				}
			},
			"victim": func(t *rapid.T) {
				id, ok := table.Victim(m.now)
				exists := false
				for r := range m.resident {
					exists = exists || m.evictable(r)
				}
				want(t, "Victim", ok, exists)
				if ok && !m.evictable(id) {
					t.Fatalf("Victim() = %v, which must not be evicted", id)
				}
			},
			"": func(t *rapid.T) {
				if got, want := table.Free(), m.slots-m.used(); got != want || got < 0 {
					t.Fatalf("Free() = %d, want %d", got, want)
				}
				if got := len(table.Residents()); got != len(m.resident) {
					t.Fatalf("%d residents, want %d", got, len(m.resident))
				}
				for i := range 7 {
					id := adapterID(i)
					want(t, "Resident", table.Resident(id), m.resident[id])
					want(t, "Pinned", table.Pinned(id), m.pins[id] > 0)
				}
			},
		})
	})
}

func ExampleTable() {
	now := start
	table := &adapter.Table{Slots: 2}
	popular, rare := adapterID(1), adapterID(2)
	table.Touch(popular, now, 900)
	table.Touch(rare, now, 100)
	table.Add(popular, now)
	table.Add(rare, now)
	victim, _ := table.Victim(now)
	fmt.Println(victim)
	table.Pin(rare)
	victim, _ = table.Victim(now)
	fmt.Println(victim)
	// Output:
	// a00002@1
	// a00001@1
}

func TestVictimSparesAnAdapterLoadedForAQueuedRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hasWaiters, used := map[adapter.ID]bool{}, map[adapter.ID]bool{}
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		table := &adapter.Table{Slots: slots, HasWaiters: func(id adapter.ID) bool { return hasWaiters[id] }}
		for i := range slots {
			id := adapterID(i)
			table.Touch(id, start, rapid.IntRange(0, 1000).Draw(t, "tokens"))
			table.Reserve(id)
			table.Add(id, start)
			hasWaiters[id] = rapid.Bool().Draw(t, "has waiters")
			if used[id] = rapid.Bool().Draw(t, "used"); used[id] {
				table.Pin(id)
				table.Unpin(id, start)
			}
		}
		withoutWaiters, spared := 0, 0
		for i := range slots {
			switch id := adapterID(i); {
			case !hasWaiters[id]:
				withoutWaiters++
			case !used[id]:
				spared++
			}
		}
		victim, ok := table.Victim(start)
		switch {
		case ok != (spared < slots):
			t.Fatalf("Victim() = %v with %d of %d spared", ok, spared, slots)
		case ok && hasWaiters[victim] && !used[victim]:
			t.Fatalf("Victim() = %v, loaded for a queued request and not yet used", victim)
		case ok && hasWaiters[victim] && withoutWaiters > 0:
			t.Fatalf("Victim() = %v, which has waiters, with %d adapters without", victim, withoutWaiters)
		}
	})
}
