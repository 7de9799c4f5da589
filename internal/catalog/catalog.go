package catalog

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/platformstore"
)

// The timing of the replicas. A limit is the time within which a change must be
// applied.
const (
	// watchWaitFraction is the part of a limit for which the store may hold a watch
	// without changes. A watch returns at once when something changes; the wait
	// bounds how long a dead connection goes unnoticed. A confirmation gets up to
	// two waits old, since it counts from when the watch was sent.
	watchWaitFraction = 0.3
	// configurationWaitFraction is the same for the configuration. An instance that reads a
	// large one itself needs more of the limit for that.
	configurationWaitFraction = 0.2
	// targetsBatchDelay and versionsBatchDelay are the pauses between a result with
	// changes and the next watch. The one for targets is long because target entries
	// change with each adapter that an engine loads.
	targetsBatchDelay  = 800 * time.Millisecond
	versionsBatchDelay = 200 * time.Millisecond
	// versionsLimit is the time within which an announced version must be known.
	versionsLimit = 4 * time.Second
	// crashesLimit is the same for reports on crashed targets, which reach most
	// instances sooner from their peers.
	crashesLimit = 4 * time.Second
	// firstReplicaWait is how long after the first start of the whole fleet an instance
	// that need not read the store waits for the replica of a peer that does.
	firstReplicaWait = 1500 * time.Millisecond
	// ownReadFraction is the part of a limit after which an instance whose peers have
	// not confirmed its replica reads the store itself. The rest of the limit is left
	// for applying the change.
	ownReadFraction = 0.8
	// configurationOwnReadFraction is the same for the configuration.
	configurationOwnReadFraction = 0.65
	// unheardReadFraction is the same for an instance that no longer hears the one which
	// reads for it.
	unheardReadFraction = 0.4
	// ownReadTime is the time that such a read takes at most while the store answers.
	ownReadTime = time.Second
)

// cadence is how often a follower reads the store.
type cadence struct {
	// limit is the time within which a change must be applied. The store may hold a watch for
	// wait, and an instance whose peers have not confirmed its replica for ownRead reads it
	// itself.
	limit, wait, ownRead time.Duration
}

// usual returns the cadence for a limit.
func usual(limit time.Duration) cadence {
	return cadence{limit: limit, wait: fraction(watchWaitFraction, limit), ownRead: fraction(ownReadFraction, limit)}
}

// forConfiguration returns the cadence of the configuration.
func forConfiguration(limit time.Duration) cadence {
	return cadence{limit: limit, wait: fraction(configurationWaitFraction, limit), ownRead: fraction(configurationOwnReadFraction, limit)}
}

func fraction(part float64, of time.Duration) time.Duration {
	return time.Duration(part * float64(of))
}

// Kinds names the kinds under which the store holds the deployment's objects.
type Kinds struct {
	Configuration platformstore.Kind
	Targets       platformstore.Kind
	Versions      platformstore.Kind
	// Crashes is the kind of the reports on crashed targets, which instances write;
	// empty for none.
	Crashes platformstore.Kind
	// Evacuations is the kind of the objects that each name a zone whose targets are to get
	// nothing; empty for none.
	Evacuations platformstore.Kind
	// ConfigurationName is the name of the configuration object.
	ConfigurationName string
}

// Catalog holds this instance's replicas of the configuration, the targets and the
// adapter versions, and their decoded state. Reading the decoded state takes no
// lock. Set the exported fields before Run.
type Catalog struct {
	Kinds Kinds
	Store platformstore.Store
	// HashKeys replaces the keys in a configuration object by their hashes; may be
	// nil.
	HashKeys func(platformstore.Object) platformstore.Object
	// TrimTarget removes from a target's object what DecodeTarget does not read; may
	// be nil.
	TrimTarget func(platformstore.Object) platformstore.Object
	// DecodeConfiguration, DecodeTarget and DecodeVersion decode stored values.
	DecodeConfiguration func(json.RawMessage) (*deployment.Configuration, error)
	DecodeTarget        func(name string, value json.RawMessage) (deployment.Target, error)
	DecodeVersion       func(name string, value json.RawMessage) (deployment.AdapterVersion, error)
	// ReadsForPeers reports whether this instance reads the store on behalf of its
	// peers. An instance that does not relies on the replicas of its peers as long as
	// these are recent. Nil means that it does.
	ReadsForPeers func() bool
	// HearsReader reports whether an instance that reads the store for this one has lately
	// sent it anything; nil means that it has.
	HearsReader func() bool
	// Bootstrap is set when the whole fleet starts for the first time.
	Bootstrap bool
	// ConfigurationLimit and TargetsLimit are the times within which a change of the
	// configuration and of the targets must be applied.
	ConfigurationLimit time.Duration
	TargetsLimit       time.Duration
	// EvacuationLimit is the time within which the evacuation of a zone must be in force.
	EvacuationLimit time.Duration
	// OnEvacuationsChange is called with the evacuated zones after each change.
	OnEvacuationsChange func(zones map[string]bool)
	// OnTargetsChange is called with all targets after each change; may be nil.
	OnTargetsChange func(map[deployment.TargetID]deployment.Target)
	// SanitizeCrashes replaces the value of an object of the kind Crashes that cannot be
	// decoded; may be nil. The object itself is kept, since its name may be that of one
	// that instances write.
	SanitizeCrashes func(platformstore.Object) platformstore.Object
	// OnCrashesChange is called with all objects of the kind Crashes after each change.
	OnCrashesChange func([]platformstore.Object)
	Now             func() time.Time
	Log             *zap.Logger

	once                  sync.Once
	configurationFollower Follower
	targetsFollower       Follower
	versionsFollower      Follower
	crashesFollower       Follower
	evacuationsFollower   Follower

	activeConfiguration atomic.Pointer[deployment.Configuration]
	// configurationMu guards changes of activeConfiguration and the fields below.
	configurationMu sync.Mutex
	// activeObject is the stored object of the active configuration, activeGeneration
	// the store's generation in which it was read; zero if a peer retained it.
	activeObject     platformstore.Object
	activeGeneration uint64
	// storeIsBehind is set while the store has an older version of the configuration
	// than the active one, or none.
	storeIsBehind bool
	versionByName atomic.Pointer[map[deployment.AdapterName]uint64]
	targetByID    atomic.Pointer[map[deployment.TargetID]deployment.Target]

	// unlisted holds the targets that are missing from the store after an outage and
	// are retained for now, leaving those that drain or were removed. Only applyTargets
	// uses them, which never runs concurrently.
	unlisted map[deployment.TargetID]bool
	leaving  map[deployment.TargetID]leavingTarget
	// evacuated holds the evacuated zones. Only applyEvacuations uses it, which never runs
	// concurrently.
	evacuated map[string]bool
}

func (c *Catalog) init() {
	c.once.Do(func() {
		c.configurationFollower = c.follower(c.Kinds.Configuration, forConfiguration(c.ConfigurationLimit), c.applyConfiguration)
		c.configurationFollower.Sanitize, c.configurationFollower.Check = c.HashKeys, c.checkConfigurationName
		c.targetsFollower = c.follower(c.Kinds.Targets, usual(c.TargetsLimit), c.applyTargets)
		c.targetsFollower.Sanitize, c.targetsFollower.BatchDelay = c.TrimTarget, targetsBatchDelay
		c.versionsFollower = c.follower(c.Kinds.Versions, usual(versionsLimit), c.applyVersions)
		c.targetsFollower.Check = func(o platformstore.Object) error { return decodeError(c.DecodeTarget(o.Name, o.Value)) }
		c.versionsFollower.BatchDelay = versionsBatchDelay
		c.versionsFollower.Check = func(o platformstore.Object) error { return decodeError(c.DecodeVersion(o.Name, o.Value)) }
		if c.Kinds.Crashes != "" {
			c.crashesFollower = c.follower(c.Kinds.Crashes, usual(crashesLimit), c.OnCrashesChange)
			c.crashesFollower.Sanitize = c.SanitizeCrashes
		}
		if c.Kinds.Evacuations != "" {
			c.initEvacuations()
		}
		c.versionByName.Store(&map[deployment.AdapterName]uint64{})
		c.targetByID.Store(&map[deployment.TargetID]deployment.Target{})
		c.unlisted = map[deployment.TargetID]bool{}
		c.leaving = map[deployment.TargetID]leavingTarget{}
	})
}

// follower returns a follower of a kind.
func (c *Catalog) follower(kind platformstore.Kind, t cadence, onChange func([]platformstore.Object)) Follower {
	wait := time.Duration(0)
	if c.Bootstrap {
		wait = firstReplicaWait
	}
	return Follower{
		FirstReplicaWait: wait,
		Store:            c.Store, Kind: kind, MaxWatchWait: t.wait, OutageGap: t.ownRead + ownReadTime, OnChange: onChange, Now: c.Now, Log: c.Log,
		CoveredByPeers: func(age time.Duration) bool { return c.coveredByPeers(t, age) },
	}
}

// coveredByPeers reports whether this instance need not read the store, since a peer does that
// whose last confirmation is as old as given.
func (c *Catalog) coveredByPeers(t cadence, age time.Duration) bool {
	switch {
	case c.ReadsForPeers == nil || c.ReadsForPeers() || age >= t.ownRead:
		return false
	case age < fraction(unheardReadFraction, t.limit) || c.HearsReader == nil:
		return true
	}
	return c.HearsReader()
}

func decodeError[T any](_ T, err error) error { return err }

// checkConfigurationName returns an error for any object but the configuration, which is
// kept even if it cannot be decoded: the previous one stays active then.
func (c *Catalog) checkConfigurationName(o platformstore.Object) error {
	if o.Name != c.Kinds.ConfigurationName {
		return platformstore.ErrMalformed.New("%.100q is not the configuration", o.Name)
	}
	return nil
}

// SkippedObjects returns how often objects of the store were skipped that nobody can use.
func (c *Catalog) SkippedObjects() uint64 {
	skipped := uint64(0)
	for _, f := range c.Followers() {
		skipped += f.Skipped.Load()
	}
	return skipped
}

// Run keeps the replicas up to date with the store until ctx ends.
func (c *Catalog) Run(ctx context.Context) {
	c.init()
	var group conc.WaitGroup
	group.Go(func() { c.configurationFollower.Run(ctx) })
	group.Go(func() { c.targetsFollower.Run(ctx) })
	group.Go(func() { c.versionsFollower.Run(ctx) })
	if c.Kinds.Crashes != "" {
		group.Go(func() { c.crashesFollower.Run(ctx) })
	}
	if c.Kinds.Evacuations != "" {
		group.Go(func() { c.evacuationsFollower.Run(ctx) })
	}
	group.Wait()
}

// Followers returns the followers by the kind of their objects.
func (c *Catalog) Followers() map[platformstore.Kind]*Follower {
	c.init()
	followers := map[platformstore.Kind]*Follower{
		c.Kinds.Configuration: &c.configurationFollower,
		c.Kinds.Targets:       &c.targetsFollower,
		c.Kinds.Versions:      &c.versionsFollower,
	}
	if c.Kinds.Crashes != "" {
		followers[c.Kinds.Crashes] = &c.crashesFollower
	}
	if c.Kinds.Evacuations != "" {
		followers[c.Kinds.Evacuations] = &c.evacuationsFollower
	}
	return followers
}

// CrashObjects returns the stored reports on crashed targets.
func (c *Catalog) CrashObjects() []platformstore.Object {
	c.init()
	_, objects := c.crashesFollower.Snapshot()
	return objects
}

// StoreGeneration returns the highest generation of the store that this instance knows
// of, from the store's answers or from the replicas of its peers.
func (c *Catalog) StoreGeneration() uint64 {
	generation := c.Store.Generation()
	for _, f := range c.Followers() {
		generation = max(generation, f.State().Generation)
	}
	return generation
}

// Configuration returns the active configuration, or nil until one is known.
func (c *Catalog) Configuration() *deployment.Configuration { return c.activeConfiguration.Load() }

// NewestVersion returns the newest announced version of an adapter, or zero if none
// was announced.
func (c *Catalog) NewestVersion(name deployment.AdapterName) uint64 {
	c.init()
	return (*c.versionByName.Load())[name]
}

// Targets returns all targets. The caller must not modify the map.
func (c *Catalog) Targets() map[deployment.TargetID]deployment.Target {
	c.init()
	return *c.targetByID.Load()
}

// applyVersions stores the newest announced version of each adapter. Versions never go
// back: a store that was restored from a copy may lack the last announcements.
func (c *Catalog) applyVersions(objects []platformstore.Object) {
	versions := maps.Clone(*c.versionByName.Load())
	var odd skippedObjects
	for _, o := range objects {
		v, err := c.DecodeVersion(o.Name, o.Value)
		if err != nil {
			odd.add(err)
			continue
		}
		if v.Version > versions[v.AdapterName] {
			versions[v.AdapterName] = v.Version
		}
	}
	odd.log(c.Log, c.Kinds.Versions)
	c.versionByName.Store(&versions)
}
