package speed_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/inflight"
	"heatherrelay/internal/placement"
	"heatherrelay/internal/speed"
)

// kind is a kind of streams.
type kind struct {
	prompt, events int
	objective      time.Duration
	// share of all streams
	share float64
}

var streamKinds = []kind{
	{prompt: 1460, events: 43, objective: time.Second, share: 0.64},
	{prompt: 646, events: 17, objective: 800 * time.Millisecond, share: 0.36},
}

const (
	gapObjective = 300 * time.Millisecond
	// countsAge is how old the counts of other instances' requests become.
	countsAge = 150 * time.Millisecond
	// perEngine is how many streams a second an engine gets on average.
	perEngine = 6.4
)

// engine is a simulated engine with continuous batching: a step makes a token of each stream,
// and prefills the prompts that wait.
type engine struct {
	deployment.Target
	factor  float64
	down    bool
	stepEnd time.Time
	waiting []*stream
	running []*stream
}

// stream is a request at an engine.
type stream struct {
	kind
	member         *member
	nominal        speed.Load
	sentAt, lastAt time.Time
	tokens         int
	worstPause     time.Duration
	// counted is set when the stream has time to end.
	counted bool
	// events and since are those of the sample under way.
	events int
	since  time.Time
}

// chooser is how requests choose an engine.
type chooser int

const (
	unweighed chooser = iota
	learned
	oracle
)

// day is a simulated fleet under load.
type day struct {
	*members
	chooser
	engines []*engine
	counts  []inflight.Use
	// sent holds what each instance sent since the counts were taken.
	sent      map[*member]map[int]inflight.Use
	countedAt time.Time
	start     time.Time
	// zone returns the zone whose instances get a client's request.
	zone func(at time.Duration) int
	// happens changes the engines as time goes by.
	happens func(d *day, at time.Duration)
	// garbled is the share of samples that are nonsense.
	garbled float64
	// until is the time from which streams are not counted: they may not end in time.
	until            time.Duration
	inTime, requests int
	busiest          int
}

func newDay(c chooser, instances, engines int) *day {
	d := &day{chooser: c, sent: map[*member]map[int]inflight.Use{}, counts: make([]inflight.Use, engines)}
	factors := []float64{0.6, 1, 1, 1.6}
	var targets []deployment.Target
	for i := range engines {
		e := &engine{factor: factors[i/zones%len(factors)]}
		e.ID, e.Service, e.Zone, e.Generation = deployment.TargetID(fmt.Sprint("engine-", i)), "models", fmt.Sprint("zone-", i%zones), 1
		d.engines, targets = append(d.engines, e), append(targets, e.Target)
	}
	d.members = newMembers(instances, targets)
	d.start, d.countedAt = d.now, d.now
	d.zone = func(time.Duration) int { return d.random.IntN(zones) }
	d.happens = func(*day, time.Duration) {}
	return d
}

// run lets requests come for a time, in steps of a millisecond.
func (d *day) run(length time.Duration) {
	due := 0.0
	d.until = length - 3*time.Second
	for at := time.Duration(0); at < length; at += time.Millisecond {
		if at%(100*time.Millisecond) == 0 {
			d.tick()
			d.now = d.now.Add(-100 * time.Millisecond)
		}
		d.now = d.start.Add(at)
		d.happens(d, at)
		if d.now.Sub(d.countedAt) >= countsAge {
			d.takeCounts()
		}
		for due += perEngine * float64(len(d.engines)) / 1000; due >= 1; due-- {
			d.arrive(at)
		}
		for _, e := range d.engines {
			if !e.down && !d.now.Before(e.stepEnd) {
				d.step(e)
			}
		}
	}
}

func (d *day) takeCounts() {
	d.countedAt, d.sent = d.now, map[*member]map[int]inflight.Use{}
	for i, e := range d.engines {
		d.counts[i] = inflight.Use{Requests: len(e.waiting) + len(e.running)}
		for _, s := range e.waiting {
			d.counts[i].WaitingTokens += s.prompt
		}
	}
}

// arrive has an instance choose an engine for a request.
func (d *day) arrive(at time.Duration) {
	zone := d.zone(at)
	m := d.all[zone+zones*d.random.IntN(len(d.all)/zones)]
	k := streamKinds[0]
	if d.random.Float64() > k.share {
		k = streamKinds[1]
	}
	k.prompt = int(float64(k.prompt) * math.Exp(d.random.NormFloat64()/2))
	request := placement.Request{
		PromptTokens: k.prompt, Tokens: k.prompt, Zone: m.Zone, Objective: k.objective, GapObjective: gapObjective,
		Now: d.now, Random: d.random.IntN, WeighSpeeds: d.chooser != unweighed,
	}
	candidates, index := d.candidates(m)
	view := m.book.View("models")
	for i := range candidates {
		switch d.chooser {
		case oracle:
			candidates[i].Speed = placement.ScaledSpeed(0.6, d.engines[index[i]].factor)
			candidates[i].Speed.EventInterval = time.Duration(4 * (8.2 + 0.1*float64(candidates[i].Requests)) * d.engines[index[i]].factor * float64(time.Millisecond))
		case learned:
			candidates[i].Speed = speedOf(view, &candidates[i], &request)
		}
	}
	counted := at < d.until
	if counted {
		d.requests++
	}
	choice, ok := placement.Choose(request, candidates)
	if !ok {
		return
	}
	i := index[choice.Index]
	if d.sent[m] == nil {
		d.sent[m] = map[int]inflight.Use{}
	}
	sent := d.sent[m][i]
	sent.Add(inflight.Use{Requests: 1, WaitingTokens: k.prompt})
	d.sent[m][i] = sent
	c := candidates[choice.Index]
	e := d.engines[i]
	e.waiting = append(e.waiting, &stream{kind: k, counted: counted, member: m, sentAt: d.now, lastAt: d.now, since: d.now, nominal: startLoad(&c, &request)})
	d.busiest = max(d.busiest, len(e.waiting)+len(e.running))
}

// candidates returns the engines as an instance knows them.
func (d *day) candidates(m *member) (candidates []placement.Candidate, index []int) {
	candidates, index = make([]placement.Candidate, 0, len(d.engines)), make([]int, 0, len(d.engines))
	for i, e := range d.engines {
		if e.down {
			continue
		}
		c := placement.Candidate{Target: e.Target, Use: d.counts[i], Slots: 48, HasModel: true}
		c.Add(d.sent[m][i])
		candidates, index = append(candidates, c), append(index, i)
	}
	return candidates, index
}

// startLoad and speedOf do what the gateway does.
func startLoad(c *placement.Candidate, request *placement.Request) speed.Load {
	return speed.Load{Nominal: placement.NominalStart(c.WaitingTokens+request.PromptTokens, c.Requests), Requests: c.Requests}
}

func speedOf(view *speed.View, c *placement.Candidate, request *placement.Request) placement.Speed {
	factor, scale := view.Of(&c.Target).Factor(), 1.0
	load := startLoad(c, request)
	if usual, ok := view.Usual(speed.Start, load); ok {
		scale = float64(usual) / float64(load.Nominal)
	}
	s := placement.ScaledSpeed(scale, factor)
	if interval, ok := view.Usual(speed.Event, speed.Load{Nominal: time.Second, Requests: c.Requests + 1}); ok {
		s.EventInterval = time.Duration(float64(interval) * factor)
	}
	return s
}

// step ends a step of an engine and begins the next one.
func (d *day) step(e *engine) {
	for _, s := range e.running {
		if s.tokens++; s.tokens%4 == 0 {
			d.event(e, s)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool { return s.tokens >= 4*s.kind.events })
	took := 8.2 + 0.1*float64(len(e.running))
	for len(e.waiting) > 0 && len(e.running) < 48 {
		took += float64(e.waiting[0].prompt) / 25.8
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	e.stepEnd = d.now.Add(time.Duration(took * e.factor * float64(time.Millisecond)))
}

// event is an event of a stream, of which its instance learns.
func (d *day) event(e *engine, s *stream) {
	pause := d.now.Sub(s.lastAt)
	s.lastAt = d.now
	if s.tokens == 4 {
		s.since = d.now
		if pause <= s.objective {
			s.worstPause = 0
		} else {
			s.worstPause = time.Hour
		}
		d.observe(e, s, speed.Start, s.nominal, pause)
		return
	}
	s.worstPause = max(s.worstPause, pause)
	if s.counted && s.tokens == 4*s.kind.events && s.worstPause <= gapObjective {
		d.inTime++
	}
	s.events++
	if took := d.now.Sub(s.since); s.events >= 8 || took >= 200*time.Millisecond {
		i := slices.Index(d.engines, e)
		load := speed.Load{Nominal: time.Second, Requests: d.counts[i].Requests}
		d.observe(e, s, speed.Event, load, took/time.Duration(s.events))
		s.events, s.since = 0, d.now
	}
}

func (d *day) observe(e *engine, s *stream, k speed.Kind, l speed.Load, took time.Duration) {
	if d.random.Float64() < d.garbled {
		took = time.Duration(1 + d.random.Int64N(int64(time.Minute)))
	}
	if d.chooser == learned {
		s.member.book.Observe(e.Target, k, l, took)
	}
}

// days is the number of seeds of each load with 66 instances, a third of which is played with
// 300.
var days = flag.Int("days", 2, "seeds of each simulated load")

// scenario is a load and what happens to the engines.
type scenario struct {
	name    string
	zone    func(d *day) func(at time.Duration) int
	happens func(d *day, at time.Duration)
	garbled float64
	// large scenarios are played with 300 instances too.
	large bool
}

// anyZone has clients in all zones alike.
func anyZone(d *day) func(time.Duration) int {
	return func(time.Duration) int { return d.random.IntN(zones) }
}

// scenarios are the loads that the choice by speeds answers. The first 6 s are quiet.
var scenarios = []scenario{
	{name: "three speeds at full load", zone: anyZone},
	{name: "half of the fast ones gone", zone: anyZone, happens: func(d *day, at time.Duration) {
		for i, e := range d.engines {
			if at == 6*time.Second && e.factor < 1 && i%2 == 0 {
				e.down, e.waiting, e.running = true, nil, nil
			}
		}
	}},
	{name: "a wave that turns within 13 s", zone: func(d *day) func(time.Duration) int {
		return func(at time.Duration) int {
			if d.random.Float64() < 0.4 {
				return int(at/(13*time.Second/zones)) % zones
			}
			return d.random.IntN(zones)
		}
	}},
	{name: "all clients move to one zone", zone: func(d *day) func(time.Duration) int {
		return func(at time.Duration) int {
			if at > 6*time.Second {
				return 0
			}
			return d.random.IntN(zones)
		}
	}},
	{name: "a target five times slower for 6 s", zone: anyZone, happens: func(d *day, at time.Duration) {
		switch at {
		case 6 * time.Second:
			d.engines[4].factor *= 5
		case 12 * time.Second:
			d.engines[4].factor /= 5
		}
	}},
	{name: "15% of the targets six times slower for 6 s", zone: anyZone, large: true, happens: func(d *day, at time.Duration) {
		for i, e := range d.engines {
			switch {
			case i%7 == 0 && at == 6*time.Second:
				e.factor *= 6
			case i%7 == 0 && at == 12*time.Second:
				e.factor /= 6
			}
		}
	}},
	{name: "garbled samples", zone: anyZone, garbled: 0.05},
}

// TestLoadFollowsSpeed plays each load with targets that are taken as alike, with speeds that
// are learned, and with an oracle that knows them all at any moment. What is learned must be
// worth nearly as much as what the oracle knows, with two fifths of its gain at least, and no
// engine may get more than it has slots.
func TestLoadFollowsSpeed(t *testing.T) {
	for _, size := range []struct{ instances, engines, days int }{{66, 60, *days}, {300, 276, *days / 3}} {
		for _, sc := range scenarios {
			length := 16 * time.Second
			if size.instances > 66 {
				if length = 11 * time.Second; !sc.large || size.days == 0 {
					continue
				}
			}
			t.Run(fmt.Sprint(size.instances, " instances, ", sc.name), func(t *testing.T) {
				share := map[chooser]float64{}
				busiest := map[chooser]int{}
				for _, c := range []chooser{unweighed, learned, oracle} {
					for seed := range size.days {
						d := newDay(c, size.instances, size.engines)
						d.random = rand.New(rand.NewPCG(uint64(seed), 9))
						d.garbled, d.zone = sc.garbled, sc.zone(d)
						if sc.happens != nil {
							d.happens = sc.happens
						}
						d.run(length)
						share[c] += float64(d.inTime) / float64(d.requests*size.days)
						busiest[c] = max(busiest[c], d.busiest)
					}
				}
				t.Logf("in time: %.3f as alike, %.3f learned, %.3f oracle (learned to oracle %.3f); busiest engine %d, %d, %d requests",
					share[unweighed], share[learned], share[oracle], share[learned]/share[oracle], busiest[unweighed], busiest[learned], busiest[oracle])
				gained := (share[learned] - share[unweighed]) / (share[oracle] - share[unweighed])
				if share[learned] < 0.95*share[oracle] || gained < 0.4 {
					t.Errorf("what is learned is worth too little: %.2f of what the oracle gains", gained)
				}
				if busiest[learned] > 48 {
					t.Errorf("an engine with 48 slots gets %d requests", busiest[learned])
				}
			})
		}
	}
}
