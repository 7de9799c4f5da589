package team

import (
	"math"
	"time"
)

// PauseLimit is how long an instance may go without a tick before it must read
// its claim again. It is shorter than any lease term.
const PauseLimit = 3 * time.Second

// Outcome is the result of a reservation.
type Outcome int

// The outcomes of a reservation.
const (
	// Reserved means that the tokens were deducted.
	Reserved Outcome = iota
	// Insufficient means that the slice holds too few tokens at present.
	Insufficient
	// OverBurst means that the amount exceeds the burst of the whole fleet.
	OverBurst
	// Unknown means that there is no such allowance.
	Unknown
)

// Claim is the part of all allowances that an instance owns, as fractions of
// the whole fleet's rate and burst.
type Claim struct {
	// Teams is the fraction of every team's rate and burst.
	Teams float64
	// Loads is the fraction of the weight store's load rate and permits.
	Loads float64
	// HeldThrough is the latest release that a previous owner of the claim may
	// have had in force, or zero if there was none. An allowance added by a
	// later release starts full, since no previous owner can have spent it; any
	// other starts empty.
	HeldThrough uint64
}

// Share holds one instance's slices of all allowances. It is a state machine
// that spends only what its claim covers and what peers granted. It is not safe
// for concurrent use.
type Share struct {
	claim    Claim
	release  uint64
	lastTick time.Time
	// pauseDetectedAt is when the last pause was detected. stale is set until
	// the claim has been read again after it.
	pauseDetectedAt time.Time
	stale           bool
	rates           map[string]Rate
	buckets         map[string]*Bucket
	permits         permits
	replies         replyCache
	pending         map[string]pendingRequest
}

func (s *Share) bucket(name string) *Bucket { return s.buckets[name] }

// Claim returns what the instance owns now.
func (s *Share) Claim() Claim { return s.claim }

// ReleaseNumber returns the number of the release whose rates are in use.
func (s *Share) ReleaseNumber() uint64 { return s.release }

// SetRates applies the rates of a release. An earlier release than the current
// one is ignored.
func (s *Share) SetRates(now time.Time, release uint64, rates []Rate) {
	if release < s.release {
		return
	}
	ratesByName := make(map[string]Rate, len(rates))
	buckets := make(map[string]*Bucket, len(rates))
	for _, r := range rates {
		ratesByName[r.Name] = r
		if r.Name == LoadPermit {
			continue
		}
		b, ok := s.buckets[r.Name]
		if !ok {
			b = &Bucket{}
		}
		buckets[r.Name] = b
	}
	s.rates = ratesByName
	for name, b := range buckets {
		_, existed := s.buckets[name]
		s.resizeBucket(now, name, b)
		if !existed && s.claim.HeldThrough <= s.release {
			b.Balance = b.Limit()
		}
	}
	s.buckets = buckets
	s.release = release
	s.resizePermits()
}

// fraction returns the claimed fraction of an allowance.
func (s *Share) fraction(name string) float64 {
	if name == LoadRate || name == LoadPermit {
		return s.claim.Loads
	}
	return s.claim.Teams
}

func (s *Share) resizeBucket(now time.Time, name string, b *Bucket) {
	f := s.fraction(name)
	r := s.rates[name]
	b.Resize(now, f*r.TokensPerSecond, f*r.BurstTokens)
}

func (s *Share) resizePermits() {
	// The small addend keeps a third of three permits from rounding down to
	// zero.
	s.permits.owned = int(math.Floor(s.claim.Loads*s.rates[LoadPermit].BurstTokens + 1e-6))
}

// ApplyClaim sets the claim, as read from the platform at readAt, and returns
// the balances that exceed it, to be carried over to the next owner. A larger
// claim does not raise any balance. A claim that was read before a pause was
// detected is ignored.
func (s *Share) ApplyClaim(now, readAt time.Time, claim Claim) CarryOver {
	s.Tick(now)
	if !readAt.After(s.pauseDetectedAt) {
		return CarryOver{}
	}
	s.stale = false
	return s.setClaim(now, claim)
}

// DropClaim sets the claim to nothing and returns all balances.
func (s *Share) DropClaim(now time.Time) CarryOver {
	s.dropClaimAfterPause(now)
	return s.setClaim(now, Claim{HeldThrough: math.MaxUint64})
}

func (s *Share) setClaim(now time.Time, claim Claim) CarryOver {
	s.claim = claim
	var carriedOver Balances
	for name, b := range s.buckets {
		b.Advance(now)
		burst, balance := b.Burst, b.Balance
		s.resizeBucket(now, name, b)
		if excess := min(balance, burst) - b.Burst; excess > 0 && balance > b.Balance {
			carriedOver = carriedOver.add(name, min(excess, balance-b.Balance))
		}
	}
	s.resizePermits()
	return CarryOver{Balances: carriedOver, Release: s.release}
}

// Deposit adds the carried-over balances of parts, up to the burst of these
// parts. Balances counted under another release are dropped, since its bursts
// may differ. Parts that never had an owner start full.
func (s *Share) Deposit(now time.Time, p Parts) {
	for name, b := range s.buckets {
		parts := p.Teams
		if name == LoadRate {
			parts = p.Loads
		}
		limit := float64(parts) / TotalParts * s.rates[name].BurstTokens
		switch {
		case p.HeldThrough == 0:
			b.Credit(now, limit)
		case p.Release == s.release:
			b.Credit(now, min(p.Balances[name], limit))
		}
	}
}

// Tick records that the instance runs. It returns false after a start or a
// pause until the claim has been read again; until then the claim is empty.
func (s *Share) Tick(now time.Time) bool {
	s.dropClaimAfterPause(now)
	s.lastTick = later(s.lastTick, now)
	return !s.stale
}

// dropClaimAfterPause drops the claim and all balances if the last tick is more
// than PauseLimit ago.
func (s *Share) dropClaimAfterPause(now time.Time) {
	if now.Sub(s.lastTick) <= PauseLimit {
		return
	}
	s.stale = true
	s.pauseDetectedAt = now
	s.lastTick = now
	s.setClaim(now, Claim{HeldThrough: math.MaxUint64})
}

// Reserve deducts tokens of an allowance from the local slice.
func (s *Share) Reserve(now time.Time, name string, tokens float64) Outcome {
	s.dropClaimAfterPause(now)
	b, ok := s.buckets[name]
	switch {
	case !ok:
		return Unknown
	case tokens > s.rates[name].BurstTokens:
		return OverBurst
	case b.Take(now, tokens):
		return Reserved
	}
	return Insufficient
}

// Settle adjusts a reservation to the tokens that were used.
func (s *Share) Settle(now time.Time, name string, reserved, used float64) {
	s.dropClaimAfterPause(now)
	if b := s.bucket(name); b != nil {
		b.Settle(now, reserved, used)
	}
}

// Balance returns the tokens of an allowance that the instance may spend now.
func (s *Share) Balance(now time.Time, name string) float64 {
	s.dropClaimAfterPause(now)
	b := s.bucket(name)
	if b == nil {
		return 0
	}
	b.Advance(now)
	return b.Balance
}

// SliceState is the fill level of a slice, in tokens.
type SliceState struct {
	Balance float64
	// Outstanding is reserved and may be returned.
	Outstanding float64
	// Limit is the most that the slice may hold now.
	Limit float64
}

// SliceState returns the fill level of the instance's slice of an allowance.
func (s *Share) SliceState(now time.Time, name string) SliceState {
	s.dropClaimAfterPause(now)
	b := s.bucket(name)
	if b == nil {
		return SliceState{}
	}
	b.Advance(now)
	return SliceState{Balance: b.Balance, Outstanding: b.Outstanding, Limit: b.Limit()}
}

// RetryAfter estimates how long the whole fleet takes to refill the missing
// tokens.
func (s *Share) RetryAfter(name string, missing float64) time.Duration {
	r := s.rates[name]
	if r.TokensPerSecond <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(missing / r.TokensPerSecond * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Bounds of the retry delay in a refusal.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Minute
)

// Balances holds token balances by name of allowance.
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
