package origin_test

import (
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/origin"
)

// clock is a time that tests set.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// targetsOf returns one target of service "s" for each version.
func targetsOf(versions ...string) map[deployment.TargetID]deployment.Target {
	targets := map[deployment.TargetID]deployment.Target{}
	for _, version := range versions {
		targets[deployment.TargetID(version)] = deployment.Target{Service: "s", SoftwareVersion: version}
	}
	return targets
}

// TestRemovedVersionCountsForRetention checks that a service counts as having several
// versions as long as streams of a removed version may be resumed.
func TestRemovedVersionCountsForRetention(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	v := &origin.Versions{Now: c.Now}
	if mixed := v.Observe(targetsOf("v1")); len(mixed) > 0 || v.Several("s") {
		t.Errorf("one version counts as several; mixed %v", mixed)
	}
	c.now = c.now.Add(time.Hour)
	if mixed := v.Observe(targetsOf("v1", "v2")); len(mixed) != 1 || !v.Several("s") {
		t.Errorf("two versions do not count as several; mixed %v", mixed)
	}
	c.now = c.now.Add(time.Hour)
	if mixed := v.Observe(targetsOf("v2")); len(mixed) > 0 || !v.Several("s") {
		t.Errorf("a version that was just removed does not count; mixed %v", mixed)
	}
	if version, ok := v.Only("s"); !ok || version != "v2" {
		t.Errorf("Only() = %q, %t", version, ok)
	}
	c.now = c.now.Add(origin.Retention + time.Second)
	if v.Several("s") {
		t.Error("a version that was removed long ago still counts")
	}
}

// TestHistoryIsCompleteAfterRetention checks that an instance that just started does
// not take the versions that it sees for all that streams may have begun at.
func TestHistoryIsCompleteAfterRetention(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	v := &origin.Versions{Now: c.Now}
	if v.Complete() {
		t.Error("complete before the first observation")
	}
	v.Observe(targetsOf("v1"))
	c.now = c.now.Add(origin.Retention / 2)
	v.Observe(targetsOf("v1"))
	if v.Complete() {
		t.Error("complete after half of the retention")
	}
	if c.now = c.now.Add(origin.Retention); !v.Complete() {
		t.Error("not complete after the retention")
	}
}

// TestYoungestRecordStays checks that a record that arrives late does not replace one
// of a later resume, and that records expire.
func TestYoungestRecordStays(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	table := &origin.Table{Now: c.Now}
	table.Put(origin.Record{RequestID: "r", Service: "s", Version: "v2", At: c.now})
	table.Put(origin.Record{RequestID: "r", Service: "s", Version: "v1", At: c.now.Add(-time.Second)})
	if r, ok := table.Get("r"); !ok || r.Version != "v2" {
		t.Errorf("record %+v, %t", r, ok)
	}
	if records := table.All(func(service string) bool { return service == "other" }); len(records) > 0 {
		t.Errorf("records of another service: %v", records)
	}
	c.now = c.now.Add(origin.Retention)
	table.RemoveExpired()
	if _, ok := table.Get("r"); !ok {
		t.Error("record removed at the end of its retention")
	}
	c.now = c.now.Add(time.Second)
	table.RemoveExpired()
	if _, ok := table.Get("r"); ok {
		t.Error("expired record kept")
	}
}
