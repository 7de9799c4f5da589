package instance

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/objectstore"
)

// applyUpdate applies an update of the group records. Deletions are ignored, and
// records that cannot be parsed are logged and skipped.
func (w *Ownership) applyUpdate(u objectstore.Update) {
	objects := u.Objects
	for _, e := range u.Events {
		if !e.Deleted {
			objects = append(objects, e.Object)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.synced = w.synced || u.Full
	for _, object := range objects {
		g, err := parseGroup(object.Key, object.Value, object.Version)
		if err != nil {
			w.Log.Error("group_unreadable", zap.Error(err))
			continue
		}
		w.applyRecord(g)
	}
}

// applyRecord replaces the known record of a group, unless that has a higher
// fencing number, or the same one and at least the same version. The caller
// holds mu.
func (w *Ownership) applyRecord(g Group) {
	known, ok := w.groups[g.Name]
	if ok && known.FencingNumber > g.FencingNumber {
		return
	}
	if ok && known.FencingNumber == g.FencingNumber && known.Version >= g.Version {
		return
	}
	if known.FencingNumber != g.FencingNumber {
		w.movedAt[g.Name] = time.Now()
	}
	w.groups[g.Name] = g
}

// ApplyClaims applies the groups that a peer reports as its own. Claims whose
// fencing number is not higher than the known one are ignored.
func (w *Ownership) ApplyClaims(from string, claims []*v1.GroupClaim) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range claims {
		known := w.groups[c.GetGroup()]
		if c.GetFencing() <= known.FencingNumber {
			continue
		}
		w.applyRecord(Group{
			Name:        c.GetGroup(),
			GroupRecord: GroupRecord{Holder: from, Incarnation: c.GetIncarnation(), Previous: known.Holder, FencingNumber: c.GetFencing()},
		})
	}
}

// writeMove writes the group record of a move and, if this instance acquired the
// group, reports that to the peers. A group that this instance hands over is
// drained before the write and gets owners again as soon as the write fails. If the
// response is lost, the outcome is read back by confirmWrites or received through the
// watch.
func (w *Ownership) writeMove(ctx context.Context, m Move) {
	record := GroupRecord{
		Holder:        m.To.ID,
		Incarnation:   m.To.Incarnation,
		Previous:      m.Group.Holder,
		FencingNumber: m.Group.FencingNumber + 1,
	}
	value, err := json.Marshal(record)
	if err != nil {
		w.Log.Error("group_unwritable", zap.Error(err))
		return
	}
	if m.Group.Holder == w.Self.ID {
		w.drainGroup(m.Group.Name)
	}
	version, err := w.Store.Put(ctx, groupPrefix+m.Group.Name, value, m.Group.Version)
	if err != nil {
		w.Log.Info("group_move_failed", zap.String("group", m.Group.Name), zap.Error(err))
		w.recordMoveError(m.Group.Name, err)
		w.reconcileOwners()
		return
	}
	w.Log.Info("group_moved", zap.String("group", m.Group.Name), zap.String("to", m.To.ID), zap.Uint64("fencing_number", record.FencingNumber))
	w.mu.Lock()
	w.applyRecord(Group{Name: m.Group.Name, GroupRecord: record, Version: version})
	w.mu.Unlock()
	if w.PublishClaims != nil && m.To == w.Self {
		w.PublishClaims(ctx, []*v1.GroupClaim{{Group: m.Group.Name, Fencing: record.FencingNumber, Incarnation: w.Self.Incarnation}})
	}
}

// recordMoveError marks a group as unconfirmed if the outcome of its write is
// unknown.
func (w *Ownership) recordMoveError(name string, err error) {
	if !objectstore.ErrUnavailable.Has(err) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unconfirmed[name] = true
}

// confirmWrites reads back the records whose last write has an unknown outcome.
// It stops at the first failed read; the rest stays unconfirmed until the next call.
func (w *Ownership) confirmWrites(ctx context.Context) {
	w.mu.Lock()
	names := slices.Sorted(maps.Keys(w.unconfirmed))
	w.mu.Unlock()
	for _, name := range names {
		object, err := w.Store.Get(ctx, groupPrefix+name)
		if err != nil && !objectstore.ErrNotFound.Has(err) {
			return
		}
		w.mu.Lock()
		delete(w.unconfirmed, name)
		w.mu.Unlock()
		w.applyUpdate(objectstore.Update{Objects: objectIfFound(object)})
	}
}

// objectIfFound returns the object, or nothing if it is the zero object of a key
// that was not found.
func objectIfFound(object objectstore.Object) []objectstore.Object {
	if object.Key == "" {
		return nil
	}
	return []objectstore.Object{object}
}
