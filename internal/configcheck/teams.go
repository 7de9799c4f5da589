package configcheck

import (
	"fmt"

	"heatherrelay/internal/deployment"
)

// checkTeams checks that each team can be told by a key and may send a request.
func (c *checker) checkTeams() {
	holders := map[deployment.KeyHash]*Team{}
	names := map[string]string{}
	for i := range c.draft.Teams {
		t := &c.draft.Teams[i]
		if first, ok := names[t.Name]; ok {
			c.add(SeverityError, "repeated_team", t.Place, fmt.Sprintf("has the name %q of %s", t.Name, first))
		} else {
			names[t.Name] = t.Path
		}
		if len(t.Keys) == 0 {
			c.add(SeverityError, "no_keys", t.Place, fmt.Sprintf("team %q has no key, so that no request is its", t.Name))
		}
		for _, key := range t.Keys {
			if key == deployment.HashKey(nil) {
				c.add(SeverityError, "empty_key", t.Place, "requests without a key count as this team's")
			}
			if first, ok := holders[key]; ok {
				c.add(SeverityError, "repeated_key", t.Place, fmt.Sprintf("has a key of team %q (%s)", first.Name, first.Path))
			} else {
				holders[key] = t
			}
		}
		c.checkAllowance(t)
	}
}

// checkAllowance checks that the burst suffices for a request.
func (c *checker) checkAllowance(t *Team) {
	switch {
	case t.RatePerSecond < 0 || t.Burst < 0 || t.DefaultTokens < 0:
		c.add(SeverityError, "negative_limit", t.Place, "has a negative limit")
		return
	case t.Unlimited():
		return
	case t.RatePerSecond == 0:
		c.add(SeverityWarning, "no_rate", t.Place, fmt.Sprintf("team %q has a burst but no rate: it is refused once the burst is used up", t.Name))
	case !t.CountsTokens && t.Burst < 1:
		c.add(SeverityError, "burst_too_small", t.Place, fmt.Sprintf("team %q has a burst of %v requests", t.Name, t.Burst))
	}
	if !t.CountsTokens {
		return
	}
	if t.DefaultTokens > t.Burst {
		c.add(SeverityError, "burst_too_small", t.Place, fmt.Sprintf("a request without token counts costs %.0f, the burst is %.0f", t.DefaultTokens, t.Burst))
	}
	if t.DefaultTokens == 0 {
		c.add(SeverityWarning, "free_requests", t.Place, "requests without token counts cost nothing")
	}
	if largest := c.largestRequest(); largest > 0 && t.Burst < largest {
		c.add(SeverityWarning, "burst_too_small", t.Place, fmt.Sprintf("engines take requests of up to %.0f tokens, the burst is %.0f", largest, t.Burst))
	}
}

// largestRequest returns the tokens of the largest request that any engine takes.
func (c *checker) largestRequest() float64 {
	largest := 0
	for _, s := range c.draft.Services {
		if s.Engine != nil {
			largest = max(largest, s.Engine.KVCacheTokens)
		}
	}
	return float64(largest)
}
