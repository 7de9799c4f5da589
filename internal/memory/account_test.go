package memory_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"heatherrelay/internal/memory"
)

const (
	accountBytes = 8 << 20
	patience     = 20 * time.Millisecond
)

// fakeClock is a clock that stands still until it is moved.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) move(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newAccount() (*memory.Account, *fakeClock) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	return &memory.Account{Size: accountBytes, Now: clock.Now}, clock
}

// open returns a charge of an address that holds bytes, and gives them back when it has to
// give way.
func open(t *testing.T, a *memory.Account, address string, held int64) *memory.Charge {
	t.Helper()
	var c *memory.Charge
	c = a.Open(memory.Owner{Address: netip.MustParseAddr(address)}, func() { go func() { c.Close() }() })
	if err := c.Grow(held, 0); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestStalledBodiesGiveWay guards against bodies that do not arrive and take the memory from
// those that do: of the address that holds most the one that stalled first goes, and no more
// than needed.
func TestStalledBodiesGiveWay(t *testing.T) {
	a, clock := newAccount()
	first := open(t, a, "1.1.1.1", 2<<20)
	clock.move(time.Millisecond)
	second := open(t, a, "1.1.1.1", 2<<20)
	other := open(t, a, "2.2.2.2", 2<<20)
	clock.move(time.Second)
	c := a.Open(memory.Owner{Address: netip.MustParseAddr("3.3.3.3")}, func() { t.Error("the body that arrives gave way") })
	if err := c.Grow(2<<20, time.Second); err != nil {
		t.Fatal(err)
	}
	if !first.Evicted() || second.Evicted() || other.Evicted() || a.Evicted() != 1 {
		t.Errorf("gave way: %t, %t, %t, want the first one alone", first.Evicted(), second.Evicted(), other.Evicted())
	}
}

// TestBodiesThatArriveDoNotGiveWay guards against a crowd that drives out bodies that arrive.
// One that brings a few bytes now and then counts as stalled.
func TestBodiesThatArriveDoNotGiveWay(t *testing.T) {
	a, clock := newAccount()
	arrives, drips := open(t, a, "1.1.1.1", 3<<20), open(t, a, "1.1.1.1", 3<<20)
	for range 10 {
		clock.move(100 * time.Millisecond)
		arrives.Progress(4 << 10)
		drips.Progress(1)
	}
	c := a.Open(memory.Owner{Address: netip.MustParseAddr("2.2.2.2")}, func() {})
	if err := c.Grow(3<<20, time.Second); err != nil {
		t.Fatal(err)
	}
	if arrives.Evicted() || !drips.Evicted() {
		t.Errorf("gave way: the one that arrives %t, the one that drips %t", arrives.Evicted(), drips.Evicted())
	}
}

// TestBodiesThatWaitForEachOtherEnd guards against bodies that all hold a part of the memory
// and wait for the rest for ever: those that hold less give way to the others.
func TestBodiesThatWaitForEachOtherEnd(t *testing.T) {
	const bodies, body, step = 8, 4 << 20, 512 << 10
	a, _ := newAccount()
	var group sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for range bodies {
		group.Go(func() {
			c := a.Open(memory.Owner{Address: netip.MustParseAddr("1.1.1.1")}, func() {})
			defer c.Close()
			for held := 0; held < body; held += step {
				if c.Grow(step, 2*time.Second) != nil {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			whole++
		})
	}
	group.Wait()
	if whole == 0 {
		t.Error("no body was read whole")
	}
	if used := a.Used(); used != 0 {
		t.Errorf("%d bytes are still held", used)
	}
}

// TestSmallRequestsHaveRoom guards against large bodies that leave nothing to small ones.
func TestSmallRequestsHaveRoom(t *testing.T) {
	a, _ := newAccount()
	large := open(t, a, "1.1.1.1", 6<<20)
	if err := large.Grow(1, 0); !memory.ErrShort.Has(err) {
		t.Errorf("a large body took the part for small ones: %v", err)
	}
	small := a.Open(memory.Owner{}, func() {})
	if err := small.Grow(64<<10, 0); err != nil {
		t.Error(err)
	}
	if err := small.Grow(1, patience); !memory.ErrShort.Has(err) {
		t.Errorf("a charge beyond the small ones: %v", err)
	}
}

// TestWaitingBodyGetsWhatBecomesFree guards against bodies that are refused although others
// end while they wait, and against charges that outlast their end.
func TestWaitingBodyGetsWhatBecomesFree(t *testing.T) {
	a, _ := newAccount()
	held := open(t, a, "1.1.1.1", 6<<20)
	held.Complete()
	time.AfterFunc(patience, held.Close)
	c := open(t, a, "2.2.2.2", 0)
	if err := c.Grow(4<<20, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	c.Shrink(1 << 20)
	if used := a.Used(); used != 3<<20 {
		t.Errorf("%d bytes held", used)
	}
	c.Close()
	c.Close()
	if used := a.Used(); used != 0 {
		t.Errorf("%d bytes held after the end", used)
	}
}

// TestResponsesHaveRoomBesideRequests guards against requests that targets have run and whose
// responses find no memory, and against responses that leave none to small requests.
func TestResponsesHaveRoomBesideRequests(t *testing.T) {
	a, _ := newAccount()
	open(t, a, "1.1.1.1", 6<<20).Complete()
	h := &memory.Hold{Account: a}
	if err := h.Add(1 << 20); err != nil {
		t.Error(err)
	}
	if err := h.Add(1); !memory.ErrShort.Has(err) {
		t.Errorf("a response in the part for small bodies: %v", err)
	}
	open(t, a, "2.2.2.2", 64<<10)
	h.Release()
	h.Release()
	if used := a.Used(); used != 6<<20+64<<10 {
		t.Errorf("%d bytes held after the end of the responses", used)
	}
}

// TestResponsesThatAreNotTakenGiveWay guards against clients that hold the memory with
// responses that they don't read. While a response arrives it does not give way.
func TestResponsesThatAreNotTakenGiveWay(t *testing.T) {
	a, clock := newAccount()
	arriving, offered := &memory.Hold{Account: a}, &memory.Hold{Account: a}
	for _, h := range []*memory.Hold{arriving, offered} {
		if err := h.Add(3 << 20); err != nil {
			t.Fatal(err)
		}
	}
	offered.Offer(memory.Owner{Address: netip.MustParseAddr("1.1.1.1")}, func() { go offered.Release() })
	clock.move(time.Second)
	if err := a.Open(memory.Owner{Address: netip.MustParseAddr("2.2.2.2")}, func() {}).Grow(2<<20, time.Second); err != nil {
		t.Error(err)
	}
	if a.Evicted() != 1 {
		t.Errorf("%d gave way, want 1", a.Evicted())
	}
	arriving.Release()
	if used := a.Used(); used != 2<<20 {
		t.Errorf("%d bytes held", used)
	}
}

// TestWithoutSizeNothingIsBounded guards instances whose account is not set.
func TestWithoutSizeNothingIsBounded(t *testing.T) {
	for _, a := range []*memory.Account{nil, {}} {
		c := a.Open(memory.Owner{}, func() {})
		if err := c.Grow(1<<40, 0); err != nil || c.Evicted() {
			t.Error(err)
		}
		c.Progress(1)
		c.Shrink(1)
		c.Complete()
		c.Close()
	}
}

// TestAccountIsNeverExceeded guards against charges that together hold more than the account
// has, and against sums that drift, while many bodies arrive, stall, give way and end.
func TestAccountIsNeverExceeded(t *testing.T) {
	const owners, rounds = 16, 200
	a := &memory.Account{Size: accountBytes, Now: time.Now}
	var group sync.WaitGroup
	for n := range owners {
		random := rand.New(rand.NewPCG(1, uint64(n)))
		group.Go(func() {
			for range rounds {
				c := a.Open(memory.Owner{Team: fmt.Sprint(n % 3)}, func() {})
				h := &memory.Hold{Account: a}
				for range random.IntN(5) {
					if c.Grow(random.Int64N(2<<20), time.Millisecond) != nil {
						break
					}
					if used := a.Used(); used > accountBytes {
						t.Errorf("%d bytes held", used)
					}
				}
				c.Complete()
				// Whether the response finds room does not matter here.
				_ = h.Add(random.Int64N(32 << 10))
				h.Offer(memory.Owner{}, func() {})
				h.Release()
				c.Close()
			}
		})
	}
	group.Wait()
	if used := a.Used(); used != 0 {
		t.Errorf("%d bytes are still held", used)
	}
}
