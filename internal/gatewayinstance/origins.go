package gatewayinstance

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"heatherrelay/internal/clock"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/origin"
	"heatherrelay/internal/platformstore"
	"heatherrelay/internal/upstream"
	"heatherrelay/internal/wait"
)

const (
	// originKind is the kind of the objects with the origins of streams.
	originKind platformstore.Kind = "heatherrelay-origins"
	// versionsKind is the kind of the object with the software versions that the
	// services have and lately had, versionsName its name.
	versionsKind platformstore.Kind = "heatherrelay-versions"
	versionsName string             = "services"
	// storeVersionsInterval is the time between two checks whether the versions have
	// changed, and from a first call to the store that failed to the next one.
	storeVersionsInterval = 200 * time.Millisecond
	// maxVersionsPause is the longest time from a call to the store that failed to the next
	// one.
	maxVersionsPause = 2 * time.Second
	// versionsWriterDelay is how much longer each further writer waits for the one
	// before it.
	versionsWriterDelay = 400 * time.Millisecond
	// versionsWriters is how many instances compare the versions with the store after a
	// change. Some may run a version of this software that does not write them.
	versionsWriters = 16
	// versionsWriteAttempts is how often a write is made when another instance wrote
	// the object meanwhile.
	versionsWriteAttempts = 4
)

// assembleOrigins creates the components that keep the origins of streams in the store, and
// that know which processes of targets run. The network and the server must exist.
func (i *Instance) assembleOrigins() {
	i.server.Processes = &origin.Processes{Now: clock.Now}
	i.client.OnIdentify = i.recordProcess
	i.network.ConfirmVersions = i.confirmVersions
	i.network.Archive = &origin.Archive{Store: i.Store, Kind: originKind, WallClock: time.Now, Now: clock.Now, Log: i.Log}
}

// recordProcess records the generation that a target says it is, and what the head of its
// answer states.
func (i *Instance) recordProcess(id deployment.TargetID, head *upstream.ResponseHead, generation int64) {
	i.server.Processes.RecordMet(id, generation)
	if target, ok := i.listedTarget(id); ok {
		i.server.Availability.Observe(target, head)
	}
}

// observeVersions records which software versions the targets have. When a service gets
// a second one, the origins of its streams, which mattered to nobody until then, are
// sent to other instances.
func (i *Instance) observeVersions(listed map[deployment.TargetID]deployment.Target) {
	i.server.Processes.Observe(listed)
	mixed := i.versions.Observe(listed)
	if len(mixed) == 0 {
		return
	}
	i.Log.Info("services have targets of several software versions", zap.Strings("services", mixed))
	go i.network.PublishOrigins(context.Background(), func(service string) bool { return slices.Contains(mixed, service) })
}

// storeVersions reads from the store which software versions the services had before
// this instance started, and has the store hold those that the instances see, until ctx
// ends. One instance writes a change; others do if it has not after a while. One that is
// no writer compares with the store once it becomes one.
func (i *Instance) storeVersions(ctx context.Context) {
	for pause := storeVersionsInterval; !i.restoreVersions(ctx); pause = min(2*pause, maxVersionsPause) {
		if wait.Sleep(ctx, pause) != nil {
			return
		}
	}
	i.network.PublishOrigins(ctx, i.versions.Several)
	var stored versionsState
	var changedAt time.Time
	for pause := storeVersionsInterval; ctx.Err() == nil; _ = wait.Sleep(ctx, pause) {
		state := versionsState{changes: i.versions.Changes(), generation: i.Store.Generation()}
		if state == stored {
			changedAt = time.Time{}
			continue
		}
		if changedAt.IsZero() {
			changedAt = clock.Now()
		}
		rank := i.network.WriterRank("versions", versionsWriters)
		if rank < 0 || clock.Since(changedAt) < time.Duration(rank)*versionsWriterDelay {
			continue
		}
		if err := i.writeVersions(ctx); err != nil {
			pause = min(2*pause, maxVersionsPause)
			i.Log.Debug("software versions not stored", zap.Error(err))
			continue
		}
		stored, pause = state, storeVersionsInterval
	}
}

// versionsState says of which observed and stored versions the store was compared last.
type versionsState struct {
	changes, generation uint64
}

// restoreVersions reads the software versions from before this instance started. It
// reports whether the store could be read. Without an object, or with one that cannot be
// decoded, the instance knows nothing of that time.
func (i *Instance) restoreVersions(ctx context.Context) bool {
	stored, object, err := i.readVersions(ctx)
	switch {
	case err != nil && object.Name == "":
		i.Log.Info("software versions not read from the store", zap.Error(err))
		return false
	case err == nil && object.Name != "":
		i.versions.Restore(stored)
	}
	return true
}

// confirmVersionsTimeout bounds the calls to the store that confirm the software versions.
const confirmVersionsTimeout = 300 * time.Millisecond

// versionsReading is when the software versions in the store were last read to learn of a
// time in which this instance did not observe the targets. The mutex is held during a
// reading.
type versionsReading struct {
	mu sync.Mutex
	at time.Time
}

// confirmVersions reports whether the instance knows of all software versions that had
// targets at a time or earlier, as the store confirms: the targets are those of that time or
// later, and where nothing was known of them for a while, the versions that other instances
// saw meanwhile are known.
func (i *Instance) confirmVersions(ctx context.Context, since time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmVersionsTimeout)
	defer cancel()
	return i.catalog.ConfirmTargets(ctx, since) && i.learnVersions(ctx)
}

// learnVersions reads the software versions in the store, unless that was done since the
// targets were last read again after a while. What cannot be decoded there it replaces by what
// this instance observed.
func (i *Instance) learnVersions(ctx context.Context) bool {
	reading := &i.versionsReading
	reading.mu.Lock()
	defer reading.mu.Unlock()
	if !reading.at.Before(i.catalog.TargetsRegainedAt()) {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	readAt := clock.Now()
	stored, _, err := i.readVersions(ctx)
	if platformstore.ErrMalformed.Has(err) {
		// The next reading finds what is written now.
		err = errors.Join(err, i.writeVersions(ctx))
	}
	if err != nil {
		i.Log.Info("software versions not read from the store", zap.Error(err))
		return false
	}
	i.versions.Learn(stored)
	reading.at = readAt
	return true
}

// readVersions returns the stored software versions and their object, which has no name
// if the store holds none. One that cannot be decoded fails with ErrMalformed and has one.
func (i *Instance) readVersions(ctx context.Context) (origin.StoredVersions, platformstore.Object, error) {
	object, err := i.Store.Get(ctx, versionsKind, versionsName)
	if platformstore.ErrNotFound.Has(err) {
		return origin.StoredVersions{}, platformstore.Object{}, nil
	}
	if err != nil {
		return origin.StoredVersions{}, platformstore.Object{}, err
	}
	stored, err := origin.DecodeVersions(object.Value)
	if err != nil {
		i.Log.Warn("software versions in the store cannot be decoded", zap.Error(err))
	}
	return stored, object, err
}

// writeVersions has the store hold the software versions that this instance observed.
func (i *Instance) writeVersions(ctx context.Context) error {
	var err error
	for range versionsWriteAttempts {
		stored, object, readErr := i.readVersions(ctx)
		if readErr != nil && object.Name == "" {
			return readErr
		}
		updated, changed := i.versions.Update(stored, time.Now())
		if !changed && readErr == nil {
			return nil
		}
		if object.Name == "" {
			_, err = i.Store.Create(ctx, versionsKind, versionsName, updated)
		} else {
			_, err = i.Store.Replace(ctx, versionsKind, versionsName, object.Revision, updated)
		}
		if !platformstore.ErrConflict.Has(err) {
			break
		}
	}
	return err
}
