package entry_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"heatherrelay/internal/refusal"
	"heatherrelay/internal/team"
	"heatherrelay/pkg/release"
)

func TestPatientRequestsWaitForTheirAllowance(t *testing.T) {
	cases := []struct {
		class    release.Class
		inFlight int
		status   int
		tries    int64
	}{
		{release.Patient, 100, http.StatusOK, 3},
		{release.Interactive, 100, http.StatusTooManyRequests, 1},
		{release.Patient, 15, http.StatusTooManyRequests, 1}, // No room for one that waits.
	}
	for _, c := range cases {
		n := note
		n.Routes = []release.Route{{Name: "models", Kind: release.ModelRoute, Class: c.class}}
		state, err := (&release.State{}).Apply(1, n)
		if err != nil {
			t.Fatal(err)
		}
		var tries atomic.Int64
		b := start(t, func(b *bench) {
			b.State = func() *release.State { return state }
			b.Limits.RequestsInFlight = c.inFlight
			b.Admit = func(ctx context.Context, name string, tokens float64) (team.Reservation, error) {
				if tries.Add(1) < 3 {
					return team.Reservation{}, refusal.NotRun(refusal.CodeRateLimited, "over the rate")
				}
				return b.admit(ctx, name, tokens)
			}
		})
		got := b.post(t, "/v1/completions", `{"model":"mowing@1","prompt":"p"}`)
		if got.status != c.status || tries.Load() != c.tries {
			t.Errorf("%+v: status %d after %d tries", c, got.status, tries.Load())
		}
	}
}
