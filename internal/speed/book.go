// Package speed learns how fast targets work from how long their answers take. What is usual
// follows from the answers of all targets of a service; a target's slowness is the factor to
// that. It has two parts: how the target is made, which is remembered for a minute, and how
// it is just now, which is forgotten within seconds.
//
// The package knows neither networks nor placement: samples come in, estimates go out.
package speed

import (
	"math"
	"slices"
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

const (
	// deadBand is the logarithm of the slowness up to which targets count as alike.
	deadBand = 0.12
	// viewInterval is the longest time for which estimates are used without being formed
	// anew.
	viewInterval = 100 * time.Millisecond
	// minTargets is the number of targets that must be known for a comparison.
	minTargets = 2
	// unlikeSpread is the spread from which targets differ by make, a factor of 1.8.
	unlikeSpread = 0.6
	// minWeight is the weight of the samples from which a target counts as known.
	minWeight = 1.0
)

// Process is a target from its start to its end. A restarted one is another.
type Process struct {
	ID         deployment.TargetID
	Generation int64
}

// Estimate is what is known of a target's speed. The zero value is that of a target of which
// nothing is known.
type Estimate struct {
	// Slowness is how many times as long as the median target the target takes; 0 if
	// nothing is known.
	Slowness float64
	// Uncertainty is the standard deviation of the logarithm of Slowness.
	Uncertainty float64
	// Samples is their number, decayed.
	Samples float64
}

// Factor returns the slowness; 1 if nothing is known.
func (e Estimate) Factor() float64 {
	if e.Slowness == 0 {
		return 1
	}
	return e.Slowness
}

// Book keeps what is known of the speed of all targets. It is safe for concurrent use. Set
// Now before the first use.
type Book struct {
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*service
	shared
}

// service is what is known of a service and its targets.
type service struct {
	usual
	targets map[Process]Key
	view    *View
}

// View is what is known of the speeds of a service at a moment. It does not change.
type View struct {
	formedAt time.Time
	usual    usual
	targets  map[Process]Estimate
	// reference is the logarithm of the slowness of the median target.
	reference float64
	// spread is the difference between the logarithms of how a slow and a fast target are
	// made: one in ten is slower, and one in ten faster.
	spread float64
}

// Unlike reports whether the targets differ so much by make that load should follow it. What
// is learned of targets that are alike differs too, with the load that each of them has.
func (v *View) Unlike() bool { return v.spread > unlikeSpread }

func (b *Book) service(name string) *service {
	if b.services == nil {
		b.services = map[string]*service{}
	}
	s, ok := b.services[name]
	if !ok {
		s = &service{targets: map[Process]Key{}}
		b.services[name] = s
	}
	return s
}

// key returns the key of a target, which the service has from then on.
func (s *service) key(t deployment.Target) Key {
	p := Process{t.ID, t.Generation}
	k, ok := s.targets[p]
	if !ok {
		k = KeyOf(p)
		s.targets[p] = k
	}
	return k
}

// Observe adds a sample: what a target took for what is measured under a load.
func (b *Book) Observe(t deployment.Target, k Kind, l Load, took time.Duration) {
	if took <= 0 || l.Nominal <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	s, now := b.service(t.Service), b.Now()
	key := s.key(t)
	known := b.total(key, now)
	excess := math.Log(took.Seconds()) - s.log(k, l)
	if weight := s.reliability(k); weight > 0 {
		own := b.own[key].at(now)
		own.add(excess, weight, known)
		b.own[key] = own
	}
	s.learn(k, l, excess, known.present()-b.viewOf(s, now).reference)
}

// View returns what is known of the speeds of a service.
func (b *Book) View(name string) *View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.viewOf(b.service(name), b.Now())
}

// viewOf returns the view of a service, formed anew if it is old. The caller holds the lock.
func (b *Book) viewOf(s *service, now time.Time) *View {
	if s.view == nil || now.Sub(s.view.formedAt) >= viewInterval {
		s.view = s.newView(&b.shared, now)
	}
	return s.view
}

func (s *service) newView(known *shared, now time.Time) *View {
	v := &View{formedAt: now, usual: s.usual}
	processes, evidence := make([]Process, 0, len(s.targets)), make([]Evidence, 0, len(s.targets))
	made := make([]float64, 0, len(s.targets))
	for p, key := range s.targets {
		if e := known.total(key, now); e.made.weight >= minWeight {
			processes, evidence = append(processes, p), append(evidence, e)
			log, _ := e.build()
			made = append(made, log)
		}
	}
	if len(made) < minTargets {
		return v
	}
	slices.Sort(made)
	v.reference = (made[(len(made)-1)/2] + made[len(made)/2]) / 2
	v.spread = made[len(made)-1-len(made)/10] - made[len(made)/10]
	v.targets = make(map[Process]Estimate, len(processes))
	for i, p := range processes {
		v.targets[p] = evidence[i].estimate(v.reference)
	}
	return v
}

// estimate returns the target's speed relative to a reference.
func (e Evidence) estimate(reference float64) Estimate {
	made, deviation := e.build()
	log := e.present() - reference
	if log == made-reference && math.Abs(log) < max(deadBand, confidence*deviation) || math.Abs(log) < deadBand {
		log = 0
	}
	return Estimate{Slowness: math.Exp(log), Uncertainty: deviation, Samples: e.made.weight}
}

// Of returns the estimate of a target.
func (v *View) Of(t *deployment.Target) Estimate { return v.targets[Process{t.ID, t.Generation}] }

// Targets returns the estimates of all targets of which something is known.
func (v *View) Targets() map[Process]Estimate { return v.targets }

// Usual returns how long a usual target takes; false if that is not known yet.
func (v *View) Usual(k Kind, l Load) (time.Duration, bool) {
	if v.usual.samples[k] < firstSamples || l.Nominal <= 0 {
		return 0, false
	}
	return time.Duration(math.Exp(v.usual.log(k, l)+v.reference) * float64(time.Second)), true
}

// Retain forgets all targets except the given ones, and earlier processes of these.
func (b *Book) Retain(targets map[deployment.TargetID]deployment.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		for p := range s.targets {
			if t, ok := targets[p.ID]; !ok || t.Generation != p.Generation {
				delete(s.targets, p)
			}
		}
	}
	listed := make(map[Key]bool, len(targets))
	for _, t := range targets {
		listed[b.service(t.Service).key(t)] = true
	}
	b.retainKeys(listed)
}
