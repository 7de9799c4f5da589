package publication

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"heatherrelay/internal/objectstore"
)

// Status tells where a note is in force.
type Status struct {
	Number uint64 `json:"number"`
	// Accepted says that the note stands in the platform.
	Accepted bool `json:"accepted"`
	// InForce says that every known instance has it in force, and that there is one.
	InForce bool         `json:"in_force"`
	Zones   []ZoneStatus `json:"zones"`
}

// ZoneStatus is the part of a status about one zone.
type ZoneStatus struct {
	Zone      string    `json:"zone"`
	Instances int       `json:"instances"`
	InForce   int       `json:"in_force"`
	Missing   []Missing `json:"missing,omitempty"`
}

// MissingText returns a short text for each instance that has not the note in force.
func (z ZoneStatus) MissingText() []string {
	var texts []string
	for _, m := range z.Missing {
		texts = append(texts, fmt.Sprintf("%s (%s)", m.Instance, m.Reason))
	}
	return texts
}

// Missing is an instance that has not the note in force, as far as is known.
type Missing struct {
	Instance string `json:"instance"`
	// ReleaseInForce is the last number that the instance told of.
	ReleaseInForce uint64 `json:"release_in_force"`
	Reason         string `json:"reason"`
}

// StatusReader reads from the instances' leases where notes are in force. Since
// a number in force only rises, a lease that tells of the note or a later one
// is proof however old it is; an instance that is listed and holds no such
// lease counts as missing.
type StatusReader struct {
	Store objectstore.Store
}

// Read returns the status of note number.
func (r StatusReader) Read(ctx context.Context, number uint64) (Status, error) {
	status := Status{Number: number}
	_, err := r.Store.Get(ctx, NoteKey(number))
	if err != nil && !objectstore.ErrNotFound.Has(err) {
		return status, err
	}
	status.Accepted = err == nil
	entries, err := r.Store.Instances(ctx)
	if err != nil {
		return status, err
	}
	leases, err := readLeases(ctx, r.Store)
	if err != nil {
		return status, err
	}
	status.Zones = zones(number, entries, leases)
	status.InForce = status.Accepted && len(status.Zones) > 0
	for _, z := range status.Zones {
		status.InForce = status.InForce && len(z.Missing) == 0
	}
	return status, nil
}

func readLeases(ctx context.Context, store objectstore.Store) (map[string]objectstore.InstanceLease, error) {
	listing, err := store.List(ctx, objectstore.InstanceLeasePrefix)
	if err != nil {
		return nil, err
	}
	leases := map[string]objectstore.InstanceLease{}
	for _, object := range listing.Objects {
		var lease objectstore.InstanceLease
		if err := json.Unmarshal(object.Value, &lease); err != nil {
			return nil, objectstore.ErrUnavailable.New("%s: %w", object.Key, err)
		}
		leases[strings.TrimPrefix(object.Key, objectstore.InstanceLeasePrefix)] = lease
	}
	return leases, nil
}

// zones sorts all instances, listed or holding a lease, into their zones.
func zones(number uint64, entries []objectstore.InstanceEntry, leases map[string]objectstore.InstanceLease) []ZoneStatus {
	zoneOf := map[string]string{}
	for id, lease := range leases {
		zoneOf[id] = lease.Zone
	}
	for _, e := range entries {
		zoneOf[e.ID] = e.Zone
	}
	byZone := map[string]*ZoneStatus{}
	for _, id := range slices.Sorted(maps.Keys(zoneOf)) {
		name := zoneOf[id]
		if byZone[name] == nil {
			byZone[name] = &ZoneStatus{Zone: name}
		}
		lease, ok := leases[id]
		byZone[name].count(id, number, lease, ok)
	}
	sorted := []ZoneStatus{}
	for _, name := range slices.Sorted(maps.Keys(byZone)) {
		sorted = append(sorted, *byZone[name])
	}
	return sorted
}

func (z *ZoneStatus) count(id string, number uint64, lease objectstore.InstanceLease, ok bool) {
	z.Instances++
	if ok && lease.ReleaseInForce >= number {
		z.InForce++
		return
	}
	z.Missing = append(z.Missing, Missing{Instance: id, ReleaseInForce: lease.ReleaseInForce, Reason: missingReason(lease, ok)})
}

func missingReason(lease objectstore.InstanceLease, ok bool) string {
	switch {
	case !ok:
		return "holds no lease"
	case lease.Leaving:
		return fmt.Sprintf("leaving, at %d", lease.ReleaseInForce)
	case !lease.Ready:
		return fmt.Sprintf("not ready, at %d", lease.ReleaseInForce)
	}
	return fmt.Sprintf("at %d", lease.ReleaseInForce)
}
