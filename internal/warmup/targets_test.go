package warmup_test

import (
	"maps"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/warmup"
)

const (
	coldStart = 3 * time.Second
	perSecond = 6.7
)

// testTargets are the cold targets that one instance knows of, on a fake clock.
type testTargets struct {
	*warmup.Targets
	t      *testing.T
	now    time.Time
	woke   bool
	listed map[deployment.TargetID]deployment.Target
}

func newTargets(t *testing.T) *testTargets {
	w := &testTargets{t: t, now: time.Unix(1_000_000, 0), listed: map[deployment.TargetID]deployment.Target{}}
	services := map[string]*deployment.Service{
		"models": {Name: "models", ColdStart: coldStart, ColdPerSecond: perSecond},
		"ledger": {Name: "ledger", ColdStart: coldStart},
	}
	w.Targets = &warmup.Targets{
		Service: func(name string) *deployment.Service { return services[name] }, WokeWithin: func(time.Duration) bool { return w.woke },
		Now: func() time.Time { return w.now }, Log: zap.NewNop(),
	}
	return w
}

// list lists a target of a service in the zone north, beside those listed before.
func (w *testTargets) list(id deployment.TargetID, service string, generation int64, coldRemaining time.Duration) deployment.Target {
	t := deployment.Target{ID: id, Service: service, Zone: "north", Generation: generation, ColdRemaining: coldRemaining}
	w.listed[id] = t
	w.apply()
	return t
}

func (w *testTargets) apply() { w.Apply(maps.Clone(w.listed)) }

func (w *testTargets) check(when string, target deployment.Target, want bool) {
	w.t.Helper()
	rate, cold := w.PerSecond(target)
	if cold != want {
		w.t.Errorf("%s: %s is cold: %v, want %v", when, target.ID, cold, want)
	}
	if cold && rate != perSecond {
		w.t.Errorf("%s: %g requests a second", when, rate)
	}
}

// TestTargetsOfTheFirstListingAreAsTheyState checks that an instance which starts beside
// running targets believes their entries.
func TestTargetsOfTheFirstListingAreAsTheyState(t *testing.T) {
	w := newTargets(t)
	w.apply()
	w.listed["cold"] = deployment.Target{ID: "cold", Service: "models", ColdRemaining: 2 * time.Second}
	warm := w.list("warm", "models", 1, 0)
	w.check("at first", warm, false)
	w.check("at first", w.listed["cold"], true)
	w.check("without an entry", deployment.Target{ID: "none", Service: "models"}, true)
	w.now = w.now.Add(2 * time.Second)
	w.check("after the time that it stated", w.listed["cold"], false)
}

// TestTargetThatStartsIsCold guards against a burst at a target that started while its service
// was in use and states nothing of it, under a new id or the one that it had. An entry that lapsed is no start.
func TestTargetThatStartsIsCold(t *testing.T) {
	w := newTargets(t)
	w.list("old", "models", 1, 0)
	started, restarted := w.list("new", "models", 1, 0), w.list("old", "models", 2, 0)
	for _, target := range []deployment.Target{started, restarted} {
		w.check("after its start", target, true)
	}
	w.check("of a service without a limit", w.list("plain", "ledger", 1, time.Second), false)
	w.now = w.now.Add(coldStart)
	for _, target := range []deployment.Target{started, restarted} {
		w.check("when it is warm", target, false)
	}
	delete(w.listed, "new")
	w.apply()
	w.now = w.now.Add(2 * time.Second)
	w.check("the same process listed again", w.list("new", "models", 1, 0), false)
	w.check("another one", w.list("new", "models", 3, 0), true)
	w.list("unnamed", "models", 0, 0)
	w.now = w.now.Add(coldStart)
	w.check("without a generation", w.list("unnamed", "models", 0, 0), false)
	delete(w.listed, "unnamed")
	w.apply()
	w.now = w.now.Add(time.Second)
	w.check("perhaps another one", w.list("unnamed", "models", 0, 0), true)
	if cold := w.ColdByZone(); cold["north"] != 1 {
		t.Errorf("cold targets by zone: %v", cold)
	}
}

// TestLaterStatementHolds checks that an entry's later statement replaces what was assumed, and
// that a running target turns cold with it.
func TestLaterStatementHolds(t *testing.T) {
	w := newTargets(t)
	w.list("other", "models", 1, 0)
	w.check("as stated at its start", w.list("a", "models", 1, 10*time.Second), true)
	w.now = w.now.Add(time.Second)
	w.check("warm as stated", w.list("a", "models", 1, 0), false)
	w.check("cold again", w.list("a", "models", 1, 2*time.Second), true)
	w.now = w.now.Add(time.Second)
	w.check("cold for longer", w.list("a", "models", 1, 1900*time.Millisecond), true)
	w.now = w.now.Add(1900 * time.Millisecond)
	w.check("at last", w.listed["a"], false)
}

// TestZoneThatIsBackIsCold guards against all the requests of a service at once at the targets
// of a zone whose evacuation has ended, which turned cold meanwhile.
func TestZoneThatIsBackIsCold(t *testing.T) {
	w := newTargets(t)
	target := w.list("a", "models", 1, 0)
	elsewhere := deployment.Target{ID: "b", Service: "models", Zone: "south", Generation: 1}
	w.listed["b"] = elsewhere
	w.now = w.now.Add(coldStart)
	w.apply()
	w.now = w.now.Add(coldStart)
	w.check("before", target, false)
	w.ZonesReturned([]string{"north"})
	w.check("back", target, true)
	w.check("elsewhere", elsewhere, false)
	if got := w.ColdByZone(); got["north"] != 1 || got["south"] != 0 || len(got) != 2 {
		t.Errorf("cold targets by zone: %v", got)
	}
	w.now = w.now.Add(coldStart)
	w.check("warm", target, false)
}

// TestRestartedTargetIsColdBeforeItsEntrySaysSo guards against a burst at a target that crashed
// and is back under its id, from instances that still hold the entry of the process before.
func TestRestartedTargetIsColdBeforeItsEntrySaysSo(t *testing.T) {
	w := newTargets(t)
	target, other := w.list("a", "models", 1, 0), w.list("b", "models", 1, 0)
	w.now = w.now.Add(coldStart)
	w.Restarted = func(t deployment.Target) bool { return t.ID == "a" && t.Generation == 1 }
	w.check("crashed", target, true)
	w.check("not crashed", other, false)
	w.check("after its new entry", w.list("a", "models", 2, time.Second), true)
	w.now = w.now.Add(time.Second)
	w.check("warm", w.listed["a"], false)
}

// TestSuspendedInstanceTakesAllForCold guards against a burst from an instance that was
// suspended, at targets that turned cold meanwhile.
func TestSuspendedInstanceTakesAllForCold(t *testing.T) {
	w := newTargets(t)
	target := w.list("a", "models", 1, 0)
	w.woke = true
	w.check("after a suspension", target, true)
	w.woke = false
	w.check("later", target, false)
}
