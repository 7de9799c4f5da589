package team

import (
	"math"
	"time"
)

// PauseLimit is how long an instance may go without a tick before it must read
// its claim again. It is shorter than any lease term.
const PauseLimit = 3 * time.Second

// Outcome is what a reservation came to.
type Outcome int

// The outcomes of a reservation.
const (
	// Taken says that the tokens were deducted.
	Taken Outcome = iota
	// Short says that the slice holds too little at present.
	Short
	// OverBurst says that the whole fleet may never spend as much at once.
	OverBurst
	// Unknown says that there is no such allowance.
	Unknown
)

// Claim is the part of all allowances that an instance owns. Fractions are of
// the whole fleet's rate and burst.
type Claim struct {
	// Teams is the fraction of every team's rate and burst.
	Teams float64
	// Loads is the fraction of the weight store's rate and permits.
	Loads float64
	// Since is the last release that an earlier holder may have had in force. An
	// allowance that a later release adds starts full, any other starts empty.
	Since uint64
}

// Share is one instance's slices of all allowances: a state machine that owns
// its buckets. It spends only what its claim covers and what peers lent. It is
// not safe for concurrent use.
type Share struct {
	claim   Claim
	release uint64
	ticked  time.Time
	// interrupted is when the last pause was noticed; stale says that the claim
	// was not read again since.
	interrupted time.Time
	stale       bool
	rates       map[string]Rate
	buckets     map[string]*Bucket
	permits     permits
	given       answers
	pending     map[string]ask
}

func (s *Share) bucket(name string) *Bucket { return s.buckets[name] }

// Claim returns what the instance owns now.
func (s *Share) Claim() Claim { return s.claim }

// Number returns the number of the release whose rates are in use.
func (s *Share) Number() uint64 { return s.release }

// SetRates takes the rates of a release. An earlier release is ignored.
func (s *Share) SetRates(now time.Time, release uint64, rates []Rate) {
	if release < s.release {
		return
	}
	known := make(map[string]Rate, len(rates))
	buckets := make(map[string]*Bucket, len(rates))
	for _, r := range rates {
		known[r.Name] = r
		if r.Name == LoadPermit {
			continue
		}
		b, ok := s.buckets[r.Name]
		if !ok {
			b = &Bucket{}
		}
		buckets[r.Name] = b
	}
	s.rates = known
	for name, b := range buckets {
		_, had := s.buckets[name]
		s.resize(now, name, b)
		if !had && s.claim.Since <= s.release {
			b.Balance = b.Limit()
		}
	}
	s.buckets = buckets
	s.release = release
	s.resizePermits()
}

func (s *Share) fraction(name string) float64 {
	if name == LoadRate || name == LoadPermit {
		return s.claim.Loads
	}
	return s.claim.Teams
}

func (s *Share) resize(now time.Time, name string, b *Bucket) {
	f := s.fraction(name)
	r := s.rates[name]
	b.Resize(now, f*r.TokensPerSecond, f*r.BurstTokens)
}

func (s *Share) resizePermits() {
	// The small addend keeps a third of three permits from rounding down to none.
	s.permits.owned = int(math.Floor(s.claim.Loads*s.rates[LoadPermit].BurstTokens + 1e-6))
}

// Resize changes the claim, as read from the platform at readAt, and returns
// the balances that no longer fit, for whoever takes the rest of the claim. A
// larger claim brings no balance of its own. A claim that was read before a
// pause ended is ignored.
func (s *Share) Resize(now, readAt time.Time, claim Claim) Handed {
	s.Tick(now)
	if !readAt.After(s.interrupted) {
		return Handed{}
	}
	s.stale = false
	return s.setClaim(now, claim)
}

// Release gives the claim up and returns all balances.
func (s *Share) Release(now time.Time) Handed {
	s.checkClaim(now)
	return s.setClaim(now, Claim{Since: math.MaxUint64})
}

func (s *Share) setClaim(now time.Time, claim Claim) Handed {
	s.claim = claim
	var over Balances
	for name, b := range s.buckets {
		b.Advance(now)
		burst, balance := b.Burst, b.Balance
		s.resize(now, name, b)
		if excess := min(balance, burst) - b.Burst; excess > 0 && balance > b.Balance {
			over = over.add(name, min(excess, balance-b.Balance))
		}
	}
	s.resizePermits()
	return Handed{Balances: over, Release: s.release}
}

// Deposit adds the balances of a grant, as far as they fit the granted parts.
// Balances of another release are dropped, since its bursts may differ. Parts
// that nobody ever held start full.
func (s *Share) Deposit(now time.Time, g Grant) {
	for name, b := range s.buckets {
		parts := g.Teams
		if name == LoadRate {
			parts = g.Loads
		}
		limit := float64(parts) / TotalParts * s.rates[name].BurstTokens
		switch {
		case g.Since == 0:
			b.Credit(now, limit)
		case g.Release == s.release:
			b.Credit(now, min(g.Balances[name], limit))
		}
	}
}

// Tick says that the instance runs. It reports false until the claim has been
// read again after a start or a pause; until then the claim is nothing.
func (s *Share) Tick(now time.Time) bool {
	s.checkClaim(now)
	s.ticked = later(s.ticked, now)
	return !s.stale
}

// checkClaim drops the claim and all balances after a pause.
func (s *Share) checkClaim(now time.Time) {
	if now.Sub(s.ticked) <= PauseLimit {
		return
	}
	s.stale = true
	s.interrupted = now
	s.ticked = now
	s.setClaim(now, Claim{Since: math.MaxUint64})
}

// Reserve takes tokens of an allowance.
func (s *Share) Reserve(now time.Time, name string, tokens float64) Outcome {
	s.checkClaim(now)
	b, ok := s.buckets[name]
	switch {
	case !ok:
		return Unknown
	case tokens > s.rates[name].BurstTokens:
		return OverBurst
	case b.Take(now, tokens):
		return Taken
	}
	return Short
}

// Settle corrects a reservation to what was used.
func (s *Share) Settle(now time.Time, name string, reserved, used float64) {
	s.checkClaim(now)
	if b := s.bucket(name); b != nil {
		b.Settle(now, reserved, used)
	}
}

// Balance returns what the instance may spend of an allowance now.
func (s *Share) Balance(now time.Time, name string) float64 {
	s.checkClaim(now)
	b := s.bucket(name)
	if b == nil {
		return 0
	}
	b.Advance(now)
	return b.Balance
}

// Fill is how full a slice is.
type Fill struct {
	Balance float64
	// Outstanding is what is reserved and may come back.
	Outstanding float64
	// Limit is the most that the slice may hold now.
	Limit float64
}

// Fill returns how full the instance's slice of an allowance is.
func (s *Share) Fill(now time.Time, name string) Fill {
	s.checkClaim(now)
	b := s.bucket(name)
	if b == nil {
		return Fill{}
	}
	b.Advance(now)
	return Fill{Balance: b.Balance, Outstanding: b.Outstanding, Limit: b.Limit()}
}

// RetryAfter estimates when the fleet's bucket holds the tokens again.
func (s *Share) RetryAfter(name string, missing float64) time.Duration {
	r := s.rates[name]
	if r.TokensPerSecond <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(missing / r.TokensPerSecond * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// The bounds of the time to come back that a refusal gives.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Minute
)

// Balances is tokens by the name of their allowance.
type Balances map[string]float64

func (b Balances) add(name string, tokens float64) Balances {
	if b == nil {
		b = Balances{}
	}
	b[name] += tokens
	return b
}

func (b Balances) merge(other Balances) Balances {
	for name, tokens := range other {
		b = b.add(name, tokens)
	}
	return b
}
