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

// Bounds of one admission: how long it may wait for transfers in total, the
// timeout of one transfer request, and the number of peers that are tried.
const (
	AdmitTimeout         = 100 * time.Millisecond
	TransferTimeout      = 40 * time.Millisecond
	MaxPeersPerAdmission = 16
)

// Defaults of the weight store's allowances.
const (
	defaultLoadsPerSecond = 3
	defaultLoadPermits    = 8
)

// Allowances admits requests of this instance against the fleet-wide
// allowances. An admission makes no call to the platform: it uses the
// instance's own slices, and tokens granted by peers when a slice is too low.
// The exported fields must be set before Run.
type Allowances struct {
	Zone       string
	InstanceID string
	Store      objectstore.Store
	// State returns the release in force, or nil before the first one.
	State func() *release.State
	// Peers returns the instances to request transfers from, without this one.
	Peers func() []Peer
	// RequestTransfer sends a transfer request to a peer. It may retry under the same id
	// only if the peer replays its first reply to a repeated id.
	RequestTransfer func(ctx context.Context, peerID string, request TransferRequest) (TransferReply, error)
	// Gone reports whether an instance can never spend again: it is missing
	// from the platform's list of instances, and its lease has not been renewed
	// for a lease term. If nil, no instance counts as gone.
	Gone func(instanceID string) bool
	// LoadsPerSecond and LoadPermits limit adapter loads from the weight store
	// over the whole fleet. Zero selects the default.
	LoadsPerSecond float64
	LoadPermits    float64
	// Log is optional.
	Log *zap.Logger
	// Now returns the current time. If nil, time.Now is used.
	Now func() time.Time

	mu       sync.Mutex
	share    Share
	hints    Hints
	counters Counters
	epoch    string
	started  bool
	sequence atomic.Uint64
}

// Counters holds event counts since the instance started.
type Counters struct {
	Admitted           uint64
	RefusedOverBurst   uint64
	RefusedRate        uint64
	TransfersRequested uint64
	TransfersAnswered  uint64
	TokensReceived     float64
	TokensGranted      float64
	ClaimInterruptions uint64
}

// Counters returns a copy of the current counts.
func (a *Allowances) Counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counters
}

// Balance returns the tokens of a team that this instance may spend now.
func (a *Allowances) Balance(teamName string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share.Balance(a.now(), Name(teamName))
}

// balances returns the tokens that this instance may spend now, by team.
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

// Admit reserves tokens of a team's allowance. If this instance's slice is too
// low it requests transfers from peers for at most AdmitTimeout. Errors are of
// type *refusal.Error, marked as not run.
func (a *Allowances) Admit(ctx context.Context, teamName string, tokens float64) (Reservation, error) {
	return a.acquire(ctx, Name(teamName), tokens)
}

// AdmitLoad reserves one token of the weight store's load rate and one load
// permit. The load must end within LoadTimeout. Settling the reservation
// returns the permit.
func (a *Allowances) AdmitLoad(ctx context.Context) (Reservation, error) {
	permit, err := a.acquirePermit(ctx)
	if err != nil {
		return Reservation{}, err
	}
	if _, err := a.acquire(ctx, LoadRate, 1); err != nil {
		permit.Settle(0)
		return Reservation{}, err
	}
	return permit, nil
}

// acquire reserves tokens, requesting what is missing from peers.
func (a *Allowances) acquire(ctx context.Context, name string, tokens float64) (Reservation, error) {
	now := a.now()
	deadline := now.Add(AdmitTimeout)
	tried := map[string]bool(nil)
	for {
		outcome, missing := a.reserve(now, name, tokens)
		switch outcome {
		case Reserved:
			return a.reservation(name, tokens), nil
		case OverBurst:
			return Reservation{}, refusal.NotRun(refusal.CodeOverBurst, "the request may cost %.0f tokens, more than the burst", tokens)
		case Unknown:
			return Reservation{}, refusal.NotRun(refusal.CodeForbidden, "no allowance")
		}
		if tried == nil {
			tried = map[string]bool{}
		}
		if !now.Before(deadline) || ctx.Err() != nil || !a.requestFromNextPeer(ctx, now, name, missing, tried) {
			return Reservation{}, a.rateLimitedError(name, missing)
		}
		now = a.now()
	}
}

// reserve tries to reserve tokens in the local slice. If the slice is too low
// it also returns how many tokens are missing.
func (a *Allowances) reserve(now time.Time, name string, tokens float64) (Outcome, float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	outcome := a.share.Reserve(now, name, tokens)
	if outcome == Unknown && a.updateRates(now) {
		outcome = a.share.Reserve(now, name, tokens)
	}
	switch outcome {
	case Reserved:
		a.counters.Admitted++
	case OverBurst:
		a.counters.RefusedOverBurst++
	case Insufficient:
		return outcome, tokens - a.share.Balance(now, name)
	}
	return outcome, 0
}

// requestFromNextPeer requests tokens from one more peer and reports whether
// the caller should try its reservation again.
func (a *Allowances) requestFromNextPeer(ctx context.Context, now time.Time, name string, missing float64, tried map[string]bool) bool {
	if a.RequestTransfer == nil || a.Peers == nil || len(tried) >= MaxPeersPerAdmission {
		return false
	}
	peers := a.Peers()
	a.mu.Lock()
	rate := a.share.rates[name]
	peer, ok := a.hints.NextPeer(now, a.Zone, peers, rate, missing, tried)
	estimate := a.hints.Estimate(now, peer.ID, rate, len(peers)+1)
	tokens := a.share.SliceState(now, name).RequestAmount(missing, estimate)
	a.mu.Unlock()
	if !ok {
		return false
	}
	tried[peer.ID] = true
	return a.requestFromPeer(ctx, now, peer, name, tokens)
}

// requestFromPeer requests tokens from a peer and credits those granted. It
// returns false if too many requests are pending to send another one.
func (a *Allowances) requestFromPeer(ctx context.Context, now time.Time, peer Peer, name string, tokens float64) bool {
	request := TransferRequest{ID: a.transferID(), Allowance: name, Tokens: tokens, FromInstance: a.InstanceID}
	a.mu.Lock()
	ok := a.share.RecordRequest(now, request)
	if ok {
		a.counters.TransfersRequested++
	}
	a.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, TransferTimeout)
	defer cancel()
	reply, err := a.RequestTransfer(ctx, peer.ID, request)
	now = a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.hints.Record(now, peer.ID, name, 0)
		return true
	}
	a.hints.Record(now, peer.ID, name, reply.Remaining)
	if reply.Tokens > 0 {
		a.hints.RecordGrant(peer.ID, name)
	}
	a.counters.TokensReceived += a.share.ApplyReply(now, reply)
	return true
}

// transferID returns an id that is unique over the fleet and over restarts.
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

func (a *Allowances) rateLimitedError(name string, missing float64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counters.RefusedRate++
	after := a.share.RetryAfter(name, missing)
	return refusal.NotRun(refusal.CodeRateLimited, "rate and burst are used up").WithRetryAfter(after)
}

// GrantTransfer answers a peer's transfer request. Tokens are deducted from the local
// slice before the reply is sent.
func (a *Allowances) GrantTransfer(request TransferRequest) TransferReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := a.share.GrantTransfer(a.now(), request)
	a.counters.TransfersAnswered++
	a.counters.TokensGranted += reply.Tokens
	return reply
}

// updateRates applies the rates of the release in force and reports whether
// that release was new.
func (a *Allowances) updateRates(now time.Time) bool {
	if a.State == nil {
		return false
	}
	state := a.State()
	if state == nil || (a.share.rates != nil && state.Number <= a.share.release) {
		return false
	}
	a.share.SetRates(now, state.Number, a.ratesOf(state))
	return true
}

// ratesOf returns the rates of the weight store's allowances and of all teams.
func (a *Allowances) ratesOf(state *release.State) []Rate {
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

// newEpoch returns a random id that distinguishes this process from earlier
// ones with the same instance id.
func newEpoch() string { return uuid.NewString()[:8] }
