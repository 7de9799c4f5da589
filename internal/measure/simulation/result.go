package simulation

import (
	"math"
	"slices"
)

// Result holds the measurements of one run. Unless stated otherwise they cover the
// requests that arrived after the warm-up.
type Result struct {
	// Requests counts the arrivals. Stalled are the finished requests whose adapter
	// was not resident when they were queued.
	Requests, Stalled, Refused, Unfinished int
	// StallP50, StallP95 and StallP99 are quantiles of the stalled requests' times
	// from arrival to joining a batch, in seconds.
	StallP50, StallP95, StallP99 float64
	// FirstTokenP50 and FirstTokenP95 are quantiles of the time to the first token,
	// in seconds.
	FirstTokenP50, FirstTokenP95 float64
	// TeamFirstTokenP95 is FirstTokenP95 of each team's interactive requests.
	TeamFirstTokenP95 [Teams]float64
	// TeamStalled is the number of stalled requests of each team per 1,000 finished
	// ones.
	TeamStalled [Teams]float64
	// WorstTeamRatio is the maximum of TeamFirstTokenP95 divided by their median.
	WorstTeamRatio float64
	// WorstServedShare is the minimum over the teams of the output tokens finished
	// within the run's duration, divided by those requested.
	WorstServedShare float64
	// PatientMax is the maximum time to the first token of a patient request, in
	// seconds.
	PatientMax float64
	// Occupancy is the mean number of requests that a step serves, over the whole run.
	Occupancy float64
	// Loads counts the loads started, and MaxLoadsInFlight is the maximum of those in
	// flight at one time, over the whole run.
	Loads            int
	MaxLoadsInFlight int
}

// StalledPer1000 returns the number of stalled requests per 1,000 requests.
func (r *Result) StalledPer1000() float64 {
	return 1000 * float64(r.Stalled) / float64(max(r.Requests, 1))
}

// result computes the measurements of a finished run.
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

// quantile returns the nearest-rank q-quantile of the values, or zero if there are
// none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
