package origin

import (
	"maps"
	"sync"
	"time"

	"heatherrelay/internal/deployment"
)

// recordMargin is how much longer than Retention origins are recorded for a version that
// is gone: the store forgets it a little later than the instances do.
const recordMargin = 5 * time.Second

// Versions knows which software versions the targets of each service have, and had
// within Retention. Set Now before the first use. It is safe for concurrent use.
type Versions struct {
	Now func() time.Time

	mu sync.Mutex
	// lastListed is when each version was last listed, by service. The versions in
	// listed still are.
	lastListed map[string]map[string]time.Time
	listed     map[string]map[string]bool
	observedAt time.Time
	// restored is set once what the store holds of earlier versions was added.
	restored bool
	changes  uint64
	// unknownAt is when a service last began a stream at a process of an unknown version.
	unknownAt map[string]time.Time
	// gone holds the versions that the store holds as gone, as far as is known.
	gone map[versionKey]goneVersion
}

// versionKey names a version of a service.
type versionKey struct{ service, version string }

// Observe replaces the listed targets. It returns the services that have several
// versions now and had not before.
func (v *Versions) Observe(targets map[deployment.TargetID]deployment.Target) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Now()
	if v.observedAt.IsZero() {
		v.observedAt = now
	}
	previous := v.listed
	v.listed = map[string]map[string]bool{}
	for _, t := range targets {
		if v.listed[t.Service] == nil {
			v.listed[t.Service] = map[string]bool{}
		}
		v.listed[t.Service][t.SoftwareVersion] = true
	}
	var mixed []string
	for service, versions := range v.listed {
		before := v.count(service, now, Retention)
		v.touch(service, versions, now)
		if before < 2 && v.count(service, now, Retention) > 1 {
			mixed = append(mixed, service)
		}
	}
	for service, versions := range previous {
		v.touch(service, versions, now)
	}
	v.removeOld(now)
	maps.DeleteFunc(v.unknownAt, func(_ string, at time.Time) bool { return now.Sub(at) >= recordMargin })
	if !maps.EqualFunc(previous, v.listed, maps.Equal) {
		v.changes++
	}
	return mixed
}

// removeOld removes the versions that were listed too long ago to count.
func (v *Versions) removeOld(now time.Time) {
	for service, versions := range v.lastListed {
		maps.DeleteFunc(versions, func(version string, at time.Time) bool {
			return !v.listed[service][version] && now.Sub(at) > Retention+recordMargin
		})
		if len(versions) == 0 {
			delete(v.lastListed, service)
		}
	}
}

// Changes returns how often what the store should hold has changed: the versions that
// are listed, and those that are gone for longer than Retention.
func (v *Versions) Changes() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Now()
	for key, g := range v.gone {
		if !g.expired && now.Sub(g.since) > Retention {
			g.expired = true
			v.gone[key] = g
			v.changes++
		}
	}
	return v.changes
}

// touch records that versions of a service were listed until now.
func (v *Versions) touch(service string, versions map[string]bool, now time.Time) {
	if v.lastListed == nil {
		v.lastListed = map[string]map[string]time.Time{}
	}
	if v.lastListed[service] == nil {
		v.lastListed[service] = map[string]time.Time{}
	}
	for version := range versions {
		v.lastListed[service][version] = now
	}
}

// count returns the number of versions that a service has or had within a time.
func (v *Versions) count(service string, now time.Time, within time.Duration) int {
	count := 0
	for version, at := range v.lastListed[service] {
		if v.listed[service][version] || now.Sub(at) <= within {
			count++
		}
	}
	return count
}

// Several reports whether a service has several versions, or had within Retention as
// far as this instance observed.
func (v *Versions) Several(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.count(service, v.Now(), Retention) > 1
}

// RecordUnknown records that a process of an unknown version has begun a stream of a
// service.
func (v *Versions) RecordUnknown(service string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unknownAt == nil {
		v.unknownAt = map[string]time.Time{}
	}
	v.unknownAt[service] = v.Now()
}

// NeedsRecords reports whether the origins of a service's streams matter to other
// instances: it has several versions, or the store may not have forgotten one yet, or a
// process of an unknown version has just begun one.
func (v *Versions) NeedsRecords(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Now()
	if at, ok := v.unknownAt[service]; ok && now.Sub(at) < recordMargin {
		return true
	}
	return v.count(service, now, Retention+recordMargin) > 1
}

// Only returns the version of a service that has just one at present.
func (v *Versions) Only(service string) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.listed[service]) != 1 {
		return "", false
	}
	for version := range v.listed[service] {
		return version, true
	}
	return "", false
}

// Complete reports whether Several misses no version: this instance has observed the
// targets, for the whole of Retention or since what the store holds of the time before.
func (v *Versions) Complete() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.observedAt.IsZero() && (v.restored || v.Now().Sub(v.observedAt) > Retention)
}
