package callerapi_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"heatherrelay/internal/refusal"
	"heatherrelay/internal/team"
	"heatherrelay/pkg/release"
)

// TestPatientRequestsWaitForTheirAllowance refuses the first two reservations. A
// patient request must retry until it is admitted; an interactive one, or one of a
// team that may have no more waiting requests, must be refused at once.
func TestPatientRequestsWaitForTheirAllowance(t *testing.T) {
	cases := []struct {
		class    release.Class
		inFlight int
		status   int
		attempts int64
	}{
		{release.Patient, 100, http.StatusOK, 3},
		{release.Interactive, 100, http.StatusTooManyRequests, 1},
		{release.Patient, 15, http.StatusTooManyRequests, 1}, // 15/16 rounds down to zero waiting requests.
	}
	for _, c := range cases {
		n := testNote
		n.Routes = []release.Route{{Name: "models", Kind: release.ModelRoute, Class: c.class}}
		state, err := (&release.State{}).Apply(1, n)
		if err != nil {
			t.Fatal(err)
		}
		var attempts atomic.Int64
		ts := start(t, func(ts *testServer) {
			ts.State = func() *release.State { return state }
			ts.Limits.RequestsInFlight = c.inFlight
			ts.Admit = func(ctx context.Context, teamName string, tokens float64) (team.Reservation, error) {
				if attempts.Add(1) < 3 {
					return team.Reservation{}, refusal.NotRun(refusal.CodeRateLimited, "over the rate")
				}
				return ts.admit(ctx, teamName, tokens)
			}
		})
		got := ts.post(t, "/v1/completions", `{"model":"mowing@1","prompt":"p"}`)
		if got.status != c.status || attempts.Load() != c.attempts {
			t.Errorf("%+v: status %d after %d attempts", c, got.status, attempts.Load())
		}
	}
}
