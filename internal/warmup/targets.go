// Package warmup knows which targets are cold: those that started, or whose zone was back from
// an evacuation, a short while ago.
package warmup

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
)

// wakeTime is how long after a suspension all targets count as cold: the replica of their
// entries is older than it seems until the store or a peer has confirmed it.
const wakeTime = 2 * time.Second

// unlistedRetention is how long a target that is not listed is remembered: the entry of a
// running one can lapse for a while and then return.
const unlistedRetention = time.Minute

// Targets knows the cold targets, of the services whose configuration bounds the requests to
// these. It is safe for concurrent use. Set the exported fields before the first use.
//
// What a target's entry states holds from when it is seen here, so that a target counts as
// cold for too long rather than too short. A target that starts while this instance runs counts as
// cold for the time that its service takes to warm up, and so do all targets of a zone whose
// evacuation ends. The first later statement of an entry replaces that.
type Targets struct {
	// Service returns a service by name, or nil.
	Service func(name string) *deployment.Service
	// WokeWithin reports whether the process was suspended until less than a time ago; nil
	// means that it was not.
	WokeWithin func(time.Duration) bool
	// Restarted reports whether the process that a target's entry names is known to have ended,
	// so that its successor may answer before the entry says so; nil means that none is.
	Restarted func(deployment.Target) bool
	Now       func() time.Time
	Log       *zap.Logger

	mu sync.Mutex
	// targets holds the targets that are, or lately were, listed; nil before the first listing.
	targets map[deployment.TargetID]*target
	// listing is the number of the last listing.
	listing uint64
}

// target is what is known of the process of a listed target.
type target struct {
	deployment.Target
	// listing is the number of the last listing with the target, listedAt its time.
	listing  uint64
	listedAt time.Time
	// statedUntil is when the target is warm according to its entry.
	statedUntil time.Time
	// returnedAt is when the process, or its zone, came into use while this instance ran; zero
	// if it did not, or its entry has stated anything since.
	returnedAt time.Time
}

// Apply replaces the listed targets.
func (w *Targets) Apply(listed map[deployment.TargetID]deployment.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.targets == nil && len(listed) == 0 {
		return
	}
	first, now := w.targets == nil, w.Now()
	if first {
		w.targets = make(map[deployment.TargetID]*target, len(listed))
	}
	for id, t := range listed {
		known, ok := w.targets[id]
		switch {
		case !ok || !w.sameProcess(known, t):
			known = &target{statedUntil: now.Add(t.ColdRemaining)}
			if !first && t.ColdRemaining == 0 {
				known.returnedAt = now
			}
			w.targets[id] = known
			w.logCold(t, "started")
		case known.ColdRemaining != t.ColdRemaining:
			if known.ColdRemaining == 0 {
				w.logCold(t, "stated")
			}
			known.statedUntil, known.returnedAt = now.Add(t.ColdRemaining), time.Time{}
		}
		known.Target, known.listing, known.listedAt = t, w.listing+1, now
	}
	w.listing++
	maps.DeleteFunc(w.targets, func(_ deployment.TargetID, t *target) bool { return now.Sub(t.listedAt) > unlistedRetention })
}

// sameProcess reports whether a listed target is the process that is known: of one without a
// generation only its entry says so, if it has not lapsed. The caller holds the lock.
func (w *Targets) sameProcess(known *target, listed deployment.Target) bool {
	return known.Generation == listed.Generation && (listed.Generation != 0 || w.isListed(known))
}

// isListed reports whether a target is listed at present. The caller holds the lock.
func (w *Targets) isListed(t *target) bool { return t.listing == w.listing }

// logCold logs that a target is cold, unless it states that it is warm.
func (w *Targets) logCold(t deployment.Target, cause string) {
	if t.ColdRemaining > 0 && w.limited(t) {
		w.Log.Info("target is cold", zap.String("target", string(t.ID)), zap.String("zone", t.Zone), zap.Int64("generation", t.Generation),
			zap.String("cause", cause), zap.Duration("remaining", t.ColdRemaining))
	}
}

// ZonesReturned has all targets of zones count as cold, whose evacuation has ended.
func (w *Targets) ZonesReturned(zones []string) {
	returned := make(map[string]bool, len(zones))
	for _, zone := range zones {
		returned[zone] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, t := range w.targets {
		if returned[t.Zone] && w.limited(t.Target) {
			t.returnedAt = w.Now()
			count++
		}
	}
	w.Log.Info("targets of zones that are back count as cold", zap.Strings("zones", zones), zap.Int("targets", count))
}

// limited reports whether the requests to cold targets of a target's service are bounded.
func (w *Targets) limited(t deployment.Target) bool {
	service := w.Service(t.Service)
	return service != nil && service.ColdPerSecond > 0
}

// PerSecond returns how many requests a second a target tolerates since it is cold; false if
// it is warm, or tolerates any number.
func (w *Targets) PerSecond(t deployment.Target) (float64, bool) {
	service := w.Service(t.Service)
	if service == nil || service.ColdPerSecond <= 0 {
		return 0, false
	}
	if w.WokeWithin != nil && w.WokeWithin(wakeTime) || w.Restarted != nil && w.Restarted(t) {
		return service.ColdPerSecond, true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.targets[t.ID]
	cold := !ok || known.Generation != t.Generation || known.coldAt(w.Now(), service.ColdStart)
	return service.ColdPerSecond, cold
}

// coldAt reports whether the target is cold, if it takes warmupTime to warm up.
func (t *target) coldAt(now time.Time, warmupTime time.Duration) bool {
	return now.Before(t.statedUntil) || !t.returnedAt.IsZero() && now.Before(t.returnedAt.Add(warmupTime))
}

// ColdByZone returns how many targets are cold in each zone that has targets.
func (w *Targets) ColdByZone() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	cold := map[string]int{}
	for _, t := range w.targets {
		if !w.isListed(t) {
			continue
		}
		count := cold[t.Zone]
		if service := w.Service(t.Service); service != nil && service.ColdPerSecond > 0 && t.coldAt(w.Now(), service.ColdStart) {
			count++
		}
		cold[t.Zone] = count
	}
	return cold
}
