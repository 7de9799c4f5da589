package adapter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heatherrelay/internal/adapter"
	"heatherrelay/pkg/release"
)

// syntheticView returns a view of targets with up to 16 random residents each, and
// the adapters that they were drawn from.
func syntheticView(adapters, targets int) (*adapter.View, []adapter.ID) {
	r := rand.New(rand.NewPCG(1, 2))
	ids := make([]adapter.ID, adapters)
	for i := range ids {
		ids[i] = adapterID(i)
	}
	view := &adapter.View{}
	for i := range targets {
		info := targetInfo(i)
		view.SetTarget(info)
		for range 16 {
			view.AddResident(info.ID, ids[r.IntN(adapters)])
		}
		view.SetLoad(info.ID, adapter.TargetLoad{QueuedTokens: r.IntN(4000), Running: r.IntN(16)})
	}
	return view, ids
}

func BenchmarkRouterChoose(b *testing.B) {
	for _, size := range []struct{ adapters, targets int }{
		{3000, 12}, {10_000, 100}, {59_000, 200}, {59_000, 400}, {59_000, 757},
	} {
		view, ids := syntheticView(size.adapters, size.targets)
		router := &adapter.Router{}
		b.Run(fmt.Sprintf("adapters=%d/targets=%d", size.adapters, size.targets), func(b *testing.B) {
			b.ReportAllocs()
			request := adapter.RouteRequest{BaseModel: "m", Tokens: 300, PrefixHash: 7}
			for i := 0; b.Loop(); i++ {
				request.Adapter = ids[i%len(ids)]
				if _, ok := router.Choose(&request, view, start); !ok {
					b.Fatal("no target")
				}
			}
		})
	}
}

func BenchmarkTableVictim(b *testing.B) {
	for _, adapters := range []int{3000, 10_000, 59_000} {
		for _, slots := range []int{16, 64} {
			table := &adapter.Table{Slots: slots}
			now := start
			for i := range adapters {
				now = now.Add(10 * time.Millisecond)
				table.Touch(adapterID(i), now, 100)
				table.Add(adapterID(i), now)
			}
			b.Run(fmt.Sprintf("adapters=%d/slots=%d", adapters, slots), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, ok := table.Victim(now); !ok {
						b.Fatal("no victim")
					}
				}
			})
		}
	}
}

func BenchmarkTableAdmit(b *testing.B) {
	for _, adapters := range []int{3000, 10_000, 59_000} {
		table := &adapter.Table{Slots: 16}
		ids := make([]adapter.ID, adapters)
		for i := range ids {
			ids[i] = adapterID(i)
			table.Touch(ids[i], start, 100)
			table.Add(ids[i], start)
		}
		resident := table.Residents()
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			b.ReportAllocs()
			now := start
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				id := resident[i%len(resident)]
				table.Touch(id, now, 100)
				table.Pin(id)
				table.Unpin(id, now)
			}
		})
	}
}

func BenchmarkLoadQueue(b *testing.B) {
	for _, pending := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("pending=%d", pending), func(b *testing.B) {
			b.ReportAllocs()
			queue := &adapter.LoadQueue{}
			now := start
			for i := range pending {
				queue.Add(adapter.Load{TargetID: "e", Adapter: adapterID(i)}, 1, release.Interactive, now)
			}
			for b.Loop() {
				now = now.Add(time.Millisecond)
				load, _ := queue.Next(now, nil)
				queue.Add(load, 1, release.Interactive, now)
			}
		})
	}
}
