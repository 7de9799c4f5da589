package burn

import (
	"strconv"
	"time"

	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// The results of an admission.
const (
	grantedResult = "granted"
	refusedResult = "refused"
)

// blameless are the refusals that say nothing about the service: the caller's
// own mistakes, and the limits of its team.
var blameless = map[refusal.Code]bool{
	refusal.CodeUnauthenticated: true,
	refusal.CodeForbidden:       true,
	refusal.CodeUnknownAdapter:  true,
	refusal.CodeUnknownRoute:    true,
	refusal.CodeInvalidRequest:  true,
	refusal.CodeTooLarge:        true,
	refusal.CodeOverBurst:       true,
	refusal.CodeRateLimited:     true,
	refusal.CodeKeyReused:       true,
	refusal.CodeInProgress:      true,
	refusal.CodeCallerGone:      true,
}

// Ended counts a request that ended at this entry instance.
func (m *Metrics) Ended(r Result) {
	result := answeredResult
	if r.Code != "" {
		result = string(r.Code)
	}
	team := m.team(r.Team)
	m.requests.WithLabelValues(team, string(r.Kind), string(r.Class), result).Inc()
	if r.Kind == "" || r.Team == "" {
		return
	}
	m.took.WithLabelValues(string(r.Kind), string(r.Class)).Observe(r.Took.Seconds())
	now := m.now()
	m.countAnswer(now, team, r)
	m.countAllowance(now, team, r)
	m.countFirstToken(now, team, r)
}

func (m *Metrics) countAnswer(now time.Time, team string, r Result) {
	if blameless[r.Code] {
		return
	}
	m.counts.Add(now, Series{Team: team, Class: r.Class, Objective: Answered, Good: r.Code == "", Reason: string(r.Code)}, 1)
}

// countAllowance counts requests and tokens by whether the allowance sufficed.
func (m *Metrics) countAllowance(now time.Time, team string, r Result) {
	refused := r.Code == refusal.CodeRateLimited
	if r.Tokens <= 0 || (blameless[r.Code] && !refused && r.Code != refusal.CodeCallerGone) {
		return
	}
	s := Series{Team: team, Class: r.Class, Objective: RightlyRefused, Good: !refused}
	label := grantedResult
	if refused {
		s.Reason, label = string(r.Code), refusedResult
	}
	m.counts.Add(now, s, 1)
	s.Objective = tokensAsked
	m.counts.Add(now, s, uint64(r.Tokens))
	m.tokens.WithLabelValues(team, label).Add(r.Tokens)
}

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

// Started counts a request that goes to an engine which this instance owns.
func (m *Metrics) Started(teamName string, class release.Class, waited time.Duration, stalled bool) {
	team := m.team(teamName)
	label := strconv.FormatBool(stalled)
	m.stalls.WithLabelValues(team, string(class), label).Inc()
	m.queueWait.WithLabelValues(string(class), label).Observe(waited.Seconds())
	s := Series{Team: team, Class: class, Objective: Unstalled, Good: !stalled}
	if stalled {
		s.Reason = "waited_for_load"
	}
	m.counts.Add(m.now(), s, 1)
}

// Loaded counts a load order.
func (m *Metrics) Loaded(took time.Duration, err error) {
	result := "loaded"
	if err != nil {
		result = "failed"
	}
	m.loads.WithLabelValues(result).Inc()
	m.loadTook.Observe(took.Seconds())
}
