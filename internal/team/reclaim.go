package team

import (
	"context"
	"slices"
	"time"
)

// reclaimZonesInterval is the time between checks of the other zones' ledgers.
const reclaimZonesInterval = 20 * time.Second

// removeGoneMembers removes members that are gone from a zone's ledger and
// reports whether there were any. Their balances are lost.
func (r *Reconciler) removeGoneMembers(zone *storedLedger) bool {
	changed := false
	for _, m := range slices.Clone(zone.Members) {
		if r.memberGone(m.ID) {
			zone.Remove(m.ID, r.ReleaseNumber()+reclaimMarginReleases, CarryOver{})
			changed = true
		}
	}
	return changed
}

// reclaimZones takes back the parts of a zone whose instances are all gone, and
// reports whether it took a step. Only the first instance in the local zone's
// ledger does so.
func (r *Reconciler) reclaimZones(ctx context.Context, root, localZone *storedLedger, inTransit partsInTransit) (bool, error) {
	if r.Now().Before(r.nextZoneCheck) || localZone.Members[0].ID != r.memberID() {
		return false, nil
	}
	for _, m := range slices.Clone(root.Members) {
		if m.ID == r.Zone {
			continue
		}
		zone, err := r.read(ctx, ledgerPrefix+m.ID)
		if err != nil {
			return false, err
		}
		if !r.allMembersGone(&zone) {
			continue
		}
		return true, r.reclaimZone(ctx, root, &zone, m.ID, inTransit)
	}
	r.nextZoneCheck = r.Now().Add(reclaimZonesInterval)
	return false, nil
}

func (r *Reconciler) allMembersGone(zone *storedLedger) bool {
	for _, m := range zone.Members {
		if !r.memberGone(m.ID) {
			return false
		}
	}
	return true
}

// reclaimZone takes one step: it first empties the zone's ledger, then moves
// the zone's parts to the root's pool, and last removes the zone from the root
// ledger.
func (r *Reconciler) reclaimZone(ctx context.Context, root, zone *storedLedger, name string, inTransit partsInTransit) error {
	if r.removeGoneMembers(zone) {
		return r.write(ctx, zone)
	}
	m := root.Find(name)
	switch {
	case m.Teams == 0 && m.Loads == 0:
		root.Remove(name, 0, CarryOver{})
		return r.write(ctx, root)
	case m.CedeTeams != m.Teams || m.CedeLoads != m.Loads:
		m.CedeTeams, m.CedeLoads = m.Teams, m.Loads
		return r.write(ctx, root)
	}
	_, err := r.balanceZones(ctx, root, zone, name, inTransit)
	return err
}
