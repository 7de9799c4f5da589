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

// Status describes where a note is in force.
type Status struct {
	Number uint64 `json:"number"`
	// Accepted is set when the note is stored in the platform.
	Accepted bool `json:"accepted"`
	// InForce is set when the note is accepted and in force on every known
	// instance, of which there must be at least one.
	InForce bool         `json:"in_force"`
	Zones   []ZoneStatus `json:"zones"`
}

// ZoneStatus is the status of a note in one zone.
type ZoneStatus struct {
	Zone      string    `json:"zone"`
	Instances int       `json:"instances"`
	InForce   int       `json:"in_force"`
	Missing   []Missing `json:"missing,omitempty"`
}

// MissingText returns a short text for each instance on which the note is not
// known to be in force.
func (z ZoneStatus) MissingText() []string {
	var texts []string
	for _, m := range z.Missing {
		texts = append(texts, fmt.Sprintf("%s (%s)", m.Instance, m.Reason))
	}
	return texts
}

// Missing is an instance on which the note is not known to be in force.
type Missing struct {
	Instance string `json:"instance"`
	// ReleaseInForce is the last number that the instance's lease reported in
	// force; zero without a lease.
	ReleaseInForce uint64 `json:"release_in_force"`
	Reason         string `json:"reason"`
}

// StatusReader determines from the instances' leases where a note is in force.
// The number in force on an instance only rises, so a lease that reports the note
// or a later one is proof regardless of its age. An instance on the platform's
// list that holds no such lease counts as missing.
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
	status.Zones = groupByZone(number, entries, leases)
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

// groupByZone groups all instances, listed or holding a lease, by zone. The zone
// in the list takes precedence over the one in the lease.
func groupByZone(number uint64, entries []objectstore.InstanceEntry, leases map[string]objectstore.InstanceLease) []ZoneStatus {
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
		lease, hasLease := leases[id]
		byZone[name].addInstance(id, number, lease, hasLease)
	}
	sorted := []ZoneStatus{}
	for _, name := range slices.Sorted(maps.Keys(byZone)) {
		sorted = append(sorted, *byZone[name])
	}
	return sorted
}

func (z *ZoneStatus) addInstance(id string, number uint64, lease objectstore.InstanceLease, hasLease bool) {
	z.Instances++
	if hasLease && lease.ReleaseInForce >= number {
		z.InForce++
		return
	}
	z.Missing = append(z.Missing, Missing{Instance: id, ReleaseInForce: lease.ReleaseInForce, Reason: missingReason(lease, hasLease)})
}

func missingReason(lease objectstore.InstanceLease, hasLease bool) string {
	switch {
	case !hasLease:
		return "holds no lease"
	case lease.Leaving:
		return fmt.Sprintf("leaving, at %d", lease.ReleaseInForce)
	case !lease.Ready:
		return fmt.Sprintf("not ready, at %d", lease.ReleaseInForce)
	}
	return fmt.Sprintf("at %d", lease.ReleaseInForce)
}
