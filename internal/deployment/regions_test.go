package deployment_test

import (
	"testing"

	"heatherrelay/internal/deployment"
)

// TestRegionsOfRouteAndTeamBothBind checks that a request may run only where its route and its
// team both allow it, that no region means all of them, and that an unknown one is none.
func TestRegionsOfRouteAndTeamBothBind(t *testing.T) {
	for name, c := range map[string]struct {
		route, team deployment.Regions
		region      string
		want        bool
	}{
		"neither":              {nil, nil, "leon", true},
		"neither, unknown":     {nil, nil, "", true},
		"route":                {deployment.Regions{"leon"}, nil, "leon", true},
		"other than the route": {deployment.Regions{"leon"}, nil, "sofia", false},
		"team":                 {nil, deployment.Regions{"leon"}, "leon", true},
		"other than the team":  {nil, deployment.Regions{"leon"}, "sofia", false},
		"unknown":              {deployment.Regions{"leon"}, nil, "", false},
		"empty name":           {deployment.Regions{""}, nil, "", false},
		"both":                 {deployment.Regions{"leon", "sofia"}, deployment.Regions{"sofia"}, "sofia", true},
		"one of both":          {deployment.Regions{"leon", "sofia"}, deployment.Regions{"sofia"}, "leon", false},
		"nothing in common":    {deployment.Regions{"leon"}, deployment.Regions{"sofia"}, "leon", false},
	} {
		if got := c.route.And(c.team).Allows(c.region); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
