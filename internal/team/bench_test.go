package team_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"heatherrelay/internal/team"
)

func benchRates(teams int) []team.Rate {
	var rates []team.Rate
	for i := range teams {
		rates = append(rates, team.Rate{Name: team.Name("team" + strconv.Itoa(i)), TokensPerSecond: 1e9, BurstTokens: 1e9})
	}
	return rates
}

func benchShare(teams int) *team.Share {
	now := time.Now()
	s := &team.Share{}
	s.Tick(now.Add(-1))
	s.ApplyClaim(now, now, team.Claim{Teams: 1})
	s.SetRates(now, 1, benchRates(teams))
	return s
}

func BenchmarkReserve(b *testing.B) {
	for _, teams := range []int{5, 100, 1000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			s := benchShare(teams)
			name := team.Name("team3")
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				s.Reserve(now, name, 10)
				s.Settle(now, name, 10, 0)
			}
		})
	}
}

func BenchmarkGrantTransfer(b *testing.B) {
	s := benchShare(100)
	ids := make([]string, 100_000)
	for i := range ids {
		ids[i] = "instance#epoch#" + strconv.Itoa(i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.GrantTransfer(time.Now(), team.TransferRequest{ID: ids[i%len(ids)], Allowance: team.Name("team3"), Tokens: 1})
		i++
	}
}

func BenchmarkNextPeer(b *testing.B) {
	for _, count := range []int{8, 48, 339} {
		b.Run(fmt.Sprint("peers=", count), func(b *testing.B) {
			now := time.Now()
			var hints team.Hints
			var peers []team.Peer
			rate := benchRates(1)[0]
			for i := range count {
				peers = append(peers, team.Peer{ID: "i" + strconv.Itoa(i), Zone: "z" + strconv.Itoa(i%7)})
				hints.Record(now, peers[i].ID, rate.Name, float64(i))
			}
			tried := map[string]bool{}
			b.ReportAllocs()
			for b.Loop() {
				hints.NextPeer(now, "z0", peers, rate, 1, tried)
			}
		})
	}
}

func BenchmarkSetRates(b *testing.B) {
	for _, teams := range []int{5, 100, 1000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			s := benchShare(teams)
			rates := benchRates(teams)
			now := time.Now()
			b.ReportAllocs()
			release := uint64(1)
			for b.Loop() {
				release++
				s.SetRates(now, release, rates)
			}
		})
	}
}

func BenchmarkLedger(b *testing.B) {
	for _, members := range []int{3, 49, 340} {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) {
			var l team.Ledger
			l.Deposit(team.Parts{Teams: team.TotalParts, Loads: team.TotalParts})
			for i := range members {
				l.Join(fmt.Sprintf("entry-%03d#%08x", i, i))
			}
			for i := range members {
				l.AssignFree(fmt.Sprintf("entry-%03d#%08x", i, i), true)
			}
			var value []byte
			for b.Loop() {
				value, _ = l.Marshal()
				if _, err := team.ParseLedger(value); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "bytes")
		})
	}
}
