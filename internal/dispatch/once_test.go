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

// killed is the panic by which a fake stops an instance at one point.
type killed struct{}

// fault is what goes wrong at one call to the platform or the service.
type fault string

const (
	none fault = "none"
	// away: the call fails without effect.
	away fault = "away"
	// lost: the call takes effect and its answer is lost.
	lost fault = "lost"
	// late: the call fails now and takes effect some steps later.
	late fault = "late"
	// throttled: the platform refuses the call.
	throttled fault = "throttled"
	// killBefore and killAfter stop the instance around the call.
	killBefore fault = "killBefore"
	killAfter  fault = "killAfter"
	// meanwhile lets another instance take a retry before the call, and
	// meanwhileAfter after it took effect.
	meanwhile      fault = "meanwhile"
	meanwhileAfter fault = "meanwhileAfter"
	// pass moves the clock beyond the deadline first.
	pass fault = "pass"
)

var faults = []fault{
	none, none, none, none, none, away, lost, late, throttled, killBefore, killAfter, meanwhile, meanwhileAfter, pass,
}

// farFuture is where the fake clock starts, so that no deadline is past on the
// real one.
var farFuture = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

// outcome is what a caller was told.
type outcome struct {
	reply dispatch.Reply
	err   *refusal.Error
}

// fleet is the state machine: instances over one platform and one service, and
// the oracle, which counts what the service ran by request id and by key.
type fleet struct {
	t         *rapid.T
	memory    objectstore.Memory
	instances []*dispatch.Sender
	now       time.Time
	delayed   []func()
	requests  int
	depth     int
	// healthy switches all faults off.
	healthy bool

	ranRequest map[string]int
	ranKey     map[string]int
	answers    map[string]string
	outcomes   map[string]outcome
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t: t, now: farFuture, ranRequest: map[string]int{}, ranKey: map[string]int{},
		answers: map[string]string{}, outcomes: map[string]outcome{},
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

// draw picks the fault of the next call.
func (f *fleet) draw(where string) fault {
	if f.healthy {
		return none
	}
	return rapid.SampledFrom(faults).Draw(f.t, where)
}

// around runs one call to the platform or the service with a fault.
func (f *fleet) around(where string, c *dispatch.Call, effect func() error) error {
	switch f.draw(where) {
	case away:
		return objectstore.ErrUnavailable.New("away")
	case lost:
		_ = effect()
		return objectstore.ErrUnavailable.New("lost")
	case late:
		f.delayed = append(f.delayed, func() { _ = effect() })
		return objectstore.ErrUnavailable.New("late")
	case throttled:
		return objectstore.ErrThrottled.New("throttled")
	case killBefore:
		panic(killed{})
	case killAfter:
		_ = effect()
		panic(killed{})
	case meanwhile:
		f.retry(c)
	case meanwhileAfter:
		err := effect()
		f.retry(c)
		return err
	case pass:
		f.now = f.now.Add(time.Minute)
	}
	return effect()
}

// retry lets another instance take a call with a known key in between.
func (f *fleet) retry(c *dispatch.Call) {
	if f.depth > 2 {
		return
	}
	key := fmt.Sprint("k", rapid.IntRange(0, 2).Draw(f.t, "meanwhile key"))
	if c != nil {
		key = c.IdempotencyKey
	}
	f.send(rapid.IntRange(0, 2).Draw(f.t, "meanwhile instance"), key)
}

func (f *fleet) store() objectstore.Store {
	inner := f.memory.Store()
	return objectstore.Store{
		Get: func(ctx context.Context, key string) (object objectstore.Object, err error) {
			failed := f.around("get", nil, func() error {
				object, err = inner.Get(ctx, key)
				return err
			})
			return object, failed
		},
		Put: func(ctx context.Context, key string, value []byte, ifVersion uint64) (version uint64, err error) {
			failed := f.around("put", nil, func() error {
				version, err = inner.Put(ctx, key, value, ifVersion)
				return err
			})
			return version, failed
		},
		Delete: func(ctx context.Context, key string, ifVersion uint64) error {
			return f.around("delete", nil, func() error { return inner.Delete(ctx, key, ifVersion) })
		},
		List: inner.List,
	}
}

// exchange is the service: it may not be reached, run and drop its answer, or
// run late.
func (f *fleet) exchange(c dispatch.Call) (reply dispatch.Reply, err error) {
	run := func() error {
		f.ranRequest[c.RequestID]++
		f.ranKey[c.IdempotencyKey]++
		f.answers[c.IdempotencyKey] = "done by " + c.RequestID
		reply = dispatch.Reply{Status: 200, Body: []byte(f.answers[c.IdempotencyKey])}
		return nil
	}
	err = f.around("service", &c, run)
	if objectstore.ErrThrottled.Has(err) {
		return dispatch.Reply{}, dispatch.ErrNotSent.New("dial")
	}
	return reply, err
}

// send gives one call to an instance, which may be killed while it serves it.
func (f *fleet) send(instance int, key string) {
	f.requests++
	f.deliver(instance, dispatch.Call{
		RequestID: fmt.Sprint("r", f.requests), Team: "sombat", Service: "posting", Method: "POST", Path: "/",
		Body: []byte(key), IdempotencyKey: key, Deadline: f.now.Add(30 * time.Second),
	})
}

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
	told := outcome{reply: reply}
	if err != nil && !errors.As(err, &told.err) {
		f.t.Fatalf("%s: error %v is no refusal", c.RequestID, err)
	}
	f.outcomes[c.RequestID] = told
	if told.err == nil && string(reply.Body) != f.answers[key] {
		f.t.Fatalf("%s: got %q, the service said %q", c.RequestID, reply.Body, f.answers[key])
	}
	if told.err != nil && told.err.NotRun && told.err.Code == refusal.CodeMayHaveRun {
		f.t.Fatalf("%s: %v says not run", c.RequestID, told.err)
	}
}

func (f *fleet) check() {
	for key, n := range f.ranKey {
		if n > 1 {
			f.t.Fatalf("key %s ran %d times", key, n)
		}
	}
	for id, o := range f.outcomes {
		if n := f.ranRequest[id]; o.err != nil && o.err.NotRun && n != 0 {
			f.t.Fatalf("request %s ran %d times and was told not run: %v", id, n, o.err)
		}
	}
}

// guarded runs background work of an instance, which may be killed in it.
func (f *fleet) guarded(instance int, work func(s *dispatch.Sender)) {
	defer func() {
		if p := recover(); p == any(killed{}) {
			f.instances[instance] = f.instance()
		} else if p != nil {
			panic(p)
		}
	}()
	work(f.instances[instance])
}

func TestACallThatMayNotBeRepeatedRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				f.t = t
				f.send(rapid.IntRange(0, 2).Draw(t, "instance"), fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key")))
			},
			"settle": func(t *rapid.T) {
				f.t = t
				f.guarded(rapid.IntRange(0, 2).Draw(t, "instance"), func(s *dispatch.Sender) { s.SettleWaiting(context.Background()) })
			},
			"late write arrives": func(t *rapid.T) {
				f.t = t
				if len(f.delayed) == 0 {
					t.Skip("none")
				}
				i := rapid.IntRange(0, len(f.delayed)-1).Draw(t, "which")
				arrive := f.delayed[i]
				f.delayed = append(f.delayed[:i], f.delayed[i+1:]...)
				arrive()
			},
			"": func(*rapid.T) { f.check() },
		})
		f.healthy = true
		for i := range f.instances {
			f.send(i, fmt.Sprint("k", i))
			f.send(i, fmt.Sprint("fresh", i))
			if n := f.ranKey[fmt.Sprint("fresh", i)]; n != 1 {
				t.Fatalf("a call with nothing in its way ran %d times", n)
			}
		}
		f.check()
	})
}

func TestARequestDeliveredTwiceRunsOnce(t *testing.T) {
	f := newFleet(nil)
	f.healthy = true
	f.send(0, "k0")
	f.deliver(1, dispatch.Call{
		RequestID: "r1", Team: "sombat", Service: "posting", Method: "POST", Path: "/",
		Body: []byte("k0"), IdempotencyKey: "k0", Deadline: f.now.Add(30 * time.Second),
	})
	if n := f.ranKey["k0"]; n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

func TestARetryGetsTheKeptAnswer(t *testing.T) {
	f := newFleet(nil)
	f.healthy = true
	f.send(0, "k0")
	f.send(1, "k0")
	if o := f.outcomes["r2"]; !o.reply.Replayed || string(o.reply.Body) != "done by r1" {
		t.Errorf("outcome = %+v", o)
	}
}

func TestSweepDeletesOnlyWhatIsPastRetention(t *testing.T) {
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
