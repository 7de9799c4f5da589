package speed

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// publishInterval is the shortest time between two statements about a target.
	publishInterval = 250 * time.Millisecond
	// maxStatements bounds the statements of a message.
	maxStatements = 64
	// maxStatedWeight bounds the weight of what another instance states.
	maxStatedWeight = 10_000
	// statedChange is the change of an estimate from which a sum is stated again,
	// statedSurprise the same for the sum of the samples of one instance. statedGrowth is
	// the growth of the weight, ownGrowth that of one instance relative to all.
	statedChange   = 0.12
	statedSurprise = 0.5
	statedGrowth   = 0.5
	ownGrowth      = 0.05
	minOwnGrowth   = 0.3
	// minStatedWeight is the weight below which what is known of a target is forgotten.
	minStatedWeight = 0.05
)

// Key identifies a process of a target in messages.
type Key uint32

// KeyOf returns the key of a process.
func KeyOf(p Process) Key {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+len(p.ID)), uint64(p.Generation))
	return Key(xxhash.Sum64(append(b, p.ID...)))
}

// Scope says whose samples a sum has.
type Scope int

// The scopes.
const (
	// ScopeOwn is the instance that states the sum, ScopeZone the instances of its zone.
	ScopeOwn Scope = iota
	ScopeZone
	// ScopeOthers are all instances except the one that receives the sum.
	ScopeOthers
	scopes
)

// Source is an instance that states sums.
type Source struct {
	ID, Zone, Incarnation string
	Scope                 Scope
}

// Statement is the sum of what a source knows of a target now.
type Statement struct {
	Key      Key
	Evidence Evidence
}

// Part says which sums an instance counts: each instance's samples once.
type Part struct {
	Zone string
	// Relaying instances count each instance of their zone, and one sum for each other
	// zone; relayed ones the sum of a relay; all others each instance.
	Relaying, Relayed bool
	// First is the instance whose sums are counted, by zone.
	First map[string]string
}

// counts reports whether the sums of a source are counted.
func (p *Part) counts(s Source) bool {
	switch {
	case p.Relayed:
		return s.Scope == ScopeOthers && s.Zone == p.Zone && p.First[s.Zone] == s.ID
	case p.Relaying && s.Zone != p.Zone:
		return s.Scope == ScopeZone && p.First[s.Zone] == s.ID
	}
	return s.Scope == ScopeOwn
}

// source is what an instance has stated.
type source struct {
	Source
	number  uint64
	counted bool
	stated  map[Key]Evidence
}

// published is a sum as it was last stated, and the number of that change.
type published struct {
	evidence Evidence
	number   uint64
}

// shared is what this instance and the others know of all targets. Sums are kept by what
// enters them, so that each statement replaces the one before it.
type shared struct {
	part    Part
	own     map[Key]Evidence
	sources map[string]*source
	// others sums the sources that are counted, zone those of them in the own zone.
	others, zone map[Key]Evidence
	published    [scopes]map[Key]published
	last         uint64
	publishedAt  time.Time
}

func (s *shared) init() {
	if s.own == nil {
		s.own, s.others, s.zone, s.sources = map[Key]Evidence{}, map[Key]Evidence{}, map[Key]Evidence{}, map[string]*source{}
		for i := range s.published {
			s.published[i] = map[Key]published{}
		}
	}
}

// total returns all evidence on a target.
func (s *shared) total(k Key, now time.Time) Evidence { return s.own[k].at(now).plus(s.others[k]) }

// sum returns the evidence of a scope; that of ScopeOthers includes the receiver's.
func (s *shared) sum(scope Scope, k Key, now time.Time) Evidence {
	switch scope {
	case ScopeOwn:
		return s.own[k].at(now)
	case ScopeZone:
		return s.own[k].at(now).plus(s.zone[k])
	}
	return s.total(k, now)
}

// replace replaces what a source has stated of a target, in the sums too.
func (s *shared) replace(from *source, k Key, next Evidence, now time.Time) {
	if from.counted {
		s.others[k] = s.others[k].at(now).minus(from.stated[k]).plus(next)
		if from.Zone == s.part.Zone {
			s.zone[k] = s.zone[k].at(now).minus(from.stated[k]).plus(next)
		}
	}
	from.stated[k] = next
}

// recount forms the sums anew.
func (s *shared) recount(now time.Time) {
	clear(s.others)
	clear(s.zone)
	for _, from := range s.sources {
		from.counted = s.part.counts(from.Source)
		stated := from.stated
		from.stated = make(map[Key]Evidence, len(stated))
		for k, e := range stated {
			if e = e.at(now); e.made.weight >= minStatedWeight {
				s.replace(from, k, e, now)
			}
		}
	}
	maps.DeleteFunc(s.sources, func(_ string, from *source) bool { return len(from.stated) == 0 && from.number == 0 })
}

// publish numbers the sums that have changed since they were last stated.
func (s *shared) publish(now time.Time) {
	if now.Sub(s.publishedAt) < publishInterval {
		return
	}
	s.publishedAt = now
	for scope := range scopes {
		if scope != ScopeOwn && !s.part.Relaying {
			continue
		}
		for k := range s.statable(scope) {
			sum := s.sum(scope, k, now)
			before := s.published[scope][k]
			if sum.made.weight < minStatedWeight || !s.differs(scope, sum, before.evidence, s.total(k, now)) {
				continue
			}
			s.last++
			s.published[scope][k] = published{sum, s.last}
		}
	}
}

// statable returns the targets of which a scope may have evidence.
func (s *shared) statable(scope Scope) map[Key]Evidence {
	if scope == ScopeOwn {
		return s.own
	}
	all := maps.Clone(s.own)
	maps.Copy(all, s.others)
	return all
}

// differs reports whether a sum differs from what was stated so that it matters to others,
// which know the total.
func (s *shared) differs(scope Scope, sum, before, total Evidence) bool {
	rest := sum.plus(Evidence{moment: before.at(sum.asOf).moment.times(-1), made: before.at(sum.asOf).made.times(-1), asOf: sum.asOf})
	known := total.made.weight + makePrior
	if scope != ScopeOwn {
		stated := before.at(sum.asOf)
		return rest.made.weight > statedGrowth*(stated.made.weight+makePrior) || math.Abs(sum.present()-stated.present()) > statedChange
	}
	made, _ := total.build()
	return rest.made.weight > max(ownGrowth*known, minOwnGrowth) ||
		math.Abs(rest.made.sum-rest.made.weight*made) > statedChange*known ||
		math.Abs(rest.moment.sum-rest.moment.weight*total.moment.mean(made, momentPrior)) > statedSurprise
}

// Play sets which sums are counted.
func (b *Book) Play(p Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	same := b.part.Zone == p.Zone && b.part.Relaying == p.Relaying && b.part.Relayed == p.Relayed && maps.Equal(b.part.First, p.First)
	if !same {
		b.part = p
		b.recount(b.Now())
	}
}

// Changes returns the sums of a scope that have changed after a number, which an earlier call
// returned, and the number up to which they are listed. receiver is the instance that gets
// them.
func (b *Book) Changes(scope Scope, after uint64, receiver string) ([]Statement, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	now := b.Now()
	b.publish(now)
	after = fromCursor(scope, after)
	var changed []published
	keys := map[uint64]Key{}
	for k, p := range b.published[scope] {
		if p.number > after {
			changed, keys[p.number] = append(changed, p), k
		}
	}
	slices.SortFunc(changed, func(a, b published) int { return cmp.Compare(a.number, b.number) })
	changed = changed[:min(len(changed), maxStatements)]
	statements := make([]Statement, 0, len(changed))
	for _, p := range changed {
		after = p.number
		k := keys[p.number]
		sum := b.sum(scope, k, now)
		if from := b.sources[receiver]; scope == ScopeOthers && from != nil && from.counted {
			sum = sum.minus(from.stated[k])
		}
		statements = append(statements, Statement{k, sum})
	}
	return statements, toCursor(scope, after)
}

// Cursors hold the scope, so that those of another scope are told apart.
func toCursor(scope Scope, number uint64) uint64 { return number*uint64(scopes) + uint64(scope) }

func fromCursor(scope Scope, cursor uint64) uint64 {
	if cursor%uint64(scopes) != uint64(scope) {
		return 0
	}
	return cursor / uint64(scopes)
}

// Merge takes over what a source states. number is that of Changes; a message that is older
// than one that was taken over is ignored.
func (b *Book) Merge(from Source, statements []Statement, number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	now := b.Now()
	s := b.sources[from.ID]
	if s == nil || s.Source != from {
		if s != nil {
			for k := range s.stated {
				b.replace(s, k, Evidence{}, now)
			}
		}
		s = &source{Source: from, counted: b.part.counts(from), stated: map[Key]Evidence{}}
		b.sources[from.ID] = s
	}
	if number < s.number {
		return
	}
	s.number = number
	for _, st := range statements {
		b.replace(s, st.Key, st.Evidence, now)
	}
}

// retainKeys forgets the targets that are not listed.
func (s *shared) retainKeys(listed map[Key]bool) {
	gone := func(k Key, _ Evidence) bool { return !listed[k] }
	maps.DeleteFunc(s.own, gone)
	maps.DeleteFunc(s.others, gone)
	maps.DeleteFunc(s.zone, gone)
	for _, from := range s.sources {
		maps.DeleteFunc(from.stated, gone)
	}
	for scope := range s.published {
		maps.DeleteFunc(s.published[scope], func(k Key, _ published) bool { return !listed[k] })
	}
}
