package fleet_test

import (
	"cmp"
	"slices"
	"testing"

	"heatherrelay/internal/standin"
)

// checkPostCalls compares the answers that callers received to each POST call
// with the number of times that the service ran it.
func checkPostCalls(t *testing.T, calls []postCall, counts standin.ServiceCounts) {
	t.Helper()
	for _, call := range calls {
		ran := counts.Paths[call.path]
		switch {
		case ran > 1:
			t.Errorf("%s ran %d times: %+v", call.path, ran, call)
		case ran == 1 && call.notRun == call.attempts:
			t.Errorf("%s ran although every answer reported that it did not run: %+v", call.path, call)
		case ran == 0 && call.succeeded > 0:
			t.Errorf("%s did not run although an answer reported success: %+v", call.path, call)
		}
	}
}

// checkRate checks that in every time window the answers to a team used at most
// as many tokens as its rate and burst allow. An answer counts towards a window
// if its request was sent and its end was read within the window, since its
// admission then also fell into the window.
func checkRate(t *testing.T, answers []answer, team string, tokensPerSecond, burst float64) {
	t.Helper()
	var teamAnswers []answer
	for _, a := range answers {
		if a.team == team {
			teamAnswers = append(teamAnswers, a)
		}
	}
	slices.SortFunc(teamAnswers, func(a, b answer) int { return a.done.Compare(b.done) })
	maxExcess, total := -burst, 0
	for _, first := range teamAnswers {
		total += first.tokens
		tokens := 0
		for _, a := range teamAnswers {
			if a.sent.Before(first.sent) {
				continue
			}
			tokens += a.tokens
			allowed := burst + tokensPerSecond*a.done.Sub(first.sent).Seconds()
			maxExcess = max(maxExcess, float64(tokens)-allowed)
		}
	}
	if maxExcess > 0 {
		t.Errorf("%s used %.0f tokens more than its rate and burst allow", team, maxExcess)
	}
	t.Logf("%s: %d complete answers, %d tokens, in the busiest window %.0f tokens below its rate and burst", team, len(teamAnswers), total, -maxExcess)
}

// checkResults reports violations and logs a summary of the results.
func checkResults(t *testing.T, r *results) {
	t.Helper()
	for _, violation := range r.violations[:min(len(r.violations), 10)] {
		t.Error(violation)
	}
	codes := make([]string, 0, len(r.refused))
	for code := range r.refused {
		codes = append(codes, code)
	}
	slices.SortFunc(codes, func(a, b string) int { return cmp.Compare(r.refused[b], r.refused[a]) })
	t.Logf("%d complete answers, %d POST calls, %d broken connections, %d violations", len(r.answers), len(r.postCalls), r.broken, len(r.violations))
	for _, code := range codes {
		t.Logf("refused %s: %d", code, r.refused[code])
	}
}
