package catalog

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/object"
)

// The pace of the copies.
const (
	// waitShare is the part of a limit for which a watch may be held back. Watches
	// return at once when something changes; the wait bounds how long a silent
	// connection goes unnoticed. A confirmation is up to two waits old: it counts
	// from before the watch was sent.
	waitShare = 0.3
	// targetsPause is the time between changes of targets: entries change with
	// each adapter that an engine loads.
	targetsPause  = 800 * time.Millisecond
	versionsPause = 200 * time.Millisecond
	// versionsLimit is how long after their announcement versions must be known.
	versionsLimit = 4 * time.Second
	// limitShare is the part of a limit from which an instance that counts on others
	// reads the store itself: the change must be in force in time.
	limitShare = 0.8
	// reappearTime is how long after an outage of the store a target that is
	// alive may take to be listed again.
	reappearTime = 2 * time.Second
)

// Kinds names the kinds of the store's objects.
type Kinds struct {
	Configuration object.Kind
	Targets       object.Kind
	Versions      object.Kind
	// ConfigurationName is the name of the configuration object.
	ConfigurationName string
}

// Catalog holds what the instance believes. Reading it takes no lock that a call
// to the store holds. Set the exported fields before Run.
type Catalog struct {
	Kinds Kinds
	Store object.Store
	// HashKeys replaces the keys in a configuration object by their hashes.
	HashKeys func(object.Object) object.Object
	// TrimTarget leaves in a target's object what DecodeTarget reads; may be nil.
	TrimTarget func(object.Object) object.Object
	// DecodeConfiguration, DecodeTarget and DecodeVersion read stored values.
	DecodeConfiguration func(json.RawMessage) (*deployment.Configuration, error)
	DecodeTarget        func(name string, value json.RawMessage) (deployment.Target, error)
	DecodeVersion       func(name string, value json.RawMessage) (deployment.AdapterVersion, error)
	// Reads says that this instance reads the store for others; one that does not
	// takes the word of others as long as it is new. Nil means that it does.
	Reads func() bool
	// ConfigurationLimit and TargetsLimit are how long after their change the
	// configuration and the targets must be in force.
	ConfigurationLimit time.Duration
	TargetsLimit       time.Duration
	// TargetsChanged is called with the targets after each change; may be nil.
	TargetsChanged func(map[deployment.TargetID]deployment.Target)
	Now            func() time.Time
	Log            *zap.Logger

	once          sync.Once
	configuration Follower
	targets       Follower
	versions      Follower

	current       atomic.Pointer[deployment.Configuration]
	versionByName atomic.Pointer[map[deployment.AdapterName]uint64]
	targetByID    atomic.Pointer[map[deployment.TargetID]deployment.Target]

	// unlisted are targets that vanished around an outage of the store and are kept
	// for now. Only takeTargets uses it, which is called once at a time.
	unlisted map[deployment.TargetID]bool
}

func (c *Catalog) init() {
	c.once.Do(func() {
		c.configuration = c.follower(c.Kinds.Configuration, c.ConfigurationLimit, c.takeConfiguration)
		c.configuration.Clean = c.HashKeys
		c.targets = c.follower(c.Kinds.Targets, c.TargetsLimit, c.takeTargets)
		c.targets.Clean, c.targets.Pause = c.TrimTarget, targetsPause
		c.versions = c.follower(c.Kinds.Versions, versionsLimit, c.takeVersions)
		c.versions.Pause = versionsPause
		c.versionByName.Store(&map[deployment.AdapterName]uint64{})
		c.targetByID.Store(&map[deployment.TargetID]deployment.Target{})
		c.unlisted = map[deployment.TargetID]bool{}
	})
}

func (c *Catalog) follower(kind object.Kind, limit time.Duration, changed func([]object.Object)) Follower {
	overdue := time.Duration(limitShare * float64(limit))
	return Follower{
		Store: c.Store, Kind: kind, Wait: time.Duration(waitShare * float64(limit)), Changed: changed, Now: c.Now, Log: c.Log,
		Idle: func(age time.Duration) bool { return c.Reads != nil && !c.Reads() && age < overdue },
	}
}

// Run follows the store until ctx ends.
func (c *Catalog) Run(ctx context.Context) {
	c.init()
	var group conc.WaitGroup
	group.Go(func() { c.configuration.Run(ctx) })
	group.Go(func() { c.targets.Run(ctx) })
	group.Go(func() { c.versions.Run(ctx) })
	group.Wait()
}

// Followers returns the copies by the kind of their objects.
func (c *Catalog) Followers() map[object.Kind]*Follower {
	c.init()
	return map[object.Kind]*Follower{
		c.Kinds.Configuration: &c.configuration,
		c.Kinds.Targets:       &c.targets,
		c.Kinds.Versions:      &c.versions,
	}
}

// Configuration returns the configuration in force; nil until one is known.
func (c *Catalog) Configuration() *deployment.Configuration { return c.current.Load() }

// ConfigurationAge is how long ago a read of the store last confirmed the
// configuration, by this instance or by a peer; false when none did.
func (c *Catalog) ConfigurationAge() (time.Duration, bool) {
	c.init()
	at := c.configuration.State().ConfirmedAt
	return c.Now().Sub(at), !at.IsZero()
}

// Version returns the newest announced version of an adapter; zero without one.
func (c *Catalog) Version(name deployment.AdapterName) uint64 {
	c.init()
	return (*c.versionByName.Load())[name]
}

// Targets returns all targets. The map must not be changed.
func (c *Catalog) Targets() map[deployment.TargetID]deployment.Target {
	c.init()
	return *c.targetByID.Load()
}

func (c *Catalog) takeConfiguration(objects []object.Object) {
	for _, o := range objects {
		if o.Name != c.Kinds.ConfigurationName {
			continue
		}
		configuration, err := c.DecodeConfiguration(o.Value)
		if err != nil {
			c.Log.Error("configuration unreadable, the one before stays in force", zap.Uint64("revision", o.Revision), zap.Error(err))
			continue
		}
		c.current.Store(configuration)
		c.Log.Info("configuration in force", zap.Uint64("version", configuration.Version), zap.Uint64("revision", o.Revision),
			zap.Int("routes", len(configuration.Routes)), zap.Int("teams", len(configuration.Teams)), zap.Int("keys", len(configuration.TeamByKey)))
	}
}

func (c *Catalog) takeVersions(objects []object.Object) {
	versions := map[deployment.AdapterName]uint64{}
	for _, o := range objects {
		v, err := c.DecodeVersion(o.Name, o.Value)
		if err != nil {
			c.Log.Warn("version unreadable", zap.String("name", o.Name), zap.Error(err))
			continue
		}
		if v.Version > versions[v.AdapterName] {
			versions[v.AdapterName] = v.Version
		}
	}
	c.versionByName.Store(&versions)
}

func (c *Catalog) takeTargets(objects []object.Object) {
	listed := make(map[deployment.TargetID]deployment.Target, len(objects))
	for _, o := range objects {
		t, err := c.DecodeTarget(o.Name, o.Value)
		if err != nil {
			c.Log.Warn("target entry unreadable, passed over", zap.String("name", o.Name), zap.Error(err))
			continue
		}
		listed[t.ID] = t
	}
	c.keepUnlisted(listed)
	c.targetByID.Store(&listed)
	if c.TargetsChanged != nil {
		c.TargetsChanged(listed)
	}
}

// keepUnlisted keeps targets that vanished around an outage of the store until
// they had time to be listed again.
func (c *Catalog) keepUnlisted(listed map[deployment.TargetID]deployment.Target) {
	now := c.Now()
	until := c.targets.Regained().Add(reappearTime)
	for id, t := range *c.targetByID.Load() {
		if _, ok := listed[id]; ok {
			delete(c.unlisted, id)
			continue
		}
		if t.Draining || !now.Before(until) {
			c.Log.Info("target gone", zap.String("target", string(id)))
			continue
		}
		listed[id] = t
		if !c.unlisted[id] {
			c.Log.Info("target not listed after an outage of the store, kept for now", zap.String("target", string(id)))
			// Those that are not listed again in time are dropped then.
			time.AfterFunc(until.Sub(now), c.targets.Repeat)
		}
		c.unlisted[id] = true
	}
}
