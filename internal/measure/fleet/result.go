package fleet

import (
	"math"
	"slices"
)

// Result is what one run measured, over the requests after the warm-up.
type Result struct {
	Requests, Stalled, Refused, Unfinished int
	// StallP50, StallP95 and StallP99 are the stalled requests' waits until
	// they ran, in seconds.
	StallP50, StallP95, StallP99 float64
	// FirstP50 and FirstP95 are the times to the first token, in seconds.
	FirstP50, FirstP95 float64
	// TeamFirstP95 is the same for each team, of interactive requests.
	TeamFirstP95 [Teams]float64
	// TeamStalled is the load-stalled requests of each team, per 1,000.
	TeamStalled [Teams]float64
	// WorstTeam is the highest of TeamFirstP95 over their median.
	WorstTeam float64
	// WorstShare is the least of the teams' finished tokens over what they asked.
	WorstShare float64
	// PatientMax is the longest time to a patient request's first token, in seconds.
	PatientMax float64
	// Occupancy is the mean batch, in requests per step.
	Occupancy float64
	Loads     int
	MostAtOne int
}

// StalledPer1000 returns the load-stalled requests per 1,000.
func (r *Result) StalledPer1000() float64 {
	return 1000 * float64(r.Stalled) / float64(max(r.Requests, 1))
}

func (r *run) result() Result {
	out := Result{Loads: r.store.loads, MostAtOne: r.store.mostAtOne, WorstShare: math.Inf(1)}
	var stalls, firsts []float64
	var teams [Teams][]float64
	var asked, served, count [Teams]float64
	for _, j := range r.jobs {
		if j.at < r.workload.Warmup {
			continue
		}
		out.Requests++
		asked[j.team] += float64(j.output)
		switch {
		case j.refused:
			out.Refused++
			continue
		case j.finished == 0:
			out.Unfinished++
			continue
		}
		if j.finished < r.workload.Duration {
			served[j.team] += float64(j.output)
		}
		first := (j.firstToken - j.at).Seconds()
		firsts = append(firsts, first)
		if j.class == "patient" {
			out.PatientMax = max(out.PatientMax, first)
		} else {
			teams[j.team] = append(teams[j.team], first)
		}
		count[j.team]++
		if j.stalled {
			out.TeamStalled[j.team]++
			out.Stalled++
			stalls = append(stalls, (j.loadedAt - j.at).Seconds())
		}
	}
	out.StallP50, out.StallP95, out.StallP99 = quantile(stalls, 0.5), quantile(stalls, 0.95), quantile(stalls, 0.99)
	out.FirstP50, out.FirstP95 = quantile(firsts, 0.5), quantile(firsts, 0.95)
	for i, t := range teams {
		out.TeamStalled[i] *= 1000 / max(count[i], 1)
		out.TeamFirstP95[i] = quantile(t, 0.95)
		out.WorstShare = min(out.WorstShare, served[i]/max(asked[i], 1))
	}
	out.WorstTeam = slices.Max(out.TeamFirstP95[:]) / max(quantile(out.TeamFirstP95[:], 0.5), 1e-9)
	steps, tokens := 0, 0
	for _, e := range r.engines {
		steps += e.steps
		tokens += e.tokens
	}
	out.Occupancy = float64(tokens) / float64(max(steps, 1))
	return out
}

// quantile returns the nearest-rank quantile; zero without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
