package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/dispatch"
	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
)

// killed is the panic value with which a fake kills an instance during a call.
type killed struct{}

// fault is a fault injected into a call to the platform or the service.
type fault string

const (
	none fault = "none"
	// unavailable: the call fails without effect.
	unavailable fault = "unavailable"
	// answerLost: the call takes effect, but its response is lost.
	answerLost fault = "answerLost"
	// delayed: the call fails now and takes effect some steps later.
	delayed fault = "delayed"
	// throttled: the platform rejects the call.
	throttled fault = "throttled"
	// killBefore and killAfter kill the instance before or after the call takes
	// effect.
	killBefore fault = "killBefore"
	killAfter  fault = "killAfter"
	// retryBefore has another instance handle a retry before the call,
	// retryAfter after the call took effect.
	retryBefore fault = "retryBefore"
	retryAfter  fault = "retryAfter"
	// deadlinePasses advances the clock past the deadline before the call.
	deadlinePasses fault = "deadlinePasses"
)

var faults = []fault{
	none, none, none, none, none, unavailable, answerLost, delayed, throttled, killBefore, killAfter, retryBefore, retryAfter, deadlinePasses,
}

// farFuture is the start of the fake clock. Contexts use the real clock, on
// which no deadline of the test may have passed.
var farFuture = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

// outcome is the result that a caller received.
type outcome struct {
	reply dispatch.Reply
	err   *refusal.Error
}

// fleet is the state machine of the property test: instances that share a
// platform and a service, and an oracle that counts how often the service ran
// each request id and each idempotency key.
type fleet struct {
	t             *rapid.T
	memory        objectstore.Memory
	instances     []*dispatch.Sender
	now           time.Time
	delayedWrites []func()
	requests      int
	depth         int
	// healthy disables all faults.
	healthy bool

	// runsByRequestID and runsByKey count the runs of the service, and replies
	// holds its last reply by key.
	runsByRequestID map[string]int
	runsByKey       map[string]int
	replies         map[string]string
	outcomes        map[string]outcome
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t: t, now: farFuture, runsByRequestID: map[string]int{}, runsByKey: map[string]int{},
		replies: map[string]string{}, outcomes: map[string]outcome{},
	}
	for range 3 {
		f.instances = append(f.instances, f.instance())
	}
	return f
}

func (f *fleet) instance() *dispatch.Sender {
	return &dispatch.Sender{
		Targets: func(string) []objectstore.TargetEntry { return []objectstore.TargetEntry{{ID: "t1"}, {ID: "t2"}} },
		Store:   f.store(),
		Exchange: func(_ context.Context, _ objectstore.TargetEntry, c dispatch.Call) (dispatch.Reply, error) {
			return f.exchange(c)
		},
		Now:   func() time.Time { return f.now },
		Pause: func(context.Context, time.Duration) {},
	}
}

// draw returns the fault of the next call.
func (f *fleet) draw(where string) fault {
	if f.healthy {
		return none
	}
	return rapid.SampledFrom(faults).Draw(f.t, where)
}

// withFault runs a call to the platform or the service with a drawn fault.
func (f *fleet) withFault(where string, c *dispatch.Call, effect func() error) error {
	switch f.draw(where) {
	case unavailable:
		return objectstore.ErrUnavailable.New("unavailable")
	case answerLost:
		_ = effect()
		return objectstore.ErrUnavailable.New("answer lost")
	case delayed:
		f.delayedWrites = append(f.delayedWrites, func() { _ = effect() })
		return objectstore.ErrUnavailable.New("delayed")
	case throttled:
		return objectstore.ErrThrottled.New("throttled")
	case killBefore:
		panic(killed{})
	case killAfter:
		_ = effect()
		panic(killed{})
	case retryBefore:
		f.retry(c)
	case retryAfter:
		err := effect()
		f.retry(c)
		return err
	case deadlinePasses:
		f.now = f.now.Add(time.Minute)
	}
	return effect()
}

// retry has another instance handle a request during a call: one with the same
// key if the call is to the service, else one with a random key.
func (f *fleet) retry(c *dispatch.Call) {
	if f.depth > 2 {
		return
	}
	key := fmt.Sprint("k", rapid.IntRange(0, 2).Draw(f.t, "retry key"))
	if c != nil {
		key = c.IdempotencyKey
	}
	f.send(rapid.IntRange(0, 2).Draw(f.t, "retry instance"), key)
}

func (f *fleet) store() objectstore.Store {
	inner := f.memory.Store()
	return objectstore.Store{
		Get: func(ctx context.Context, key string) (object objectstore.Object, err error) {
			failed := f.withFault("get", nil, func() error {
				object, err = inner.Get(ctx, key)
				return err
			})
			return object, failed
		},
		Put: func(ctx context.Context, key string, value []byte, ifVersion uint64) (version uint64, err error) {
			failed := f.withFault("put", nil, func() error {
				version, err = inner.Put(ctx, key, value, ifVersion)
				return err
			})
			return version, failed
		},
		Delete: func(ctx context.Context, key string, ifVersion uint64) error {
			return f.withFault("delete", nil, func() error { return inner.Delete(ctx, key, ifVersion) })
		},
		List: inner.List,
	}
}

// exchange is the fake service. It may be unreachable, run and lose its
// response, or run later.
func (f *fleet) exchange(c dispatch.Call) (reply dispatch.Reply, err error) {
	run := func() error {
		f.runsByRequestID[c.RequestID]++
		f.runsByKey[c.IdempotencyKey]++
		f.replies[c.IdempotencyKey] = "done by " + c.RequestID
		reply = dispatch.Reply{Status: 200, Body: []byte(f.replies[c.IdempotencyKey])}
		return nil
	}
	err = f.withFault("service", &c, run)
	if objectstore.ErrThrottled.Has(err) {
		return dispatch.Reply{}, dispatch.ErrNotSent.New("dial")
	}
	return reply, err
}

// send sends a new request to an instance, which may be killed while it handles
// it.
func (f *fleet) send(instance int, key string) {
	f.requests++
	f.deliver(instance, dispatch.Call{
		RequestID: fmt.Sprint("r", f.requests), Team: "sombat", Service: "posting", Method: "POST", Path: "/",
		Body: []byte(key), IdempotencyKey: key, Deadline: f.now.Add(30 * time.Second),
	})
}

// deliver sends a call to an instance and records the outcome. It fails the
// test if a reply differs from the one that the service gave.
func (f *fleet) deliver(instance int, c dispatch.Call) {
	f.depth++
	defer func() { f.depth-- }()
	key := c.IdempotencyKey
	defer func() {
		switch p := recover(); p {
		case nil:
		case any(killed{}):
			f.instances[instance] = f.instance()
		default:
			panic(p)
		}
	}()
	reply, err := f.instances[instance].Send(context.Background(), c)
	got := outcome{reply: reply}
	if err != nil && !errors.As(err, &got.err) {
		f.t.Fatalf("%s: error %v is not a refusal", c.RequestID, err)
	}
	f.outcomes[c.RequestID] = got
	if got.err == nil && string(reply.Body) != f.replies[key] {
		f.t.Fatalf("%s: got %q, the service replied %q", c.RequestID, reply.Body, f.replies[key])
	}
	if got.err != nil && got.err.NotRun && got.err.Code == refusal.CodeMayHaveRun {
		f.t.Fatalf("%s: %v has NotRun set", c.RequestID, got.err)
	}
}

// check fails the test if a key ran more than once, or if a request ran that
// was reported as not run.
func (f *fleet) check() {
	for key, n := range f.runsByKey {
		if n > 1 {
			f.t.Fatalf("key %s ran %d times", key, n)
		}
	}
	for id, o := range f.outcomes {
		if n := f.runsByRequestID[id]; o.err != nil && o.err.NotRun && n != 0 {
			f.t.Fatalf("request %s ran %d times and was reported as not run: %v", id, n, o.err)
		}
	}
}

// runBackground runs background work of an instance, which may be killed during
// it.
func (f *fleet) runBackground(instance int, work func(s *dispatch.Sender)) {
	defer func() {
		if p := recover(); p == any(killed{}) {
			f.instances[instance] = f.instance()
		} else if p != nil {
			panic(p)
		}
	}()
	work(f.instances[instance])
}

// TestNonRepeatableCallRunsAtMostOnce runs random requests, faults and
// background tasks, and checks after each step that no key ran twice. At the
// end it disables the faults and checks that new calls run.
func TestNonRepeatableCallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				f.t = t
				f.send(rapid.IntRange(0, 2).Draw(t, "instance"), fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key")))
			},
			"settle queued tasks": func(t *rapid.T) {
				f.t = t
				f.runBackground(rapid.IntRange(0, 2).Draw(t, "instance"), func(s *dispatch.Sender) { s.RunQueuedTasks(context.Background()) })
			},
			"late write takes effect": func(t *rapid.T) {
				f.t = t
				if len(f.delayedWrites) == 0 {
					t.Skip("none")
				}
				i := rapid.IntRange(0, len(f.delayedWrites)-1).Draw(t, "which")
				arrive := f.delayedWrites[i]
				f.delayedWrites = append(f.delayedWrites[:i], f.delayedWrites[i+1:]...)
				arrive()
			},
			"": func(*rapid.T) { f.check() },
		})
		f.healthy = true
		for i := range f.instances {
			f.send(i, fmt.Sprint("k", i))
			f.send(i, fmt.Sprint("fresh", i))
			if n := f.runsByKey[fmt.Sprint("fresh", i)]; n != 1 {
				t.Fatalf("a call without faults ran %d times", n)
			}
		}
		f.check()
	})
}

// TestRequestDeliveredTwiceRunsOnce guards against recognizing an intent by the
// request id: a request that reaches two instances would run on both.
func TestRequestDeliveredTwiceRunsOnce(t *testing.T) {
	f := newFleet(nil)
	f.healthy = true
	f.send(0, "k0")
	f.deliver(1, dispatch.Call{
		RequestID: "r1", Team: "sombat", Service: "posting", Method: "POST", Path: "/",
		Body: []byte("k0"), IdempotencyKey: "k0", Deadline: f.now.Add(30 * time.Second),
	})
	if n := f.runsByKey["k0"]; n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

func TestRetryGetsStoredReply(t *testing.T) {
	f := newFleet(nil)
	f.healthy = true
	f.send(0, "k0")
	f.send(1, "k0")
	if o := f.outcomes["r2"]; !o.reply.Replayed || string(o.reply.Body) != "done by r1" {
		t.Errorf("outcome = %+v", o)
	}
}

func TestSweepDeletesOnlyIntentsPastRetention(t *testing.T) {
	f := newFleet(nil)
	f.healthy = true
	s := f.instances[0]
	s.Retention = time.Hour
	sweepAll := func() int {
		for shard := range 4096 {
			s.Sweep(context.Background(), shard)
		}
		listing, err := f.memory.Store().List(context.Background(), "intent/")
		if err != nil {
			t.Fatal(err)
		}
		return len(listing.Objects)
	}
	f.send(0, "k0")
	f.now = f.now.Add(50 * time.Minute)
	f.send(0, "k1")
	f.now = f.now.Add(20 * time.Minute)
	if n := sweepAll(); n != 1 {
		t.Errorf("%d intents left, want 1", n)
	}
}
