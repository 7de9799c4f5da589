package fairqueue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/fairqueue"
	"heatherrelay/pkg/release"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func numbered(i int) adapter.ID {
	return adapter.ID{Name: fmt.Sprintf("a%d", i), Version: "1"}
}

// queueModel is a reference model of a queue. It tracks which items are queued, but not
// their order.
type queueModel struct {
	queue  *fairqueue.Queue[int]
	limit  int
	now    time.Time
	lastID int
	items  map[string]fairqueue.Item[int]
}

func (m *queueModel) removeItem(t *rapid.T, item fairqueue.Item[int]) {
	if _, ok := m.items[item.ID]; !ok {
		t.Fatalf("the queue returned item %s, which is not queued", item.ID)
	}
	delete(m.items, item.ID)
}

func (m *queueModel) push(t *rapid.T) {
	m.lastID++
	item := fairqueue.Item[int]{
		ID:      fmt.Sprint(m.lastID),
		Team:    rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team"),
		Weight:  rapid.Float64Range(0, 3).Draw(t, "weight"),
		Class:   rapid.SampledFrom([]release.Class{release.Interactive, release.Patient}).Draw(t, "class"),
		Adapter: numbered(rapid.IntRange(0, 3).Draw(t, "adapter")),
		Tokens:  rapid.IntRange(1, 100).Draw(t, "tokens"),
	}
	if s := rapid.IntRange(0, 20).Draw(t, "deadline"); s > 0 {
		item.Deadline = m.now.Add(time.Duration(s) * time.Second)
	}
	before := m.queue.Len()
	if err := m.queue.Push(m.now, item); err == nil {
		m.items[item.ID] = item
	} else if before < m.limit {
		t.Fatalf("push refused with %d items below the limit %d: %v", before, m.limit, err)
	}
}

func (m *queueModel) pop(t *rapid.T) {
	resident := map[adapter.ID]bool{}
	for _, r := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 4).Draw(t, "resident") {
		resident[numbered(r)] = true
	}
	item, ok := m.queue.Pop(m.now, func(id adapter.ID) bool { return resident[id] })
	if ok {
		if !resident[item.Adapter] {
			t.Fatalf("popped item %s, whose adapter is not ready", item.ID)
		}
		m.removeItem(t, item)
		return
	}
	for _, item := range m.items {
		if resident[item.Adapter] {
			t.Fatalf("popped no item, but the adapter of item %s is ready", item.ID)
		}
	}
}

func (m *queueModel) remove(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(1, max(m.lastID, 1)).Draw(t, "id"))
	_, known := m.items[id]
	item, ok := m.queue.Remove(id)
	if ok != known {
		t.Fatalf("Remove(%s) = %v, want %v", id, ok, known)
	}
	if ok {
		m.removeItem(t, item)
	}
}

func (m *queueModel) expire(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "s")) * time.Second)
	expired := func(item fairqueue.Item[int]) bool {
		return !item.Deadline.IsZero() && !m.now.Before(item.Deadline)
	}
	for _, item := range m.queue.Expire(m.now) {
		if !expired(item) {
			t.Fatalf("item %s expired before its deadline", item.ID)
		}
		m.removeItem(t, item)
	}
	for _, item := range m.items {
		if expired(item) {
			t.Fatalf("item %s is past its deadline and still queued", item.ID)
		}
	}
}

func (m *queueModel) check(t *rapid.T) {
	tokens := 0
	for _, item := range m.items {
		tokens += item.Tokens
	}
	if m.queue.Len() != len(m.items) || m.queue.QueuedTokens() != tokens || m.queue.Len() > 2*m.limit {
		t.Fatalf("%d items and %d tokens queued, want %d and %d, limit %d",
			m.queue.Len(), m.queue.QueuedTokens(), len(m.items), tokens, m.limit)
	}
}

// TestQueueNeitherLosesNorDuplicatesItems compares the queue with its model over drawn
// sequences of operations.
func TestQueueNeitherLosesNorDuplicatesItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		m := &queueModel{
			queue: &fairqueue.Queue[int]{MaxItems: limit}, limit: limit,
			now: start, items: map[string]fairqueue.Item[int]{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push, "pop": m.pop, "remove": m.remove, "expire": m.expire, "": m.check,
		})
	})
}

// TestQueueServesBackloggedTeamsByWeight checks that the tokens served per weight to
// two teams that always have queued items differ by at most one largest item of each.
func TestQueueServesBackloggedTeamsByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 200
		q := &fairqueue.Queue[int]{MaxItems: 10_000}
		weights := map[string]float64{
			"x": rapid.Float64Range(0.5, 4).Draw(t, "x"),
			"y": rapid.Float64Range(0.5, 4).Draw(t, "y"),
		}
		served := map[string]float64{}
		push := func(team string, i int) {
			item := fairqueue.Item[int]{
				ID: fmt.Sprint(team, i), Team: team, Weight: weights[team],
				Tokens: rapid.IntRange(1, largest).Draw(t, "tokens"),
			}
			if err := q.Push(start, item); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 5 {
			push("x", i)
			push("y", i)
		}
		bound := largest/weights["x"] + largest/weights["y"]
		for i := range 60 {
			item, ok := q.Pop(start, nil)
			if !ok {
				t.Fatal("the queue is empty, but both teams have queued items")
			}
			served[item.Team] += float64(item.Tokens) / item.Weight
			if difference := served["x"] - served["y"]; difference > bound || difference < -bound {
				t.Fatalf("tokens served per weight differ by %v, bound %v", difference, bound)
			}
			push(item.Team, 100+i)
		}
	})
}

// TestQueuePopsPatientItemAfterPatientDelay checks that a patient item is popped before
// interactive ones that arrive more than PatientDelay after it, however many there are.
func TestQueuePopsPatientItemAfterPatientDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := time.Duration(rapid.IntRange(1, 10).Draw(t, "delay")) * time.Second
		q := &fairqueue.Queue[int]{MaxItems: 10_000, PatientDelay: delay}
		patient := fairqueue.Item[int]{ID: "patient", Team: "x", Class: release.Patient, Tokens: 1}
		if err := q.Push(start, patient); err != nil {
			t.Fatal(err)
		}
		now := start
		for i := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			item := fairqueue.Item[int]{ID: fmt.Sprint(i), Team: "x", Class: release.Interactive, Tokens: 1}
			if err := q.Push(now, item); err != nil {
				t.Fatal(err)
			}
			popped, _ := q.Pop(now, nil)
			if popped.ID == "patient" {
				return
			}
			if now.Sub(start) > delay {
				t.Fatalf("patient item still queued %v after its arrival, delay %v", now.Sub(start), delay)
			}
		}
	})
}

func ExampleQueue() {
	q := &fairqueue.Queue[string]{}
	for i := range 3 {
		_ = q.Push(start, fairqueue.Item[string]{ID: fmt.Sprint("busy", i), Team: "busy", Tokens: 100})
	}
	_ = q.Push(start, fairqueue.Item[string]{ID: "calm", Team: "calm", Tokens: 100})
	for {
		item, ok := q.Pop(start, nil)
		if !ok {
			break
		}
		fmt.Println(item.ID)
	}
	// Output:
	// busy0
	// calm
	// busy1
	// busy2
}
