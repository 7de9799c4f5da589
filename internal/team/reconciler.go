package team

import (
	"context"
	"math"
	"strings"
	"time"

	"heatherrelay/internal/objectstore"
)

// Keys of the ledgers in the store. A zone's ledger is stored under
// ledgerPrefix followed by the zone's name.
const (
	ledgerPrefix = "allowance/"
	rootKey      = "allowance/.root"
)

// Reconciler keeps one instance's claim consistent with the stored ledgers. It
// joins its zone's ledger, marks other members to cede parts, cedes the parts
// it is marked for, and takes parts from the free pool. It reduces its spending
// before it writes the reduction, and increases it only after the write is
// known to have succeeded.
type Reconciler struct {
	Zone       string
	InstanceID string
	// Epoch distinguishes this process from earlier ones with the same instance
	// id.
	Epoch string
	Store objectstore.Store
	// Now returns the current time.
	Now func() time.Time
	// ApplyClaim sets the claim that was read from the platform at readAt, and
	// returns the balances that exceed it.
	ApplyClaim func(readAt time.Time, claim Claim) CarryOver
	// Deposit adds the balances of parts that were added to the claim.
	Deposit func(Parts)
	// DropClaim sets the claim to nothing and returns all balances.
	DropClaim func() CarryOver
	// ReleaseNumber returns the number of the release in force on this
	// instance.
	ReleaseNumber func() uint64
	// Gone reports whether an instance can never spend again: it is missing
	// from the platform's list of instances, and its lease has not been renewed
	// for a lease term.
	Gone func(instanceID string) bool

	// carryOver holds balances that were removed from the local slices and are
	// not written to the ledger yet.
	carryOver CarryOver
	// ceding is the part that this instance is marked to cede. It stopped
	// spending it at reducedAt.
	ceding    Claim
	reducedAt time.Time
	// inTransit holds what the previous step took out of a zone's pool.
	inTransit partsInTransit
	// nextZoneCheck is when to check the other zones for gone instances.
	nextZoneCheck time.Time
}

// partsInTransit holds parts that were taken out of a zone's pool and are not
// in the root ledger's pool yet.
type partsInTransit struct {
	Parts
	zone string
}

// memberID returns the id of this process in its zone's ledger.
func (r *Reconciler) memberID() string { return memberID(r.InstanceID, r.Epoch) }

func memberID(instanceID, epoch string) string { return instanceID + memberSeparator + epoch }

// memberSeparator separates an instance's id and its epoch.
const memberSeparator = "#"

// memberGone reports whether a member can never spend again. An earlier process
// with this instance's id has either ended, or is paused and must read its
// claim again before it spends.
func (r *Reconciler) memberGone(memberID string) bool {
	instance, epoch, _ := strings.Cut(memberID, memberSeparator)
	if instance == r.InstanceID {
		return epoch != r.Epoch
	}
	return r.Gone(instance)
}

// storedLedger is a ledger with its key and the version it was read at.
type storedLedger struct {
	Ledger
	key     string
	version uint64
}

// read returns the ledger stored under the key, or an empty one of version zero
// if there is none.
func (r *Reconciler) read(ctx context.Context, key string) (storedLedger, error) {
	object, err := r.Store.Get(ctx, key)
	if objectstore.ErrNotFound.Has(err) {
		return storedLedger{key: key}, nil
	}
	if err != nil {
		return storedLedger{}, err
	}
	l, err := ParseLedger(object.Value)
	return storedLedger{Ledger: l, key: key, version: object.Version}, err
}

// write stores the ledger on condition that it has not changed since it was
// read.
func (r *Reconciler) write(ctx context.Context, s *storedLedger) error {
	value, err := s.Marshal()
	if err != nil {
		return err
	}
	version, err := r.Store.Put(ctx, s.key, value, s.version)
	if err != nil {
		return err
	}
	s.version = version
	return nil
}

// Reconcile takes one step and returns the delay until the next one. Zero means
// that there is nothing to do until a ledger changes. After an error it is
// unknown whether a write took effect; the next call reads the ledgers again.
func (r *Reconciler) Reconcile(ctx context.Context) (time.Duration, error) {
	inTransit := r.inTransit
	r.inTransit = partsInTransit{}
	readAt := r.Now()
	root, err := r.read(ctx, rootKey)
	if err != nil {
		return 0, err
	}
	if root.version == 0 {
		return stepInterval, r.createRoot(ctx, &root)
	}
	zone, err := r.read(ctx, ledgerPrefix+r.Zone)
	if err != nil {
		return 0, err
	}
	r.applyMember(readAt, zone.Find(r.memberID()))
	changed, err := r.balanceZones(ctx, &root, &zone, r.Zone, inTransit)
	if changed || err != nil {
		return stepInterval, err
	}
	wait, err := r.balanceInstances(ctx, &zone)
	if wait > 0 || err != nil {
		return wait, err
	}
	changed, err = r.reclaimZones(ctx, &root, &zone, inTransit)
	if changed {
		wait = stepInterval
	}
	return wait, err
}

// applyMember applies this instance's entry in the zone's ledger to its claim.
// If m is nil the instance owns nothing.
func (r *Reconciler) applyMember(readAt time.Time, m *Member) {
	if m == nil {
		r.ApplyClaim(readAt, Claim{HeldThrough: math.MaxUint64})
		r.carryOver = CarryOver{}
		return
	}
	r.carryOver.AddBalances(r.ApplyClaim(readAt, m.Claim()))
	if ceding := (Claim{Teams: float64(m.CedeTeams), Loads: float64(m.CedeLoads)}); ceding != r.ceding {
		r.ceding = ceding
		r.reducedAt = r.Now()
	}
}

// createRoot writes the first root ledger, in which this zone owns all parts.
func (r *Reconciler) createRoot(ctx context.Context, root *storedLedger) error {
	root.Members = []Member{{ID: r.Zone, Teams: TotalParts, Loads: TotalParts}}
	return r.write(ctx, root)
}

// balanceZones takes one step between the root ledger and the ledger of a zone,
// and reports whether there was one to take.
func (r *Reconciler) balanceZones(ctx context.Context, root, zone *storedLedger, name string, inTransit partsInTransit) (bool, error) {
	m := root.Find(name)
	if m == nil {
		root.Join(name)
		root.RequestFairPart(name, false)
		root.AssignFree(name, false)
		return true, r.write(ctx, root)
	}
	teams, loads := m.Teams-zone.TotalTeams(), m.Loads-zone.TotalLoads()
	if teams > 0 || loads > 0 {
		// The zone owns more parts in the root ledger than its own ledger
		// contains. If the root ledger has changed since zone.RootVersion, the
		// zone's total is raised. Otherwise the zone has given the parts up, and
		// they are moved to the root's pool.
		if root.version > zone.RootVersion {
			heldThrough := m.HeldThrough
			if zone.RootVersion > 0 {
				heldThrough = max(heldThrough, r.ReleaseNumber()+reclaimMarginReleases)
			}
			zone.Deposit(Parts{Teams: teams, Loads: loads, HeldThrough: heldThrough})
			zone.RootVersion = root.version
			return true, r.write(ctx, zone)
		}
		// Without a matching record of what was withdrawn, as after a restart,
		// the balances of the parts are lost.
		if inTransit.zone != name || inTransit.Teams != teams || inTransit.Loads != loads {
			inTransit.Parts = Parts{Teams: teams, Loads: loads}
		}
		return true, r.moveToRootPool(ctx, root, m, inTransit.Parts)
	}
	if m.CedeTeams > 0 || m.CedeLoads > 0 {
		return r.lowerZoneTotal(ctx, root, zone, m)
	}
	if _, ok := root.AssignFree(name, false); ok {
		return true, r.write(ctx, root)
	}
	if root.RequestFairPart(name, false) {
		return true, r.write(ctx, root)
	}
	return false, nil
}

// moveToRootPool moves parts, which the zone's own ledger no longer contains,
// from the zone's entry in the root ledger to the root's pool.
func (r *Reconciler) moveToRootPool(ctx context.Context, root *storedLedger, m *Member, p Parts) error {
	p.HeldThrough = max(m.HeldThrough, r.ReleaseNumber()+reclaimMarginReleases)
	m.Teams -= p.Teams
	m.Loads -= p.Loads
	m.CedeTeams = max(0, m.CedeTeams-p.Teams)
	m.CedeLoads = max(0, m.CedeLoads-p.Loads)
	root.Deposit(p)
	return r.write(ctx, root)
}

// lowerZoneTotal takes the parts that the root requests out of the zone's free
// pool. If the pool is empty it marks the zone's members to cede them. The next
// step moves the withdrawn parts to the root's pool; it is valid only for the
// root version recorded in RootVersion here.
func (r *Reconciler) lowerZoneTotal(ctx context.Context, root, zone *storedLedger, m *Member) (bool, error) {
	teams, loads := min(m.CedeTeams, zone.Free.Teams), min(m.CedeLoads, zone.Free.Loads)
	if teams > 0 || loads > 0 {
		withdrawn := zone.Withdraw(teams, loads)
		zone.RootVersion = root.version
		err := r.write(ctx, zone)
		if err == nil {
			r.inTransit = partsInTransit{Parts: withdrawn, zone: m.ID}
		}
		return true, err
	}
	if zone.RequestParts(m.CedeTeams, m.CedeLoads) {
		return true, r.write(ctx, zone)
	}
	return false, nil
}

// balanceInstances takes one step within the zone's ledger and returns the
// delay until the next one, or zero if there was nothing to do.
func (r *Reconciler) balanceInstances(ctx context.Context, zone *storedLedger) (time.Duration, error) {
	if r.removeGoneMembers(zone) {
		return stepInterval, r.write(ctx, zone)
	}
	if zone.Join(r.memberID()) {
		zone.RequestFairPart(r.memberID(), true)
		return stepInterval, r.write(ctx, zone)
	}
	m := zone.Find(r.memberID())
	if m.CedeTeams > 0 || m.CedeLoads > 0 {
		return r.cede(ctx, zone)
	}
	assigned, ok := zone.AssignFree(r.memberID(), true)
	if !ok {
		if zone.RequestFairPart(r.memberID(), true) {
			return stepInterval, r.write(ctx, zone)
		}
		return 0, nil
	}
	readAt := r.Now()
	if err := r.write(ctx, zone); err != nil {
		return stepInterval, err
	}
	r.ApplyClaim(readAt, zone.Find(r.memberID()).Claim())
	r.Deposit(assigned)
	return stepInterval, nil
}

// cede writes that this instance has given up the parts it is marked to cede.
// Its claim was reduced before; the write waits for GrantedTerm, until all
// tokens granted from the larger claim have expired.
func (r *Reconciler) cede(ctx context.Context, zone *storedLedger) (time.Duration, error) {
	if remaining := r.reducedAt.Add(GrantedTerm).Sub(r.Now()); remaining > 0 {
		return remaining, nil
	}
	zone.Cede(r.memberID(), r.ReleaseNumber(), r.carryOver)
	return stepInterval, r.writeCarryOver(ctx, zone)
}

// writeCarryOver writes a ledger that contains the carried-over balances. They
// are kept for another attempt only if the write failed with a conflict; after
// any other error they may have been written.
func (r *Reconciler) writeCarryOver(ctx context.Context, zone *storedLedger) error {
	err := r.write(ctx, zone)
	if !objectstore.ErrConflict.Has(err) {
		r.carryOver = CarryOver{}
	}
	return err
}

// StartLeaving stops spending. Call FinishLeaving no sooner than GrantedTerm
// later.
func (r *Reconciler) StartLeaving() {
	r.carryOver.AddBalances(r.DropClaim())
}

// FinishLeaving removes this instance from its zone's ledger and moves its
// parts and balances to the pool. It may be called again after an error.
func (r *Reconciler) FinishLeaving(ctx context.Context) error {
	zone, err := r.read(ctx, ledgerPrefix+r.Zone)
	if err != nil || zone.Find(r.memberID()) == nil {
		return err
	}
	zone.Remove(r.memberID(), r.ReleaseNumber(), r.carryOver)
	return r.writeCarryOver(ctx, &zone)
}
