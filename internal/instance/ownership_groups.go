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

// observe takes an update of the group records.
func (w *Ownership) observe(u objectstore.Update) {
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
		w.learn(g)
	}
}

// learn keeps the record with the higher fencing number. The caller holds mu.
func (w *Ownership) learn(g Group) {
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

// Heard takes a peer's word of its groups.
func (w *Ownership) Heard(from string, claims []*v1.GroupClaim) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range claims {
		known := w.groups[c.GetGroup()]
		if c.GetFencing() <= known.FencingNumber {
			continue
		}
		w.learn(Group{
			Name:        c.GetGroup(),
			GroupRecord: GroupRecord{Holder: from, Incarnation: c.GetIncarnation(), Previous: known.Holder, FencingNumber: c.GetFencing()},
		})
	}
}

// move writes a record. A write whose answer was lost shows in the watch.
func (w *Ownership) move(ctx context.Context, m Move) {
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
		w.moveFailed(m.Group.Name, err)
		return
	}
	w.Log.Info("group_moved", zap.String("group", m.Group.Name), zap.String("to", m.To.ID), zap.Uint64("fencing_number", record.FencingNumber))
	w.mu.Lock()
	w.learn(Group{Name: m.Group.Name, GroupRecord: record, Version: version})
	w.mu.Unlock()
	if w.Tell != nil && m.To == w.Self {
		w.Tell(ctx, []*v1.GroupClaim{{Group: m.Group.Name, Fencing: record.FencingNumber, Incarnation: w.Self.Incarnation}})
	}
}

// moveFailed marks a group whose record may have been written until it is read back.
func (w *Ownership) moveFailed(name string, err error) {
	if !objectstore.ErrUnavailable.Has(err) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unsettled[name] = true
}

// settle reads back the groups whose last write had no answer.
func (w *Ownership) settle(ctx context.Context) {
	w.mu.Lock()
	names := slices.Sorted(maps.Keys(w.unsettled))
	w.mu.Unlock()
	for _, name := range names {
		object, err := w.Store.Get(ctx, groupPrefix+name)
		if err != nil && !objectstore.ErrNotFound.Has(err) {
			return
		}
		w.mu.Lock()
		delete(w.unsettled, name)
		w.mu.Unlock()
		w.observe(objectstore.Update{Objects: existing(object)})
	}
}

func existing(object objectstore.Object) []objectstore.Object {
	if object.Key == "" {
		return nil
	}
	return []objectstore.Object{object}
}
