package team

import (
	"context"
	"slices"
	"time"
)

// reclaimInterval is how often the other zones' ledgers are looked at.
const reclaimInterval = 20 * time.Second

// reclaim takes out the members that are gone. Their balances are lost.
func (k *Keeper) reclaim(zone *stored) bool {
	changed := false
	for _, m := range slices.Clone(zone.Members) {
		if k.gone(m.ID) {
			zone.Remove(m.ID, k.Release()+reclaimMarginReleases, Handed{})
			changed = true
		}
	}
	return changed
}

// reclaimZones takes back the parts of zones whose instances are all gone. One
// instance of a zone does it: the first in the zone's ledger.
func (k *Keeper) reclaimZones(ctx context.Context, root, own *stored, last moving) (bool, error) {
	if k.Now().Before(k.reclaimAt) || own.Members[0].ID != k.memberID() {
		return false, nil
	}
	for _, m := range slices.Clone(root.Members) {
		if m.ID == k.Zone {
			continue
		}
		zone, err := k.read(ctx, ledgerPrefix+m.ID)
		if err != nil {
			return false, err
		}
		if !k.allGone(&zone) {
			continue
		}
		return true, k.reclaimZone(ctx, root, &zone, m.ID, last)
	}
	k.reclaimAt = k.Now().Add(reclaimInterval)
	return false, nil
}

func (k *Keeper) allGone(zone *stored) bool {
	for _, m := range zone.Members {
		if !k.gone(m.ID) {
			return false
		}
	}
	return true
}

// reclaimZone takes one step: out of the zone's ledger, then out of the root's.
func (k *Keeper) reclaimZone(ctx context.Context, root, zone *stored, name string, last moving) error {
	if k.reclaim(zone) {
		return k.write(ctx, zone)
	}
	m := root.Find(name)
	switch {
	case m.Teams == 0 && m.Loads == 0:
		root.Remove(name, 0, Handed{})
		return k.write(ctx, root)
	case m.CedeTeams != m.Teams || m.CedeLoads != m.Loads:
		m.CedeTeams, m.CedeLoads = m.Teams, m.Loads
		return k.write(ctx, root)
	}
	_, err := k.balanceZones(ctx, root, zone, name, last)
	return err
}
