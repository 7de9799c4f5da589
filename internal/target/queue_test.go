package target_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/target"
	"heatherrelay/pkg/release"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func numbered(i int) adapter.ID {
	return adapter.ID{Name: fmt.Sprintf("a%d", i), Version: "1"}
}

// bag is the simple model of a queue: the items inside, in no order.
type bag struct {
	queue *target.Queue[int]
	limit int
	now   time.Time
	next  int
	items map[string]target.Item[int]
}

func (b *bag) leave(t *rapid.T, item target.Item[int]) {
	if _, ok := b.items[item.ID]; !ok {
		t.Fatalf("item %s came out, which is not inside", item.ID)
	}
	delete(b.items, item.ID)
}

func (b *bag) push(t *rapid.T) {
	b.next++
	item := target.Item[int]{
		ID:      fmt.Sprint(b.next),
		Team:    rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team"),
		Weight:  rapid.Float64Range(0, 3).Draw(t, "weight"),
		Class:   rapid.SampledFrom([]release.Class{release.Interactive, release.Patient}).Draw(t, "class"),
		Adapter: numbered(rapid.IntRange(0, 3).Draw(t, "adapter")),
		Tokens:  rapid.IntRange(1, 100).Draw(t, "tokens"),
	}
	if s := rapid.IntRange(0, 20).Draw(t, "deadline"); s > 0 {
		item.Deadline = b.now.Add(time.Duration(s) * time.Second)
	}
	before := b.queue.Len()
	if err := b.queue.Push(b.now, item); err == nil {
		b.items[item.ID] = item
	} else if before < b.limit {
		t.Fatalf("refused at %d of %d: %v", before, b.limit, err)
	}
}

func (b *bag) pop(t *rapid.T) {
	resident := map[adapter.ID]bool{}
	for _, r := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 4).Draw(t, "resident") {
		resident[numbered(r)] = true
	}
	item, ok := b.queue.Pop(b.now, func(id adapter.ID) bool { return resident[id] })
	if ok {
		if !resident[item.Adapter] {
			t.Fatalf("popped %s, whose adapter is not ready", item.ID)
		}
		b.leave(t, item)
		return
	}
	for _, item := range b.items {
		if resident[item.Adapter] {
			t.Fatalf("nothing popped, but %s is ready", item.ID)
		}
	}
}

func (b *bag) remove(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(1, max(b.next, 1)).Draw(t, "id"))
	_, known := b.items[id]
	item, ok := b.queue.Remove(id)
	if ok != known {
		t.Fatalf("Remove(%s) = %v, want %v", id, ok, known)
	}
	if ok {
		b.leave(t, item)
	}
}

func (b *bag) expire(t *rapid.T) {
	b.now = b.now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "s")) * time.Second)
	overdue := func(item target.Item[int]) bool {
		return !item.Deadline.IsZero() && !b.now.Before(item.Deadline)
	}
	for _, item := range b.queue.Expire(b.now) {
		if !overdue(item) {
			t.Fatalf("item %s expired before its deadline", item.ID)
		}
		b.leave(t, item)
	}
	for _, item := range b.items {
		if overdue(item) {
			t.Fatalf("item %s is overdue and still inside", item.ID)
		}
	}
}

func (b *bag) check(t *rapid.T) {
	tokens := 0
	for _, item := range b.items {
		tokens += item.Tokens
	}
	if b.queue.Len() != len(b.items) || b.queue.QueuedTokens() != tokens || b.queue.Len() > 2*b.limit {
		t.Fatalf("%d items and %d tokens, want %d and %d, limit %d",
			b.queue.Len(), b.queue.QueuedTokens(), len(b.items), tokens, b.limit)
	}
}

func TestQueueConservesItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		b := &bag{
			queue: &target.Queue[int]{MaxItems: limit}, limit: limit,
			now: start, items: map[string]target.Item[int]{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": b.push, "pop": b.pop, "remove": b.remove, "expire": b.expire, "": b.check,
		})
	})
}

// Two teams that are backlogged all the time: what each is served per weight
// differs by no more than one largest item of each.
func TestQueueSharesBetweenBackloggedTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 200
		q := &target.Queue[int]{MaxItems: 10_000}
		weights := map[string]float64{
			"x": rapid.Float64Range(0.5, 4).Draw(t, "x"),
			"y": rapid.Float64Range(0.5, 4).Draw(t, "y"),
		}
		served := map[string]float64{}
		push := func(team string, i int) {
			item := target.Item[int]{
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
				t.Fatal("backlogged queue is empty")
			}
			served[item.Team] += float64(item.Tokens) / item.Weight
			if apart := served["x"] - served["y"]; apart > bound || apart < -bound {
				t.Fatalf("served per weight apart by %v, bound %v", apart, bound)
			}
			push(item.Team, 100+i)
		}
	})
}

// However many interactive requests follow, a patient one goes before those
// that came later than it by PatientDelay.
func TestQueueAgesPatientItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := time.Duration(rapid.IntRange(1, 10).Draw(t, "delay")) * time.Second
		q := &target.Queue[int]{MaxItems: 10_000, PatientDelay: delay}
		patient := target.Item[int]{ID: "patient", Team: "x", Class: release.Patient, Tokens: 1}
		if err := q.Push(start, patient); err != nil {
			t.Fatal(err)
		}
		now := start
		for i := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			item := target.Item[int]{ID: fmt.Sprint(i), Team: "x", Class: release.Interactive, Tokens: 1}
			if err := q.Push(now, item); err != nil {
				t.Fatal(err)
			}
			popped, _ := q.Pop(now, nil)
			if popped.ID == "patient" {
				return
			}
			if now.Sub(start) > delay {
				t.Fatalf("still waiting %v after its arrival, delay %v", now.Sub(start), delay)
			}
		}
	})
}

func ExampleQueue() {
	q := &target.Queue[string]{}
	for i := range 3 {
		_ = q.Push(start, target.Item[string]{ID: fmt.Sprint("busy", i), Team: "busy", Tokens: 100})
	}
	_ = q.Push(start, target.Item[string]{ID: "calm", Team: "calm", Tokens: 100})
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
