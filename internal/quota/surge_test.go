package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/quota"
)

// surge is a fleet of meters that learn late what the others admitted: from a report each
// surgeStep, reportLag after it was made.
type surge struct {
	fleet
	random *rand.Rand
	// weights are the instances' parts of the requests, sent what each admitted at every step.
	weights []float64
	sent    [][]float64
	refused int
}

const (
	surgeStep = 50 * time.Millisecond
	reportLag = 400 * time.Millisecond
	// surgeCost is the cost of a request in tokens.
	surgeCost = 1500
)

var surgeTeam = &deployment.Team{Name: "roads", CountsTokens: true, RatePerSecond: 500_000, Burst: 500_000}

func newSurge(instances int) *surge {
	s := &surge{fleet: fleet{now: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(3, uint64(instances)))}
	total := 0.0
	for range instances {
		weight := 0.3 + s.random.ExpFloat64()
		s.weights, total = append(s.weights, weight), total+weight
		m := &quota.Meter{Window: testWindow, Now: func() time.Time { return s.now }, ReachableFraction: func() float64 { return 1 }, Members: func() int { return instances }}
		m.Prepare([]*deployment.Team{surgeTeam})
		s.meters = append(s.meters, m)
	}
	for i := range s.weights {
		s.weights[i] /= total
	}
	return s
}

// run sends the given multiple of the team's rate for a time, and returns what was admitted.
func (s *surge) run(demand float64, duration time.Duration) float64 {
	admitted := 0.0
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(surgeStep) {
		s.report()
		for i, m := range s.meters {
			expected := demand * surgeTeam.RatePerSecond * surgeStep.Seconds() / surgeCost * s.weights[i]
			for range int(expected + s.random.Float64()) {
				if ok, _ := m.Admit(surgeTeam, quota.Request{Cost: surgeCost}); !ok {
					s.refused++
					continue
				}
				admitted += surgeCost
				s.admitted = append(s.admitted, admission{s.now, surgeCost})
			}
		}
	}
	return admitted
}

// report gives each meter what the others admitted until reportLag ago, as of one peer.
func (s *surge) report() {
	row, total := make([]float64, len(s.meters)), 0.0
	for i, m := range s.meters {
		row[i] = m.Admitted()[surgeTeam.Name]
	}
	s.sent = append(s.sent, row)
	late := len(s.sent) - 1 - int(reportLag/surgeStep)
	if late < 0 {
		return
	}
	for _, amount := range s.sent[late] {
		total += amount
	}
	for i, m := range s.meters {
		m.Observe("others", "run", m.AdmittingFor(), map[string]float64{surgeTeam.Name: total - s.sent[late][i]})
	}
}

// TestTeamAtSevenTimesItsRateInALargeFleet guards against instances that all see a team's
// allowance refill at the same moment, and admit its requests again and again until they
// learn of each other's.
func TestTeamAtSevenTimesItsRateInALargeFleet(t *testing.T) {
	for _, instances := range []int{9, 73, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			s := newSurge(instances)
			s.run(0.4, 4*time.Second)
			if s.refused > 0 {
				t.Errorf("%d requests refused below the rate", s.refused)
			}
			surged := s.run(7, 14*time.Second)
			if wanted := 0.85 * surgeTeam.RatePerSecond * 14; surged < wanted {
				t.Errorf("%.0f tokens admitted in 14 s, at least %.0f are wanted", surged, wanted)
			}
			limit := surgeTeam.RatePerSecond*testWindow.Seconds() + surgeTeam.Burst
			if most := s.maxWindowTokens(); most > limit*(1+overshoot)+slack {
				t.Errorf("%.0f tokens admitted in %s, %.0f are allowed", most, testWindow, limit*(1+overshoot)+slack)
			}
			s.run(0.2, 4*time.Second)
			s.refused = 0
			if s.run(0.7, 8*time.Second); s.refused > 0 {
				t.Errorf("%d requests refused below the rate after the surge", s.refused)
			}
		})
	}
}
