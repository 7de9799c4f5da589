package catalog

import (
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/platformstore"
)

const (
	// relistGrace is how long after an outage of the store a running target may take
	// to be listed again.
	relistGrace = 2 * time.Second
	// lapseTime is how long after a restore the store may still list targets that
	// have ended, which it removes when they renew nothing.
	lapseTime = 10 * time.Second
	// leavingRetention is how long a removed target is remembered. The copies that the
	// store is restored from are some seconds old.
	leavingRetention = time.Minute
)

// leavingTarget is one process of a target that drains or was removed.
type leavingTarget struct {
	// process is the target's generation, storeGeneration that of the store in which
	// the target drained or was removed.
	process         int64
	storeGeneration uint64
	at              time.Time
	removed         bool
	// scheduled is set when the targets will be applied again after lapseTime.
	scheduled bool
}

// Departure is why a target gets no more requests; empty if it does.
type Departure string

// The departures of a target.
const (
	// Removed targets are not listed any more, Replaced ones have another process or another
	// address, Draining ones are about to leave.
	Removed  Departure = "removed"
	Replaced Departure = "replaced"
	Draining Departure = "draining"
)

// Departed returns why a target that was listed gets no more requests, empty if it does. A
// target that was chosen earlier may have left since.
func (c *Catalog) Departed(t deployment.Target) Departure {
	listed, ok := c.Targets()[t.ID]
	switch {
	case !ok:
		return Removed
	case listed.Generation != t.Generation, listed.Address != t.Address, listed.Service != t.Service:
		return Replaced
	case listed.Draining:
		return Draining
	}
	return ""
}

// applyTargets replaces the targets by the listed ones and those that are retained.
func (c *Catalog) applyTargets(objects []platformstore.Object) {
	listed := make(map[deployment.TargetID]deployment.Target, len(objects))
	var odd skippedObjects
	for _, o := range objects {
		t, err := c.DecodeTarget(o.Name, o.Value)
		if err != nil {
			odd.add(err)
			continue
		}
		listed[t.ID] = t
	}
	odd.log(c.Log, c.Kinds.Targets)
	c.keepNewerProcesses(listed)
	c.applyLeaving(listed)
	c.retainUnlisted(listed)
	c.targetByID.Store(&listed)
	if c.OnTargetsChange != nil {
		c.OnTargetsChange(listed)
	}
}

// retainUnlisted adds to the listed targets those that went missing around an
// outage of the store, until they had time to be listed again: the entry of a
// running target can lapse while the store is unavailable.
func (c *Catalog) retainUnlisted(listed map[deployment.TargetID]deployment.Target) {
	now := c.Now()
	retainUntil := c.targetsFollower.RegainedAt().Add(relistGrace)
	for id, t := range *c.targetByID.Load() {
		if _, ok := listed[id]; ok {
			delete(c.unlisted, id)
			continue
		}
		if t.Draining || !now.Before(retainUntil) {
			c.Log.Info("target removed", zap.String("target", string(id)))
			c.recordLeaving(t, true)
			continue
		}
		listed[id] = t
		if !c.unlisted[id] {
			c.Log.Info("target not listed after an outage of the store, retained for now", zap.String("target", string(id)))
			// Drops the target when the grace ends, unless it was listed again.
			time.AfterFunc(retainUntil.Sub(now), c.targetsFollower.Renotify)
		}
		c.unlisted[id] = true
	}
}

// keepNewerProcesses replaces the listed targets of which a newer process is known: the
// store may have been restored from a copy that is older than its start.
func (c *Catalog) keepNewerProcesses(listed map[deployment.TargetID]deployment.Target) {
	if !c.Now().Before(c.targetsFollower.LastRestore().At.Add(lapseTime)) {
		return
	}
	for id, known := range *c.targetByID.Load() {
		if t, ok := listed[id]; ok && t.Generation < known.Generation {
			listed[id] = known
		}
	}
}

// recordLeaving remembers that a target drains or was removed.
func (c *Catalog) recordLeaving(t deployment.Target, removed bool) {
	c.leaving[t.ID] = leavingTarget{
		process: t.Generation, storeGeneration: c.targetsFollower.State().Generation, at: c.Now(), removed: removed,
	}
}

// applyLeaving corrects the listed targets after a restore of the store from a copy:
// a process that drained stays draining, and one that was removed stays removed until
// the store would have removed its entry.
func (c *Catalog) applyLeaving(listed map[deployment.TargetID]deployment.Target) {
	generation := c.targetsFollower.State().Generation
	for id, l := range c.leaving {
		t, ok := listed[id]
		switch {
		case !ok:
			if c.Now().Sub(l.at) > leavingRetention {
				delete(c.leaving, id)
			}
		case t.Draining && !l.removed:
			l.storeGeneration = generation
			c.leaving[id] = l
		case t.Generation != l.process, l.storeGeneration == generation:
			delete(c.leaving, id)
		case l.removed:
			c.dropRemoved(listed, t, l)
		default:
			t.Draining = true
			listed[id] = t
		}
	}
	for _, t := range listed {
		if t.Draining && !c.leaving[t.ID].holds(t) {
			c.recordLeaving(t, false)
		}
	}
}

// holds reports whether the target's process is already known to drain.
func (l leavingTarget) holds(t deployment.Target) bool {
	return l.process == t.Generation && !l.removed && !l.at.IsZero()
}

// dropRemoved removes a target from the listed ones if the store may list it only
// because it was restored from a copy.
func (c *Catalog) dropRemoved(listed map[deployment.TargetID]deployment.Target, t deployment.Target, l leavingTarget) {
	remaining := c.targetsFollower.LastRestore().At.Add(lapseTime).Sub(c.Now())
	if remaining <= 0 {
		delete(c.leaving, t.ID)
		return
	}
	delete(listed, t.ID)
	if l.scheduled {
		return
	}
	l.scheduled = true
	c.leaving[t.ID] = l
	c.Log.Info("target was removed before the store was restored, not used for now", zap.String("target", string(t.ID)))
	time.AfterFunc(remaining, c.targetsFollower.Renotify)
}
