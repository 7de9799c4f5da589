package promptcache_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/promptcache"
)

// policy is what engines of a simulated fleet are chosen by.
type policy string

const (
	noCache   policy = "no cache"
	product   policy = "own knowledge and homes"
	allCaches policy = "all caches known"
)

// The simulated engines and requests: each request has a first part out of a few, a second
// one out of some tens, and one of its own.
const (
	engines       = 60
	cacheTokens   = 129_000
	tokensPerMS   = 25.8
	useDelay      = 200 * time.Millisecond
	decodeTime    = 700 * time.Millisecond
	outputTokens  = 80
	warmUp        = 20 * time.Second
	adapterPlaces = 900

	requestsPerSecond = 386
)

var partTokens = []int{200, 150, 1110}

// fleet simulates instances that share engines, without a network: what an instance knows of
// the requests of others is useDelay old.
type fleet struct {
	policy  policy
	random  *rand.Rand
	now     time.Time
	pending events
	states  []*promptcache.State
	caches  []*lruCache
	targets []placement.Candidate
	// uses is the truth, seen what instances know; freeAt is when an engine has prefilled
	// all prompts so far.
	uses, seen []inflight.Use
	// own is what each instance has in flight, ownSeen what of it is counted in seen.
	own, ownSeen [][]inflight.Use
	seenAt       time.Time
	// silent has instances hear nothing of each other's requests any more.
	silent bool
	freeAt []time.Time

	sharedTokens, keptTokens, expected, wrong float64
	delays                                    []time.Duration
	served                                    []int
}

func newFleet(p policy, instances int) *fleet {
	f := &fleet{policy: p, random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0)}
	f.uses, f.seen, f.freeAt, f.served = make([]inflight.Use, engines), make([]inflight.Use, engines), make([]time.Time, engines), make([]int, engines)
	for i := range engines {
		f.caches = append(f.caches, &lruCache{capacity: cacheTokens})
		f.targets = append(f.targets, placement.Candidate{
			Target: deployment.Target{ID: deployment.TargetID(fmt.Sprint("engine-", i)), Zone: "zone", Generation: 1},
			Slots:  48, KVCacheTokens: cacheTokens, HasModel: true,
		})
	}
	for range instances {
		f.own, f.ownSeen = append(f.own, make([]inflight.Use, engines)), append(f.ownSeen, make([]inflight.Use, engines))
		f.states = append(f.states, &promptcache.State{Now: func() time.Time { return f.now }})
	}
	return f
}

// run simulates Poisson arrivals; ranks returns the ranks of an adapter, of a first
// and of a second part.
func (f *fleet) run(duration time.Duration, ranks func(*rand.Rand) [3]int) {
	end := f.now.Add(duration)
	for f.now.Before(end) {
		next := f.now.Add(time.Duration(f.random.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		for len(f.pending) > 0 && f.pending[0].at.Before(next) {
			e := heap.Pop(&f.pending).(event)
			f.now = e.at
			e.do()
		}
		f.now = next
		f.request(ranks(f.random))
	}
}

// request sends a request through a random instance.
func (f *fleet) request(ranks [3]int) {
	if !f.silent && f.now.Sub(f.seenAt) > useDelay {
		copy(f.seen, f.uses)
		for i := range f.own {
			copy(f.ownSeen[i], f.own[i])
		}
		f.seenAt = f.now
	}
	name := deployment.AdapterName{Model: "base", Adapter: fmt.Sprint("a", ranks[0])}
	parts := []string{fmt.Sprint("first-", ranks[1]), fmt.Sprint("second-", ranks[1], "-", ranks[2]), fmt.Sprint("own-", f.random.Uint64())}
	instance := f.random.IntN(len(f.states))
	prompt, state := promptcache.NewPrompt(name, parts, partTokens), f.states[instance]
	keys := []string{name.Adapter + parts[0], name.Adapter + parts[0] + parts[1], parts[2]}
	candidates := f.candidates(instance, name, ranks[0])
	request := placement.Request{Adapter: name, Tokens: 1460 + outputTokens, PromptTokens: 1460, Zone: "zone", Random: f.random.IntN, Now: f.now}
	if f.policy != noCache {
		hash, tokens := prompt.Shared()
		request.Shared = &placement.SharedPrompt{Hash: hash, Tokens: tokens, Share: state.Share(&prompt)}
	}
	switch f.policy {
	case product:
		state.Fill(&prompt, candidates)
	case allCaches:
		f.fillFromCaches(candidates, keys)
	}
	choice, ok := placement.Choose(request, candidates)
	if !ok {
		panic("no engine")
	}
	f.send(choice.Index, candidates[choice.Index], instance, &prompt, keys)
}

// fillFromCaches sets the cached tokens of two random ones of the engines that hold most.
func (f *fleet) fillFromCaches(candidates []placement.Candidate, keys []string) {
	held := func(i int) int { return f.caches[i].held(keys, partTokens) }
	order := slices.DeleteFunc(f.random.Perm(engines), func(i int) bool { return candidates[i].Resident == nil })
	slices.SortStableFunc(order, func(a, b int) int { return held(b) - held(a) })
	for _, i := range order[:min(2, len(order))] {
		candidates[i].CachedTokens = held(i)
	}
}

// candidates returns the engines, of which as many as its share calls for hold an adapter.
func (f *fleet) candidates(instance int, name deployment.AdapterName, rank int) []placement.Candidate {
	candidates := slices.Clone(f.targets)
	for i := range candidates {
		candidates[i].Use = f.seen[i]
		own, seen := f.own[instance][i], f.ownSeen[instance][i]
		candidates[i].Add(inflight.Use{Requests: own.Requests - seen.Requests, WaitingTokens: own.WaitingTokens - seen.WaitingTokens, Tokens: own.Tokens - seen.Tokens})
	}
	for i := range max(1, int(2.5*engines*adapterShare(rank)+0.5)) {
		candidates[(rank*7+i)%engines].Resident = &placement.Resident{AdapterName: name, Version: 1}
	}
	return candidates
}

// restart empties the engines from the first one up to a number.
func (f *fleet) restart(n int) {
	for i := range n {
		f.caches[i] = &lruCache{capacity: cacheTokens}
		f.targets[i].Generation++
	}
}

// send has an engine read the prompt once it is free, and run the request.
func (f *fleet) send(i int, c placement.Candidate, instance int, prompt *promptcache.Prompt, keys []string) {
	kept := f.caches[i].held(keys, partTokens)
	if f.now.Sub(time.Unix(1000, 0)) > warmUp {
		f.sharedTokens, f.keptTokens = f.sharedTokens+350, f.keptTokens+float64(kept)
		f.expected, f.wrong = f.expected+float64(c.CachedTokens), f.wrong+float64(max(c.CachedTokens-kept, 0))
	}
	f.served[i]++
	state, use, own := f.states[instance], &f.uses[i], &f.own[instance][i]
	add := func(u inflight.Use) { use.Add(u); own.Add(u) }
	add(inflight.Use{Requests: 1, WaitingTokens: 1460, Tokens: 1460 + outputTokens})
	sentAt, start := f.now, f.now
	if f.freeAt[i].After(start) {
		start = f.freeAt[i]
	}
	start = start.Add(time.Duration(float64(1460-kept) / tokensPerMS * float64(time.Millisecond)))
	f.freeAt[i] = start
	f.caches[i].read(keys, partTokens, f.uses[i].Tokens)
	heap.Push(&f.pending, event{start, func() {
		add(inflight.Use{WaitingTokens: -1460})
		f.delays = append(f.delays, f.now.Sub(sentAt))
		state.RecordStart(&c.Target, 1, prompt)
	}})
	heap.Push(&f.pending, event{start.Add(decodeTime), func() {
		add(inflight.Use{Requests: -1, Tokens: -1460 - outputTokens})
		state.RecordRun(f.now.Sub(sentAt))
	}})
}

// hitRate returns the share of the shared tokens that engines still held.
func (f *fleet) hitRate() float64 { return f.keptTokens / f.sharedTokens }

// meanDelay returns the mean of the delays until requests began.
func (f *fleet) meanDelay() time.Duration {
	sum := time.Duration(0)
	for _, d := range f.delays {
		sum += d
	}
	return sum / time.Duration(len(f.delays))
}

// lateStart returns the 99th percentile of the delays until requests began.
func (f *fleet) lateStart() time.Duration {
	sort.Slice(f.delays, func(i, j int) bool { return f.delays[i] < f.delays[j] })
	return f.delays[len(f.delays)*99/100]
}

// skewed returns a rank below n, of which low ones are frequent.
func skewed(r *rand.Rand, n int) int {
	return min(int(math.Exp(r.Float64()*math.Log(float64(n+1))))-1, n-1)
}

// adapterShare returns the share of the requests of the adapter of a rank.
func adapterShare(rank int) float64 {
	return math.Log(float64(rank+2)/float64(rank+1)) / math.Log(adapterPlaces+1)
}

// usualRanks draws from the adapters, 7 first parts and 30 second parts of each.
func usualRanks(r *rand.Rand) [3]int {
	return [3]int{skewed(r, adapterPlaces), skewed(r, 7), skewed(r, 30)}
}

// event happens at a time; events are ordered by it.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// TestSavedTokensBesideAnOracle compares, for 66 and 300 instances with skewed adapters, how
// many of the shared tokens are found kept with what the instances know, and with all caches
// known.
func TestSavedTokensBesideAnOracle(t *testing.T) {
	for _, instances := range []int{66, 300} {
		rate, late := map[policy]float64{}, map[policy]time.Duration{}
		for _, p := range []policy{noCache, product, allCaches} {
			f := newFleet(p, instances)
			f.run(60*time.Second, usualRanks)
			rate[p], late[p] = f.hitRate(), f.lateStart()
			t.Logf("%d instances, %s: %.3f of the shared tokens kept, expected %.3f, of that wrong %.3f; start mean %s p99 %s; busiest engine %.2f of the mean",
				instances, p, rate[p], f.expected/f.sharedTokens, f.wrong/max(f.expected, 1), f.meanDelay(), late[p], float64(slices.Max(f.served))*engines/float64(len(f.delays)))
		}
		ratio := (rate[product] - rate[noCache]) / (rate[allCaches] - rate[noCache])
		t.Logf("%d instances: %.2f of what an oracle gains", instances, ratio)
		if ratio < 0.6 || late[product] > late[noCache]*21/20 {
			t.Errorf("%d instances: %.2f of the gain of an oracle, p99 of the start %s, without the caches %s", instances, ratio, late[product], late[noCache])
		}
	}
}

// TestSilenceAndRestartsCostNoMore covers ten seconds in which instances hear nothing of each
// other, and then the restart of half of the engines: requests start as soon as without
// regard to the caches, and little is expected that is not held.
func TestSilenceAndRestartsCostNoMore(t *testing.T) {
	late := map[policy]time.Duration{}
	for _, p := range []policy{noCache, product} {
		f := newFleet(p, 8)
		f.run(25*time.Second, usualRanks)
		f.silent, f.delays = true, nil
		f.run(10*time.Second, usualRanks)
		silence := f.lateStart()
		f.silent, f.delays = false, nil
		f.restart(engines / 2)
		f.run(10*time.Second, usualRanks)
		late[p] = max(silence, f.lateStart())
		t.Logf("%s: p99 of the start %s in silence, %s after restarts; %.3f kept, expected %.3f, of that wrong %.3f", p, silence, f.lateStart(), f.hitRate(), f.expected/f.sharedTokens, f.wrong/max(f.expected, 1))
		if f.wrong > 0.1*f.expected {
			t.Errorf("%s: %.0f of %.0f expected tokens were not held", p, f.wrong, f.expected)
		}
	}
	if late[product] > late[noCache]*11/10 {
		t.Errorf("p99 of the start %s, without regard to the caches %s", late[product], late[noCache])
	}
}

// TestHotPartIsSpread covers a beginning that a third of all requests share, for an adapter
// that as many engines hold: no engine gets far more than the others.
func TestHotPartIsSpread(t *testing.T) {
	hot := func(r *rand.Rand) [3]int {
		if r.IntN(3) == 0 {
			return [3]int{0, 0, 0}
		}
		return usualRanks(r)
	}
	late := map[policy]time.Duration{}
	for _, p := range []policy{noCache, product} {
		f := newFleet(p, 66)
		f.run(40*time.Second, hot)
		late[p] = f.lateStart()
		busiest := float64(slices.Max(f.served)) * engines / float64(len(f.delays))
		t.Logf("%s: p99 of the start %s, busiest engine %.2f of the mean, %.3f kept", p, late[p], busiest, f.hitRate())
	}
	if late[product] > late[noCache]*11/10 {
		t.Errorf("p99 of the start %s, without regard to the caches %s", late[product], late[noCache])
	}
}
