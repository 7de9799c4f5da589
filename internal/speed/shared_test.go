package speed_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/speed"
)

const zones = 3

// member is an instance of a simulated fleet, whose books exchange what they know like
// instances of the peer package do.
type member struct {
	speed.Source
	book *speed.Book
	down bool
	// delivered are the cursors of other members, by id.
	delivered map[string]uint64
	bytes     int
}

// members is a fleet of instances, the first two of each zone of which are relays.
type members struct {
	all    []*member
	now    time.Time
	random *rand.Rand
	// loss is the share of messages that are lost.
	loss float64
}

func newMembers(n int, targets []deployment.Target) *members {
	m := &members{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, 4))}
	listed := map[deployment.TargetID]deployment.Target{}
	for _, t := range targets {
		listed[t.ID] = t
	}
	for i := range n {
		id := fmt.Sprintf("instance-%03d", i)
		m.all = append(m.all, &member{
			Source:    speed.Source{ID: id, Zone: fmt.Sprint("zone-", i%zones), Incarnation: id},
			book:      &speed.Book{Now: func() time.Time { return m.now }},
			delivered: map[string]uint64{},
		})
		m.all[i].book.Retain(listed)
	}
	m.elect()
	return m
}

// relays returns the relays of a zone.
func (m *members) relays(zone string) []*member {
	var relays []*member
	for _, i := range m.all {
		if i.Zone == zone && !i.down && len(relays) < 2 {
			relays = append(relays, i)
		}
	}
	return relays
}

// elect tells all members which sums they count.
func (m *members) elect() {
	first := map[string]string{}
	for z := range zones {
		zone := fmt.Sprint("zone-", z)
		if relays := m.relays(zone); len(relays) > 0 {
			first[zone] = relays[0].ID
		}
	}
	for _, i := range m.all {
		relaying := slices.Contains(m.relays(i.Zone), i)
		i.book.Play(speed.Part{Zone: i.Zone, Relaying: relaying, Relayed: !relaying, First: first})
	}
}

// send delivers what a member knows to another one.
func (m *members) send(from, to *member, scope speed.Scope) {
	statements, number := from.book.Changes(scope, from.delivered[to.ID], to.ID)
	if len(statements) == 0 {
		return
	}
	message := speed.NewMessage(scope, statements)
	from.bytes, to.bytes = from.bytes+wireBytes(message), to.bytes+wireBytes(message)
	if m.random.Float64() < m.loss {
		return
	}
	source := from.Source
	source.Scope = scope
	received, err := message.Statements(m.now)
	if err != nil {
		panic(err)
	}
	to.book.Merge(source, received, number)
	if m.random.Float64() < m.loss {
		to.book.Merge(source, received, number)
	}
	from.delivered[to.ID] = number
}

// wireBytes is the size of a message in protobuf.
func wireBytes(m *speed.Message) int {
	varint := func(v uint64) (n int) {
		for n = 1; v >= 0x80; n++ {
			v >>= 7
		}
		return n
	}
	zigzag := func(v int32) uint64 { return uint64(uint32(v<<1) ^ uint32(v>>31)) }
	bytes := 4 + 5*3
	for i := range m.Processes {
		bytes += 4 + varint(zigzag(m.MomentMeans[i])) + varint(uint64(m.MomentWeights[i])) + varint(zigzag(m.MadeMeans[i])) + varint(uint64(m.MadeWeights[i]))
	}
	return bytes
}

// tick exchanges what changed, every 100 ms: instances with their relays, relays with those
// of other zones and each other.
func (m *members) tick() {
	m.now = m.now.Add(100 * time.Millisecond)
	for _, i := range m.all {
		if i.down {
			continue
		}
		relays := m.relays(i.Zone)
		if !slices.Contains(relays, i) {
			for _, r := range relays {
				m.send(i, r, speed.ScopeOwn)
			}
			m.send(relays[0], i, speed.ScopeOthers)
			continue
		}
		for z := range zones {
			for _, r := range m.relays(fmt.Sprint("zone-", z)) {
				switch {
				case r.Zone != i.Zone && i == relays[0]:
					m.send(i, r, speed.ScopeZone)
				case r.Zone == i.Zone && r != i:
					m.send(i, r, speed.ScopeOwn)
				}
			}
		}
	}
}

// observe lets random members see events of a target, so many in all.
func (m *members) observe(t deployment.Target, factor float64, samples int) {
	for range samples {
		i := m.all[m.random.IntN(len(m.all))]
		took := 33 * factor * math.Exp(m.random.NormFloat64()/3)
		i.book.Observe(t, speed.Event, eventLoad, time.Duration(took*float64(time.Millisecond)))
	}
}

// TestFewSamplesOfEachInstanceHelpAll covers 66 instances before 60 targets, and 300 before
// 280, of three speeds, with some 6 events a second of a target in the whole fleet, while
// messages get lost and doubled: within 15 s every instance knows nearly every target, no
// sample counts twice, and it costs each a few hundred bytes a second.
func TestFewSamplesOfEachInstanceHelpAll(t *testing.T) {
	for _, size := range []struct{ instances, targets int }{{66, 60}, {300, 280}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			factors := []float64{0.6, 1, 1, 1.6}
			targets := newFleet(t, alike(size.targets)...).targets
			m := newMembers(size.instances, targets)
			m.loss = 0.1
			observed := 0
			for range 150 {
				for i, target := range targets {
					if m.random.Float64() < 0.6 {
						m.observe(target, factors[i%len(factors)], 1)
						observed++
					}
				}
				m.tick()
			}
			wrong, least := 0, math.Inf(1)
			var bytes []int
			for _, i := range m.all {
				view := i.book.View("models")
				bytes = append(bytes, i.bytes/15)
				sum := 0.0
				for k, target := range targets {
					e := view.Of(&target)
					sum += e.Samples
					if off := math.Abs(math.Log(e.Factor() / factors[k%len(factors)])); off > math.Log(1.25) {
						wrong++
					}
				}
				least = min(least, sum)
				if sum > float64(observed) {
					t.Errorf("%s counts %.0f samples of %d", i.ID, sum, observed)
				}
			}
			slices.SortFunc(bytes, cmp.Compare[int])
			busiest, median := bytes[len(bytes)-1], bytes[len(bytes)/2]
			t.Logf("%d instances, %d targets: %.1f%% of estimates off by over a quarter, %.0f to %d samples known; bytes a second: median %d, busiest %d",
				size.instances, size.targets, 100*float64(wrong)/float64(size.instances*size.targets), least, observed, median, busiest)
			if float64(wrong) > 0.05*float64(size.instances*size.targets) {
				t.Errorf("%d estimates are wrong", wrong)
			}
			if median > 12*size.targets {
				t.Errorf("an instance exchanges %d bytes a second", median)
			}
		})
	}
}

// TestSlowMomentIsKnownToAll covers a target that turns five times slower, seen by 20 events
// a second in a fleet of 66: 2 s later nearly all instances know.
func TestSlowMomentIsKnownToAll(t *testing.T) {
	targets := newFleet(t, alike(20)...).targets
	m := newMembers(66, targets)
	run := func(ticks int, factor float64) {
		for range ticks {
			for i, target := range targets {
				f := 1.0
				if i == 7 {
					f = factor
				}
				m.observe(target, f, 2)
			}
			m.tick()
		}
	}
	slow := func() (n int) {
		for _, i := range m.all {
			if i.book.View("models").Of(&targets[7]).Factor() > 2 {
				n++
			}
		}
		return n
	}
	run(100, 1)
	if n := slow(); n > 0 {
		t.Errorf("before: slow at %d instances", n)
	}
	run(20, 5)
	if n := slow(); n < 60 {
		t.Errorf("2 s later: slow at %d instances", n)
	}
	run(40, 5)
	run(30, 1)
	if n := slow(); n > 3 {
		t.Errorf("3 s after its end: slow at %d instances", n)
	}
}

// TestRelaysChangeWithoutCountingTwice covers first relays that are lost, one after the other,
// and instances that take their place.
func TestRelaysChangeWithoutCountingTwice(t *testing.T) {
	targets := newFleet(t, alike(12)...).targets
	m := newMembers(30, targets)
	observed := 0
	for tick := range 200 {
		for _, target := range targets {
			m.observe(target, 1, 1)
			observed++
		}
		if tick%40 == 39 {
			m.relays("zone-0")[0].down = true
			m.relays("zone-1")[0].down = true
			m.elect()
		}
		m.tick()
		for _, i := range m.all {
			sum := 0.0
			for _, target := range targets {
				sum += i.book.View("models").Of(&target).Samples
			}
			if sum > float64(observed) {
				t.Fatalf("tick %d: %s counts %.0f samples of %d", tick, i.ID, sum, observed)
			}
		}
	}
}

// TestOwnSamplesDoNotComeBack covers an instance that alone sees a target's answers, in a
// fleet with relays: neither it nor anybody else counts a sample twice.
func TestOwnSamplesDoNotComeBack(t *testing.T) {
	targets := newFleet(t, alike(4)...).targets
	m := newMembers(30, targets)
	only := m.all[20]
	for range 100 {
		for _, target := range targets {
			only.book.Observe(target, speed.Event, eventLoad, 33*time.Millisecond)
		}
		m.tick()
	}
	for _, i := range m.all {
		if e := i.book.View("models").Of(&targets[0]); e.Samples < 50 || e.Samples > 100 {
			t.Errorf("%s counts %.0f samples of 100", i.ID, e.Samples)
		}
	}
}

// BenchmarkBookOfARelay measures the memory of what a relay knows of 300 targets from 100
// instances, by entry, and the time to state what changed.
func BenchmarkBookOfARelay(b *testing.B) {
	const instances, targets = 100, 300
	now := time.Unix(1000, 0)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	book := &speed.Book{Now: func() time.Time { return now }}
	book.Play(speed.Part{Zone: "zone-0", Relaying: true})
	for i := range instances {
		id := fmt.Sprint("instance-", i)
		m := &speed.Message{}
		for t := range targets {
			m.Processes = append(m.Processes, uint32(t+1))
			m.MomentMeans, m.MomentWeights = append(m.MomentMeans, 10), append(m.MomentWeights, 10)
			m.MadeMeans, m.MadeWeights = append(m.MadeMeans, 10), append(m.MadeWeights, 10)
		}
		for from := 0; from < targets; from += 60 {
			part := &speed.Message{
				Processes: m.Processes[from : from+60], MomentMeans: m.MomentMeans[from : from+60], MomentWeights: m.MomentWeights[from : from+60],
				MadeMeans: m.MadeMeans[from : from+60], MadeWeights: m.MadeWeights[from : from+60],
			}
			statements, err := part.Statements(now)
			if err != nil {
				b.Fatal(err)
			}
			book.Merge(speed.Source{ID: id, Zone: "zone-0", Incarnation: id}, statements, uint64(from))
		}
	}
	bytes := float64(heap() - before)
	for b.Loop() {
		now = now.Add(250 * time.Millisecond)
		book.Changes(speed.ScopeOthers, 0, "instance-1")
	}
	b.ReportMetric(bytes/(instances*targets), "B/entry")
}
