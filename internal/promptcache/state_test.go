package promptcache_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/promptcache"
)

var adapter = deployment.AdapterName{Model: "base", Adapter: "a1"}

// observed is a state, one engine as a candidate, and a clock.
type observed struct {
	*promptcache.State
	engine placement.Candidate
	now    time.Time
}

// observe returns an empty state with an engine that holds the adapter.
func observe(capacity int) *observed {
	o := &observed{now: time.Unix(1000, 0)}
	o.State = &promptcache.State{Now: func() time.Time { return o.now }}
	o.engine = placement.Candidate{
		Target:        deployment.Target{ID: "engine-1", Generation: 1},
		KVCacheTokens: capacity, HasModel: true,
		Resident: &placement.Resident{AdapterName: adapter, Version: 1},
	}
	return o
}

// cached returns the tokens that are expected on the engine for a prompt.
func (o *observed) cached(prompt promptcache.Prompt) int {
	candidates := []placement.Candidate{o.engine}
	o.Fill(&prompt, candidates)
	return candidates[0].CachedTokens
}

func (o *observed) start(prompt promptcache.Prompt) { o.RecordStart(&o.engine.Target, 1, &prompt) }

// run has the engine run a request for a second, with the tokens in flight.
func (o *observed) run(prompt promptcache.Prompt, tokens int) {
	o.engine.Use = inflight.Use{Requests: 1, Tokens: tokens}
	o.cached(prompt)
	o.start(prompt)
	o.now = o.now.Add(time.Second)
	o.RecordRun(time.Second)
	o.cached(prompt)
	o.engine.Use = inflight.Use{}
}

// prompt returns a prompt with parts of 100 tokens each.
func prompt(parts ...string) promptcache.Prompt {
	tokens := make([]int, len(parts))
	for i := range tokens {
		tokens[i] = 100
	}
	return promptcache.NewPrompt(adapter, parts, tokens)
}

// TestBeginningsAreHeldInOrder covers requests with some parts in common: a part counts only
// if all parts before it are held, and only for the same adapter.
func TestBeginningsAreHeldInOrder(t *testing.T) {
	o := observe(10_000)
	o.start(prompt("system", "tools", "session-1"))
	o.now = o.now.Add(time.Millisecond)
	other := promptcache.NewPrompt(deployment.AdapterName{Model: "base", Adapter: "a2"}, []string{"system", "x"}, []int{100, 100})
	for _, c := range []struct {
		name   string
		prompt promptcache.Prompt
		want   int
	}{
		{"the session again", prompt("system", "tools", "session-1"), 300},
		{"shared parts", prompt("system", "tools", "session-2"), 200},
		{"another second part", prompt("system", "other", "session-1"), 100},
		{"another first part", prompt("other", "tools", "session-1"), 0},
		{"another adapter", other, 0},
		{"no parts", prompt(), 0},
	} {
		if got := o.cached(c.prompt); got != c.want {
			t.Errorf("%s: %d tokens, want %d", c.name, got, c.want)
		}
	}
}

// TestLostCachesAreForgotten covers engines that lose what they held without saying so.
func TestLostCachesAreForgotten(t *testing.T) {
	p := prompt("system", "session-1")
	for name, lose := range map[string]func(o *observed){
		"restart":         func(o *observed) { o.engine.Generation = 2 },
		"adapter is gone": func(o *observed) { o.engine.Resident = nil },
		"adapter loaded anew": func(o *observed) {
			o.engine.Resident = &placement.Resident{AdapterName: adapter, Version: 1, ReadyAt: o.now}
		},
		"another version of it": func(o *observed) { o.engine.Resident = &placement.Resident{AdapterName: adapter, Version: 2} },
		"model reloaded": func(o *observed) {
			o.engine.HasModel = false
			o.cached(p)
			o.engine.HasModel = true
		},
		"a minute passed": func(o *observed) { o.now = o.now.Add(61 * time.Second) },
		"engine taken away": func(o *observed) {
			o.Retain(nil)
			o.engine.Generation = 2
		},
		"running requests take it up": func(o *observed) { o.engine.Tokens = 9_500 },
		"others filled it": func(o *observed) {
			o.engine.Tokens = 2000
			o.cached(p)
			o.now = o.now.Add(5 * time.Second)
			o.engine.Tokens = 2000
		},
	} {
		o := observe(10_000)
		o.start(p)
		o.now = o.now.Add(100 * time.Millisecond)
		if got := o.cached(p); got != 200 {
			t.Errorf("%s: %d tokens before it", name, got)
		}
		lose(o)
		if got := o.cached(p); got != 0 {
			t.Errorf("%s: %d tokens are still expected", name, got)
		}
	}
}

// TestExpectedTokensAreKept covers an engine of which this instance sees all requests, with
// restarts and loads in between: what is expected is kept by a plain cache that drops what was
// used least recently.
func TestExpectedTokensAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 2_000
		o, cache := observe(capacity), &lruCache{capacity: capacity}
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			parts := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 5).Draw(t, "parts")
			names, keys, tokens := make([]string, len(parts)), make([]string, len(parts)), make([]int, len(parts))
			for i, part := range parts {
				names[i], tokens[i] = fmt.Sprint(part), 100
				keys[i] = fmt.Sprint(parts[:i+1])
			}
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				o.engine.Generation++
				cache = &lruCache{capacity: capacity}
			case 1:
				o.engine.Resident = &placement.Resident{AdapterName: adapter, Version: 1, ReadyAt: o.now}
				cache = &lruCache{capacity: capacity}
			}
			o.now = o.now.Add(time.Millisecond)
			p := prompt(names...)
			if expected, held := o.cached(p), cache.held(keys, tokens); expected > held {
				t.Fatalf("%v: %d tokens expected, %d held", parts, expected, held)
			}
			running := 100*len(parts) + rapid.IntRange(0, 1200).Draw(t, "output")
			cache.read(keys, tokens, running)
			o.run(p, running)
		}
	})
}

// TestStateIsBounded covers callers that send prompts without end, each with other and very
// many parts.
func TestStateIsBounded(t *testing.T) {
	o := observe(1 << 30)
	before := heapBytes()
	for i := range 20_000 {
		parts, tokens := make([]string, 256), make([]int, 256)
		for j := range parts {
			parts[j], tokens[j] = fmt.Sprintf("%060d-%03d", i, j), 1
		}
		o.engine.ID = deployment.TargetID(fmt.Sprint("engine-", i%140))
		o.start(promptcache.NewPrompt(adapter, parts, tokens))
	}
	grown := int64(heapBytes()) - int64(before)
	t.Logf("%d beginnings, %d KB, %d evicted", o.Len(), grown>>10, o.Evictions.Load())
	if o.Len() > 4096 || grown > 2<<20 || o.Evictions.Load() == 0 {
		t.Errorf("%d beginnings in %d KB, %d evicted", o.Len(), grown>>10, o.Evictions.Load())
	}
	runtime.KeepAlive(o)
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkChoice measures the choice of an engine out of 140 that all hold the adapter, with
// a full state, and without regard to what engines hold.
func BenchmarkChoice(b *testing.B) {
	state := &promptcache.State{Now: time.Now}
	candidates := make([]placement.Candidate, 140)
	for i := range candidates {
		candidates[i] = placement.Candidate{
			Target:        deployment.Target{ID: deployment.TargetID(fmt.Sprint("i-", i, "-0123456789")), Zone: "zone", Generation: 1},
			KVCacheTokens: 129_000, Slots: 48, HasModel: true, Resident: &placement.Resident{AdapterName: adapter, Version: 1},
		}
	}
	for i := range 4096 {
		p := prompt("system", fmt.Sprint("tools-", i%64), fmt.Sprint("session-", i))
		state.RecordStart(&candidates[i%140].Target, 1, &p)
	}
	for _, cached := range []bool{true, false} {
		b.Run(fmt.Sprint("cached=", cached), func(b *testing.B) {
			for b.Loop() {
				request := placement.Request{Adapter: adapter, PromptTokens: 300, Tokens: 400, Zone: "zone", Random: func(n int) int { return n / 2 }}
				if cached {
					p := prompt("system", "tools-7", "session-new")
					hash, tokens := p.Shared()
					state.Fill(&p, candidates)
					request.Shared = &placement.SharedPrompt{Hash: hash, Tokens: tokens, Share: state.Share(&p)}
				}
				if _, ok := placement.Choose(request, candidates); !ok {
					b.Fatal("no engine")
				}
			}
		})
	}
}
