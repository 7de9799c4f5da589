package fairqueue_test

import (
	"fmt"
	"testing"

	"heatherrelay/internal/fairqueue"
)

func BenchmarkQueuePushPop(b *testing.B) {
	for _, size := range []struct{ teams, items int }{{5, 50}, {5, 1000}, {50, 1000}} {
		b.Run(fmt.Sprintf("teams=%d/items=%d", size.teams, size.items), func(b *testing.B) {
			b.ReportAllocs()
			q := &fairqueue.Queue[int]{MaxItems: 2 * size.items}
			var items []fairqueue.Item[int]
			for i := range size.items {
				items = append(items, fairqueue.Item[int]{
					ID: fmt.Sprint(i), Team: fmt.Sprint(i % size.teams), Tokens: 100 + i%7, Adapter: numbered(i % 40),
				})
				if err := q.Push(start, items[i]); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				item, _ := q.Pop(start, nil)
				if err := q.Push(start, item); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
