package team

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// The bounds of one admission: the time that it may wait for transfers, the
// time for one transfer, and the number of peers that it asks.
const (
	AdmitWait = 100 * time.Millisecond
	AskWait   = 40 * time.Millisecond
	MaxAsks   = 16
)

// The defaults of the weight store's allowances.
const (
	defaultLoadsPerSecond = 3
	defaultLoadPermits    = 8
)

// Allowances admits requests against the fleet-wide allowances of one instance.
// No admission calls the platform: it spends the instance's own slices, and
// what peers lend when those run short. The exported fields are set before Run.
type Allowances struct {
	Zone       string
	InstanceID string
	Store      objectstore.Store
	// State returns the release in force; nil until there is one.
	State func() *release.State
	// Peers returns the instances that can be asked, without this one.
	Peers func() []Peer
	// Ask sends a request to a peer. It must not send it twice under one id
	// unless the peer answers repeats alike.
	Ask func(ctx context.Context, peerID string, request TransferRequest) (TransferReply, error)
	// Gone says that an instance can never spend again: the platform's list shows
	// it gone and its lease was not renewed for its term. Nil means that no
	// instance is ever held gone.
	Gone func(instanceID string) bool
	// LoadsPerSecond and LoadPermits bound the weight store's use by the whole
	// fleet; zero takes the defaults.
	LoadsPerSecond float64
	LoadPermits    float64
	// Log may be nil.
	Log *zap.Logger
	// Now may be nil.
	Now func() time.Time

	mu       sync.Mutex
	share    Share
	hints    Hints
	counters Counters
	epoch    string
	started  bool
	sequence atomic.Uint64
}

// Counters counts what an instance did since its start.
type Counters struct {
	Admitted           uint64
	RefusedOverBurst   uint64
	RefusedRate        uint64
	TransfersAsked     uint64
	TransfersGiven     uint64
	TokensReceived     float64
	TokensGiven        float64
	ClaimInterruptions uint64
}

// Counters returns the counts so far.
func (a *Allowances) Counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counters
}

// Balance returns what this instance may still spend of a team's allowance.
func (a *Allowances) Balance(teamName string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share.Balance(a.now(), Name(teamName))
}

// balances returns what this instance may spend of each team's allowance.
func (a *Allowances) balances() Balances {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	balances := Balances{}
	for name := range a.share.rates {
		if teamName, ok := strings.CutPrefix(name, NamePrefix); ok {
			balances[teamName] = a.share.Balance(now, name)
		}
	}
	return balances
}

// Claim returns the part of all allowances that this instance owns.
func (a *Allowances) Claim() Claim {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share.Claim()
}

func (a *Allowances) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

// Admit takes tokens of a team's allowance. When the own slice is short it asks
// peers, for a short bounded time. An error is a *refusal.Error, not run.
func (a *Allowances) Admit(ctx context.Context, teamName string, tokens float64) (Reservation, error) {
	return a.take(ctx, Name(teamName), tokens)
}

// AdmitLoad takes a token of the weight store's load rate and a permit for one
// load, which must be over within PermitTerm. Settling the reservation returns
// the permit.
func (a *Allowances) AdmitLoad(ctx context.Context) (Reservation, error) {
	permit, err := a.takePermit(ctx)
	if err != nil {
		return Reservation{}, err
	}
	if _, err := a.take(ctx, LoadRate, 1); err != nil {
		permit.Settle(0)
		return Reservation{}, err
	}
	return permit, nil
}

// take reserves tokens, asking peers for what is missing.
func (a *Allowances) take(ctx context.Context, name string, tokens float64) (Reservation, error) {
	now := a.now()
	deadline := now.Add(AdmitWait)
	tried := map[string]bool(nil)
	for {
		outcome, missing := a.reserve(now, name, tokens)
		switch outcome {
		case Taken:
			return a.reservation(name, tokens), nil
		case OverBurst:
			return Reservation{}, refusal.NotRun(refusal.CodeOverBurst, "the request may cost %.0f tokens, more than the burst", tokens)
		case Unknown:
			return Reservation{}, refusal.NotRun(refusal.CodeForbidden, "no allowance")
		}
		if tried == nil {
			tried = map[string]bool{}
		}
		if !now.Before(deadline) || ctx.Err() != nil || !a.askNext(ctx, now, name, missing, tried) {
			return Reservation{}, a.rateLimited(name, missing)
		}
		now = a.now()
	}
}

func (a *Allowances) reserve(now time.Time, name string, tokens float64) (Outcome, float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	outcome := a.share.Reserve(now, name, tokens)
	if outcome == Unknown && a.updateRates(now) {
		outcome = a.share.Reserve(now, name, tokens)
	}
	switch outcome {
	case Taken:
		a.counters.Admitted++
	case OverBurst:
		a.counters.RefusedOverBurst++
	case Short:
		return outcome, tokens - a.share.Balance(now, name)
	}
	return outcome, 0
}

// askNext asks one more peer and reports whether another try is worth while.
func (a *Allowances) askNext(ctx context.Context, now time.Time, name string, missing float64, tried map[string]bool) bool {
	if a.Ask == nil || a.Peers == nil || len(tried) >= MaxAsks {
		return false
	}
	peers := a.Peers()
	a.mu.Lock()
	rate := a.share.rates[name]
	peer, ok := a.hints.Next(now, a.Zone, peers, rate, missing, tried)
	estimate := a.hints.Estimate(now, peer.ID, rate, len(peers)+1)
	tokens := a.share.Fill(now, name).Amount(missing, estimate)
	a.mu.Unlock()
	if !ok {
		return false
	}
	tried[peer.ID] = true
	return a.askPeer(ctx, now, peer, name, tokens)
}

// askPeer asks a peer for tokens and takes what it gives. It reports false if
// the request could not be sent.
func (a *Allowances) askPeer(ctx context.Context, now time.Time, peer Peer, name string, tokens float64) bool {
	request := TransferRequest{ID: a.transferID(), Allowance: name, Tokens: tokens, FromInstance: a.InstanceID}
	a.mu.Lock()
	ok := a.share.Ask(now, request)
	if ok {
		a.counters.TransfersAsked++
	}
	a.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, AskWait)
	defer cancel()
	reply, err := a.Ask(ctx, peer.ID, request)
	now = a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.hints.Note(now, peer.ID, name, 0)
		return true
	}
	a.hints.Note(now, peer.ID, name, reply.Remaining)
	if reply.Tokens > 0 {
		a.hints.Gave(peer.ID, name)
	}
	a.counters.TokensReceived += a.share.Receive(now, reply)
	return true
}

func (a *Allowances) transferID() string {
	return a.InstanceID + memberSeparator + a.epoch + memberSeparator + strconv.FormatUint(a.sequence.Add(1), 36)
}

func (a *Allowances) reservation(name string, tokens float64) Reservation {
	var once sync.Once
	return Reservation{Settle: func(used float64) {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.share.Settle(a.now(), name, tokens, used)
		})
	}}
}

func (a *Allowances) rateLimited(name string, missing float64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counters.RefusedRate++
	after := a.share.RetryAfter(name, missing)
	return refusal.NotRun(refusal.CodeRateLimited, "rate and burst are used up").After(after)
}

// Give answers a peer's request: it deducts before it answers.
func (a *Allowances) Give(request TransferRequest) TransferReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := a.share.Give(a.now(), request)
	a.counters.TransfersGiven++
	a.counters.TokensGiven += reply.Tokens
	return reply
}

// updateRates takes the rates of the release in force, if it is a new one.
func (a *Allowances) updateRates(now time.Time) bool {
	if a.State == nil {
		return false
	}
	state := a.State()
	if state == nil || (a.share.rates != nil && state.Number <= a.share.release) {
		return false
	}
	a.share.SetRates(now, state.Number, a.rates(state))
	return true
}

func (a *Allowances) rates(state *release.State) []Rate {
	loads, permits := a.LoadsPerSecond, a.LoadPermits
	if loads == 0 {
		loads = defaultLoadsPerSecond
	}
	if permits == 0 {
		permits = defaultLoadPermits
	}
	rates := []Rate{
		{Name: LoadRate, TokensPerSecond: loads, BurstTokens: permits},
		{Name: LoadPermit, BurstTokens: permits},
	}
	for _, t := range state.Teams() {
		rates = append(rates, Rate{Name: Name(t.Name), TokensPerSecond: t.TokensPerSecond, BurstTokens: t.BurstTokens})
	}
	return rates
}

func newEpoch() string { return uuid.NewString()[:8] }
