// Package capacity_test benchmarks how the control-plane work of an instance grows
// with the size of the fleet. The capacity model in docs/CAPACITY.md is based on
// these results.
package capacity_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherrelay/internal/adapter"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/pkg/release"
)

// residentsPerTarget is the number of adapter slots of an engine, all in use.
const residentsPerTarget = 16

// frameBytes is the overhead of HTTP/2 and Connect for a message and its response.
// Headers are assumed to be indexed (HPACK) after the first call.
const frameBytes = 120

// adapterID returns the id of test adapter i.
func adapterID(i int) adapter.ID {
	return adapter.ID{Name: fmt.Sprintf("adapter-%05d", i), Version: "1"}
}

// BenchmarkSyncTargets encodes and decodes one response with the state of a peer's
// targets: their loads alone, or also their resident adapters.
func BenchmarkSyncTargets(b *testing.B) {
	for _, targets := range []int{1, 16, 64, 128} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/full=%v", targets, full), func(b *testing.B) {
				response := &v1.SyncTargetsResponse{Epoch: "01234567-89ab-cdef-0123-456789abcdef", Sequence: 1 << 20, Full: full, Release: 14_000}
				for i := range targets {
					id := fmt.Sprintf("engine-%04d", i)
					state := &v1.TargetState{TargetId: id, Fencing: 100, Owned: true, Usable: true, Slots: residentsPerTarget, BaseModel: "base-1", Unchanged: !full, Load: &v1.LoadHint{TargetId: id, QueuedTokens: 3000, Running: 12, Capacity: 16}}
					for r := 0; full && r < residentsPerTarget; r++ {
						state.Resident = append(state.Resident, adapterID(i*residentsPerTarget+r).String())
					}
					response.Targets = append(response.Targets, state)
				}
				roundTrip(b, response, &v1.SyncTargetsResponse{})
			})
		}
	}
}

// BenchmarkTransfer encodes and decodes one request to transfer allowance.
func BenchmarkTransfer(b *testing.B) {
	request := &v1.TransferRequest{TransferId: "entry-silom-001#01234567#zzzz", Allowance: "team:billing", Tokens: 512, FromInstance: "entry-silom-001"}
	roundTrip(b, request, &v1.TransferRequest{})
}

// BenchmarkPullReleases encodes and decodes a response without new releases.
func BenchmarkPullReleases(b *testing.B) {
	roundTrip(b, &v1.PullReleasesResponse{Latest: 14_000}, &v1.PullReleasesResponse{})
}

// roundTrip benchmarks encoding the message from and decoding the result into the
// message into. It reports the encoded size alone and with frameBytes.
func roundTrip(b *testing.B, from, into proto.Message) {
	b.Helper()
	b.ReportAllocs()
	var value []byte
	for b.Loop() {
		var err error
		if value, err = proto.Marshal(from); err != nil {
			b.Fatal(err)
		}
		if err := proto.Unmarshal(value, into); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(value)), "message_bytes")
	b.ReportMetric(float64(len(value)+frameBytes), "wire_bytes")
}

// BenchmarkDirectoryListing decodes the platform's listing of the leases of all
// instances.
func BenchmarkDirectoryListing(b *testing.B) {
	for _, instances := range []int{9, 49, 170, 340} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			var listing objectstore.Listing
			for i := range instances {
				lease := objectstore.InstanceLease{
					ID: fmt.Sprintf("entry-silom-%03d", i), Zone: "silom", Incarnation: "01234567-89ab-cdef-0123-456789abcdef",
					Peer: netip.MustParseAddrPort("10.1.2.3:8081"), Metrics: netip.MustParseAddrPort("10.1.2.3:8083"),
					StartedAt: time.Unix(1_700_000_000, 0).UTC(), Renewals: 100_000, ReleaseInForce: 14_000,
				}
				value, err := json.Marshal(lease)
				if err != nil {
					b.Fatal(err)
				}
				listing.Objects = append(listing.Objects, objectstore.Object{Key: "instance/" + lease.ID, Version: 1 << 20, Value: value})
			}
			value, err := json.Marshal(listing)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var into objectstore.Listing
				if err := json.Unmarshal(value, &into); err != nil {
					b.Fatal(err)
				}
				for _, o := range into.Objects {
					var lease objectstore.InstanceLease
					if err := json.Unmarshal(o.Value, &lease); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(len(value)), "message_bytes")
		})
	}
}

// BenchmarkTargetListing decodes the platform's list of targets.
func BenchmarkTargetListing(b *testing.B) {
	for _, targets := range []int{15, 757, 5_300} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			var entries []objectstore.TargetEntry
			for i := range targets {
				entries = append(entries, objectstore.TargetEntry{ID: fmt.Sprintf("engine-%04d", i), Zone: "silom", Kind: objectstore.TargetEngine, Address: netip.MustParseAddrPort("10.1.2.3:9000"), BaseModel: "base-1"})
			}
			value, err := json.Marshal(entries)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var into []objectstore.TargetEntry
				if err := json.Unmarshal(value, &into); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "message_bytes")
		})
	}
}

// BenchmarkNote encodes a stored release note that changes one adapter.
func BenchmarkNote(b *testing.B) {
	stored := publication.StoredNote{PublishID: "01234567-89ab-cdef-0123-456789abcdef", Number: 14_000, Note: release.Note{
		Title:    "adapter-00001 version 2",
		Adapters: []release.Adapter{{Name: "adapter-00001", Version: "2", BaseModel: "base-1", Teams: []string{"crews", "clerks"}}},
		Withdraw: release.Withdraw{Adapters: []string{"adapter-00001@1"}},
	}}
	var value []byte
	for b.Loop() {
		var err error
		if value, err = stored.Encode(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(value)), "message_bytes")
}

// heapGrowth returns the heap size in bytes of the value that build returns.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkStateMemory reports the heap size of the release state.
func BenchmarkStateMemory(b *testing.B) {
	for _, adapters := range []int{3_000, 15_000, 30_000, 59_000} {
		b.Run(fmt.Sprint("adapters=", adapters), func(b *testing.B) {
			bytes := 0.0
			for b.Loop() {
				bytes = heapGrowth(func() any {
					var note release.Note
					for i := range adapters {
						id := adapterID(i)
						note.Adapters = append(note.Adapters, release.Adapter{Name: id.Name, Version: id.Version, BaseModel: "base-1", Teams: []string{"crews", "clerks"}})
					}
					state, err := (&release.State{}).Apply(1, note)
					if err != nil {
						b.Fatal(err)
					}
					return state
				})
			}
			b.ReportMetric(bytes, "heap_bytes")
		})
	}
}

// BenchmarkViewMemory reports the heap size of the router's view of a zone.
func BenchmarkViewMemory(b *testing.B) {
	for _, targets := range []int{12, 100, 400, 757} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			bytes := 0.0
			for b.Loop() {
				bytes = heapGrowth(func() any {
					view := &adapter.View{}
					for i := range targets {
						id := fmt.Sprintf("engine-%04d", i)
						view.SetTarget(adapter.TargetInfo{ID: id})
						for r := range residentsPerTarget {
							view.AddResident(id, adapterID(i*residentsPerTarget+r))
						}
					}
					return view
				})
			}
			b.ReportMetric(bytes, "heap_bytes")
		})
	}
}
