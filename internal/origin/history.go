package origin

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"heatherrelay/internal/platformstore"
)

// StoredVersions is the value of the object of the store with the software versions
// that each service has or lately had. It tells an instance that started after all
// others ended of a version whose last target was removed before.
type StoredVersions struct {
	Services map[string][]StoredVersion `json:"services"`
}

// DecodeVersions returns the versions that the store holds as value. It fails with
// platformstore.ErrMalformed if these are none.
func DecodeVersions(value json.RawMessage) (StoredVersions, error) {
	var stored StoredVersions
	if err := json.Unmarshal(value, &stored); err != nil {
		return StoredVersions{}, platformstore.ErrMalformed.Wrap(err)
	}
	if stored.Services == nil {
		return StoredVersions{}, platformstore.ErrMalformed.New("no services")
	}
	return stored, nil
}

// StoredVersion is one version of a service.
type StoredVersion struct {
	Version string `json:"version"`
	// GoneAt is zero while the version is listed. Else it tells one time at which it was
	// gone from another one; clocks differ and jump, so it says nothing about its age.
	GoneAt time.Time `json:"gone_at,omitzero"`
}

// goneVersion is a version that the store holds as gone, with the time from which this
// instance knows that.
type goneVersion struct {
	label, since time.Time
	// expired is set once that was Retention ago.
	expired bool
}

// Restore adds what the store holds of the versions before this instance's first
// observation, after which the history is complete. How long ago they were listed is not
// known, so all count as listed just now.
func (v *Versions) Restore(stored StoredVersions) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Now()
	for service, versions := range stored.Services {
		for _, s := range versions {
			v.touch(service, map[string]bool{s.Version: true}, now)
			v.noteGone(service, s, now)
		}
	}
	v.restored = true
}

// Learn adds the versions that others saw while this instance did not observe the targets.
// Those that it knows of are as it observed them.
func (v *Versions) Learn(stored StoredVersions) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Now()
	for service, versions := range stored.Services {
		for _, s := range versions {
			since := v.noteGone(service, s, now)
			if _, known := v.lastListed[service][s.Version]; !known && now.Sub(since) <= Retention {
				v.touch(service, map[string]bool{s.Version: true}, since)
			}
		}
	}
}

// Update returns the stored value with what this instance observed, and whether it says
// more than the present one. An instance that has observed nothing yet adds nothing. A
// version is removed once this instance has known for Retention that it is gone.
func (v *Versions) Update(stored StoredVersions, wallClock time.Time) (StoredVersions, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.observedAt.IsZero() {
		return stored, false
	}
	now := v.Now()
	updated := StoredVersions{Services: map[string][]StoredVersion{}}
	changed := false
	for service, versions := range stored.Services {
		for _, s := range versions {
			next := v.next(service, s, now, wallClock)
			if next.GoneAt.IsZero() || now.Sub(v.goneSince(service, next)) <= Retention {
				updated.add(service, next)
			}
			changed = changed || !slices.Contains(updated.Services[service], s)
		}
	}
	for service, versions := range v.lastListed {
		for version, at := range versions {
			if updated.has(service, version) || stored.has(service, version) || now.Sub(at) > Retention && !v.listed[service][version] {
				continue
			}
			updated.add(service, v.next(service, StoredVersion{Version: version}, now, wallClock))
			changed = true
		}
	}
	v.forgetGone(updated)
	for _, versions := range updated.Services {
		slices.SortFunc(versions, func(a, b StoredVersion) int { return cmp.Compare(a.Version, b.Version) })
	}
	return updated, changed
}

// next returns what the store should hold of a version that it holds as stored. One that
// this instance saw listed after it knew of that time is gone anew. The caller holds the
// lock.
func (v *Versions) next(service string, stored StoredVersion, now, wallClock time.Time) StoredVersion {
	next := stored
	switch {
	case v.listed[service][stored.Version]:
		next.GoneAt = time.Time{}
	case stored.GoneAt.IsZero():
		next.GoneAt = wallClock.UTC()
	case v.lastListed[service][stored.Version].After(v.noteGone(service, stored, now)):
		next.GoneAt = wallClock.UTC()
		if next.GoneAt.Equal(stored.GoneAt) {
			next.GoneAt = next.GoneAt.Add(time.Nanosecond)
		}
	}
	v.noteGone(service, next, now)
	return next
}

// noteGone notes that the store holds a version as it does. It returns since when this
// instance knows that the version is gone. The caller holds the lock.
func (v *Versions) noteGone(service string, s StoredVersion, now time.Time) time.Time {
	key := versionKey{service, s.Version}
	if s.GoneAt.IsZero() {
		delete(v.gone, key)
		return now
	}
	if known, ok := v.gone[key]; ok && known.label.Equal(s.GoneAt) {
		return known.since
	}
	if v.gone == nil {
		v.gone = map[versionKey]goneVersion{}
	}
	v.gone[key] = goneVersion{label: s.GoneAt, since: now}
	return now
}

// goneSince returns since when this instance knows that a version is gone. The caller
// holds the lock.
func (v *Versions) goneSince(service string, s StoredVersion) time.Time {
	return v.gone[versionKey{service, s.Version}].since
}

// forgetGone drops what is known of versions that the store no longer holds. The caller
// holds the lock.
func (v *Versions) forgetGone(stored StoredVersions) {
	maps.DeleteFunc(v.gone, func(key versionKey, _ goneVersion) bool { return !stored.has(key.service, key.version) })
}

func (s *StoredVersions) add(service string, version StoredVersion) {
	s.Services[service] = append(s.Services[service], version)
}

func (s *StoredVersions) has(service, version string) bool {
	return slices.ContainsFunc(s.Services[service], func(o StoredVersion) bool { return o.Version == version })
}
