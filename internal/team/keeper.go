package team

import (
	"context"
	"math"
	"strings"
	"time"

	"heatherrelay/internal/objectstore"
)

// The keys of the ledgers. A zone's ledger is at ledgerPrefix and its name.
const (
	ledgerPrefix = "allowance/"
	rootKey      = "allowance/.root"
)

// Keeper brings the stored ledgers and one instance's claim together: it joins,
// asks others to cede, cedes what is asked of it, and takes what is free. It
// spends less before it writes that it does, and more only after a write is
// known to have taken effect.
type Keeper struct {
	Zone       string
	InstanceID string
	// Epoch tells this process from earlier ones with the same instance id.
	Epoch string
	Store objectstore.Store
	// Now returns the present time.
	Now func() time.Time
	// Spend sets the claim, read from the platform at readAt, and returns the
	// balances that do not fit any more.
	Spend func(readAt time.Time, claim Claim) Handed
	// Deposit adds the balances of a grant that made the claim larger.
	Deposit func(Grant)
	// GiveUp sets the claim to nothing and returns all balances.
	GiveUp func() Handed
	// Release returns the last release that is in force here.
	Release func() uint64
	// Gone says that an instance can never spend again: the platform's list shows
	// it gone and its lease was not renewed for its term.
	Gone func(instanceID string) bool

	// handed is what was cut from the balances and is not yet written.
	handed Handed
	// ceding is what this instance stopped spending at smallerAt.
	ceding    Claim
	smallerAt time.Time
	// moving is what the last step took out of a zone's pool.
	moving moving
	// reclaimAt is when the other zones are looked at next.
	reclaimAt time.Time
}

// moving is what was taken out of a zone's pool and is not in the root's yet.
type moving struct {
	Grant
	zone string
}

// memberID returns the name of this process in its zone's ledger.
func (k *Keeper) memberID() string { return memberID(k.InstanceID, k.Epoch) }

func memberID(instanceID, epoch string) string { return instanceID + memberSeparator + epoch }

// memberSeparator stands between an instance's id and its epoch.
const memberSeparator = "#"

// gone says that a member can never spend again. An earlier process with this
// instance's own id has ended, or is paused and will read its claim again.
func (k *Keeper) gone(memberID string) bool {
	instance, epoch, _ := strings.Cut(memberID, memberSeparator)
	if instance == k.InstanceID {
		return epoch != k.Epoch
	}
	return k.Gone(instance)
}

// stored is a ledger with the version that it was read at.
type stored struct {
	Ledger
	key     string
	version uint64
}

func (k *Keeper) read(ctx context.Context, key string) (stored, error) {
	object, err := k.Store.Get(ctx, key)
	if objectstore.ErrNotFound.Has(err) {
		return stored{key: key}, nil
	}
	if err != nil {
		return stored{}, err
	}
	l, err := ParseLedger(object.Value)
	return stored{Ledger: l, key: key, version: object.Version}, err
}

// write stores a changed ledger if nobody changed it since it was read.
func (k *Keeper) write(ctx context.Context, s *stored) error {
	value, err := s.Marshal()
	if err != nil {
		return err
	}
	version, err := k.Store.Put(ctx, s.key, value, s.version)
	if err != nil {
		return err
	}
	s.version = version
	return nil
}

// Reconcile takes one step and returns when to take the next; zero means when a
// ledger has changed. On an error nothing is known of the write; the next call
// reads again.
func (k *Keeper) Reconcile(ctx context.Context) (time.Duration, error) {
	m := k.moving
	k.moving = moving{}
	readAt := k.Now()
	root, err := k.read(ctx, rootKey)
	if err != nil {
		return 0, err
	}
	if root.version == 0 {
		return stepInterval, k.createRoot(ctx, &root)
	}
	zone, err := k.read(ctx, ledgerPrefix+k.Zone)
	if err != nil {
		return 0, err
	}
	k.spend(readAt, zone.Find(k.memberID()))
	changed, err := k.balanceZones(ctx, &root, &zone, k.Zone, m)
	if changed || err != nil {
		return stepInterval, err
	}
	wait, err := k.balanceInstances(ctx, &zone)
	if wait > 0 || err != nil {
		return wait, err
	}
	changed, err = k.reclaimZones(ctx, &root, &zone, m)
	if changed {
		wait = stepInterval
	}
	return wait, err
}

// spend takes over what the ledger says of this instance.
func (k *Keeper) spend(readAt time.Time, m *Member) {
	if m == nil {
		k.Spend(readAt, Claim{Since: math.MaxUint64})
		k.handed = Handed{}
		return
	}
	k.handed.Add(k.Spend(readAt, m.Claim()))
	if ceding := (Claim{Teams: float64(m.CedeTeams), Loads: float64(m.CedeLoads)}); ceding != k.ceding {
		k.ceding = ceding
		k.smallerAt = k.Now()
	}
}

func (k *Keeper) createRoot(ctx context.Context, root *stored) error {
	root.Members = []Member{{ID: k.Zone, Teams: TotalParts, Loads: TotalParts}}
	return k.write(ctx, root)
}

// balanceZones takes one step between the root ledger and a zone's.
func (k *Keeper) balanceZones(ctx context.Context, root, zone *stored, name string, last moving) (bool, error) {
	m := root.Find(name)
	if m == nil {
		root.Join(name)
		root.Ask(name, false)
		root.Take(name, false)
		return true, k.write(ctx, root)
	}
	teams, loads := m.Teams-zone.TotalTeams(), m.Loads-zone.TotalLoads()
	if teams > 0 || loads > 0 {
		if root.version > zone.RootVersion {
			since := m.Since
			if zone.RootVersion > 0 {
				since = max(since, k.Release()+reclaimMarginReleases)
			}
			zone.Deposit(Grant{Teams: teams, Loads: loads, Since: since})
			zone.RootVersion = root.version
			return true, k.write(ctx, zone)
		}
		if last.zone != name || last.Teams != teams || last.Loads != loads {
			last.Grant = Grant{Teams: teams, Loads: loads}
		}
		return true, k.cedeZone(ctx, root, m, last.Grant)
	}
	if m.CedeTeams > 0 || m.CedeLoads > 0 {
		return k.collect(ctx, root, zone, m)
	}
	if _, ok := root.Take(name, false); ok {
		return true, k.write(ctx, root)
	}
	if root.Ask(name, false) {
		return true, k.write(ctx, root)
	}
	return false, nil
}

// cedeZone writes to the root ledger that a zone, whose own ledger says so
// already, gave up parts.
func (k *Keeper) cedeZone(ctx context.Context, root *stored, m *Member, g Grant) error {
	g.Since = max(m.Since, k.Release()+reclaimMarginReleases)
	m.Teams -= g.Teams
	m.Loads -= g.Loads
	m.CedeTeams = max(0, m.CedeTeams-g.Teams)
	m.CedeLoads = max(0, m.CedeLoads-g.Loads)
	root.Deposit(g)
	return k.write(ctx, root)
}

// collect lowers a zone's total by what the root asks for, out of the zone's
// free pool; what is missing there is asked of the zone's members. The write to
// the root is the next step: it holds only for the version that is noted here.
func (k *Keeper) collect(ctx context.Context, root, zone *stored, m *Member) (bool, error) {
	teams, loads := min(m.CedeTeams, zone.Free.Teams), min(m.CedeLoads, zone.Free.Loads)
	if teams > 0 || loads > 0 {
		g := zone.Withdraw(teams, loads)
		zone.RootVersion = root.version
		err := k.write(ctx, zone)
		if err == nil {
			k.moving = moving{Grant: g, zone: m.ID}
		}
		return true, err
	}
	if zone.AskAll(m.CedeTeams, m.CedeLoads) {
		return true, k.write(ctx, zone)
	}
	return false, nil
}

// balanceInstances takes one step within the zone's ledger.
func (k *Keeper) balanceInstances(ctx context.Context, zone *stored) (time.Duration, error) {
	if k.reclaim(zone) {
		return stepInterval, k.write(ctx, zone)
	}
	if zone.Join(k.memberID()) {
		zone.Ask(k.memberID(), true)
		return stepInterval, k.write(ctx, zone)
	}
	m := zone.Find(k.memberID())
	if m.CedeTeams > 0 || m.CedeLoads > 0 {
		return k.cede(ctx, zone)
	}
	g, ok := zone.Take(k.memberID(), true)
	if !ok {
		if zone.Ask(k.memberID(), true) {
			return stepInterval, k.write(ctx, zone)
		}
		return 0, nil
	}
	readAt := k.Now()
	if err := k.write(ctx, zone); err != nil {
		return stepInterval, err
	}
	k.Spend(readAt, zone.Find(k.memberID()).Claim())
	k.Deposit(g)
	return stepInterval, nil
}

// cede writes that this instance gave up what it was asked for. Its claim is
// smaller already; what it lent out of the larger one is over after LentTerm.
func (k *Keeper) cede(ctx context.Context, zone *stored) (time.Duration, error) {
	if left := k.smallerAt.Add(LentTerm).Sub(k.Now()); left > 0 {
		return left, nil
	}
	zone.Cede(k.memberID(), k.Release(), k.handed)
	return stepInterval, k.writeHanded(ctx, zone)
}

// writeHanded writes balances into a ledger. Unless the write is known to have
// failed they are not written again.
func (k *Keeper) writeHanded(ctx context.Context, zone *stored) error {
	err := k.write(ctx, zone)
	if !objectstore.ErrConflict.Has(err) {
		k.handed = Handed{}
	}
	return err
}

// StartLeaving stops spending. FinishLeaving may follow after LentTerm.
func (k *Keeper) StartLeaving() {
	k.handed.Add(k.GiveUp())
}

// FinishLeaving hands the whole claim and its balances on. After an error it may
// be called again.
func (k *Keeper) FinishLeaving(ctx context.Context) error {
	zone, err := k.read(ctx, ledgerPrefix+k.Zone)
	if err != nil || zone.Find(k.memberID()) == nil {
		return err
	}
	zone.Remove(k.memberID(), k.Release(), k.handed)
	return k.writeHanded(ctx, &zone)
}
