package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/load"
	"heatherrelay/internal/outlier"
)

// The estimates by which engines are compared.
const (
	// prefillTokensPerMS is what an engine reads of prompts beside its other work.
	prefillTokensPerMS = 12.0
	// requestDelay is what each request under way adds: it makes each step longer,
	// and an engine with many of them is sent further prompts before their number
	// is known here.
	requestDelay = 4 * time.Millisecond
	// fullDelay is what a full batch or a full memory adds.
	fullDelay = 2 * time.Second
	// probeDelay keeps requests from a target that failed lately.
	probeDelay = 250 * time.Millisecond
	// errorDelay weighs a target whose answers are all errors.
	errorDelay = time.Second
	// otherZoneDelay is a round trip between zones and the price of its bytes.
	otherZoneDelay = 8 * time.Millisecond
	// coldLoadDelay is the time of a load from the weight store, with the price that
	// it has; warmDelay is that of a load that the engine has near at hand.
	coldLoadDelay = 400 * time.Millisecond
	warmLoadDelay = 80 * time.Millisecond
	// minLoadGain is what a further copy of an adapter must gain besides its load: a
	// copy takes a place that another adapter needs.
	minLoadGain = 500 * time.Millisecond
	// copyWaitThreshold is how much longer than elsewhere a request may wait at the copies
	// of an adapter that is asked for more than they should carry.
	copyWaitThreshold = 40 * time.Millisecond
	// copiesHeadroom is how many more copies there may be than the demand asks for:
	// engines with a copy have other adapters too.
	copiesHeadroom = 1.25
	// preferredSlack is how much longer than elsewhere a request may wait at the
	// engine that hashing names: an engine that had the adapter loads it faster.
	preferredSlack = 150 * time.Millisecond
	// memoryReserve is the part of an engine's memory that is not counted on,
	// since outputs may be longer than announced.
	memoryReserve = 0.06
)

// Want is a request for which an engine is chosen.
type Want struct {
	Adapter deployment.AdapterName
	// Version is the least version of the adapter; zero is any.
	Version uint64
	Tokens  int
	Zone    string
	// Repeatable requests may be sent again when they fail.
	Repeatable bool
	// Copies is how many engines should hold the adapter by the demand for it.
	Copies float64
	// Random returns a number from 0 to n-1; nil compares all copies.
	Random func(n int) int
	Now    time.Time
}

// Candidate is an engine as the choice sees it.
type Candidate struct {
	deployment.Target
	load.Use
	Health     outlier.Health
	ErrorShare float64
	// Slots and Memory bound the requests and their tokens.
	Slots  int
	Memory int
	// HasModel says that the base model is there.
	HasModel bool
	// Resident is the adapter on the engine; nil when it is not there.
	Resident *Resident
	// Orderable says that adapters can be loaded at present.
	Orderable bool
	// Warm says that the engine held the adapter lately.
	Warm bool
	// ColdWait is the expected wait for the weight store.
	ColdWait time.Duration
}

// loadDelay estimates the time until the adapter is there.
func (c *Candidate) loadDelay() time.Duration {
	if c.Warm {
		return warmLoadDelay
	}
	return coldLoadDelay + c.ColdWait
}

// Choice is the engine that a request should go to.
type Choice struct {
	Index int
	// NeedsLoad says that the adapter has to be loaded first.
	NeedsLoad bool
	// Delay is the expected time to the request's start.
	Delay time.Duration
	// Full says that the engine has no room for the request now.
	Full bool
	// Copy is the engine that should load a further copy of the adapter, for later
	// requests; -1 is none.
	Copy int
}

// Choose returns the engine for a request: the one with the adapter where it
// starts soonest, or one that loads it first if that is much sooner. Without a
// copy, rendezvous hashing names the engine, so that all instances choose alike
// and the engine is one that held the adapter before. Ejected engines are used
// only when there is no other.
func Choose(request Want, candidates []Candidate) (Choice, bool) {
	if choice, ok := choose(request, candidates, outlier.Probing); ok {
		return choice, true
	}
	return choose(request, candidates, outlier.Ejected)
}

func choose(request Want, candidates []Candidate, worstHealth outlier.Health) (Choice, bool) {
	copies := findCopies(request, candidates, worstHealth)
	preferred, hasPreferred := choosePreferred(request, candidates, worstHealth)
	if len(copies) == 0 {
		return preferred, hasPreferred
	}
	best := soonest(request, copies)
	if !hasPreferred {
		return best, true
	}
	if best.Delay > preferred.Delay+minLoadGain {
		return preferred, true
	}
	withoutLoad := preferred.Delay - candidates[preferred.Index].loadDelay()
	if float64(len(copies)) < request.Copies*copiesHeadroom && best.Delay > withoutLoad+copyWaitThreshold {
		best.Copy = preferred.Index
	}
	return best, true
}

// findCopies returns the engines that have the adapter or soon will.
func findCopies(request Want, candidates []Candidate, worstHealth outlier.Health) []Choice {
	var copies []Choice
	for i := range candidates {
		c := &candidates[i]
		if c.Health > worstHealth || !c.HasModel || !c.canServe(request) {
			continue
		}
		delay := c.delay(request)
		if r := c.Resident; r != nil && r.ReadyAt.After(request.Now) {
			delay += r.ReadyAt.Sub(request.Now)
		}
		copies = append(copies, Choice{Index: i, Delay: delay, Full: c.full(request), Copy: -1})
	}
	return copies
}

// soonest returns the copy where the request starts soonest, of two that are
// drawn if there are more: what is under way is known late, and all instances
// would send to the same engine until they hear of each other's requests.
func soonest(request Want, copies []Choice) Choice {
	if n := len(copies); n > 2 && request.Random != nil {
		i, j := request.Random(n), request.Random(n-1)
		if j >= i {
			j++
		}
		if sampled := sooner(copies[i], copies[j]); !sampled.Full {
			return sampled
		}
	}
	best := copies[0]
	for _, c := range copies[1:] {
		best = sooner(best, c)
	}
	return best
}

func sooner(a, b Choice) Choice {
	if b.Delay < a.Delay {
		return b
	}
	return a
}

// canServe says that the engine can run the request as it is.
func (c *Candidate) canServe(request Want) bool {
	if request.Adapter.Adapter == "" {
		return true
	}
	return c.Resident != nil && c.Resident.Version >= request.Version
}

// choosePreferred returns the engine that should load the adapter: of those that are
// not busier than the mean, the one that hashing names.
func choosePreferred(request Want, candidates []Candidate, worstHealth outlier.Health) (Choice, bool) {
	if request.Adapter.Adapter == "" {
		return Choice{}, false
	}
	eligible := func(c *Candidate) bool {
		// An older version in place would have to be replaced, and may be in use.
		return c.Health <= worstHealth && c.HasModel && c.Orderable && c.Resident == nil
	}
	minDelay, requests, engines := time.Duration(-1), 0, 0
	for i := range candidates {
		if c := &candidates[i]; eligible(c) {
			requests, engines = requests+c.Requests, engines+1
			if delay := c.delay(request) + c.loadDelay(); minDelay < 0 || delay < minDelay {
				minDelay = delay
			}
		}
	}
	if engines == 0 {
		return Choice{}, false
	}
	notBusy := func(c *Candidate) bool {
		return eligible(c) && (c.Warm || c.Requests*engines <= requests+engines)
	}
	maxDelay := minDelay + preferredSlack
	if preferred, ok := hashPreferred(request, candidates, maxDelay, notBusy); ok {
		return preferred, true
	}
	return hashPreferred(request, candidates, maxDelay, eligible)
}

// hashPreferred returns the engine that hashing names of those that a filter accepts
// and that have the adapter ready in time.
func hashPreferred(request Want, candidates []Candidate, maxDelay time.Duration, filter func(*Candidate) bool) (Choice, bool) {
	adapterHash := xxhash.Sum64String(request.Adapter.Model + "/" + request.Adapter.Adapter)
	best, bestScore, found := Choice{NeedsLoad: true, Copy: -1}, uint64(0), false
	for i := range candidates {
		c := &candidates[i]
		if !filter(c) {
			continue
		}
		delay := c.delay(request) + c.loadDelay()
		if delay > maxDelay {
			continue
		}
		if score := rendezvousScore(adapterHash, string(c.ID)); !found || score > bestScore {
			best.Index, best.Delay, best.Full = i, delay, c.full(request)
			bestScore, found = score, true
		}
	}
	return best, found
}

// rendezvousScore mixes two names into a score.
func rendezvousScore(adapterHash uint64, target string) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(adapterHash >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(target)
	return d.Sum64()
}

// full says that the engine has no room for the request now.
func (c *Candidate) full(request Want) bool {
	usableMemory := float64(c.Memory) * (1 - memoryReserve)
	return c.Slots > 0 && c.Requests >= c.Slots ||
		c.Memory > 0 && c.Requests > 0 && float64(c.Tokens+request.Tokens) > usableMemory
}

// delay estimates when the engine starts the request.
func (c *Candidate) delay(request Want) time.Duration {
	delay := time.Duration(float64(c.WaitingTokens)/prefillTokensPerMS*float64(time.Millisecond)) +
		time.Duration(c.Requests)*requestDelay +
		time.Duration(c.ErrorShare*float64(errorDelay))
	if c.full(request) {
		delay += fullDelay
	}
	if c.Health == outlier.Probing {
		delay += probeDelay
		if !request.Repeatable {
			delay += fullDelay
		}
	}
	if c.Zone != request.Zone {
		delay += otherZoneDelay
	}
	return delay
}

// ChoosePlain returns the target of a plain service that has the most room, a
// sound one of the own zone if it is as good.
func ChoosePlain(candidates []Candidate, zone string, repeatable bool) (int, bool) {
	request := Want{Zone: zone, Repeatable: repeatable}
	for _, worstHealth := range []outlier.Health{outlier.Probing, outlier.Ejected} {
		best, bestDelay := -1, time.Duration(0)
		for i := range candidates {
			c := &candidates[i]
			if c.Health > worstHealth {
				continue
			}
			delay := c.delay(request) + time.Duration(c.Requests)*plainRequestTime/time.Duration(max(c.Slots, 1))
			if best < 0 || delay < bestDelay {
				best, bestDelay = i, delay
			}
		}
		if best >= 0 {
			return best, true
		}
	}
	return -1, false
}

// plainRequestTime is about the time that a request of a plain service takes.
const plainRequestTime = 60 * time.Millisecond
