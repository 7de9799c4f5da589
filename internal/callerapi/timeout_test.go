package callerapi_test

import (
	"testing"
	"time"

	"heatherrelay/pkg/release"
)

func TestTimeoutsByClassAndRoute(t *testing.T) {
	cases := []struct {
		name  string
		class release.Class
		route time.Duration
		want  time.Duration
	}{
		{"interactive", release.Interactive, 0, 20 * time.Second},
		{"patient", release.Patient, 0, time.Hour},
		{"set by the route", release.Patient, time.Minute, time.Minute},
		{"set by the route beyond the maximum", release.Interactive, 2 * time.Hour, time.Hour},
	}
	for _, c := range cases {
		n := testNote
		n.Routes = []release.Route{{
			Name: "models", Kind: release.ModelRoute, Class: c.class, Timeout: release.Duration{Duration: c.route},
		}}
		state, err := (&release.State{}).Apply(1, n)
		if err != nil {
			t.Fatal(err)
		}
		ts := start(t, func(ts *testServer) {
			ts.State = func() *release.State { return state }
			ts.Limits.PatientTimeout = time.Hour
		})
		sent := time.Now()
		ts.post(t, "/v1/completions", `{"model":"mowing@1","prompt":"p"}`)
		if got := ts.requests[0].Deadline.Sub(sent).Round(10 * time.Second); got != c.want {
			t.Errorf("%s: timeout %v, want %v", c.name, got, c.want)
		}
	}
}
