// Package memory keeps what an instance holds for clients and targets, which it doesn't
// control, within an account: bodies of requests and of responses. Each allocation is charged
// before it is made. If the account is used up, bodies that do not arrive give way to those
// that do.
package memory

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// ErrShort is the class of errors of a charge that the account has no room for, or that had
// to give way to others.
var ErrShort = errs.Class("memory of the instance is used up")

const (
	// smallBytes is what a charge may hold of the part of the account that is kept for small
	// bodies, which is this part of it. As much again is kept for responses.
	smallBytes    = 64 << 10
	smallFraction = 8
	// stallTime is how long progressBytes may take to arrive for a charge while others wait
	// for memory.
	stallTime     = 500 * time.Millisecond
	progressBytes = 1 << 10
	// pollInterval is how often a waiting charge looks for charges that have stalled.
	pollInterval = 50 * time.Millisecond
	// maxWaiting bounds the charges beyond smallBytes that wait at once, scanInterval how
	// often they are looked through.
	maxWaiting   = 64
	scanInterval = 5 * time.Millisecond
)

// Account bounds the bytes of its charges. The zero value and nil have no bound. Set the
// exported fields before the first use. It is safe for concurrent use.
type Account struct {
	// Size is the number of bytes; zero means no bound.
	Size int64
	Now  func() time.Time
	// OnEvict is called when a charge gives way to others, with what it holds and since when
	// nothing has arrived for it; may be nil.
	OnEvict func(o Owner, held int64, stalled time.Duration)

	mu sync.Mutex
	// used is the sum of what the charges hold.
	used int64
	// open are the charges whose bytes are still arriving.
	open map[*Charge]struct{}
	// byAddress and byTeam are the sums of what open charges hold.
	byAddress map[netip.Addr]int64
	byTeam    map[string]int64
	// released is closed when bytes become free.
	released chan struct{}
	// waiting counts the charges beyond smallBytes that wait; scannedAt is when stalled ones
	// were last looked for.
	waiting   int
	scannedAt time.Time
	opened    uint64
	evicted   atomic.Uint64
}

// Owner is for whom bytes are held.
type Owner struct {
	Address netip.Addr
	Team    string
}

// Charge is what the account holds for one owner. Its methods are called by one goroutine
// at a time.
type Charge struct {
	account *Account
	owner   Owner
	// evict ends a read that waits for more bytes.
	evict func()
	// number is the place in the order in which charges were opened.
	number uint64
	held   int64
	// arrived counts the bytes since progressAt, in nanoseconds since 1970.
	arrived    int
	progressAt atomic.Int64
	// waiting is set while the charge waits for memory, gone once it has to give way.
	waiting, waitsLarge bool
	gone                atomic.Bool
	// response is set for responses, whose requests have run.
	response bool
}

// Open returns a charge that holds nothing yet. evict is called, by any goroutine, if the
// charge has to give way to others.
func (a *Account) Open(o Owner, evict func()) *Charge {
	c := &Charge{account: a, owner: o, evict: evict}
	if a == nil || a.Size == 0 {
		c.account = nil
		return c
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.opened++
	c.number = a.opened
	a.register(c)
	return c
}

// register adds a charge to those that may have to give way.
func (a *Account) register(c *Charge) {
	if a.open == nil {
		a.open = map[*Charge]struct{}{}
		a.byAddress, a.byTeam = map[netip.Addr]int64{}, map[string]int64{}
	}
	c.progressAt.Store(a.Now().UnixNano())
	a.open[c] = struct{}{}
	a.addOpen(c, c.held)
}

// Reserve takes bytes from what charges may hold, whatever they hold, or gives some back.
func (a *Account) Reserve(n int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used += n
	if n < 0 {
		a.wake()
	}
}

// Used returns the number of bytes that the charges hold.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Evicted returns how many charges had to give way.
func (a *Account) Evicted() uint64 { return a.evicted.Load() }

// Grow adds bytes that are about to be allocated. It waits for them for at most patience,
// and fails with ErrShort.
func (c *Charge) Grow(n int64, patience time.Duration) error {
	a := c.account
	if a == nil {
		return nil
	}
	wake, err := c.tryGrow(n, patience <= 0)
	if wake == nil || err != nil {
		return err
	}
	deadline, poll := time.NewTimer(patience), time.NewTicker(pollInterval)
	defer deadline.Stop()
	defer poll.Stop()
	for expired := false; wake != nil && err == nil; wake, err = c.tryGrow(n, expired) {
		select {
		case <-wake:
		case <-poll.C:
		case <-deadline.C:
			expired = true
		}
	}
	return err
}

// tryGrow adds bytes if there is room. Otherwise it has other charges give way, and returns
// a channel that is closed when bytes become free.
func (c *Charge) tryGrow(n int64, last bool) (<-chan struct{}, error) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endWait(c)
	if c.gone.Load() {
		return nil, ErrShort.New("%d bytes given up for others", c.held)
	}
	if a.used+n <= a.room(c, n) {
		a.add(c, n)
		c.progressAt.Store(a.Now().UnixNano())
		return nil, nil
	}
	large := c.held+n > smallBytes
	if last || large && a.waiting >= maxWaiting {
		return nil, ErrShort.New("no room for %d bytes beside %d", n, a.used)
	}
	c.waiting = true
	if c.waitsLarge = large; large {
		a.waiting++
	}
	a.makeRoom(c, n)
	if a.released == nil {
		a.released = make(chan struct{})
	}
	return a.released, nil
}

func (a *Account) endWait(c *Charge) {
	if c.waitsLarge {
		a.waiting--
	}
	c.waiting, c.waitsLarge = false, false
}

// room returns the bytes that a charge that grows may share with all others.
func (a *Account) room(c *Charge, n int64) int64 {
	switch kept := a.Size / smallFraction; {
	case c.held+n <= smallBytes:
		return a.Size
	case c.response:
		return a.Size - kept
	default:
		return a.Size - 2*kept
	}
}

func (a *Account) add(c *Charge, n int64) {
	a.used += n
	c.held += n
	if _, ok := a.open[c]; ok {
		a.addOpen(c, n)
	}
}

func (a *Account) addOpen(c *Charge, n int64) {
	addTo(a.byAddress, c.owner.Address, n)
	addTo(a.byTeam, c.owner.Team, n)
}

func addTo[K comparable](sums map[K]int64, key K, n int64) {
	if sums[key] += n; sums[key] == 0 {
		delete(sums, key)
	}
}

// makeRoom has charges give way to one that waits for bytes, until enough of those in use
// are about to become free: first those that have stalled, of the owners that hold most;
// then those that wait for memory as well and hold less, as they would have to be sent anew
// at the least cost.
func (a *Account) makeRoom(waiter *Charge, n int64) {
	now := a.Now()
	if since := now.Sub(a.scannedAt); since >= 0 && since < scanInterval {
		return
	}
	a.scannedAt = now
	var candidates []*Charge
	missing := a.used + n - a.room(waiter, n)
	for c := range a.open {
		switch {
		case c == waiter || c.held == 0:
		case c.gone.Load():
			missing -= c.held
		case c.stalledFor(now) >= stallTime || c.waiting && c.behind(waiter):
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(x, y *Charge) int { return a.compare(x, y, now) })
	for _, c := range candidates {
		if missing <= 0 {
			return
		}
		missing -= c.held
		a.giveWay(c, now)
	}
}

// compare orders charges by which gives way first.
func (a *Account) compare(x, y *Charge, now time.Time) int {
	stalledX, stalledY := x.stalledFor(now), y.stalledFor(now)
	switch {
	case stalledX >= stallTime && stalledY < stallTime:
		return -1
	case stalledX < stallTime && stalledY >= stallTime:
		return 1
	}
	return cmp.Or(cmp.Compare(a.heldByOwner(y), a.heldByOwner(x)), cmp.Compare(stalledY, stalledX), cmp.Compare(x.held, y.held))
}

// stalledFor returns since when too little has arrived for a charge that does not wait
// itself.
func (c *Charge) stalledFor(now time.Time) time.Duration {
	if c.waiting {
		return 0
	}
	return time.Duration(now.UnixNano() - c.progressAt.Load())
}

// behind reports whether a charge holds less than another one, or as much but came later.
func (c *Charge) behind(other *Charge) bool {
	return cmp.Or(cmp.Compare(c.held, other.held), cmp.Compare(other.number, c.number)) < 0
}

// heldByOwner returns what is held for the address and the team of a charge.
func (a *Account) heldByOwner(c *Charge) int64 {
	return a.byAddress[c.owner.Address] + a.byTeam[c.owner.Team]
}

func (a *Account) giveWay(c *Charge, now time.Time) {
	c.gone.Store(true)
	a.evicted.Add(1)
	if a.OnEvict != nil {
		a.OnEvict(c.owner, c.held, c.stalledFor(now))
	}
	c.evict()
	if c.waiting {
		a.wake()
	}
}

// Progress records that bytes have arrived.
func (c *Charge) Progress(n int) {
	if c.arrived += n; c.account != nil && c.arrived >= progressBytes {
		c.arrived = 0
		c.progressAt.Store(c.account.Now().UnixNano())
	}
}

// Evicted reports whether the charge has to give way.
func (c *Charge) Evicted() bool { return c.gone.Load() }

// Complete records that all bytes have arrived: the charge no longer gives way.
func (c *Charge) Complete() {
	if a := c.account; a != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.close(c)
	}
}

func (a *Account) close(c *Charge) {
	if _, ok := a.open[c]; ok {
		a.addOpen(c, -c.held)
		delete(a.open, c)
	}
}

// Shrink gives back bytes that are no longer in use.
func (c *Charge) Shrink(n int64) {
	a := c.account
	if a == nil || n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(c, -n)
	a.wake()
}

// wake has the charges that wait for memory try again.
func (a *Account) wake() {
	if a.released != nil {
		close(a.released)
		a.released = nil
	}
}

// Close gives back all bytes. It may be called more than once, and for nil.
func (c *Charge) Close() {
	if c == nil || c.account == nil {
		return
	}
	c.Shrink(c.held)
	c.Complete()
}
