package gatewayinstance_test

import (
	"net/http"
	"testing"

	"heatherrelay/internal/gatewayinstance"
	"heatherrelay/platform/platformtest"
)

// TestRequestsStayInTheirRegions guards against a request that runs at a target in a region in
// which its route does not allow it: at first, in a retry, or when no allowed region has a
// target that takes it, in which case it is refused at once.
func TestRequestsStayInTheirRegions(t *testing.T) {
	t.Parallel()
	c, others := newZonesCluster(t, 0)
	home := platformtest.Route{}
	for name, value := range c.config.Routes[3] {
		home[name] = value
	}
	home["name"], home["path-prefix"], home["allowed-regions"] = "home", "/home/", []string{"leon", "nowhere"}
	c.config.Version, c.config.Routes = 2, append(c.config.Routes, home)
	c.config.Publish(c.store)
	i := c.startInstanceWith(func(i *gatewayinstance.Instance) {
		i.Settings.Zones = map[string]string{testZone: "leon", otherZone: "sofia"}
	})
	send := func(path string) reply { return c.sendThrough(i, http.MethodGet, path, nil) }
	c.waitFor("route in force", func() bool { return send("/home/").status == http.StatusOK })
	for range 20 {
		if got := send("/home/"); got.status != http.StatusOK {
			t.Errorf("status %d with a target in an allowed region: %s %v", got.status, got.body, got.err)
		}
	}
	c.plain.Inject(func(p *platformtest.Target) { p.RefuseNext = 3 })
	for range 3 {
		send("/home/")
	}
	if got := received(others...); got != 0 {
		t.Errorf("%d requests ran in a region that is not allowed", got)
	}
	c.evacuate(testZone)
	c.waitFor("refusal", func() bool { return send("/home/").status == http.StatusServiceUnavailable })
	if got := send("/home/"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, want 503 with a time to come back: %s %v", got.status, got.body, got.err)
	}
	if got := received(others...); got != 0 {
		t.Errorf("%d requests ran in a region that is not allowed", got)
	}
	if got := send("/read/"); got.status != http.StatusOK || received(others...) == 0 {
		t.Errorf("status %d on a route without regions: %s %v", got.status, got.body, got.err)
	}
}
