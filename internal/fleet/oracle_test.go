package fleet_test

import (
	"cmp"
	"slices"
	"testing"

	"heatherrelay/internal/standin"
)

// checkPostings compares what callers were told of each posting with how often
// the service ran it.
func checkPostings(t *testing.T, postings []posting, counts standin.ServiceCounts) {
	t.Helper()
	for _, p := range postings {
		ran := counts.Paths[p.path]
		switch {
		case ran > 1:
			t.Errorf("%s ran %d times: %+v", p.path, ran, p)
		case ran == 1 && p.notRun == p.attempts:
			t.Errorf("%s ran although every answer said not run: %+v", p.path, p)
		case ran == 0 && p.succeeded > 0:
			t.Errorf("%s did not run although an answer said so: %+v", p.path, p)
		}
	}
}

// checkRate checks that no stretch of time holds more answers of a team than its
// rate and burst allow. An answer lies in a stretch if its request was sent and
// its end was read within, so that the time of its admission does too.
func checkRate(t *testing.T, answers []answered, team string, tokensPerSecond, burst float64) {
	t.Helper()
	var own []answered
	for _, a := range answers {
		if a.team == team {
			own = append(own, a)
		}
	}
	slices.SortFunc(own, func(a, b answered) int { return a.done.Compare(b.done) })
	worst, total := -burst, 0
	for _, first := range own {
		total += first.tokens
		tokens := 0
		for _, a := range own {
			if a.sent.Before(first.sent) {
				continue
			}
			tokens += a.tokens
			allowed := burst + tokensPerSecond*a.done.Sub(first.sent).Seconds()
			worst = max(worst, float64(tokens)-allowed)
		}
	}
	if worst > 0 {
		t.Errorf("%s got %.0f tokens more than its rate and burst", team, worst)
	}
	t.Logf("%s: %d whole answers, %d tokens, in the fullest stretch %.0f below its rate and burst", team, len(own), total, -worst)
}

// checkJournal reports what no failure excuses.
func checkJournal(t *testing.T, j *journal) {
	t.Helper()
	for _, fault := range j.faults[:min(len(j.faults), 10)] {
		t.Error(fault)
	}
	codes := make([]string, 0, len(j.refused))
	for code := range j.refused {
		codes = append(codes, code)
	}
	slices.SortFunc(codes, func(a, b string) int { return cmp.Compare(j.refused[b], j.refused[a]) })
	t.Logf("%d whole answers, %d postings, %d broken connections, %d unexcused", len(j.answers), len(j.postings), j.broken, len(j.faults))
	for _, code := range codes {
		t.Logf("refused %s: %d", code, j.refused[code])
	}
}
