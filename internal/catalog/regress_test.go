package catalog_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/catalog"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/platformstore"
	"heatherrelay/platform"
)

// restoredCatalog is a catalog whose replicas and clock a test sets.
type restoredCatalog struct {
	*catalog.Catalog
	now      time.Time
	revision uint64
}

func newRestoredCatalog() *restoredCatalog {
	c := &restoredCatalog{now: start}
	c.Catalog = &catalog.Catalog{
		Kinds:               catalog.Kinds{Configuration: "config", Targets: "targets", Versions: "versions", ConfigurationName: "main"},
		DecodeConfiguration: platform.DecodeConfiguration,
		DecodeTarget:        platform.DecodeTarget,
		DecodeVersion:       platform.DecodeVersion,
		ConfigurationLimit:  2 * time.Second,
		TargetsLimit:        2 * time.Second,
		Now:                 func() time.Time { return c.now },
		Log:                 zap.NewNop(),
	}
	return c
}

// list applies a listing of a kind in a generation of the store. The objects alternate
// between names and values.
func (c *restoredCatalog) list(kind platformstore.Kind, generation uint64, namesAndValues ...string) {
	c.revision++
	var objects []platformstore.Object
	for i := 0; i < len(namesAndValues); i += 2 {
		objects = append(objects, platformstore.Object{Name: namesAndValues[i], Revision: c.revision, Value: json.RawMessage(namesAndValues[i+1])})
	}
	state := catalog.State{Generation: generation, Revision: c.revision, ConfirmedAt: c.now}
	c.Followers()[kind].Merge(state, true, objects)
}

// restore makes the store give out revisions again that it gave out before.
func (c *restoredCatalog) restore() { c.revision = 0 }

// configuration returns a configuration object with the keys of one team.
func configuration(version int, keys string) string {
	return fmt.Sprintf(`{"version":%d,"tenants":[{"name":"roads","api-keys":[%s]}]}`, version, keys)
}

// TestRestoredConfigurationDoesNotReplaceNewerOne guards against an instance that goes
// back to an older version of the configuration, and so accepts a withdrawn key, until
// the operator has written its newest one again.
func TestRestoredConfigurationDoesNotReplaceNewerOne(t *testing.T) {
	c := newRestoredCatalog()
	c.list("config", 1, "main", configuration(3, `"withdrawn","kept"`))
	c.list("config", 1, "main", configuration(5, `"kept"`))
	c.restore()
	c.list("config", 2, "main", configuration(3, `"withdrawn","kept"`))
	if version := c.Configuration().Version; version != 5 {
		t.Errorf("version %d is active after the restore, want 5", version)
	}
	if _, ok := c.Configuration().TeamByKey[deployment.HashKey([]byte("withdrawn"))]; ok {
		t.Error("a withdrawn key is accepted after the restore")
	}
	c.list("config", 2, "main", configuration(7, `"kept"`))
	if version := c.Configuration().Version; version != 7 {
		t.Errorf("version %d is active after the operator's write, want 7", version)
	}
}

// TestLowerVersionWithoutRestoreIsApplied guards against an operator's write that is
// taken for the state of a restored copy, and against keys that then count as
// unconfirmed, when the store was not restored since the active version was read.
func TestLowerVersionWithoutRestoreIsApplied(t *testing.T) {
	c := newRestoredCatalog()
	for _, generation := range []uint64{1, 2} {
		c.restore()
		c.list("config", generation, "main", configuration(5, `"kept"`))
		c.now = c.now.Add(5 * time.Second)
		c.list("config", generation, "main", configuration(3, `"kept"`))
		if version := c.Configuration().Version; version != 3 {
			t.Errorf("generation %d: version %d is active, want 3", generation, version)
		}
		if age, ok := c.ConfigurationAge(); !ok || age != 0 {
			t.Errorf("generation %d: age %s, %v", generation, age, ok)
		}
	}
}

// TestRestoredConfigurationConfirmsNoKeys guards against a key whose withdrawal the
// restored copy lacks and that is accepted for a whole new term, because the copy was
// read: it must count as unconfirmed until the operator had time to write again, and
// as long as the copy is older than the configuration in force.
func TestRestoredConfigurationConfirmsNoKeys(t *testing.T) {
	for name, stored := range map[string]int{"older copy": 3, "same version": 5} {
		t.Run(name, func(t *testing.T) {
			c := newRestoredCatalog()
			c.list("config", 1, "main", configuration(5, `"kept"`))
			ageAfter := func(d time.Duration) time.Duration {
				c.now = c.now.Add(d)
				c.list("config", 2, "main", configuration(stored, `"kept"`))
				age, _ := c.ConfigurationAge()
				return age
			}
			c.restore()
			if age := ageAfter(500 * time.Millisecond); age != 500*time.Millisecond {
				t.Errorf("age %s at the first listing after a restore, want 500ms", age)
			}
			if age := ageAfter(time.Second); age != 1500*time.Millisecond {
				t.Errorf("age %s a second after a restore, want 1.5s", age)
			}
			want := time.Duration(0)
			if stored < 5 {
				want = 4500 * time.Millisecond
			}
			if age := ageAfter(3 * time.Second); age != want {
				t.Errorf("age %s four seconds after a restore, want %s", age, want)
			}
			c.list("config", 2, "main", configuration(5, `"kept"`))
			if age, _ := c.ConfigurationAge(); age != 0 {
				t.Errorf("age %s after the operator's write", age)
			}
		})
	}
}

// TestSecondRestoreConfirmsNoKeys guards against a second restore right after the first
// one that takes the reads in between for confirmations.
func TestSecondRestoreConfirmsNoKeys(t *testing.T) {
	c := newRestoredCatalog()
	for generation := range uint64(3) {
		c.restore()
		c.list("config", generation+1, "main", configuration(5, `"kept"`))
		c.now = c.now.Add(time.Second)
	}
	if age, _ := c.ConfigurationAge(); age != 3*time.Second {
		t.Errorf("age %s, want the three seconds since the last read before the first restore", age)
	}
}

// target returns a target's entry.
func target(state string, born int) string {
	return fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"z","state":%q,"born":%d}`, state, born)
}

// TestTargetsMissingInCopyAreRetained guards against a running target that is dropped
// because the restored copy is older than its entry, and checks that one that is not
// written again in time is dropped.
func TestTargetsMissingInCopyAreRetained(t *testing.T) {
	c := newRestoredCatalog()
	c.list("targets", 1, "t1", target("ready", 1))
	c.list("targets", 1, "t1", target("ready", 1), "t2", target("ready", 1))
	c.restore()
	c.now = c.now.Add(300 * time.Millisecond)
	c.list("targets", 2, "t1", target("ready", 1))
	if len(c.Targets()) != 2 {
		t.Errorf("targets right after the restore: %v", c.Targets())
	}
	c.now = c.now.Add(2 * time.Second)
	c.list("targets", 2, "t1", target("ready", 2))
	if _, ok := c.Targets()["t2"]; ok {
		t.Error("a target that is still missing two seconds after the restore is used")
	}
}

// TestDrainingTargetStaysDraining guards against a target that gets requests again
// because the restored copy has it as ready. A process that starts again under its
// name is another one.
func TestDrainingTargetStaysDraining(t *testing.T) {
	c := newRestoredCatalog()
	c.list("targets", 1, "t1", target("draining", 1))
	c.restore()
	for range 2 {
		c.list("targets", 2, "t1", target("ready", 1))
		if !c.Targets()["t1"].Draining {
			t.Fatal("a draining target is ready after the restore")
		}
	}
	c.list("targets", 2, "t1", target("ready", 2))
	if c.Targets()["t1"].Draining {
		t.Error("a target that was started again counts as draining")
	}
}

// TestRemovedTargetStaysRemoved guards against a target that left and gets requests
// again because the restored copy still has its entry; and against one that runs and is
// not used again although it was started again, or its entry has stayed for longer than
// the store keeps entries that are not renewed.
func TestRemovedTargetStaysRemoved(t *testing.T) {
	for name, test := range map[string]struct {
		born  int
		after time.Duration
		used  bool
	}{
		"same entry":       {1, 5 * time.Second, false},
		"started again":    {2, 0, true},
		"entry has stayed": {1, 10 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newRestoredCatalog()
			c.list("targets", 1, "t1", target("ready", 1), "t2", target("ready", 1))
			c.list("targets", 1, "t2", target("ready", 1))
			c.restore()
			c.now = c.now.Add(time.Second)
			c.list("targets", 2, "t1", target("ready", 1), "t2", target("ready", 1))
			if _, ok := c.Targets()["t1"]; ok {
				t.Fatal("a removed target is used after the restore")
			}
			c.now = c.now.Add(test.after)
			c.Followers()["targets"].Renotify()
			c.list("targets", 2, "t1", target("ready", test.born), "t2", target("ready", 3))
			if _, ok := c.Targets()["t1"]; ok != test.used {
				t.Errorf("used %v, want %v", ok, test.used)
			}
		})
	}
}

// TestRestartedTargetStaysKnown guards against a target that was started again and is
// replaced by its earlier process, which the restored copy still has.
func TestRestartedTargetStaysKnown(t *testing.T) {
	c := newRestoredCatalog()
	c.list("targets", 1, "t1", target("ready", 1))
	c.list("targets", 1, "t1", target("ready", 2))
	c.restore()
	c.list("targets", 2, "t1", target("ready", 1))
	if process := c.Targets()["t1"].Generation; process != 2 {
		t.Errorf("process %d is known after the restore, want 2", process)
	}
	c.list("targets", 2, "t1", target("ready", 3))
	if process := c.Targets()["t1"].Generation; process != 3 {
		t.Errorf("process %d is known, want 3", process)
	}
}

// TestAdapterVersionsDoNotGoBack guards against requests that begin on an older version
// of an adapter because the restored copy lacks the announcement of a newer one.
func TestAdapterVersionsDoNotGoBack(t *testing.T) {
	version := func(number int) string { return fmt.Sprintf(`{"model":"m","adapter":"a","version":%d}`, number) }
	adapter := deployment.AdapterName{Model: "m", Adapter: "a"}
	c := newRestoredCatalog()
	c.list("versions", 1, "m.a", version(4))
	c.restore()
	c.list("versions", 2, "m.a", version(2))
	if newest := c.NewestVersion(adapter); newest != 4 {
		t.Errorf("newest version %d after the restore, want 4", newest)
	}
	c.list("versions", 2)
	if newest := c.NewestVersion(adapter); newest != 4 {
		t.Errorf("newest version %d with a copy that lacks it, want 4", newest)
	}
	c.list("versions", 2, "m.a", version(6))
	if newest := c.NewestVersion(adapter); newest != 6 {
		t.Errorf("newest version %d, want 6", newest)
	}
}
