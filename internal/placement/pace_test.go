package placement_test

import (
	"testing"
	"time"

	"heatherrelay/internal/placement"
)

// weightStore serves a number of loads at full speed; beyond it each takes longer.
type weightStore struct{ atOnce int }

func (s weightStore) late(onTheirWay int) bool { return float64(onTheirWay) > 1.15*float64(s.atOnce) }

// TestPaceFindsTheWeightStore answers the pattern of more adapters asked for than
// the weight store serves, on stores of several sizes: the pace ends near what
// the store serves at full speed, from above and from below.
func TestPaceFindsTheWeightStore(t *testing.T) {
	for _, atOnce := range []int{3, 13, 25} {
		const engines = 30
		store := weightStore{atOnce: atOnce}
		p := &placement.Pace{}
		now := time.Unix(1000, 0)
		within, rounds := 0, 0
		for range 400 {
			now = now.Add(100 * time.Millisecond)
			share := p.Share(engines)
			p.Waited()
			if store.late(share) {
				p.Note(share, 0, now)
			} else {
				p.Note(0, share, now)
			}
			if now.Sub(time.Unix(1000, 0)) > 20*time.Second {
				rounds++
				if float64(share) > 0.6*float64(atOnce) && float64(share) < 1.4*float64(atOnce) {
					within++
				}
			}
		}
		if within*10 < rounds*8 {
			t.Errorf("store of %d: the pace was near it in %d of %d rounds", atOnce, within, rounds)
		}
	}
}

// TestPaceStaysWhileNothingWaits checks that the pace does not rise without need.
func TestPaceStaysWhileNothingWaits(t *testing.T) {
	p := &placement.Pace{}
	now := time.Unix(1000, 0)
	before := p.Share(4)
	for range 100 {
		now = now.Add(time.Second)
		p.Note(0, 10, now)
	}
	if after := p.Share(4); after != before {
		t.Errorf("%d after %d", after, before)
	}
}
