package gatewayinstance

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"heatherrelay/internal/clock"
	"heatherrelay/internal/crash"
	"heatherrelay/internal/deployment"
	"heatherrelay/internal/platformstore"
	"heatherrelay/internal/wait"
)

const (
	// crashKind is the kind of the objects with the reports on crashed targets, one
	// for each zone.
	crashKind platformstore.Kind = "heatherrelay-crashes"
	// storeCrashesInterval is the time between two checks whether the store lacks a
	// report.
	storeCrashesInterval = 200 * time.Millisecond
	// otherWriterDelay is how long an instance that does not read the store for its
	// zone leaves the writing of a report to the one that does, if it hears from that
	// one; silentWriterDelay if it does not.
	otherWriterDelay  = 3 * time.Second
	silentWriterDelay = 600 * time.Millisecond
	// writeRetryDelay is the time from a write that failed to the next one.
	writeRetryDelay = time.Second
)

// assembleCrashes creates the components that find requests and parts of prompts that crash
// targets.
// The network and the catalog must exist.
func (i *Instance) assembleCrashes() {
	i.network.Crashes = i.crashes
	i.crashes.OnChange = func(report crash.Report, observed bool) {
		i.crashesChanged.Store(true)
		i.network.PublishCrash(report, observed)
		if !observed {
			i.crashDetector.RecordReport(report.Process)
		}
	}
	i.crashDetector.Status = i.processStatus
}

// processStatus returns the status of a target's process. One that is no longer listed
// has ended as planned: the entry of one that crashed is listed for some seconds.
func (i *Instance) processStatus(t deployment.Target) crash.Status {
	listed, ok := i.catalog.Targets()[t.ID]
	switch {
	case ok && listed.Generation > t.Generation:
		return crash.Replaced
	case !ok || listed.Draining || listed.TimeRemaining > 0 || i.server.Availability.Leaving(t):
		return crash.Leaving
	}
	return crash.Running
}

// noReports is the value of an object without reports.
var noReports = json.RawMessage(`{"crashes":[]}`)

// sanitizeCrashes replaces a value that holds no reports, so that it takes no memory here or
// at peers. The object of a zone is written again when the store lacks a report.
func (i *Instance) sanitizeCrashes(o platformstore.Object) platformstore.Object {
	if _, err := crash.DecodeStored(o.Value); err != nil {
		i.oddCrashes.log(i.Log, o, err)
		o.Value = noReports
	}
	return o
}

const (
	// oddLogInterval is the time in which at most maxOddLines lines are logged on objects
	// that cannot be decoded.
	oddLogInterval = time.Minute
	maxOddLines    = 8
	// maxOddObjects bounds the odd objects that are remembered.
	maxOddObjects = 1024
)

// oddObjects logs the objects that cannot be decoded. An object is read again and again, and
// another writer may leave any number of them: each value of one is logged once, and all
// together take maxOddLines lines at most in oddLogInterval. The zero value is ready to use.
type oddObjects struct {
	mu sync.Mutex
	// seen holds the hash of the value of each object that was read last.
	seen map[string]uint64
	// lines were logged since intervalStart, omitted values since the last line.
	intervalStart  time.Time
	lines, omitted int
}

func (o *oddObjects) log(log *zap.Logger, object platformstore.Object, err error) {
	omitted, due := o.record(object, clock.Now())
	if due {
		log.Warn("reports on crashes cannot be decoded, skipped", zap.String("name", fmt.Sprintf("%.*s", maxOddNameBytes, object.Name)),
			zap.Uint64("revision", object.Revision), zap.Int("omitted_lines", omitted), zap.Error(err))
	}
}

// maxOddNameBytes is how much of the name of an odd object a line has.
const maxOddNameBytes = 100

// record records that an odd object was read. It reports whether a line is due, and how many
// were omitted before it.
func (o *oddObjects) record(object platformstore.Object, now time.Time) (omitted int, due bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	value := xxhash.Sum64(object.Value)
	if last, ok := o.seen[object.Name]; ok && last == value {
		return 0, false
	}
	if o.seen == nil || len(o.seen) >= maxOddObjects {
		o.seen = map[string]uint64{}
	}
	o.seen[object.Name] = value
	if now.Sub(o.intervalStart) >= oddLogInterval {
		o.intervalStart, o.lines = now, 0
	}
	if o.lines >= maxOddLines {
		o.omitted++
		return 0, false
	}
	omitted, o.omitted = o.omitted, 0
	o.lines++
	return omitted, true
}

// applyCrashObjects merges the reports of the store.
func (i *Instance) applyCrashObjects(objects []platformstore.Object) {
	i.crashesChanged.Store(true)
	for _, o := range objects {
		if err := i.crashes.MergeStored(o.Value, time.Now()); err != nil {
			i.oddCrashes.log(i.Log, o, err)
		}
	}
}

// storeCrashes writes the reports that the store lacks to the object of this instance's
// zone until ctx ends. The instance that reads the store for its zone does so at once,
// any other one when the reports are still missing after a while. The comparison with
// the replica makes a write again that failed, or that a restored store has lost.
func (i *Instance) storeCrashes(ctx context.Context) {
	var missingSince time.Time
	pause := storeCrashesInterval
	for wait.Sleep(ctx, pause) == nil {
		pause = storeCrashesInterval
		if missingSince.IsZero() && !i.crashesChanged.Swap(false) {
			continue
		}
		own, covered := i.compareStoredCrashes()
		if covered {
			missingSince = time.Time{}
			continue
		}
		if missingSince.IsZero() {
			missingSince = clock.Now()
		}
		if clock.Since(missingSince) < i.crashWriteDelay() {
			continue
		}
		if err := i.writeCrashes(ctx, own); err != nil {
			i.Log.Debug("reports on crashes not stored", zap.Error(err))
			pause = writeRetryDelay
		}
	}
}

// crashWriteDelay returns how long this instance waits for another one to write a report.
func (i *Instance) crashWriteDelay() time.Duration {
	switch {
	case i.network.ReadsStore():
		return 0
	case i.network.HearsReader():
		return otherWriterDelay
	}
	return silentWriterDelay
}

// compareStoredCrashes returns the object of this instance's zone, and whether the store
// has all reports of this instance.
func (i *Instance) compareStoredCrashes() (own platformstore.Object, covered bool) {
	var stored []crash.StoredReports
	for _, o := range i.catalog.CrashObjects() {
		if o.Name == i.Settings.Zone {
			own = o
		}
		// An object that cannot be decoded was logged when it was read.
		if s, err := crash.DecodeStored(o.Value); err == nil {
			stored = append(stored, s)
		}
	}
	return own, crash.Covers(stored, i.crashes.Store(time.Now()))
}

// writeCrashes writes all reports of this instance to the object of its zone. Another
// instance may have written it meanwhile; then the write is made again once its
// reports are merged.
func (i *Instance) writeCrashes(ctx context.Context, own platformstore.Object) error {
	value := i.crashes.Store(time.Now())
	if own.Name == "" {
		_, err := i.Store.Create(ctx, crashKind, i.Settings.Zone, value)
		return err
	}
	_, err := i.Store.Replace(ctx, crashKind, i.Settings.Zone, own.Revision, value)
	return err
}
