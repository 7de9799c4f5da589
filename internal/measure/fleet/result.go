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
	// FirstTokenP50 and FirstTokenP95 are the times to the first token, in seconds.
	FirstTokenP50, FirstTokenP95 float64
	// TeamFirstTokenP95 is the same for each team, of interactive requests.
	TeamFirstTokenP95 [Teams]float64
	// TeamStalled is the load-stalled requests of each team, per 1,000.
	TeamStalled [Teams]float64
	// WorstTeamRatio is the highest of TeamFirstP95 over their median.
	WorstTeamRatio float64
	// WorstServedShare is the least of the teams' finished tokens over what they asked.
	WorstServedShare float64
	// PatientMax is the longest time to a patient request's first token, in seconds.
	PatientMax float64
	// Occupancy is the mean batch, in requests per step.
	Occupancy        float64
	Loads            int
	MaxLoadsInFlight int
}

// StalledPer1000 returns the load-stalled requests per 1,000.
func (r *Result) StalledPer1000() float64 {
	return 1000 * float64(r.Stalled) / float64(max(r.Requests, 1))
}

func (r *run) result() Result {
	out := Result{Loads: r.store.loads, MaxLoadsInFlight: r.store.maxInFlight, WorstServedShare: math.Inf(1)}
	var stalls, firstTokens []float64
	var teamFirstTokens [Teams][]float64
	var requested, served, count [Teams]float64
	for _, j := range r.jobs {
		if j.at < r.workload.Warmup {
			continue
		}
		out.Requests++
		requested[j.team] += float64(j.output)
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
		firstToken := (j.firstToken - j.at).Seconds()
		firstTokens = append(firstTokens, firstToken)
		if j.class == "patient" {
			out.PatientMax = max(out.PatientMax, firstToken)
		} else {
			teamFirstTokens[j.team] = append(teamFirstTokens[j.team], firstToken)
		}
		count[j.team]++
		if j.stalled {
			out.TeamStalled[j.team]++
			out.Stalled++
			stalls = append(stalls, (j.stallEnded - j.at).Seconds())
		}
	}
	out.StallP50, out.StallP95, out.StallP99 = quantile(stalls, 0.5), quantile(stalls, 0.95), quantile(stalls, 0.99)
	out.FirstTokenP50, out.FirstTokenP95 = quantile(firstTokens, 0.5), quantile(firstTokens, 0.95)
	for i, t := range teamFirstTokens {
		out.TeamStalled[i] *= 1000 / max(count[i], 1)
		out.TeamFirstTokenP95[i] = quantile(t, 0.95)
		out.WorstServedShare = min(out.WorstServedShare, served[i]/max(requested[i], 1))
	}
	out.WorstTeamRatio = slices.Max(out.TeamFirstTokenP95[:]) / max(quantile(out.TeamFirstTokenP95[:], 0.5), 1e-9)
	steps, tokens := 0, 0
	for _, e := range r.engines {
		steps += e.steps
		tokens += e.outputTokens
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
