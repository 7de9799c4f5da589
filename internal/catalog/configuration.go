package catalog

import (
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/platformstore"
)

// rewriteGrace is how long after a restore of the store from a copy the operator may
// take to write again what the copy lacks.
const rewriteGrace = 2 * time.Second

// ConfigurationAge returns the time since a read of the store, by this instance or
// a peer, last confirmed the configuration. It returns false if there was none. Reads
// of a store that was restored from a copy confirm nothing until the operator has
// written again: the copy may lack the withdrawal of a key.
func (c *Catalog) ConfigurationAge() (time.Duration, bool) {
	c.init()
	now, at, restore := c.Now(), c.configurationFollower.State().ConfirmedAt, c.configurationFollower.LastRestore()
	if c.isBehind() || !restore.At.IsZero() && !restore.settled(now) {
		at = restore.ConfirmedBefore
	}
	return now.Sub(at), !at.IsZero()
}

// isBehind reports whether the store has an older version of the configuration than
// the active one, or none.
func (c *Catalog) isBehind() bool {
	c.configurationMu.Lock()
	defer c.configurationMu.Unlock()
	return c.storeIsBehind
}

// RetainedConfiguration returns the object of the active configuration if the store has
// only an older one and the version is above the given one, and false otherwise.
func (c *Catalog) RetainedConfiguration(above uint64) (platformstore.Object, bool) {
	c.configurationMu.Lock()
	defer c.configurationMu.Unlock()
	active := c.activeConfiguration.Load()
	return c.activeObject, c.storeIsBehind && active != nil && active.Version > above
}

// AdoptConfiguration makes a configuration active that a peer retains while the store
// has only an older one. It is ignored unless its version is above that of the active
// one.
func (c *Catalog) AdoptConfiguration(o platformstore.Object) {
	c.init()
	c.configurationMu.Lock()
	defer c.configurationMu.Unlock()
	configuration, err := c.DecodeConfiguration(o.Value)
	if err != nil {
		c.Log.Warn("configuration of a peer cannot be decoded, ignored", zap.Error(err))
		return
	}
	if active := c.activeConfiguration.Load(); active != nil && configuration.Version <= active.Version {
		return
	}
	c.storeIsBehind = true
	c.activate(configuration, o, 0)
}

// applyConfiguration makes the stored configuration the active one. If it cannot be
// decoded, the previous one stays active, and also if it is older and from a store that
// was restored from a copy since the previous one was read.
func (c *Catalog) applyConfiguration(objects []platformstore.Object) {
	c.configurationMu.Lock()
	defer c.configurationMu.Unlock()
	active, generation := c.activeConfiguration.Load(), c.configurationFollower.State().Generation
	restored := active != nil && generation > c.activeGeneration
	c.storeIsBehind = restored
	for _, o := range objects {
		if o.Name != c.Kinds.ConfigurationName {
			continue
		}
		configuration, err := c.DecodeConfiguration(o.Value)
		if err != nil {
			c.Log.Error("configuration cannot be decoded, the previous one stays active", zap.Uint64("revision", o.Revision), zap.Error(err))
			continue
		}
		if restored && configuration.Version < active.Version {
			c.Log.Warn("stored configuration is older than the active one, which stays", zap.Uint64("version", configuration.Version),
				zap.Uint64("active", active.Version), zap.Uint64("revision", o.Revision))
			continue
		}
		c.storeIsBehind = false
		c.activate(configuration, o, generation)
	}
}

// activate makes a configuration, as read in a generation of the store, the active one.
// The caller holds configurationMu.
func (c *Catalog) activate(configuration *deployment.Configuration, o platformstore.Object, generation uint64) {
	c.activeObject, c.activeGeneration = o, generation
	c.activeConfiguration.Store(configuration)
	c.Log.Info("configuration is active", zap.Uint64("version", configuration.Version), zap.Uint64("revision", o.Revision),
		zap.Int("routes", len(configuration.Routes)), zap.Int("teams", len(configuration.Teams)), zap.Int("keys", len(configuration.TeamByKey)))
}
