package burn

import (
	"strconv"
	"time"

	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// Values of the result label for an admission against the team's allowance.
const (
	grantedResult = "granted"
	refusedResult = "refused"
)

// excludedCodes are the refusals that do not count against the service: errors of
// the caller, and refusals by the limits of its team.
var excludedCodes = map[refusal.Code]bool{
	refusal.CodeUnauthenticated:      true,
	refusal.CodeForbidden:            true,
	refusal.CodeUnknownAdapter:       true,
	refusal.CodeUnknownRoute:         true,
	refusal.CodeInvalidRequest:       true,
	refusal.CodeBodyTooLarge:         true,
	refusal.CodeOverBurst:            true,
	refusal.CodeRateLimited:          true,
	refusal.CodeIdempotencyKeyReused: true,
	refusal.CodeInProgress:           true,
	refusal.CodeCallerGone:           true,
}

// RecordRequest counts a request that this instance received from a caller. A request
// without a team, or refused before its route was known, is only counted in
// requests_total.
func (m *Metrics) RecordRequest(r Result) {
	result := answeredResult
	if r.Code != "" {
		result = string(r.Code)
	}
	team := m.team(r.Team)
	m.requests.WithLabelValues(team, string(r.Kind), string(r.Class), result).Inc()
	if r.Kind == "" || r.Team == "" {
		return
	}
	m.requestDuration.WithLabelValues(string(r.Kind), string(r.Class)).Observe(r.Duration.Seconds())
	now := m.now()
	m.countAnswer(now, team, r)
	m.countAllowance(now, team, r)
	m.countFirstToken(now, team, r)
}

// countAnswer counts the request towards the objective Answered.
func (m *Metrics) countAnswer(now time.Time, team string, r Result) {
	if excludedCodes[r.Code] {
		return
	}
	m.counts.Add(now, Series{Team: team, Class: r.Class, Objective: Answered, Good: r.Code == "", Reason: string(r.Code)}, 1)
}

// countAllowance counts the request and its tokens by whether the allowance admitted
// it. A request whose caller disconnected was admitted and counts as granted.
func (m *Metrics) countAllowance(now time.Time, team string, r Result) {
	refused := r.Code == refusal.CodeRateLimited
	if r.Tokens <= 0 || (excludedCodes[r.Code] && !refused && r.Code != refusal.CodeCallerGone) {
		return
	}
	s := Series{Team: team, Class: r.Class, Objective: JustifiedRefusals, Good: !refused}
	label := grantedResult
	if refused {
		s.Reason, label = string(r.Code), refusedResult
	}
	m.counts.Add(now, s, 1)
	s.Objective = tokensRequested
	m.counts.Add(now, s, uint64(r.Tokens))
	m.tokens.WithLabelValues(team, label).Add(r.Tokens)
}

// countFirstToken counts the request towards the objective FirstToken, if it is a
// model request with a first token.
func (m *Metrics) countFirstToken(now time.Time, team string, r Result) {
	if r.Kind != release.ModelRoute || r.FirstToken <= 0 {
		return
	}
	m.firstToken.WithLabelValues(string(r.Class)).Observe(r.FirstToken.Seconds())
	s := Series{Team: team, Class: r.Class, Objective: FirstToken, Good: r.FirstToken <= m.Goals[r.Class].FirstTokenLimit}
	if !s.Good {
		s.Reason = "late"
	}
	m.counts.Add(now, s, 1)
}

// RecordStart counts a request that starts on an engine owned by this instance, after
// it waited in the queue for the given time; stalled is set if it waited for an
// adapter load.
func (m *Metrics) RecordStart(teamName string, class release.Class, waited time.Duration, stalled bool) {
	team := m.team(teamName)
	label := strconv.FormatBool(stalled)
	m.loadStalls.WithLabelValues(team, string(class), label).Inc()
	m.queueWait.WithLabelValues(string(class), label).Observe(waited.Seconds())
	s := Series{Team: team, Class: class, Objective: Unstalled, Good: !stalled}
	if stalled {
		s.Reason = "waited_for_load"
	}
	m.counts.Add(m.now(), s, 1)
}

// RecordLoad counts a load order and its duration; err is nil if the adapter was
// loaded.
func (m *Metrics) RecordLoad(duration time.Duration, err error) {
	result := "loaded"
	if err != nil {
		result = "failed"
	}
	m.loads.WithLabelValues(result).Inc()
	m.loadDuration.Observe(duration.Seconds())
}
