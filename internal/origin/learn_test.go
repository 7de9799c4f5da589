package origin_test

import (
	"testing"
	"time"

	"heatherrelay/internal/origin"
)

// TestVersionsSeenByOthersAreLearnt guards against an instance that takes the one version that
// it sees for the only one, though others saw another one while it did not look (ORDER), and
// against versions that count again although it saw them leave long ago.
func TestVersionsSeenByOthersAreLearnt(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	versions := &origin.Versions{Now: func() time.Time { return now }}
	versions.Observe(targetsOf("v1"))
	stored := origin.StoredVersions{Services: map[string][]origin.StoredVersion{
		"s": {{Version: "v1"}, {Version: "v2", GoneAt: time.Unix(77, 0)}},
	}}
	versions.Learn(stored)
	if !versions.Several("s") {
		t.Error("a version that others saw leave does not count")
	}
	now = now.Add(origin.Retention / 2)
	versions.Observe(targetsOf("v1"))
	versions.Learn(stored)
	now = now.Add(origin.Retention/2 + time.Second)
	versions.Observe(targetsOf("v1"))
	versions.Learn(stored)
	if versions.Several("s") {
		t.Error("a version counts for longer than the retention since it is known to be gone")
	}
}
